# Guards against bytes without end from many endpoints at once: each response was bounded,
# but not all of them together, so that a daemon ran out of memory.
. tests/lib-edge.sh

ENGINES=48
# All slots of the groups of two engines.
STREAMS=$((ENGINES / 2 * 8))
LIMIT_KB=65536
# Freed memory that the sanitizer keeps would count as used.
export ASAN_OPTIONS=${ASAN_OPTIONS:-}:quarantine_size_mb=4

endless() { # KIND: of all engines
	for n in $(seq $ENGINES); do
		control "endless-127.$NET.1.$n" "$1"
	done
}

ignored() { # COUNT: whether responses were ignored so often
	[ "$(grep -c event=response_ignored "$RUN/edge-1.out")" -ge "$1" ]
}

check_grown() { # NAME DAEMON
	grown=$(($(memory_kb "edge-$2" VmHWM) - before))
	check_true "$1: memory grows by 64 MB at most ($grown KB)" \
	    [ "$grown" -le $LIMIT_KB ]
}

start_edge_platform $ENGINES 1
endless 7
start_edge 1
check_true "the daemon runs" until_true 10 curl -s -m 1 "http://$(edge_ip 1):9464/metrics"
before=$(memory_kb edge-1 VmHWM)
put_config 1
check_true "orders: their responses are ignored" until_true 20 ignored $ENGINES
check_grown "orders" 1

endless 0
start_edge 2
check_true "the replicas serve" until_true 30 groups_open 2 $((ENGINES / 2))
endless 4
before=$(memory_kb edge-2 VmHWM)
for n in $(seq $STREAMS); do
	ask 2 /write/x --data "own $n" >"$RUN/stream-$n" 2>/dev/null &
	asking="${asking:-} $!"
done
# shellcheck disable=SC2086
wait $asking
check_grown "events" 2
check "events: none is passed on" 0 "$(cat "$RUN"/stream-* | grep -c '^data: ')"
check_true "daemon 1 still runs" running edge-1
check_true "daemon 2 still runs" running edge-2
verdict
