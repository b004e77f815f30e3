# Shared by the tests of streams whose endpoints are silent: streams that are in progress
# while something happens, and what is owed to their clients.

EVENTS=40
EVENT_MS=40
VERSION=0
ASKING=

# change: writes another configuration, in which streams have 15 s and more.
change() {
	VERSION=$((VERSION + 1))
	put_config $VERSION "s/\"timeout_ms\":4000/\"timeout_ms\":$((15000 + VERSION))/
	    s/\"timeout_ms\":2000/\"timeout_ms\":$((8000 + VERSION))/
	    s/\"idle_timeout_ms\":3000/\"idle_timeout_ms\":$((4000 + VERSION))/
	    s/\"path_prefix\":\"\/free\/\"/\"path_prefix\":\"\/free$VERSION\/\"/"
}

# stream_events COUNT: sets the number of events of all streams.
stream_events() {
	EVENTS=$1
	ALL_IDS="$(seq -s ' ' 0 $((EVENTS - 1))) "
	control events "$EVENTS"
	control event-ms "$EVENT_MS"
}

# send CASE DAEMON NUMBER PATH: sends a request; its response, the status, the time in
# seconds, Retry-After and curl's exit code go to a file.
send() {
	file=$RUN/$1.$3
	curl -s -N -m 20 -H 'Host: h' -H 'X-Api-Key: k1' -H "Attempt-Id: $1.$3" \
	    -w '\nstatus %{http_code} %{time_total} again=%header{retry-after}\n' \
	    -H 'Model: m' -H 'Token-Counts: 100,200' --data "$1 $3" \
	    "$(edge_url "$2")$4" >"$file"
	echo "exit $?" >>"$file"
}

# send_paced CASE COUNT PATH DAEMON...: sends 25 requests a second, round-robin.
send_paced() {
	name=$1
	left=$2
	path=$3
	shift 3
	while [ "$left" -gt 0 ]; do
		send "$name" "$1" "$left" "$path" &
		ASKING="$ASKING $!"
		left=$((left - 1))
		set -- "$@" "$1"
		shift
		sleep 0.035
	done
}

begun() { # CASE COUNT
	[ "$(grep -lx 'id: 0' "$RUN/$1".* | wc -l)" = "$2" ]
}

# begin_streams CASE COUNT DAEMON...: begins streams.
begin_streams() {
	name=$1
	count=$2
	shift 2
	send_paced "$name" "$count" /write/x "$@"
	check_true "$name: all streams have begun" until_true 3 begun "$name" "$count"
}

# Waits for requests only: the daemons keep running.
await_streams() {
	# shellcheck disable=SC2086
	wait $ASKING
	ASKING=
}

# whole FILE: whether a stream has all events once and in order, and its end.
whole() {
	grep -q '^status 200 ' "$1" && grep -qx 'exit 0' "$1" &&
	    [ "$(event_ids <"$1")" = "$ALL_IDS" ] &&
	    [ "$(sed -n 's/^data: e//p' "$1" | tr '\n' ' ')" = "$ALL_IDS" ]
}

# refused FILE: whether a request was refused, with the time to return.
refused() {
	grep -q '^status 503 .* again=[0-9]' "$1" && grep -qx 'exit 0' "$1"
}

describe() { # FILE
	echo "${1##*/}: $(grep -c '^id: ' "$1") events," \
	    "$(grep -E '^(status|exit) ' "$1" | tr '\n' ' ')"
}

check_whole() { # CASE
	check "$1: all streams are whole" "" "$(for file in "$RUN/$1".*; do
		whole "$file" || describe "$file"
	done)"
}

check_none_failed() { # CASE
	check "$1: all requests are served or refused" "" "$(for file in "$RUN/$1".*; do
		whole "$file" || refused "$file" || describe "$file"
	done)"
}

# Prints the heads of the groups that are open.
heads() {
	journal | awk '$2 == "open" && $3 == 202 { open[$1] = 1 }
	    $2 == "close" || $2 == "leave" { delete open[$1] }
	    END { for (head in open) print head }' | sort
}

# runs_at HEAD CASE: streams of a case that an endpoint has run first.
runs_at() {
	journal | awk -v c="$2." 'index($3, c) == 1 && $2 == "ran" && !seen[$3]++ { print $1 }' |
	    grep -cx "$1"
}

# all_used COUNT DAEMON...: whether COUNT replicas serve and each of these daemons sends
# streams to all of them; a daemon avoids one that was silent for some time.
all_used() {
	open=$1
	shift
	ROUND=$((${ROUND:-0} + 1))
	for daemon in "$@"; do
		send_paced "round$ROUND-$daemon" $((3 * open)) /write/x "$daemon"
	done
	await_streams
	[ "$(heads | wc -l)" = "$open" ] || return 1
	for daemon in "$@"; do
		for head in $(heads); do
			[ "$(runs_at "$head" "round$ROUND-$daemon")" -gt 0 ] || return 1
		done
	done
}

# await_all_used COUNT DAEMON...
await_all_used() {
	events=$EVENTS
	stream_events 8
	check_true "all replicas are used" until_true 20 all_used "$@"
	stream_events "$events"
}
