# Guards against a placer that is cut off from all endpoints, has no gateway, and takes
# the members of all replicas for silent: it must not dissolve sound replicas. Members
# that are silent for all daemons are still found.
. tests/lib-edge.sh

dissolved() {
	echo $(($(cat "$RUN"/edge-[123].out | grep -c event=group_doomed) - before))
}

count_from_now() {
	before=0
	before=$(dissolved)
}

silent_members() {
	cat "$RUN"/edge-[123].out | grep -c event=member_silent
}

# begin_streams DAEMON-NUMBER: has some streams in progress there.
begin_streams() {
	for _ in 1 2 3 4 5 6 7 8; do
		ask "$1" /write/x -d p >/dev/null 2>&1 &
	done
	sleep 0.06
}

# cut_placer MODE SECONDS: cuts the placer off while streams run there.
cut_placer() {
	until_true 15 groups_open "$placer" 2
	count_from_now
	begin_streams "$placer"
	control "cut-$(edge_ip "$placer")" "$1"
	sleep "$2"
	control "cut-$(edge_ip "$placer")" 0
	sleep 1
}

find_placer() {
	for n in 1 2 3; do
		[ "$(metric $n placer)" = 1 ] && placer=$n && return 0
	done
	return 1
}

start_edge_platform 4 2
put_config 1
for n in 1 2 3; do
	start_edge $n
done
for n in 1 2 3; do
	check_true "daemon $n is ready" until_true 15 edge_ready $n
done
check_true "two groups serve" until_true 15 groups_open 1 2
check_true "one daemon is the placer" until_true 5 find_placer

cut_placer 1 2
check_true "the placer's queries had no answer" [ "$(silent_members)" -gt 0 ]
check "silent: no group is dissolved" 0 "$(dissolved)"
cut_placer 2 2
check "reset: no group is dissolved" 0 "$(dissolved)"
cut_placer 4 2
check "refused: no group is dissolved" 0 "$(dissolved)"
check "both groups serve" 2 "$(metric "$placer" groups_open)"
check "streams are served there" "0 1 2 3 4 5 6 7 " \
    "$(ask "$placer" /write/x -d p | event_ids)"

count_from_now
# A daemon takes the lease while it is cut off.
for next in 1 2 3; do
	[ $next = "$placer" ] && continue
	begin_streams $next
	control "cut-$(edge_ip $next)" 1
done
stop "edge-$placer" KILL
check_true "another daemon takes the lease" until_true 5 eval \
    '[ "$(cat "$RUN"/edge-[123].out | grep -c event=placer_taken)" -ge 2 ]'
sleep 2
for n in 1 2 3; do control "cut-$(edge_ip $n)" 0; done
sleep 1.5
check "taken while cut off: no group is dissolved" 0 "$(dissolved)"
check_true "there is a placer" find_placer
check_true "both groups still serve" until_true 3 groups_open "$placer" 2

count_from_now
# The head of a group falls silent for all.
control "dark-127.$NET.1.1" 1
began=$(now_ms)
until [ "$(dissolved)" -gt 0 ] || [ $(($(now_ms) - began)) -gt 6000 ]; do
	ask "$placer" /write/x -d p -m 2 >/dev/null 2>&1
	sleep 0.05
done
check_true "a member that is silent for all is found" [ "$(dissolved)" -gt 0 ]
echo "found after $(($(now_ms) - began)) ms"

verdict
