# Endpoints turned requests away and said for how long they wanted nothing more
# from the daemon that asked. It went on sending to them: nine of 18 replicas got
# 9 to 19 requests a second for nine seconds and ran none, while the others, with
# six of 26 places taken, got half of what they had served before, and six of ten
# callers of the models were refused. The answer's word on rest was not read, and
# an answer that was not run left no trace: the endpoint that refused had no work,
# so it was expected to answer first, and request after request chose it:
#
#   request_not_run endpoint=e4 status=503 rest="3.000" running=0 usable=2 known=2
#   sent_in_rest endpoint=e4 left_ms=2956 sends=1 usable=2 known=2 expected_ms=12
#
# All 99 sends into the rest of a replica were the first choice of a new request.
. tests/lib-edge.sh

E=127.$NET.1
B=127.$NET.2
ASKED=$RUN/asked

# ask_for SECONDS PATH [curl argument...]: 25 requests a second; their status
# codes go to $ASKED.
ask_for() {
	: >"$ASKED"
	left=$(($1 * 25))
	path=$2
	shift 2
	while [ "$left" -gt 0 ]; do
		left=$((left - 1))
		ask 1 "$path" "$@" 2>/dev/null | status_last >>"$ASKED" &
		asking="${asking:-} $!"
		sleep 0.04
	done
	# Only the askers: the daemons go on.
	# shellcheck disable=SC2086
	wait $asking
	asking=
}

answered() { # STATUS: how many of the last were
	grep -c "^$1$" "$ASKED"
}

in_rest() {
	journal | grep -c '^in-rest'
}

# One of two replicas asks for rest; the other serves all.
start_edge_platform 4 3
put_config 1
start_edge 1
check_true "two replicas stand" until_true 15 groups_open 1 2
head=$(journal | sed -n 's/ open 202$//p' | head -n 1)
control "rest-$E.${head#e}" 3000
ask_for 4 /write/x
check "all are served by the other" 100 "$(answered 200)"
check "none is sent into the rest of a replica" 0 "$(in_rest)"

# All plain endpoints ask for rest: none is asked as the last resort.
for b in 1 2 3; do
	control "rest-$B.$b" 3000
done
ask_for 3 /look/x
check "all are refused" 75 "$(answered 503)"
refused_for_rest() {
	grep -c 'request_refused.* reason=endpoints_rest' "$RUN/edge-1.out"
}

check_true "for this reason" until_true 2 eval '[ "$(refused_for_rest)" = 75 ]'
check "none is sent into the rest of a plain endpoint" 0 "$(in_rest)"
for b in 1 2 3; do
	control "rest-$B.$b" 0
done
check_true "they are used again" until_true 8 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'

# Endpoints that leave say so in their answers, and nowhere else yet. The header was
# not read: both that left got requests until their entries changed, 18 in the two
# seconds from one second after they had said so.
control "leaving-$B.1" 1
control "leaving-$B.2" 1
ask_for 3 /look/x
check "all are served by the one that stays" 75 "$(answered 200)"
check "none goes to one that leaves" 0 "$(journal | grep -c '^after-leaving')"
verdict
