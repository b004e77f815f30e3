# Guards against late first events that come as a surprise again and again: once the endpoints
# are slow, daemons expect that, tell each other, and forget it when it is over.
. tests/lib-edge.sh

all_ready() {
	edge_ready 1 && edge_ready 2
}

# first_events RESULT: first events of both daemons with that result.
first_events() {
	for n in 1 2; do
		curl -s -m 5 "http://$(edge_ip "$n"):9464/metrics"
	done | sed -n "s/.*first_events_total{model=\"m\",result=\"$1\"} //p" |
	    awk '{ sum += $1 } END { print sum + 0 }'
}

# at_least NUMBER NUMBER: whether the first is at least the second.
at_least() {
	[ "$1" -ge "$2" ]
}

start_edge_platform 4 1
put_config 1 's/"target_latency_ms":500/"target_latency_ms":150/'
start_edge 1 --endpoint-evidence true
start_edge 2 --endpoint-evidence true --domain b
check_true "all are ready" until_true 15 all_ready
check_true "two replicas serve" until_true 15 groups_open 1 2

ask_paced 2 2 /write/x
check "all are served" 50 "$(answered 200)"
check_true "first events are in time" at_least "$(first_events in_time)" 45
check_true "the log tells the objective" grep -q \
    'event=request_answered .* objective_ms=150 sent_ms=' "$RUN"/edge-1.out

# Slower than the objective, and not slow enough to count as silent.
control slow-first 300
ask_paced 4 2 /write/x
late=$(first_events late_foreseen)
surprises=$(first_events late_unforeseen)
check_true "most late first events are foreseen ($late, and $surprises not)" \
    at_least "$late" "$surprises"
check_true "some first events were late" at_least "$late" 10

control slow-first 0
sleep 1
before=$(first_events in_time)
ask_paced 2 2 /write/x
check "all are served again" 50 "$(answered 200)"
check_true "and in time" at_least "$(($(first_events in_time) - before))" 45

# A daemon that stood still takes its own pause for no lateness of the endpoints.
control slow-first 100
# Corrections of at least 100 ms: the pause is of 1.5 s, and the delay at the endpoints is below.
corrected() {
	grep -c 'event=request_answered .*correction_ms=[1-9][0-9][0-9]' \
	    "$RUN"/edge-2.out
}
sleep 1
before=$(corrected)
asks=
for _ in $(seq 14); do
	ask 1 /write/x >/dev/null &
	asks="$asks $!"
done
sleep 0.05
kill -STOP "$(pid_of edge-1)"
sleep 1.5
kill -CONT "$(pid_of edge-1)"
for _ in $(seq 15); do
	ask 2 /write/x >/dev/null &
	asks="$asks $!"
	sleep 0.06
done
# shellcheck disable=SC2086
wait $asks
sleep 0.5
check "no lateness is expected after a pause" "$before" "$(corrected)"

verdict
