# An endpoint that is silent for longer than --stall-ms doesn't end a request that no
# other endpoint may or can have: its response is delivered when it comes, and only the
# deadline ends the wait.
. tests/lib.sh

HOSTS_PER_REPLICA=1
start_platform
start_engines 1 2 50 1
start_services 1 2
put_hosts
start_daemon 1 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":2}'
all_serve() {
	[ "$(serving 1 1)" -ge 4 ]
}
until_true 10 all_serve
until_true 10 complete_ok 1 1
until_true 10 service_ok 1 1
E1=$(engine_url 1 1)
E2=$(engine_url 1 2)
S1=$(service_url 1 1)
S2=$(service_url 1 2)

engines() { # FAULT-JSON
	fault "$E1" "$1"
	fault "$E2" "$1"
}
stream() { # TOKENS [HEADER]
	curl -s -N -m 30 -H "Authorization: Bearer $CUSTOMER_KEY" \
	    -H "${2:-X-None: none}" -d \
	    "{\"model\":\"judges\",\"prompt\":\"tale\",\"max_tokens\":$1,\"stream\":true}" \
	    "$(client_url 1 1)/v1/completions" | grep -v '^$'
}
words_of() {
	grep -o '"text":"w[0-9]* "' | wc -l
}

# Both engines are silent within the stream, for longer than the daemon's bound.
engines '{"stall_at":6}'
stream 12 >"$RUN/stream" &
STREAM=$!
sleep 4
engines '{"stall_at":0}'
wait "$STREAM"
check "both silent: the stream has all words" 12 "$(words_of <"$RUN/stream")"
check "both silent: its end" "data: [DONE]" "$(tail -n1 "$RUN/stream")"

# begin NAME: starts a stream whose engine falls silent after five words; sets OWN to
# that engine and OTHER to the other.
begin() {
	engines '{"stall_at":6,"die_at":0,"busy":0}'
	stream 12 "Banklift-Request-Id: $1" >"$RUN/stream" &
	STREAM=$!
	until_true 5 ran "$1" || echo "no engine runs $1"
	OWN=$E1
	OTHER=$E2
	if [ "$(journal_count "$1" "$E2")" -gt 0 ]; then
		OWN=$E2
		OTHER=$E1
	fi
}
ran() { # REQUEST-ID
	[ "$(journal_count "$1" "$E1" "$E2")" -gt 0 ]
}
engine_idle() { # URL
	curl -s "$1/host" | grep -q '"load":0'
}
# whole NAME: checks the stream, once it has ended.
whole() {
	wait "$STREAM"
	check "$1: the stream has all words" 12 "$(words_of <"$RUN/stream")"
	check "$1: its end" "data: [DONE]" "$(tail -n1 "$RUN/stream")"
}

# The first is silent, and the second goes on.
begin goes-on
fault "$OTHER" '{"stall_at":0}'
whole "the other goes on"
check "the other goes on: it was asked" 1 "$(journal_count goes-on "$OTHER")"
fault "$OWN" '{"stall_at":0}'
check_true "the other goes on: the first is cancelled" \
    until_true 5 engine_idle "$OWN"

# The first is silent for a while, and the second turns the request away, or breaks.
begin turned-away
fault "$OTHER" '{"stall_at":0,"busy":100}'
sleep 3
fault "$OWN" '{"stall_at":0}'
whole "the other turns it away"
begin breaks
fault "$OTHER" '{"stall_at":0,"die_at":6}'
sleep 3
fault "$OWN" '{"stall_at":0}'
whole "the other breaks"
engines '{"stall_at":0,"die_at":0,"busy":0}'

# A request that may run only once has no other endpoint.
engines '{"stall_at":6}'
stream 12 'Banklift-Idempotent: no' >"$RUN/stream" &
STREAM=$!
sleep 2
engines '{"stall_at":0}'
wait "$STREAM"
check "may run once: the stream has all words" 12 "$(words_of <"$RUN/stream")"
check "may run once: its end" "data: [DONE]" "$(tail -n1 "$RUN/stream")"

# Of two endpoints of a service, the first is silent for a while, and the other turns
# the request away, breaks, is silent too, or responds.
services() { # FAULT-JSON
	fault "$S1" "$1"
	fault "$S2" "$1"
}
# service_call NAME [curl argument...]: starts a call; sets OWN and OTHER.
service_call() {
	services "{\"slow_ms\":${SLOW_MS:-2600},\"cut_before\":0,\"not_started\":0}"
	call 1 1 /s/board/x -H "Banklift-Request-Id: $1" "${@:2}" >"$RUN/call" &
	CALL=$!
	until_true 5 ran_service "$1" || echo "no endpoint runs $1"
	OWN=$S1
	OTHER=$S2
	if [ "$(journal_count "$1" "$S2")" -gt 0 ]; then
		OWN=$S2
		OTHER=$S1
	fi
}
ran_service() { # REQUEST-ID
	[ "$(journal_count "$1" "$S1" "$S2")" -gt 0 ]
}
answered() { # NAME
	wait "$CALL"
	check "$1: the response" 200 "$(status_of <"$RUN/call")"
}
service_call s-turned-away
fault "$OTHER" '{"not_started":9}'
answered "the other turns a call away"
service_call s-breaks
fault "$OTHER" '{"cut_before":9}'
answered "the other breaks a call"
service_call s-both
answered "both are silent within a call"
SLOW_MS=9000
service_call s-other
fault "$OTHER" '{"slow_ms":0}'
began=$(now_ms)
answered "the other responds"
check_true "the other responds: soon" test $(($(now_ms) - began)) -lt 6000
services '{"slow_ms":2600,"not_started":0,"cut_before":0}'
check "what may run once: the response" 200 "$(call 1 1 /s/board/x -d x \
    -H 'Banklift-Request-Id: s-once' | status_of)"
check "what may run once: ran once" 1 "$(journal_count s-once "$S1" "$S2")"

# The deadline ends the wait.
services '{"slow_ms":6000}'
began=$(now_ms)
out=$(call 1 1 /s/board/x -H 'Banklift-Deadline-Ms: 2500')
took=$(($(now_ms) - began))
check "past the deadline" 504 "$(echo "$out" | status_of)"
check "past the deadline: may have run" '"outcome":"unknown"' \
    "$(echo "$out" | grep -o '"outcome":"[a-z_]*"')"
check_true "not before it, nor long after ($took ms)" \
    test "$took" -ge 2500 -a "$took" -lt 4000
services '{"slow_ms":0}'
verdict
