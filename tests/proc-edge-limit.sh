# Endpoints named in their answers how many requests a second they take from all
# daemons together, and got about as many as before: of 18 replicas two had named 1.3
# and 1.6 a second and had 15 and 21 requests in 4 s from daemons that had passed on
# such an answer, where 13 and 15 would have been one and a half times that and 5 more,
# while the others had places free.
. tests/lib-edge.sh

B=127.$NET.2
COUNT=9
ASKED=$RUN/asked

# ask_all SECONDS PATH [curl argument...]: 25 requests a second, in turn by all
# daemons; their status codes go to $ASKED.
ask_all() {
	: >"$ASKED"
	left=$(($1 * 25))
	path=$2
	shift 2
	while [ "$left" -gt 0 ]; do
		left=$((left - 1))
		ask $((left % COUNT + 1)) "$path" "$@" 2>/dev/null |
		    status_last >>"$ASKED" &
		asking="${asking:-} $!"
		sleep 0.03
	done
	# Only the askers: the daemons go on.
	# shellcheck disable=SC2086
	wait $asking
	asking=
}

answered() { # STATUS: how many of the last were
	grep -c "^$1$" "$ASKED"
}

over_limit() { # [ENDPOINT]
	journal | grep -c "^over-limit ${1:-}"
}

all_ready() {
	for n in $(seq $COUNT); do
		edge_ready "$n" || return 1
	done
}

start_edge_platform 4 3
put_config 1
for n in $(seq $COUNT); do
	start_edge "$n" --domain "$(echo a b c | cut -d' ' -f$((n % 3 + 1)))"
done
check_true "all are ready" until_true 15 all_ready
check_true "two replicas stand" until_true 15 groups_open 1 2

# Two of three plain endpoints name limits; the third serves what they don't take.
control "limit-$B.1" 1300
control "limit-$B.2" 1800
ask_all 9 /look/x
check "all are served" 225 "$(answered 200)"
check "none is sent beyond a limit" 0 "$(over_limit)"

# One of two replicas does.
head=$(journal | sed -n 's/ open 202$//p' | head -n 1)
control "limit-127.$NET.1.${head#e}" 1300
ask_all 9 /write/x
check "all are served by the other" 225 "$(answered 200)"
check "none is sent beyond the limit of a replica" 0 "$(over_limit)"
verdict
