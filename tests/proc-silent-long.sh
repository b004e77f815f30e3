# A stream that is silent for longer than a connection may be idle is not ended by that.
. tests/lib.sh

HOSTS_PER_REPLICA=1
start_platform
start_engines 1 1 50 1
put_hosts
start_daemon 1 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":1}'
until_true 10 complete_ok 1 1
E1=$(engine_url 1 1)

stream() { # REQUEST-ID
	curl -s -N -m 60 -H "Authorization: Bearer $CUSTOMER_KEY" \
	    -H "Banklift-Request-Id: $1" -d \
	    '{"model":"judges","prompt":"tale","max_tokens":12,"stream":true}' \
	    "$(client_url 1 1)/v1/completions" >"$RUN/$1"
}
ran() { # REQUEST-ID
	[ "$(journal_count "$1" "$E1")" -gt 0 ]
}
whole() { # REQUEST-ID
	check "$1: the stream has all words" 12 \
	    "$(grep -o '"text":"w[0-9]* "' "$RUN/$1" | wc -l)"
	check "$1: its end" "data: [DONE]" \
	    "$(grep -v '^$' "$RUN/$1" | tail -n1)"
}

# One is silent after five words, the other before the first.
fault "$E1" '{"stall_at":6}'
stream within &
WITHIN=$!
until_true 5 ran within
fault "$E1" '{"slow_ms":31500}'
stream before &
BEFORE=$!
sleep 32
fault "$E1" '{"stall_at":0}'
wait "$WITHIN" "$BEFORE"
whole within
whole before
check_true "comments are sent meanwhile" \
    test "$(grep -c '^:' "$RUN/within")" -ge 3
verdict
