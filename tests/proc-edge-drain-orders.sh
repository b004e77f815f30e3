# Guards against requests that a draining daemon loses: requests accepted though they
# could not end in time, and reset at the end of the grace time whatever their state.
# Goes through what a request may wait for when SIGTERM comes and when the grace time ends.
. tests/lib-drain.sh

GRACE_S=5
# Longer than the grace time.
TIMEOUT_MS=30000

# begin DAEMON WORK-MS: a daemon that has learned how long requests take.
begin() {
	control slow "$2"
	control events 2
	start_edge "$1" --grace-s $GRACE_S
	check_true "daemon $1 is ready" until_true 10 edge_ready "$1"
	check_true "daemon $1 knows a replica" until_true 10 groups_open "$1" 1
	for i in 1 2 3; do
		for path in once write; do
			ask "$1" "/$path/x" >"$RUN/learn-$1-$path-$i" &
			ASKING="$ASKING $!"
		done
	done
	# shellcheck disable=SC2086
	wait $ASKING
	ASKING=
	control events 30
}

start_edge_platform 2 3
put_config 1 "s/\"timeout_ms\":[24]000/\"timeout_ms\":$TIMEOUT_MS/g
    s/\"target_latency_ms\":300/\"target_latency_ms\":20000/
    s/\"idle_timeout_ms\":3000/\"idle_timeout_ms\":20000/"
control event-ms 100

# Requests are known to be short, and may be repeated if one is not.
begin 1 20
begin_raw kept 1 "$(text kept-stream /write/x)" "sleep 3.2" "$(text kept-next /look/x)"
begin_raw idle 1 "$(text idle-stream /write/x)"
sleep 0.5
begin_raw body 1 "$(text body /once/x 5)ab"
begin_raw pipelined 1 "$(text pipelined-1 /look/x)$(text pipelined-2 /look/x)"
terminate 1
begin_raw first 1 "$(text first /look/x)"
until_ms 2000
begin_raw begun 1 "$(text begun /write/x)"
until_ms 2900
control slow 4000
begin_raw sent 1 "$(text sent /look/x)"
await_end 1
check "a request right after SIGTERM is served" "200 " "$(statuses first)"
check "one on a kept connection that fits is served" "200 200 " "$(statuses kept)"
check "and closes the connection" 1 "$(grep -ac '^Connection: close' "$RUN/kept")"
check "pipelined requests are served" "200 200 " "$(statuses pipelined)"
check "an idle connection is closed in order" "200 yes" \
    "$(statuses idle)$(ended_in_order idle && echo yes)"
check_true "a request that runs longer than expected was sent" ran sent
check "it gets an error status at the end" "502 " "$(statuses sent)"
check "a request whose body is still arriving is refused" "503 " "$(statuses body)"
check "and told when to retry" 1 "$(grep -ac '^Retry-After: ' "$RUN/body")"
check "a response that was begun is broken off" "200 0" \
    "$(statuses begun)$(grep -ac '^0' "$RUN/begun")"

# Requests are known to take longer than what is left.
begin 2 2000
begin_raw late 2 "$(text late-stream /write/x)" "sleep 3.3" "$(text late-next /once/x)"
sleep 0.4
begin_raw late-body 2 "$(text late-body /once/x 2)a" "sleep 2.5" b
begin_raw behind 2 "$(text behind-1 /once/x)$(text behind-2 /once/x)"
sleep 0.1
terminate 2
await_end 2
for name in late-next late-body behind-2; do
	check "$name: no endpoint runs it" no "$(ran "$name" && echo yes || echo no)"
done
check "what can't end in time on a kept connection is refused" "200 503 " \
    "$(statuses late)"
check "and told when to retry" 1 "$(grep -ac '^Retry-After: ' "$RUN/late")"
check "so is one whose body ends late" "503 " "$(statuses late-body)"
check "and a pipelined one, after the response before it" "200 503 " \
    "$(statuses behind)"
check_true "all of them end in order" ended_in_order late
check_true "also the late body" ended_in_order late-body

# Requests wait in the queue, as others have taken all slots.
begin 3 1500
control slow 20000
for n in $(seq 12); do
	begin_raw "long-$n" 3 "$(text "long-$n" /once/x)"
done
sleep 0.2
for n in 1 2 3; do
	begin_raw "queued-$n" 3 "$(text "queued-$n" /once/x)"
done
sleep 0.2
check "requests wait in the queue" 12 "$(journal | grep -c ' ran \(long\|queued\)-')"
terminate 3
await_end 3
for n in 1 2 3; do
	check "a queued request that can't end in time is refused" "503 no" \
	    "$(statuses queued-$n)$(ran queued-$n && echo yes || echo no)"
	check "and told when to retry" 1 \
	    "$(grep -ac '^Retry-After: ' "$RUN/queued-$n")"
done
check "those that may have run get an error status" 12 \
    "$(cat "$RUN"/long-? "$RUN"/long-?? | grep -ac '^HTTP/1.1 502 ')"
verdict
