# Guards against bytes without end from an endpoint: one such response filled the memory
# of a daemon, and its client waited until the deadline. Another endpoint must serve it.
. tests/lib-edge.sh

LIMIT_KB=65536

# Requests of one round; a request goes to any of eight endpoints, by chance, and a round
# leaves out a given one 4 times in 100.
ROUND=24
ROUNDS_MAX=10

# ask_until_run ENDPOINT: asks in rounds until the endpoint has run a request; prints the
# statuses.
ask_until_run() {
	runs_before=$(runs_of "$1")
	for _ in $(seq $ROUNDS_MAX); do
		for n in $(seq $ROUND); do
			ask 1 /look/x --data "own $n" | status_last
		done
		[ "$(runs_of "$1")" -eq "$runs_before" ] || return
	done
}

left_for_protocol() { # COUNT: whether requests have left endpoints so often for that
	[ "$(grep -c 'request_again.*=no_answer_in_protocol' "$RUN/edge-1.out")" -ge "$1" ]
}

# check_kind NUMBER NAME: plain endpoint NUMBER sends such bytes without end.
check_kind() {
	bad=127.$NET.2.$1
	control "endless-$bad" "$1"
	before=$(memory_kb edge-1 VmHWM)
	runs=$(runs_of "b$1")
	ask_until_run "b$1" >"$RUN/asked"
	control "endless-$bad" 0
	grown=$(($(memory_kb edge-1 VmHWM) - before))
	check "$2: all are served" "$(wc -l <"$RUN/asked")" "$(grep -c '^200$' "$RUN/asked")"
	check_true "$2: at least $ROUND were asked" [ "$(wc -l <"$RUN/asked")" -ge $ROUND ]
	check_true "$2: the endpoint was asked" [ "$(runs_of "b$1")" -gt "$runs" ]
	check_true "$2: memory grows by 64 MB at most ($grown KB)" \
	    [ "$grown" -le "$LIMIT_KB" ]
}

start_edge_platform 4 8
put_config 1
start_edge 1
check_true "the daemon is ready" until_true 10 edge_ready 1
check_true "the replicas serve" until_true 15 groups_open 1 2
check "a request is served" 200 "$(ask 1 /look/x | status_last)"
check_kind 1 "a head"
check_kind 2 "a body without proof"
check_kind 3 "the body of another response"
check_kind 5 "interim responses"
# Log lines wait up to 250 ms to be written.
check_true "interim responses: the endpoint is left for that" \
    until_true 2 left_for_protocol 3
check_kind 6 "the body of a refusal"
for n in 1 2 3 4; do
	control "endless-127.$NET.1.$n" 4
done
before=$(memory_kb edge-1 VmHWM)
check "an event without end: no endpoint serves it" 502 \
    "$(ask 1 /write/x | status_last)"
check_true "an event: memory grows by 64 MB at most ($(($(memory_kb edge-1 VmHWM) - before)) KB)" \
    [ $(($(memory_kb edge-1 VmHWM) - before)) -le "$LIMIT_KB" ]
verdict
