# Guards against tunnels through another daemon that change a response, take its early
# end for a complete one, outlive their client or end with a draining gateway; and
# against a gateway that serves strangers.
. tests/lib-edge.sh

COUNT=3

all_ready() {
	for n in $(seq $COUNT); do
		edge_ready "$n" && groups_open "$n" 2 || return 1
	done
}

# via_gateway EVENT: the last line of daemon 1 with this event that has a gateway.
via_gateway() {
	sed -n "s/.*event=$1 id=.* gateway=\(edge-[0-9]\).*/\1/p" "$RUN/edge-1.out" | tail -n 1
}

# Daemon 1 is asked until it has lost its direct path to each plain endpoint.
lose_paths() {
	ask_paced 1 1 /look/x
	[ "$(metric 1 endpoint_paths_lost)" -gt 2 ]
}

# bytes_to_gateway FORMAT: sends bytes, which may stay incomplete.
bytes_to_gateway() {
	timeout 2 bash -c 'exec 3<>"/dev/tcp/$0/8085"
printf "$1" >&3
cat <&3' "$(edge_ip 2)" "$1" 2>/dev/null | od -An -tx1 | tr -d ' \n'
}

rejected() { # REASON: lines of gateway 2
	grep -c "event=tunnel_rejected from=[0-9.]* reason=$1" "$RUN/edge-2.out"
}

start_edge_platform 4 3
put_config 1
for n in $(seq $COUNT); do
	start_edge "$n" --tunnel-address "$(edge_ip "$n"):8085"
done
check_true "all are ready" until_true 20 all_ready

MAGIC='BLT\001'
CONNECT="$MAGIC"'\000\000\000\001\000\000\000\000\177\000\000\001\000\000\043\050'
check "no bytes for bytes that are no request" "" \
    "$(bytes_to_gateway "$(printf '%032d' 0)")"
check "one log line" 1 "$(rejected format)"
check "no bytes without the credential" "" \
    "$(bytes_to_gateway "$CONNECT"'\000\000\000\000\000\000\000\000\000\000\000\000')"
check "one log line" 1 "$(rejected credential)"
check "no bytes for an oversized request" "" \
    "$(bytes_to_gateway "$CONNECT$(printf '%0400d' 0)")"
check "one log line" 1 "$(rejected oversized)"
check "no bytes for a request that does not end" "" "$(bytes_to_gateway "$MAGIC")"
check "one log line" 1 "$(rejected timeout)"

control "cut-$(edge_ip 1)" 1
check_true "direct paths are lost" until_true 5 lose_paths
check "a plain response" "whole answer 200" "$(ask 1 /look/x)"
check_true "through a gateway" [ -n "$(via_gateway request_answered)" ]
check "a request that may run once" "whole answer 200" "$(ask 1 /once/x)"
check "a stream" "0 1 2 3 4 5 6 7 " "$(ask 1 /write/x -d p | event_ids)"
control large 300000
check "a large response" "300000 200" \
    "$(ask 1 /look/x -o /dev/null -w '%{size_download} %{http_code}')"
control large 0

control unframed 1
check "a response without a length" "whole answer 200" "$(ask 1 /look/x)"
control reset 1
check "one that is reset is not complete" 502 "$(ask 1 /once/x | status_last)"
control unframed 0
control reset 0

# A gateway that is killed with the request that it passed on.
control slow 1000
ask 1 /once/x >"$RUN/once" &
asked=$!
sleep 0.4
ran=$(journal | grep -c ' /once/')
end edge-2 edge-3
wait $asked
check "the end of a gateway is no response" 502 "$(status_last <"$RUN/once")"
check "nothing is sent again" "$ran" "$(journal | grep -c ' /once/')"
control slow 0

for n in 2 3; do
	start_edge "$n" --tunnel-address "$(edge_ip "$n"):8085"
done
check_true "all are ready" until_true 20 all_ready
served() {
	[ "$(ask 1 /once/x | status_last)" = 200 ]
}
check_true "served by the gateways' next runs" until_true 5 served

# A gateway that drains.
control slow 1500
ask 1 /once/x >"$RUN/once" &
asked=$!
sleep 0.3
stop edge-2 TERM
stop edge-3 TERM
wait $asked
check "a response through a draining gateway" "whole answer 200" "$(cat "$RUN/once")"
control slow 0
for n in 2 3; do
	until_true 15 eval "! running edge-$n"
	wait "$(pid_of "edge-$n")" 2>/dev/null
	start_edge "$n" --tunnel-address "$(edge_ip "$n"):8085"
done
check_true "all are ready" until_true 20 all_ready

# A client that leaves.
left() {
	journal | grep -c ' left '
}
check_true "served again" until_true 5 served
before=$(left)
control slow-first 3000
ask 1 /write/x -d p -m 0.5 >/dev/null
check_true "the run ends with its client" until_true 1 eval \
    '[ "$(left)" -gt "$before" ]'
control slow-first 0

# A gateway that is cut off as well, while it passes on a request that may be repeated.
control slow 600
ask 1 /look/x >"$RUN/look" &
asked=$!
sleep 0.2
control "cut-$(edge_ip 2)" 1
wait $asked
control slow 0
check "served though a gateway is cut off" 200 "$(status_last <"$RUN/look")"
check "served through the other one" 200 "$(ask 1 /look/x | status_last)"
control "cut-$(edge_ip 2)" 0

# The direct paths are taken again within a second of requests.
control "cut-$(edge_ip 1)" 0
ask_paced 1 1 /look/x
ask 1 /look/x >/dev/null
check "direct again" 1 "$(grep event=request_answered "$RUN/edge-1.out" | tail -n 1 |
    grep -c 'gateway=-')"
check "nothing ran twice" "" "$(journal | grep ' /once/' |
    grep -o ' ran [^ ]*' | sort | uniq -d)"
verdict
