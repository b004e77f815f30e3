# Guards against a response that an endpoint cuts by a regular close and that is passed on
# as whole by a tunnel: there the close must be told from a lost path.
. tests/lib-stop.sh

COUNT=2

# Whether requests to each route go through the gateway.
tunneled() {
	served
	for route in look once write; do
		grep -q "event=request_answered .* route=$route .* gateway=edge-2" \
		    "$RUN/edge-1.out" || return 1
	done
}

start_stopping_platform
control "cut-$(edge_ip 1)" 1
check_true "all go through a gateway" until_true 20 tunneled
check_kinds tunnel
verdict
