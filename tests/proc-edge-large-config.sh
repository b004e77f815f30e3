# Guards against a large configuration that is never in force: reads of it were given up after
# a time in which only a small one can come, however much of it had arrived.
. tests/lib-edge.sh

COUNT=3
ROUTES=9000
# 64 KB in that time: 1 MB takes 1.3 s, longer than the store may be silent.
PIECE_MS=85
# Within the time in which a configuration must be in force.
APPLY_MS=3000

# put_large VERSION: a configuration of many routes and one service.
put_large() {
	{
		echo "{\"version\":$1,\"routes\":["
		seq $ROUTES | sed 's/.*/{"name":"r&","host":"h","path_prefix":"\/r&\/",/
s/$/"route_kind":"idempotent","timeout_ms":2000,"service":"board"},/'
		echo '{"name":"look","host":"h","path_prefix":"/look/","route_kind":"idempotent",
"timeout_ms":2000,"service":"board","max_attempts":2}],"services":[{"name":"board"}],
"tenants":[{"name":"club","api_keys":["k1"]}]}'
	} >"$RUN/config"
	curl -s -m 5 -X PUT --data-binary "@$RUN/config" "$STORE/config"
}

in_force() { # VERSION: at all daemons
	for n in $(seq $COUNT); do
		grep -q "event=config_in_force version=$1 " "$RUN/edge-$n.out" || return 1
	done
}

start_edge_platform 2 2
put_config 1
start_edges $COUNT
check_true "the daemons are ready" until_true 10 all_ready
control piece-ms $PIECE_MS
began=$(now_ms)
put_large 2
check_true "it is in force at all daemons" until_true 6 in_force 2
took=$(($(now_ms) - began))
check_true "in time ($took ms)" [ "$took" -le $APPLY_MS ]
check "requests are served" 200 "$(ask 1 /look/x | status_last)"
check "also on a new route" 200 "$(ask 2 "/r$ROUTES/x" | status_last)"
verdict
