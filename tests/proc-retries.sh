# Retries do not amplify an outage, and goodput recovers soon after it. Amplification
# is calls to endpoints over calls from clients, by the daemon's counters.
. tests/lib.sh

start_three_services

metric() { # NAME
	curl -s -H "Authorization: Bearer $BANKLIFT_OPERATOR_TOKEN" \
	    "$(operator_url 1 1)/metrics" |
	    grep "^banklift_$1{customer=\"venue\"}" | cut -d' ' -f2
}
all_services() {
	for s in 1 2 3; do
		fault "$(service_url 1 "$s")" "$1"
	done
}
# burst NAME COUNT: prints how many calls succeed; sets AMPLIFICATION, in percent.
burst() {
	calls=$(metric endpoint_calls)
	ok=0
	for _ in $(seq 1 "$2"); do
		[ "$(call 1 1 /s/board/x | status_of)" = 200 ] && ok=$((ok + 1))
	done
	calls=$(($(metric endpoint_calls) - calls))
	AMPLIFICATION=$((calls * 100 / $2))
	echo "$1: $ok of $2 succeeded, amplification $AMPLIFICATION percent"
}

burst "no faults" 100
check "no faults: no retries" 100 "$AMPLIFICATION"
fault "$(service_url 1 1)" '{"cut_before":100000}'
burst "one of three cuts" 200
check_true "one of three cuts: nearly all succeed" test "$ok" -ge 195
check_true "one of three cuts: amplification at most 1.1" \
    test "$AMPLIFICATION" -le 110
all_services '{"cut_before":100000}'
burst "total outage" 200
check "total outage: no call succeeds" 0 "$ok"
check_true "total outage: amplification at most 1.1" \
    test "$AMPLIFICATION" -le 110
all_services '{"cut_before":0}'
began=$(now_ms)
check_true "after the outage: served" until_true 10 service_ok 1 1
echo "goodput has recovered $(($(now_ms) - began)) ms after the outage"
burst "after the outage" 100
check "after the outage: all succeed" 100 "$ok"

# A refusal is immediate and has the time after which to retry.
cat >"$RUN/slow.json" <<EOF
{"type":"customer","name":"venue","spec":{"key_sha256":"$(key_hash)",
 "rate":2,"burst":1}}
EOF
ctl 1 1 apply -f "$RUN/slow.json" >/dev/null
limited() {
	[ "$(call 1 1 /s/board/x | status_of)" = 429 ]
}
check_true "the limit is in force" until_true 5 limited
began=$(now_ms)
out=$(call 1 1 /s/board/x -D "$RUN/headers")
took=$(($(now_ms) - began))
check "over the limit: refused" 429 "$(echo "$out" | status_of)"
check_true "over the limit: at once ($took ms)" test "$took" -lt 200
wait_ms=$(echo "$out" | grep -o '"retry_after_ms":[0-9]*' | cut -d: -f2)
sleep "$(awk "BEGIN { print $wait_ms / 1000 }")"
check "after that time: admitted" 200 \
    "$(call 1 1 /s/board/x | status_of)"
verdict
