# A replica serves requests only while there is recent evidence that all of its hosts
# are in the same group and epoch.
. tests/lib.sh

start_platform
start_engines 1 2 50 1
put_hosts
start_daemon 1 1
start_daemon 1 2
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":1}'
until_true 10 complete_ok 1 1
until_true 10 complete_ok 1 2
LEADER=$(ctl 1 1 -j get group | grep -A1 '"hosts"' | tail -n1 | cut -d'"' -f2)
MEMBER=$(printf 'engine-1-1\nengine-1-2\n' | grep -vx "$LEADER")
LEADER_URL=$(engine_url 1 "${LEADER##*-}")
MEMBER_URL=$(engine_url 1 "${MEMBER##*-}")

# A request that was sent before the evidence lapsed is waited for, to its deadline.
refused() { # DOMAIN DAEMON
	[ "$(complete "$1" "$2" ping 1 -H 'Banklift-Deadline-Ms: 1000' |
	    status_of)" = 503 ]
}
ran_at() {
	curl -s "$1/journal" | wc -l
}

# A member that is not the leader is paused: the leader alone must not serve.
stop "$MEMBER" STOP
check_true "member paused: refused at one daemon" until_true 3 refused 1 1
check_true "member paused: refused at the other" until_true 3 refused 1 2
before=$(ran_at "$LEADER_URL")
for _ in 1 2 3 4 5; do
	complete 1 1 ping 1 >/dev/null
	complete 1 2 ping 1 >/dev/null
done
check "member paused: the leader ran nothing more" "$before" \
    "$(ran_at "$LEADER_URL")"
stop "$MEMBER" CONT
check_true "member resumed: served again" until_true 10 complete_ok 1 1
check_true "member resumed: served by the other daemon" until_true 10 \
    complete_ok 1 2

# A daemon is paused for longer than evidence is valid while a member is killed; a
# request waits in its socket. When it resumes it must probe again first.
stop daemon-1-2 STOP
end "$MEMBER"
sleep 1
before=$(ran_at "$LEADER_URL")
complete 1 2 ping 1 >"$RUN/waiting" &
WAITING=$!
sleep 0.2
stop daemon-1-2 CONT
wait "$WAITING"
check "daemon paused and resumed: the waiting request is refused" 503 \
    "$(status_of <"$RUN/waiting")"
check "daemon paused and resumed: the leader ran nothing" "$before" \
    "$(ran_at "$LEADER_URL")"

# A member that restarts without its state is ordered to join again.
start "$MEMBER" "$BUILD/standin-engine" \
    "127.$NET.1.${MEMBER##*-}:9000" "$MEMBER" 50 1
check_true "member restarted: the group is repaired and serves" \
    until_true 10 complete_ok 1 1

# A stray order, which an engine that ignores fencing has carried out late: the host
# reports another group than recorded, so that its group must not serve until repaired.
fault "$MEMBER_URL" '{"ignore_fence":1}'
stop daemon-1-1 STOP
stop daemon-1-2 STOP
curl -s -d '{"group":"stray","epoch":1,"rank":0,"shards":2,"model":"judge-7b"}' \
    "$MEMBER_URL/host/join" >/dev/null
stop daemon-1-1 CONT
stop daemon-1-2 CONT
check_true "stray order: refused" until_true 3 refused 1 1
check_true "stray order: repaired" until_true 10 complete_ok 1 1
check "stray order: the host is in its group again" \
    "$(curl -s "$LEADER_URL/host" | grep -o '"epoch":[0-9]*')" \
    "$(curl -s "$MEMBER_URL/host" | grep -o '"epoch":[0-9]*')"

# An engine that checks epochs refuses the same order.
fault "$MEMBER_URL" '{"ignore_fence":0}'
check "fenced order: refused by the engine" 409 "$(curl -s -o /dev/null \
    -w '%{http_code}' -d \
    '{"group":"stray","epoch":1,"rank":0,"shards":2,"model":"judge-7b"}' \
    "$MEMBER_URL/host/join")"

# All hosts of a fabric domain are paused, then resume.
stop engine-1-1 STOP
stop engine-1-2 STOP
check_true "fabric domain paused: refused" until_true 3 refused 1 1
stop engine-1-1 CONT
stop engine-1-2 CONT
check_true "fabric domain resumed: served" until_true 15 complete_ok 1 1

# The controller counts the downtime.
counted() { # METRIC: whether a daemon counted more than 500 ms
	for i in 1 2; do
		curl -s -H "Authorization: Bearer $BANKLIFT_OPERATOR_TOKEN" \
		    "$(operator_url 1 "$i")/metrics" |
		    awk -v m="banklift_$1{" 'index($0, m) == 1 && $2 > 500 { f = 1 }
		    END { exit !f }' && return 0
	done
	return 1
}
check_true "group downtime is counted" counted group_downtime_ms
check_true "stranded accelerators are counted" counted \
    stranded_accelerator_ms
verdict
