# Guards against a host taken into a group while its former group, which it has not
# left, may still serve. Orders without a response may be carried out seconds later: a
# late join or open lets the head of a dissolved group serve again, so that it is not
# enough that the head has left, or that the stall bound is over. Seen:
#   group_dissolved reason=head_lapsed proof=left head_state=ready, order_in_doubt
#   order=open ms_ago=31; the head joined 4.6 s later and opened 7.1 s later, 9 ms before
#   the member's new join
#   group_dissolved reason=member_silent ms=4651 proof=stalled head_state=open,
#   order_in_doubt order=open ms_ago=5038; the head had opened 2.6 s after a member had
#   left and was not yet broken
. tests/lib-edge.sh

E=127.$NET.1
# The head rejoins its group and serves again by a late join and a late open, which
# got no response when they were sent.
start_edge_platform 3 1
control "lapse-$E.3" 1
control late-ms 8000
for e in 1 2; do
	control "late-join-$E.$e" 1
	control "late-open-$E.$e" 1
done
put_config 1
start_edge 1 --stall-ms 5000
check_true "a group serves, after repeated orders" \
    until_true 15 groups_open 1 1
head=$(journal | sed -n 's/ held open$//p' | tail -n 1)
control "lapse-$E.${head#e}" 1
check_true "the group is dissolved" until_true 10 journal_has "^$head leave 200"
check_true "the late join is carried out" until_true 12 \
    journal_has "^$head late"
check_true "the late open is carried out" until_true 12 eval \
    '[ "$(journal | grep -c "^$head late")" -ge 2 ]'
control "lapse-$E.3" 0
check_true "another group takes the member" until_true 10 groups_open 1 1
check "no host is in two groups" "" "$(journal | grep '^two')"
end edge-1 platform

# The head cannot be reached any more when it opens: its stall time begins then, not
# when the member that was told to leave was lost.
start_edge_platform 4 1
control "lapse-$E.4" 1
control late-ms 5000
for e in 1 2 3; do
	control "late-open-$E.$e" 1
done
put_config 1 's/"size":2/"size":3/'
start_edge 1 --stall-ms 5000
check_true "a head gets the order to open" until_true 15 journal_has ' held open'
head=$(journal | sed -n 's/ held open$//p')
control "dark-$E.${head#e}" 1
control "lapse-$E.4" 0
check_true "another group is formed" until_true 20 eval \
    '[ "$(journal | grep -c "^e4 join 202")" -ge 1 ]'
check_true "the head opens late" until_true 10 journal_has "^$head open 202"
check_true "the other group serves" until_true 15 groups_open 1 1
check "no host is in two groups with a late open" "" "$(journal | grep '^two')"
end edge-1 platform

# Only orders to join got no response, so the head can't serve again once it has left:
# its hosts were bound until the late orders were carried out. One takes the head back,
# and the join of another group follows.
start_edge_platform 4 1
control "lapse-$E.3" 1
control "lapse-$E.4" 1
control late-ms 8000
control "late-join-$E.1" 1
control "late-join-$E.2" 1
put_config 1
start_edge 1 --stall-ms 5000
check_true "a group serves with late joins" until_true 15 groups_open 1 1
head=$(journal | sed -n 's/ open 202$//p' | tail -n 1)
control "lapse-$E.${head#e}" 1
check_true "its head leaves" until_true 10 journal_has "^$head leave 200"
control "lapse-$E.3" 0
check_true "its hosts are free at once" until_true 2 journal_has '^e3 join 202'
check_true "the late join takes the head back" until_true 12 \
    journal_has "^$head late"
control "lapse-$E.${head#e}" 0
control "lapse-$E.4" 0
check_true "two groups serve" until_true 10 groups_open 1 2
check "no host is in two groups with a late join" "" "$(journal | grep '^two')"
verdict
