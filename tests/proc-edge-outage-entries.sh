# Guards against groups that are dissolved, and their streams cancelled, since their entries
# lapsed in an outage of the store and are not back yet.
. tests/lib-edge.sh

COUNT=3
ENGINES=8
REPLICAS=$((ENGINES / 2))

lapse() { # 1: the entries of all engines lapse; 0: they are written again
	for n in $(seq $ENGINES); do
		control "lapse-127.$NET.1.$n" "$1"
	done
}

# outage: of 4.5 s, in which all entries lapse.
outage() {
	control silent 1
	sleep 3.6
	lapse 1
	sleep 0.9
	control silent 0
}

doomed() { # prints the groups given up so far
	cat "$RUN"/edge-?.out | sed -n 's/.*event=group_doomed group=\([^ ]*\).* reason=\([a-z_]*\).*/\1 \2/p' |
	    sort -u
}

head_of() { # GROUP: address of its head
	cat "$RUN"/edge-?.out | sed -n "s/.*event=group_planned group=$1 .* head=e\([0-9]*\).*/\1/p" |
	    tail -n 1
}

all_serve() {
	for n in $(seq $COUNT); do
		groups_open "$n" "$1" || return 1
	done
}

start_edge_platform $ENGINES 1
put_config 1
start_edges $COUNT --keys-fail-closed false
check_true "the daemons are ready" until_true 10 all_ready
check_true "the replicas serve" until_true 20 all_serve $REPLICAS
sleep 3

outage
sleep 1
lapse 0
sleep 2.5
check "no group is given up" "" "$(doomed)"
check_true "all still serve" until_true 2 all_serve $REPLICAS

# An entry that isn't back in time is that of a host that is gone.
sleep 2
outage
sleep 1
group=$(cat "$RUN"/edge-?.out | sed -n 's/.*event=group_planned group=\([^ ]*\).*/\1/p' | head -n 1)
gone=$(head_of "$group")
lapse 0
control "lapse-127.$NET.1.$gone" 1
check_true "a group whose head isn't back is given up" until_true 4 \
    eval '[ "$(doomed)" = "$group head_lapsed" ]'
check_true "the others serve" until_true 4 all_serve $((REPLICAS - 1))
verdict
