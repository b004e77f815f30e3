# Guards against quarantines that are lost when all daemons are killed: restarted
# daemons must refuse a request that had crashed three endpoints.
. tests/lib-edge.sh

all_ready() {
	for n in 1 2 3; do
		edge_ready "$n" || return 1
	done
}

start_all() {
	for n in 1 2 3; do
		start_edge "$n"
	done
	check_true "all are ready" until_true 15 all_ready
}

crashes() {
	journal | grep -c '^ended '
}

crash() { # DAEMON-NUMBER
	ask "$1" /look/x --data ends-endpoint | status_last
}

start_edge_platform 4 6
control back 1000
put_config 1
start_all
crash_until_refused() {
	[ "$(crash 1)" = 503 ]
}
check_true "a request that crashes endpoints is refused" until_true 10 \
    crash_until_refused
crashed=$(crashes)
check_true "it crashed six at most ($crashed)" [ "$crashed" -le 6 ]
sleep 1
end edge-1 edge-2 edge-3
start_all
for n in 1 2 3; do
	check "daemon $n still refuses it" 503 "$(crash $n)"
done
check "it caused no further crash" "$crashed" "$(crashes)"

# During an outage of the store the record is kept and written later.
control down 1
crash_other() {
	ask 1 /look/x --data ends-endpoint-2 | status_last
}
crash_other_until_refused() {
	[ "$(crash_other)" = 503 ]
}
check_true "another such request is refused" until_true 10 crash_other_until_refused
control down 0
check_true "it is recorded later" until_true 10 eval \
    '[ "$(cat "$RUN"/edge-?.out | grep -c event=quarantine_recorded)" -ge 1 ]'
before=$(crashes)
end edge-1 edge-2 edge-3
start_all
check "it is still refused" 503 "$(crash_other)"
check "the other caused no further crash" "$before" "$(crashes)"
check "other requests are served" 200 "$(ask 1 /look/x | status_last)"
verdict
