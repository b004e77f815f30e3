# Guards against daemons that serve almost nothing while they are cut off from all
# endpoints, though clients, the store and other daemons reach them; and against a placer
# among them that takes all replicas for lost.
. tests/lib-edge.sh

COUNT=6
CUT="1 2 3 4"
FLAGS="--balance-spread true --balance-domains true --endpoint-evidence true"

all_ready() {
	for n in $(seq $COUNT); do
		edge_ready "$n" && groups_open "$n" 3 || return 1
	done
}

cut_off() { # MODE: cuts four of six daemons off, or ends that
	for n in $CUT; do
		control "cut-$(edge_ip "$n")" "$1"
	done
}

# ask_cut SECONDS PATH: asks the daemons that are cut off, 25 times a second in all.
ask_cut() {
	ask_paced "$1" 4 "$2"
}

# served NAME MODE PATH LEAST: requests of 4 s from one second after the cut on.
served() {
	cut_off "$2"
	# A request to each daemon, so that it notices.
	ask_cut 1 "$3"
	ask_cut 4 "$3"
	n=$(answered 200)
	check_true "$1: $n of 100 are served" [ "$n" -ge "$4" ]
	check "$1: replicas stay" 3 "$(metric 6 groups_open)"
	cut_off 0
	ask_cut 2 "$3"
	n=$(answered 200)
	check_true "$1: $n of 50 are served after its end" [ "$n" -ge 49 ]
}

start_edge_platform 6 3
put_config 1
for n in $(seq $COUNT); do
	# shellcheck disable=SC2086
	start_edge "$n" --domain "$(echo a b | cut -d' ' -f$((n % 2 + 1)))" $FLAGS \
	    --tunnel-address "$(edge_ip "$n"):8085"
done
check_true "all are ready" until_true 20 all_ready
served "silent, streams" 1 /write/x 95
served "reset, streams" 2 /write/x 95
served "new connections only, plain" 3 /once/x 95
served "refused, plain" 4 /look/x 95
check "nothing ran twice" "" "$(journal | grep ' /once/' | grep -o ' ran [^ ]*' |
    sort | uniq -d)"

verdict
