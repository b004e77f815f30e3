# Guards against what is no response in HTTP/1.1 from an endpoint: status 000 kept a client
# waiting until its deadline, status 600 and fields run together were passed on to it.
. tests/lib-edge.sh

KINDS=10
ENDPOINTS=4
ROUND=36
TIMEOUT_MS=2000

invalid() { # KIND: of all endpoints
	for n in $(seq $ENDPOINTS); do
		control "invalid-127.$NET.2.$n" "$1"
		control "invalid-127.$NET.1.$n" "$1"
	done
}

# check_ended NAME PATH: the request ends at once, with an error of the proxy's own.
check_ended() {
	began=$(now_ms)
	out=$(ask 1 "$2" -D "$RUN/head")
	took=$(($(now_ms) - began))
	check "$1: 502" " 502" "$out"
	check "$1: nothing of the endpoint's" 0 \
	    "$(grep -ci '^server-signature\|^x-pad' "$RUN/head")"
	check_true "$1: at once ($took ms)" [ "$took" -lt $((TIMEOUT_MS / 4)) ]
}

served() {
	[ "$(ask 1 /look/x | status_last)" = 200 ] &&
	    [ "$(ask 1 /write/x | status_last)" = 200 ]
}

logged() { # COUNT
	[ "$(grep -c event=response_invalid "$RUN/edge-1.out")" -ge "$1" ]
}

start_edge_platform $ENDPOINTS $ENDPOINTS
put_config 1
start_edge 1
check_true "the daemon is ready" until_true 10 edge_ready 1
check_true "the replicas serve" until_true 15 groups_open 1 2
for kind in $(seq $KINDS); do
	invalid "$kind"
	for path in look once write; do
		check_ended "kind $kind, /$path/" "/$path/x"
	done
	# Failures in a row let an endpoint rest; it is asked again afterwards.
	invalid 0
	check_true "kind $kind: served afterwards" until_true 5 served
done
check_true "each is logged" until_true 2 logged $((3 * KINDS))
control "invalid-127.$NET.2.1" 1
for n in $(seq $ROUND); do
	ask 1 /look/x --data "own $n" | status_last
done >"$RUN/asked"
check "one endpoint of four: all are served" $ROUND "$(grep -c '^200$' "$RUN/asked")"
verdict
