# Guards against a daemon that counts its grace time from when it gets round to the SIGTERM:
# after a pause it would be killed in the middle of what it promised to end. And against one
# that counts it from a pause long before.
. tests/lib-drain.sh

GRACE_S=5
PAUSE_S=2

start_edge_platform 2 3
put_config 1 's/"timeout_ms":[24]000/"timeout_ms":30000/g; s/"idle_timeout_ms":3000/"idle_timeout_ms":20000/'
control event-ms 100
control events 2
start_edge 1 --grace-s $GRACE_S
check_true "the daemon is ready" until_true 10 edge_ready 1
check_true "it knows a replica" until_true 10 groups_open 1 1

control events 200
begin_raw long 1 "$(text long /write/x)"
sleep 0.5
stop edge-1 STOP
terminate 1
sleep $PAUSE_S
stop edge-1 CONT
# Its budget ends after the grace time, but not if that counted from here.
begin_raw next 1 "$(text next /once/x | budget 3500)"
await_end 1

check "a request that can't end in time is refused" "503 no" \
    "$(statuses next)$(ran next && echo yes || echo no)"

# A pause that was over before the signal takes nothing from the grace time.
start_edge 2 --grace-s $GRACE_S
check_true "another daemon is ready" until_true 10 edge_ready 2
check_true "it knows a replica" until_true 10 groups_open 2 1
control events 30
begin_raw whole 2 "$(text whole /write/x)"
sleep 0.3
stop edge-2 STOP
sleep $PAUSE_S
stop edge-2 CONT
sleep 0.25
control events 60
terminate 2
await_end 2
check "a stream that ends within the grace time is whole" "200 1" \
    "$(statuses whole)$(grep -ac '^0' "$RUN/whole")"
verdict
