# An operator releases a quarantined request, and refuses another one, by a reload of
# the settings.
. tests/lib-edge.sh

conf=$RUN/edge.conf

settings() { # [LINE]
	printf '[banklift]\nretry-slack=100\n%s\n' "${1:-}" >"$conf"
	stop edge-1 HUP
	sleep 0.3
}

crash() {
	ask 1 /look/x --data ends-endpoint | status_last
}

crash_refused() {
	[ "$(crash)" = 503 ]
}

# Prints the fingerprint in the last log line of an event.
fingerprint_of() { # EVENT
	sed -n "s/.*event=$1 .*work=\([0-9a-f]*\).*/\1/p" "$RUN/edge-1.out" |
	    tail -n 1
}

printf '[banklift]\n' >"$conf"
start_edge_platform 4 8
control back 1000
put_config 1
start_edge 1 --config "$conf"
check_true "the daemon is ready" until_true 10 edge_ready 1
check_true "a request that crashes endpoints is refused" until_true 10 \
    crash_refused
check "it is counted once" 1 "$(metric 1 work_quarantined_total)"
sleep 0.5
quarantined=$(fingerprint_of work_quarantined)
settings "released-works=$quarantined"
check "released by the operator, it crashes another endpoint" 502 "$(crash)"
settings
check "no longer released, it is refused" 503 "$(crash)"

check "another request is served" 200 "$(ask 1 /look/x --data other | status_last)"
sleep 0.5
settings "refused-works=0badcafe,$(fingerprint_of request_answered)"
check "refused by the operator" 503 "$(ask 1 /look/x --data other | status_last)"
check "others are served" 200 "$(ask 1 /look/x --data third | status_last)"
check_true "the reason is logged" until_true 2 grep -q \
    'event=request_refused .*reason=work_refused_by_operator' "$RUN/edge-1.out"
settings
check "no longer refused, it is served" 200 "$(ask 1 /look/x --data other | status_last)"

# The daemon itself probes a quarantined request, which has become harmless.
crash() {
	ask 1 /look/x --data ends-endpoint-2 | status_last
}
check_true "another request that crashes endpoints is refused" until_true 10 \
    crash_refused
control harmless 1
check "refused at first" 503 "$(crash)"
served() {
	[ "$(crash)" = 200 ]
}
check_true "it is probed and served" until_true 20 served
check "it is served from then on" 200 "$(crash)"
check_true "the probe is logged" until_true 2 grep -q event=work_probed \
    "$RUN/edge-1.out"
verdict
