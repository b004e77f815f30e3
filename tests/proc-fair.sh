# Fair queueing under overload: the requests of a customer that floods wait behind each
# other, another customer keeps its share, and requests that cannot be served before
# their deadline are refused at once.
. tests/lib.sh

HOSTS_PER_REPLICA=1
start_platform
start_engines 1 1 50 10
put_hosts
start_daemon 1 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":1}'
printf '[{"type":"customer","name":"flood","spec":{"key_sha256":"%s"}},
 {"type":"deployment","name":"judges","spec":{"model":"judge-7b","pool":"lm",
  "hosts_per_replica":1,"replicas":{"mvd-centro":1},"replica_requests":4}}]' \
    "$(printf %s flood-key | sha256sum | cut -d' ' -f1)" >"$RUN/fair.json"
ctl 1 1 apply -f "$RUN/fair.json" >/dev/null
until_true 20 complete_ok 1 1

# Four slots, 20 tokens of 10 ms per request: at most about 20 requests/s.
flood() { # NUMBER
	CUSTOMER_KEY=flood-key
	while [ ! -e "$RUN/stop" ] && [ -d "$RUN" ]; do
		complete 1 1 "flood $1" 20 -H 'Banklift-Deadline-Ms: 20000' |
		    status_of
	done >"$RUN/flood-$1"
}
FLOOD=""
for n in $(seq 1 60); do
	flood "$n" &
	FLOOD="$FLOOD $!"
done
sleep 2
# timed ARGUMENT...: a completion; the last lines are the time in ms and the status. Timed by
# curl: the flood starts hundreds of processes a second here, so that a start alone may take
# as long as the bounds.
timed() {
	complete "$@" -w '\n%{time_total}\n%{http_code}'
}
took_ms() { # OUTPUT
	echo "$1" | tail -n 2 | awk 'NR == 1 { printf "%d", $1 * 1000 }'
}
slowest=0
ok=0
for _ in $(seq 1 15); do
	out=$(timed 1 1 mine 20)
	[ "$(echo "$out" | status_of)" = 200 ] && ok=$((ok + 1))
	took=$(took_ms "$out")
	[ "$took" -gt "$slowest" ] && slowest=$took
done
check "the other customer is always served" 15 "$ok"
check_true "its slowest response took $slowest ms, about 220 without load" \
    test "$slowest" -lt 900
out=$(CUSTOMER_KEY=flood-key; timed 1 1 late 20 -H 'Banklift-Deadline-Ms: 300')
took=$(took_ms "$out")
check "a request that cannot meet its deadline is refused" 503 "$(echo "$out" | status_of)"
check "it is refused as overloaded, not run" '"type":"overloaded" "outcome":"not_run"' \
    "$(echo "$out" | grep -oE '"(type|outcome)":"[a-z_]*"' | paste -sd' ')"
check_true "it is refused at once ($took ms)" test "$took" -lt 200
touch "$RUN/stop"
# shellcheck disable=SC2086
wait $FLOOD
served=$(cat "$RUN"/flood-[0-9]* | grep -o 200 | wc -l)
refused=$(cat "$RUN"/flood-[0-9]* | grep -o 503 | wc -l)
echo "the flood: $served served, $refused refused"
check_true "the flooding customer is served too" test "$served" -gt 20
check_true "it is refused when its queue is full" test "$refused" -gt 20
verdict
