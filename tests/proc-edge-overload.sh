# Guards against requests of the highest priority that are refused like all others when
# a service is asked for more than it can serve: three daemons send 17 requests/s of
# priority 0 and 50 of priority 3 to a service that serves 20.
. tests/lib-edge.sh

COUNT=3

# ask_into FILE PATH: asks one of the daemons and adds the status to a file.
ask_into() {
	asked=$((${asked:-0} + 1))
	ask $((asked % COUNT + 1)) "$2" 2>/dev/null | status_last >>"$1" &
	asking="${asking:-} $!"
}

# ask_both SECONDS
ask_both() {
	: >"$RUN/high"
	: >"$RUN/low"
	for _ in $(seq $(($1 * 16))); do
		ask_into "$RUN/high" /look/x
		ask_into "$RUN/low" /free/x
		ask_into "$RUN/low" /free/x
		ask_into "$RUN/low" /free/x
		sleep 0.055
	done
	# shellcheck disable=SC2086
	wait $asking
	asking=
}

# served FILE: prints how many of 100 requests were served.
served() {
	awk '{ n++; ok += $1 == 200 } END { printf "%d\n", 100 * ok / n }' "$1"
}

level_changed() {
	grep -c 'event=level_changed service=board' "$RUN"/edge-*.out |
	    awk -F: '{ n += $2 } END { print n }'
}

start_edge_platform 2 1
put_config 1 's/"target_latency_ms":300,"service":"board","max_attempts":2/&,"priority":0/;
    s/"timeout_ms":2000,"service":"board"/&,"priority":3/'
for n in $(seq $COUNT); do
	start_edge "$n" --overload-levels true --retry-schedule true \
	    --customer-shares true
done
check_true "all are ready" until_true 15 all_ready
ask_both 3
check "all are served" "100 100" "$(served "$RUN/high") $(served "$RUN/low")"
check "no level changed" 0 "$(level_changed)"
check_true "the endpoint is told priorities" eval \
    '[ "$(journal | grep -c "/look/x club key=none priority=0")" -gt 0 ]'

# Each request takes one of four slots for 200 ms.
control slow 200
ask_both 8
check_true "a level changed" eval '[ "$(level_changed)" -gt 0 ]'
check_true "bankliftctl shows levels" eval \
    '"$BUILD/bankliftctl" -s "http://$(edge_ip 1):9464" levels | grep -q "^board  *-  *[0-9.]*$"'
check_true "the highest priority is served ($(served "$RUN/high") of 100)" \
    eval '[ "$(served "$RUN/high")" -ge 70 ]'
check_true "the lowest is refused ($(served "$RUN/low") of 100 served)" \
    eval '[ "$(served "$RUN/low")" -le 40 ]'
check_true "the lowest is served too" eval '[ "$(served "$RUN/low")" -gt 0 ]'

control slow 0
sleep 2
ask_both 3
check "all are served again" "100 100" \
    "$(served "$RUN/high") $(served "$RUN/low")"
verdict
