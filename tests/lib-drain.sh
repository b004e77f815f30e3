# Shared by the tests of a graceful shutdown: requests on connections of their own, part
# by part, and the times of the shutdown. GRACE_S is the grace time of the daemons.
. tests/lib-edge.sh

ASKING=

# text ID PATH [LENGTH]: a request without its body.
text() {
	printf 'POST %s HTTP/1.1\\r\\nHost: h\\r\\nX-Api-Key: k1\\r\\n' "$2"
	printf 'Attempt-Id: %s\\r\\nModel: m\\r\\nToken-Counts: 100,40\\r\\n' "$1"
	printf 'Content-Length: %s\\r\\n\\r\\n' "${3:-0}"
}

# budget MS: gives the request on standard input a time budget of its own.
budget() {
	sed "s/Content-Length/Deadline-Ms: $1\\\\r\\\\n&/"
}

# raw NAME DAEMON PART...: sends each part on one connection; "sleep SECONDS" is a pause.
# What comes back until the connection ends goes to a file, and whether it was reset.
raw() {
	file=$RUN/$1
	exec 3<>"/dev/tcp/$(edge_ip "$2")/8080"
	shift 2
	timeout 12 cat <&3 >"$file" 2>"$file.error" &
	reader=$!
	for part; do
		case $part in
		sleep*) sleep "${part#sleep }" ;;
		*) printf '%b' "$part" >&3 ;;
		esac
	done
	wait "$reader"
	echo "exit $?" >>"$file.error"
	exec 3>&-
}

# begin_raw NAME DAEMON PART...: the same in the background. Adds to ASKING.
begin_raw() {
	raw "$@" &
	ASKING="$ASKING $!"
}

# statuses NAME: the status of each response on a connection, in one line.
statuses() {
	grep -ao 'HTTP/1.1 [0-9]*' "$RUN/$1" | cut -d' ' -f2 | tr '\n' ' '
}

ended_in_order() { # NAME
	[ "$(cat "$RUN/$1.error")" = "exit 0" ]
}

ran() { # ID
	journal_has " ran $1 "
}

# terminate DAEMON: sends SIGTERM; the time counts from here.
terminate() {
	TERM_MS=$(now_ms)
	stop "edge-$1" TERM
}

# until_ms MS: sleeps until so long after the SIGTERM.
until_ms() {
	left=$((TERM_MS + $1 - $(now_ms)))
	[ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

await_end() { # DAEMON: waits for its requests and its end
	# shellcheck disable=SC2086
	wait $ASKING
	check_true "daemon $1 ends within its grace time" until_true $((GRACE_S + 1)) ended "$1"
	check_true "daemon $1 ends by itself, $(($(now_ms) - TERM_MS)) ms after SIGTERM" \
	    [ "$(($(now_ms) - TERM_MS))" -lt $((GRACE_S * 1000 + 200)) ]
}

ended() { # DAEMON
	grep -aq 'event=stopped' "$RUN/edge-$1.out"
}

# learn COUNT: daemon 1 learns from so many requests of each kind that they are short.
learn() {
	control events 2
	for n in $(seq "$1"); do
		for path in once write; do
			ask 1 "/$path/x" >"$RUN/learn-$path-$n" &
			ASKING="$ASKING $!"
		done
	done
	# shellcheck disable=SC2086
	wait $ASKING
	ASKING=
}

# start_learned TIMEOUT-MS COUNT: a daemon that has learned from so many requests, with routes
# of that timeout and events of streams every EVENT_MS.
start_learned() {
	start_edge_platform 2 3
	put_config 1 "s/\"timeout_ms\":[24]000/\"timeout_ms\":$1/g
	    s/\"target_latency_ms\":300/\"target_latency_ms\":20000/
	    s/\"idle_timeout_ms\":3000/\"idle_timeout_ms\":20000/"
	control event-ms $EVENT_MS
	start_edge 1 --grace-s $GRACE_S
	check_true "the daemon is ready" until_true 10 edge_ready 1
	check_true "it knows a replica" until_true 10 groups_open 1 1
	learn "$2"
}
