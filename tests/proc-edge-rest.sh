# Guards against requests to endpoints that refuse all requests and ask the daemon for
# a backoff. The backoff was ignored, and a refusal left no trace: an endpoint without
# work seemed to be the fastest and was the first choice of each new request. Seen: nine
# of 18 replicas got 9 to 19 requests/s for nine seconds and ran none, while the others,
# with 6 of 26 slots in use, got half of their former load, and six of ten clients were
# refused:
#   request_not_run endpoint=e4 status=503 rest="3.000" running=0 usable=2 known=2
#   sent_in_rest endpoint=e4 left_ms=2956 sends=1 usable=2 known=2 expected_ms=12
# All 99 requests sent during a replica's backoff were first sends.
. tests/lib-edge.sh

E=127.$NET.1
B=127.$NET.2

ask_for() { # SECONDS PATH [curl argument...]: sends requests to the one daemon
	seconds=$1
	shift
	ask_paced "$seconds" 1 "$@"
}

in_rest() {
	journal | grep -c '^in-rest'
}

# One of two replicas asks for a backoff; the other serves all.
start_edge_platform 4 3
put_config 1
start_edge 1
check_true "two replicas serve" until_true 15 groups_open 1 2
head=$(journal | sed -n 's/ open 202$//p' | head -n 1)
control "rest-$E.${head#e}" 3000
ask_for 4 /write/x
check "all are served by the other" 100 "$(answered 200)"
check "none is sent during the backoff of a replica" 0 "$(in_rest)"

# All plain endpoints ask for a backoff: none is used as a last resort.
for b in 1 2 3; do
	control "rest-$B.$b" 3000
done
ask_for 3 /look/x
check "all are refused" 75 "$(answered 503)"
refused_for_backoff() {
	grep -c 'request_refused.* reason=endpoints_rest' "$RUN/edge-1.out"
}

check_true "the reason is logged" until_true 2 eval '[ "$(refused_for_backoff)" = 75 ]'
refused=$(sed -n 's/.*request_refused id=\([^ ]*\) .*=endpoints_rest .*/\1/p' \
    "$RUN/edge-1.out" | tail -n 1)
explained() {
	"$BUILD/bankliftctl" explain "$refused" "$RUN/edge-1.out"
}
check_true "explained: the backoff that caused it" eval \
    'explained | grep -q "event=endpoint_asks_rest"'
check "none is sent during the backoff of a plain endpoint" 0 "$(in_rest)"
for b in 1 2 3; do
	control "rest-$B.$b" 0
done
check_true "they are used again" until_true 8 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'

# A backoff stays in force over a reload, a lapse of the entry and an outage of the
# store. The endpoint would serve, so that its journal shows any request.
asks_backoff() { # ENDPOINT
	[ "$(ask 1 /look/x | status_last)" = 200 ] &&
	    grep -q "endpoint_asks_rest endpoint=$1 .*ms=9000" "$RUN/edge-1.out"
}

# Whether the configuration was known to be current less than 1 s ago. The bound on
# keys is 2 s, of which the daemon reserves 0.5 s.
store_proved() {
	[ "$(metric 1 config_age_ms | cut -d. -f1)" -lt 1000 ]
}

control "rest-$B.1" 9000
check_true "an endpoint asks for a long backoff" until_true 8 asks_backoff b1
control "rest-$B.1" 0
before=$(runs_of b1)
stop edge-1 HUP
control "lapse-$B.1" 1
ask_for 1 /look/x
control "lapse-$B.1" 0
control silent 1
ask_for 1 /look/x
control silent 0
# However long the outage took, the keys are proved again before the last requests.
check_true "the store is read again" until_true 5 store_proved
ask_for 1 /look/x
check "the others serve all" 25 "$(answered 200)"
check "it gets no request during its backoff" "$before" "$(runs_of b1)"
check_true "the settings were reloaded" grep -q event=reloaded "$RUN/edge-1.out"
check_true "it serves after its backoff" until_true 12 eval \
    'ask 1 /look/x >"$ASKED"; [ "$(runs_of b1)" -gt "$before" ]'

# A stream that is cut is resumed, but not at a replica in backoff.
other=$(journal | sed -n 's/ open 202$//p' | sed -n 2p)
control "rest-$E.${head#e}" 0
# Until the replica after its backoff has accepted requests, it gets one in ten.
check_true "both replicas serve" until_true 20 eval \
    'ask 1 /write/x >"$ASKED"; journal | tail -n 1 | grep -q "^$head ran"'
control "rest-$E.${other#e}" 3000
check_true "one replica asks for a backoff" until_true 8 eval \
    'ask 1 /write/x >"$ASKED"
    grep -q "endpoint_asks_rest endpoint=$other" "$RUN/edge-1.out"'
control cut 3
control cuts 1
check "a cut stream is completed by the other" "0 1 2 3 4 5 6 7 " \
    "$(ask 1 /write/x | event_ids)"
control "rest-$E.${other#e}" 0
check "none is sent during its backoff" 0 "$(in_rest)"

# Leaving endpoints say so in a response header first. It was ignored: two such
# endpoints got requests until their entries changed, 18 within the two seconds from one
# second after their responses.
control "leaving-$B.1" 1
control "leaving-$B.2" 1
ask_for 3 /look/x
check "all are served by the remaining endpoint" 75 "$(answered 200)"
check "none is sent to a leaving endpoint" 0 "$(journal | grep -c '^after-leaving')"
verdict
