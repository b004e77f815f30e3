# Shared by the tests of responses that endpoints cut by a regular close: each kind on the
# routes of plain services and streams, after responses that leave connections open.
. tests/lib-edge.sh

ENDPOINTS=3
HEADS=12
BODIES="13 14 15 16"
WHOLE=17
TIMEOUT_MS=2000

stop_all() { # KIND: how all endpoints stop
	for n in $(seq $ENDPOINTS); do
		control "stop-127.$NET.2.$n" "$1"
		control "stop-127.$NET.1.$n" "$1"
	done
}

# request PATH: sets STATUS, CURL_EXIT and TOOK_MS.
request() {
	began=$(now_ms)
	STATUS=$(ask 1 "$1" -o "$RUN/body" -D "$RUN/head")
	CURL_EXIT=$?
	STATUS=${STATUS# }
	TOOK_MS=$(($(now_ms) - began))
}

# check_refused KIND PATH: a head that is cut is no response.
check_refused() {
	request "$2"
	check "kind $1, $2: an error" "502 0" "$STATUS $CURL_EXIT"
	check "kind $1, $2: nothing of the endpoint's" 0 \
	    "$(grep -ci '^server-signature' "$RUN/head")"
	check_true "kind $1, $2: at once ($TOOK_MS ms)" [ "$TOOK_MS" -lt $((TIMEOUT_MS / 2)) ]
}

# check_not_whole KIND PATH: a body that is cut doesn't look whole.
check_not_whole() {
	request "$2"
	check_true "kind $1, $2: not whole ($STATUS, $CURL_EXIT)" \
	    [ "$STATUS" != 200 -o "$CURL_EXIT" != 0 ]
}

served() {
	for _ in 1 2 3; do
		[ "$(ask 1 /look/x | status_last)" = 200 ] &&
		    [ "$(ask 1 /once/x | status_last)" = 200 ] &&
		    [ "$(ask 1 /write/x | status_last)" = 200 ] || return 1
	done
}

# check_kinds HOW: all kinds, each after responses that leave connections to be used again.
check_kinds() {
	for kind in $(seq $HEADS) $BODIES; do
		stop_all 0
		check_true "$1: served before kind $kind" until_true 8 served
		stop_all "$kind"
		for path in /look/x /once/x /write/x; do
			if [ "$kind" -le $HEADS ]; then
				check_refused "$1 $kind" $path
			else
				check_not_whole "$1 $kind" $path
			fi
		done
	done
	stop_all 0
	check_true "$1: served afterwards" until_true 8 served
	stop_all $WHOLE
	check "$1: one with all its trailers is whole" "hi 200" "$(ask 1 /look/x)"
	stop_all 0
}

start_stopping_platform() {
	start_edge_platform $ENDPOINTS $ENDPOINTS
	put_config 1
	for n in $(seq "$COUNT"); do
		start_edge "$n" --tunnel-address "$(edge_ip "$n"):8085"
	done
	check_true "all are ready" until_true 20 all_ready
	check_true "the replicas serve" until_true 15 groups_open 1 1
}
