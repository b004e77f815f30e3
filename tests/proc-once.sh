# A non-idempotent request runs at most once: the same id is sent again, at the same
# time and later, to any daemon, while daemons are killed, the log is down, and
# responses of the log are lost.
. tests/lib.sh

start_platform
start_services 1 2
put_hosts
for d in 1 2 3; do
	start_daemon "$d" 1
done
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
for d in 1 2 3; do
	until_true 10 service_ok "$d" 1
done
ENDPOINTS="$(service_url 1 1) $(service_url 1 2)"

post() { # DOMAIN DAEMON ID [curl argument...]
	d=$1
	i=$2
	id=$3
	shift 3
	call "$d" "$i" /s/board/results -H "Banklift-Request-Id: $id" \
	    -d "result $id" "$@"
}

# shellcheck disable=SC2086
runs() {
	journal_count "$1" $ENDPOINTS
}

check "the first request runs" 200 "$(post 1 1 plain | status_of)"
recorded() {
	post "$1" 1 "$2" -D - -o /dev/null | grep -qi '^banklift-repeated: yes'
}
check_true "a repeat at another daemon gets the recorded response" \
    until_true 5 recorded 2 plain
check "it ran once" 1 "$(runs plain)"
check "another request under the same id is refused" 422 "$(call 3 1 \
    /s/board/other -H 'Banklift-Request-Id: plain' -d x | status_of)"

check "so is one with another query" 422 "$(call 3 1 \
    '/s/board/results?season=2' -H 'Banklift-Request-Id: plain' \
    -d 'result plain' | status_of)"

# Many requests at the same time, to all daemons.
for n in $(seq 1 8); do
	for d in 1 2 3; do
		post "$d" 1 "burst-$n" >"$RUN/burst-$n-$d" &
		BURST="${BURST:-} $!"
	done
done
# shellcheck disable=SC2086
wait $BURST
ran=0
for n in $(seq 1 8); do
	ran=$((ran + $(runs "burst-$n")))
done
check "8 ids sent to 3 daemons at the same time ran 8 times" 8 "$ran"

# The endpoint runs it and closes the connection: unknown, and never run again.
fault "$(service_url 1 1)" '{"cut_after":1}'
fault "$(service_url 1 2)" '{"cut_after":1}'
check "cut after running: unknown" '"outcome":"unknown"' \
    "$(post 1 1 cut | grep -o '"outcome":"[a-z_]*"')"
check "a repeat is not run" 409 "$(post 2 1 cut | status_of)"
check "it ran once" 1 "$(runs cut)"
fault "$(service_url 1 1)" '{"cut_after":0}'
fault "$(service_url 1 2)" '{"cut_after":0}'

# The endpoint says that it was not started: the claim is released, a repeat may run.
fault "$(service_url 1 1)" '{"not_started":1}'
fault "$(service_url 1 2)" '{"not_started":1}'
check "not started anywhere: not run" '"outcome":"not_run"' \
    "$(post 1 1 later | grep -o '"outcome":"[a-z_]*"')"
ran_later() {
	[ "$(post 2 1 later | status_of)" = 200 ]
}
check_true "a repeat runs" until_true 5 ran_later
check "it ran once" 1 "$(runs later)"

# The log appends a claim but its response is lost.
fault "$LOG_URL" '{"lose":1}'
post 1 1 lost >"$RUN/lost"
check_true "a lost append response: run once or not at all" \
    test "$(runs lost)" -le 1
lost_ok() {
	[ "$(post 3 1 lost | status_of)" = 200 ]
}
check_true "a lost append response: the id can be used later" until_true 8 lost_ok
check "it ran once" 1 "$(runs lost)"

# The log is down: refused at once with Retry-After; idempotent calls are served.
fault "$LOG_URL" '{"down":1}'
began=$(now_ms)
post 1 1 outage -D "$RUN/headers" >"$RUN/outage"
took=$(($(now_ms) - began))
check "log down: not run" '"outcome":"not_run"' \
    "$(grep -o '"outcome":"[a-z_]*"' "$RUN/outage")"
check_true "log down: refused at once ($took ms)" test "$took" -lt 1000
check_true "log down: the refusal has Retry-After" \
    grep -qi '^retry-after' "$RUN/headers"
check "log down: an idempotent call is served" 200 \
    "$(call 1 1 /s/board/standings | status_of)"
check "log down: it did not run" 0 "$(runs outage)"
fault "$LOG_URL" '{"down":0}'
outage_ok() {
	[ "$(post 2 1 outage | status_of)" = 200 ]
}
check_true "log back: the id can be used" until_true 10 outage_ok
check "it ran once" 1 "$(runs outage)"

# The daemon is killed while the request runs: a repeat must not run it again.
fault "$(service_url 1 1)" '{"slow_ms":1000}'
fault "$(service_url 1 2)" '{"slow_ms":1000}'
post 1 1 killed >/dev/null &
CALL=$!
ran_killed() {
	[ "$(runs killed)" = 1 ]
}
until_true 5 ran_killed
end daemon-1-1
wait "$CALL"
fault "$(service_url 1 1)" '{"slow_ms":0}'
fault "$(service_url 1 2)" '{"slow_ms":0}'
check "the daemon was killed: a repeat at another one gets unknown" \
    '"outcome":"unknown"' \
    "$(post 2 1 killed | grep -o '"outcome":"[a-z_]*"')"
start_daemon 1 1
until_true 10 ready 1 1
until_true 10 service_ok 1 1
check "the daemon is back: the request is still not run again" 409 \
    "$(post 1 1 killed | status_of)"
check "it ran once" 1 "$(runs killed)"

# The daemon is paused during the claim until after the request's deadline: when it
# resumes it must not run a request that its client has given up.
fault "$LOG_URL" '{"slow_ms":500}'
post 3 1 frozen -H 'Banklift-Deadline-Ms: 1200' >"$RUN/frozen" &
CALL=$!
sleep 0.2
stop daemon-3-1 STOP
sleep 1.5
stop daemon-3-1 CONT
wait "$CALL"
fault "$LOG_URL" '{"slow_ms":0}'
check "paused past the deadline: not run" '"outcome":"not_run"' \
    "$(grep -o '"outcome":"[a-z_]*"' "$RUN/frozen")"
check "paused past the deadline: did not run" 0 "$(runs frozen)"
until_true 10 service_ok 3 1

# The daemon that batches claims is killed: others take over, old ids stay known.
end daemon-2-1
check "a daemon was killed: an old id is known" 200 "$(post 3 1 plain | status_of)"
check "it ran once" 1 "$(runs plain)"
check "a daemon was killed: a new id runs" 200 "$(post 3 1 fresh | status_of)"
check "it ran once" 1 "$(runs fresh)"
verdict
