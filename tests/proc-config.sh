# An accepted configuration is in force everywhere within seconds and never
# reverts.
. tests/lib.sh

start_platform
start_services 1 1
put_hosts
for d in 1 2 3; do
	start_daemon "$d" 1 --snapshot-records 20
done
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
ALL="$(operator_url 1 1),$(operator_url 2 1),$(operator_url 3 1)"

put() { # DOMAIN DAEMON NAME POLICY [BASE]
	printf '{"type":"placement","name":"%s","spec":{"policy":"%s"}}' \
	    "$3" "$4" >"$RUN/put-$1.json"
	ctl "$1" "$2" -b "${5:--1}" apply -f "$RUN/put-$1.json"
}
policy_at() { # DOMAIN DAEMON NAME
	ctl "$1" "$2" -j get placement "$3" | grep -o '"policy": "[a-z]*"'
}
version_of() {
	sed 's/.* version //'
}
wait_all() { # VERSION [URLS]
	"$BUILD/bankliftctl" -s "${2:-$ALL}" -t 10000 wait "$1"
}
digest() { # DOMAIN DAEMON
	ctl "$1" "$2" -j status | grep -E '"(digest|applied)"' | grep -v '  .*  "applied"' | sort | tr -d ' \n'
}
digests_equal() {
	a=$(ctl 1 1 -j status | grep '"digest"')
	[ "$a" = "$(ctl 2 1 -j status | grep '"digest"')" ] &&
	    [ "$a" = "$(ctl 3 1 -j status | grep '"digest"')" ]
}

v=$(put 1 1 p replace | version_of)
check_true "in force at all daemons within 10 s" wait_all "$v"
wait_all newest >/dev/null 2>&1
check "a version to wait for that is none" 2 $?
check_true "state digests are equal at equal offsets" until_true 10 \
    digests_equal

# Two operators change one version at two daemons: one succeeds, one conflicts.
put 1 1 p reform "$v" >"$RUN/race-1" 2>&1 &
A=$!
put 2 1 p spare "$v" >"$RUN/race-2" 2>&1 &
B=$!
wait "$A"
ra=$?
wait "$B"
rb=$?
check "racing operators: one accepted, one conflict" "0 3" \
    "$(printf '%s\n%s\n' "$ra" "$rb" | sort | tr '\n' ' ' | sed 's/ $//')"
check_true "racing operators: all daemons agree" until_true 10 digests_equal

# The response to the append is lost: the operator still gets the true result.
fault "$LOG_URL" '{"lose":1}'
put 1 1 p weighted >"$RUN/lost" 2>&1
check "lost append response: accepted" 0 $?
check "lost append response: in force" '"policy": "weighted"' \
    "$(policy_at 1 1 p)"

# The log is down: no change is reported as accepted.
fault "$LOG_URL" '{"down":1}'
put 1 1 p replace >"$RUN/down" 2>&1
check "log down: not accepted" 5 $?
check "log down: the old policy stays in force" '"policy": "weighted"' \
    "$(policy_at 2 1 p)"

# A daemon that restarts while the log is down gets the state from its peers.
end daemon-3-1
start_daemon 3 1 --snapshot-records 20
check_true "restarted with the log down: ready from peers" until_true 10 \
    ready 3 1
check "restarted with the log down: nothing reverted" \
    '"policy": "weighted"' "$(policy_at 3 1 p)"
fault "$LOG_URL" '{"down":0}'
check_true "log back: changes are accepted again" until_true 10 put 2 1 p reform
check_true "log back: digests equal" until_true 10 digests_equal

# After retention the records are gone; the log has a snapshot.
for n in $(seq 1 10); do
	put 1 1 "extra-$n" replace >/dev/null
done
snapshot() {
	cat "$RUN"/daemon-*.log | grep -q 'event=snapshot_written'
}
check_true "a snapshot is written" until_true 10 snapshot
at=$(sed -n 's/.*event=snapshot_written at=\([0-9]*\) .*/\1/p' \
    "$RUN"/daemon-*.log | tail -n1)
curl -s -X PUT -d "{\"stream\":\"config\",\"first\":$((at + 1))}" \
    "$LOG_URL/trim" >/dev/null
for d in 1 2 3; do
	end "daemon-$d-1"
done
for d in 1 2 3; do
	start_daemon "$d" 1 --snapshot-records 20
done
check_true "all restarted after retention: ready from the snapshot" \
    until_true 10 ready 1 1
check "all restarted after retention: nothing reverted" \
    '"policy": "reform"' "$(policy_at 1 1 p)"
until_true 10 ready 2 1
until_true 10 ready 3 1
check_true "all restarted after retention: digests equal" until_true 10 \
    digests_equal

# A late duplicate of an old change must not take effect.
curl -s -d '{"kind":"change","change":"late","op":"put","type":"placement","name":"p","base":0,"spec":{"policy":"replace"}}' \
    "$LOG_URL/streams/config/records" >/dev/null
v=$(put 2 1 q replace | version_of)
wait_all "$v" >/dev/null
check "a late record of an old base has no effect" '"policy": "reform"' \
    "$(policy_at 3 1 p)"

# A daemon that reaches only its peers gets changes from them.
end daemon-3-1
LOG_SAVED=$LOG_URL
LOG_URL=http://127.$NET.0.99:9000
start_daemon 3 1 --snapshot-records 20
LOG_URL=$LOG_SAVED
until_true 10 ready 3 1
v=$(put 1 1 p spare | version_of)
check_true "cut off from the platform: still in force within 10 s" \
    wait_all "$v" "$(operator_url 3 1)"
check "cut off from the platform: the new policy" '"policy": "spare"' \
    "$(policy_at 3 1 p)"

# Time until a change is in force at all daemons, over 20 changes.
for _ in $(seq 1 20); do
	v=$(put 1 1 p replace | version_of)
	wait_all "$v"
done | grep -o '[0-9]* ms' | cut -d' ' -f1 | sort -n >"$RUN/times"
check "20 changes in force at all daemons" 20 "$(wc -l <"$RUN/times")"
echo "in force everywhere, ms after acceptance: median" \
    "$(sed -n 10p "$RUN/times"), largest $(tail -n1 "$RUN/times")"
verdict
