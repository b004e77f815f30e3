# Shared by the scripts of the cases: stand-ins, daemons as the deploy file
# starts them, and the end of all of them. To be sourced in the folder of a case.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
BIN=$ROOT/review/bin
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
TMP=$(mktemp -d "${TMPDIR:-/tmp}/banklift-review.XXXXXX") || exit 2
# Addresses of this run, in 127.0.0.0/8.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
cd "$ROOT" || exit 2
: >"$RECORD"

# Ends all processes that were started and still run, by their ids.
finish() {
	for pid in $(jobs -p); do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

note() { # TEXT...: a line of the record, with the time
	echo "$(date +%s%3N) $*" >>"$RECORD"
}

unable() { # TEXT...: the case can't run
	note "can't run: $*"
	echo "can't run: $*"
	exit 2
}

[ -x target/banklift-edge ] || unable "target/banklift-edge is not built"
[ -x "$BIN/stand" ] || unable "review/build.sh was not run"

edge_ip() { # NUMBER
	echo "$NET.$((100 + $1))"
}

# start_stand MANIFEST [ID SERVICE LAST-OCTET ZONE SLOTS]...
start_stand() {
	manifest=$1
	shift
	servers=()
	while [ $# -gt 0 ]; do
		servers+=("$1" "$2" "$NET.$3" 9000 "$4" "$5")
		shift 5
	done
	"$BIN/stand" "$NET.1" 9000 "$manifest" "$TMP/stand.log" \
	    "${servers[@]}" >"$TMP/stand.out" 2>&1 &
	STAND=$!
	sleep 0.3
	kill -0 "$STAND" 2>/dev/null || unable "$(cat "$TMP/stand.out")"
}

# Fills in the deploy file's template as the platform does.
write_settings() { # NUMBER ZONE
	ip=$(edge_ip "$1")
	sed -e "s/{{node_name}}/edge-$1/; s/{{zone}}/$2/; s/{{ip}}/$ip/" \
	    -e "s/{{listen.frontend}}/$ip:8227/" \
	    -e "s/{{listen.readiness}}/$ip:8220/" \
	    -e "s/{{internal_port_range.0}}/7340/" \
	    -e "s/{{internal_port_range.1}}/7341/" \
	    -e "s/{{platform.address}}/${STORE_AT:-$NET.1:9000}/" \
	    -e "s/{{bounds.revoke_ms}}/5000/" \
	    -e "s/{{bounds.revoke_fail_closed}}/true/" \
	    -e "s/{{bounds.config_apply_ms}}/2000/" \
	    -e "s/{{bounds.drain_ms}}/2000/; s/{{bounds.grace_s}}/8/" \
	    -e "s/{{bounds.stall_ms}}/5000/" \
	    -e "s/{{bounds.retry_budget_ratio}}/0.2/" \
	    -e "s/{{bounds.budget_window_s}}/10/" \
	    -e "s/{{bounds.retry_budget_slack}}/136/" \
	    -e "s/{{limits.cpu_share}}/0.25/; s/{{limits.cores}}/1/" \
	    -e "s/{{limits.memory_mb}}/260/; s/{{is_bootstrap}}/true/" \
	    deploy/banklift-edge.conf.in >"$TMP/edge-$1.conf"
}

# start_pipe NUMBER: a path of its own to the store for a daemon. Sets PIPE_NUMBER
# and, for the next daemon, STORE_AT.
start_pipe() {
	"$BIN/pipe" "$NET.$((50 + $1))" 9000 "$NET.1" 9000 2>>"$RECORD" &
	eval "PIPE_$1=$!"
	STORE_AT=$NET.$((50 + $1)):9000
}

# start_edge NUMBER ZONE: with the command of the deploy file. Sets EDGE_NUMBER.
start_edge() {
	write_settings "$1" "$2"
	grep -q '{{' "$TMP/edge-$1.conf" && unable "the template has new fields"
	env -i PATH="$PATH" BANKLIFT_CONFIG="$TMP/edge-$1.conf" \
	    target/banklift-edge >"$TMP/edge-$1.out" 2>&1 &
	eval "EDGE_$1=$!"
}

edge_ready() { # NUMBER
	exec 3<>"/dev/tcp/$(edge_ip "$1")/8220" || return 1
	printf 'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
	read -r -t 2 _ status _ <&3
	exec 3<&- 3>&-
	[ "${status:-0}" = 200 ]
}

wait_ready() { # NUMBER...: waits until each daemon is ready
	for number; do
		tries=0
		until edge_ready "$number" 2>/dev/null; do
			tries=$((tries + 1))
			[ "$tries" -lt 100 ] ||
			    unable "daemon $number is not ready"
			sleep 0.1
		done
	done
}

# ask NUMBER OUTPUT ARGUMENT...: starts a requester at a daemon. Adds to ASKING.
ask() {
	daemon=$1
	output=$2
	shift 2
	"$BIN/client" "$(edge_ip "$daemon")" 8227 "$@" >"$output" &
	ASKING="${ASKING:-} $!"
}

# Adds what was answered and run to the record.
record_all() { # FILE...
	echo "# answered: id, result, status, bytes, due, sent, ms, end of the channel" \
	    >>"$RECORD"
	cat "$@" >>"$RECORD"
	echo "# at the servers: time, what, server, id" >>"$RECORD"
	cat "$TMP/stand.log" >>"$RECORD"
	for log in "$TMP"/edge-*.out; do
		echo "# log of $(basename "$log" .out)" >>"$RECORD"
		grep -aE 'event=(leaving|stopped|request_|config_in_force|store_|reader_|endpoint_)' \
		    "$log" | cut -c 1-300 >>"$RECORD"
	done
}
