# Guards against hosts that stay bound for 14 s because the placer was killed: its orders
# may still be carried out, but the record of the group says which. The head's order to
# open got no response and is carried out late, after the head has left. Seen:
#   group_dissolved reason=member_silent ms=12467 proof=left, after a change of the placer
. tests/lib-edge.sh

E=127.$NET.1
start_edge_platform 4 1
control "lapse-$E.4" 1
control late-ms 7000
for e in 1 2 3; do
	control "late-open-$E.$e" 1
done
put_config 1 's/"size":2/"size":3/'
start_edge 1 --stall-ms 5000
check_true "a head gets the order to open" until_true 15 journal_has ' held open'
head=$(journal | sed -n 's/ held open$//p')
for e in 1 2 3; do
	control "late-open-$E.$e" 0
done
end edge-1
start_edge 2 --stall-ms 5000
check_true "the second daemon is the placer" until_true 10 eval \
    '[ "$(metric 2 placer)" = 1 ]'
for e in 1 2 3; do
	[ "e$e" = "$head" ] || member=$e
done
control "lapse-$E.$member" 1
control "dark-$E.$member" 1
control "lapse-$E.4" 0
check_true "the head leaves" until_true 6 journal_has "^$head leave 200"
check_true "its hosts are free at once" until_true 2 journal_has '^e4 join 202'
check_true "another group serves" until_true 5 groups_open 2 1
check_true "the late order is carried out" until_true 10 \
    journal_has "^$head late"
check "no host is in two groups" "" "$(journal | grep '^two')"
verdict
