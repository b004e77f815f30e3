# Guards against stale state after a host was suspended: CLOCK_MONOTONIC does not count
# the suspension, so that all that the daemon knew before it would seem to be fresh.
. tests/lib-edge.sh

B=127.$NET.2
SUSPEND_MS=4000
export SUSPEND_MS

# Suspends the daemon for SUSPEND_MS, which its monotonic clock does not count.
suspend() {
	stop edge-1 USR2
	sleep 4.1
}

start_edge_platform 4 1
put_config 1
EDGE_PROGRAM=edge-suspended start_edge 1
until_true 10 edge_ready 1
check_true "the replicas serve" until_true 15 groups_open 1 2
check "a request is served" 200 "$(ask 1 /look/x | status_last)"

# The proof that a key is still valid is too old.
control silent 1
suspend
check "the key is not considered proved" 503 "$(ask 1 /look/x | status_last)"
control silent 0
check_true "the reason is logged" until_true 2 grep -q 'reason=key_unproved' "$RUN/edge-1.out"
check_true "the pause is logged" until_true 2 grep -q 'event=paused ms=4' "$RUN/edge-1.out"
served() {
	[ "$(ask 1 /look/x | status_last)" = 200 ]
}
check_true "it is served again" until_true 10 served

# A request whose deadline has passed meanwhile is ended at once.
control slow 5000
began=$(now_ms)
ask 1 /look/x >"$RUN/late" &
late=$!
sleep 0.3
stop edge-1 USR2
wait "$late"
took=$(($(now_ms) - began))
check "its deadline of 2 s has passed" 504 "$(status_last <"$RUN/late")"
check_true "it is ended when the host resumes ($took ms)" [ "$took" -lt 5200 ]
control slow 0
check_true "it is served again" until_true 10 served

# The backoff that an endpoint asked for has ended.
control "rest-$B.1" 3000
check "it is refused" 503 "$(ask 1 /look/x | status_last)"
control "rest-$B.1" 0
suspend
check_true "it is served after the backoff" until_true 1 served

# Another daemon becomes the placer meanwhile; the first must give no more orders.
start_edge 2
check_true "the second daemon is ready" until_true 10 edge_ready 2
check_true "the first is the placer" until_true 10 eval '[ "$(metric 1 placer)" = 1 ]'
stop edge-1 USR2
check_true "the second is the placer" until_true 4 eval '[ "$(metric 2 placer)" = 1 ]'
check_true "the first is not the placer any more" until_true 6 eval \
    '[ "$(metric 1 placer)" = 0 ]'
check "no engine is in two groups" 0 "$(journal | grep -c '^two ')"
verdict
