# Guards against hundreds of daemons that start together and all fetch the entries of
# endpoints from one relay, each so slowly that it gives up and begins again: a daemon sends
# them to a few at a time, and one that is refused asks other daemons of its cell.
. tests/lib-edge.sh

COUNT=15
SERVED_MAX=8
held=""

all_ready() {
	for n in $(seq $COUNT); do
		edge_ready "$n" || return 1
	done
}

entries_status() { # DAEMON-NUMBER: prints the status of a request for entries
	curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$(edge_ip "$1"):8084/entries"
}

# hold_entries DAEMON-NUMBER: takes all its transfers and keeps the connections open.
hold_entries() {
	for fd in $(seq 20 $((19 + SERVED_MAX))); do
		eval "exec $fd<>/dev/tcp/$(edge_ip "$1")/8084"
		printf 'GET /entries HTTP/1.1\r\nHost: x\r\n\r\n' >&"$fd"
		read -r line <&"$fd"
		held="$held ${line:9:3}"
	done
}

start_edge_platform 2 2
put_config 1
for n in $(seq $COUNT); do
	start_edge "$n" --cores "$(awk "BEGIN { print 20 - $n }")"
done
check_true "all are ready" until_true 20 all_ready
check "entries are served" 200 "$(entries_status 1)"
hold_entries 1
check "as many transfers as are allowed" " 200 200 200 200 200 200 200 200" "$held"
check "one more is refused" 503 "$(entries_status 1)"
check "another daemon serves them" 200 "$(entries_status 2)"
start_edge 16 --cores 1
check_true "a daemon is ready while its relay is busy" until_true 2 edge_ready 16
check_true "it was refused by the relay" grep -q "entries_not_fetched status=503" \
    "$RUN/edge-16.out"
check_true "it has the entries of another daemon" grep -q "event=entries_taken" "$RUN/edge-16.out"
check "it read no entries from the store" 0 "$(curl -s -m 5 "http://$(edge_ip 16):9464/metrics" |
    sed -n 's/^banklift_store_calls_total{topic="endpoints"} //p')"
check_true "a transfer that nobody ends counts for a while only" until_true 5 eval \
    '[ "$(entries_status 1)" = 200 ]'

verdict
