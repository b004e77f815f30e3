# Shared by the scripts of the third review: the stand-in platform and daemons
# as the deploy file starts them, on loopback addresses, in a temporary folder.
# A script sources this file from the repository's root.

set -u
TROUBLE=${TROUBLE:-1}
RUN=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX") || exit 2
PIDS=

# web [curl argument...]: a call that no proxy may take.
web() {
	curl -s -m 5 --noproxy '*' "$@"
}

# Ends all processes that the script started, by their ids.
finish() {
	for pid in $PIDS; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$RUN"
}
trap finish EXIT
trap 'exit 2' INT TERM

fail() { # WORD...: the case could not run
	echo "could not run: $*" | tee -a "$RECORD" >&2
	exit 2
}

now_ms() {
	date +%s%3N
}

# until_true SECONDS COMMAND...
until_true() {
	tries=$(($1 * 10))
	shift
	while [ "$tries" -gt 0 ]; do
		"$@" >/dev/null 2>&1 && return 0
		tries=$((tries - 1))
		sleep 0.1
	done
	return 1
}

# start NAME COMMAND...: in the background; its id is in PID_NAME.
start() {
	name=$1
	shift
	"$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
	PIDS="$PIDS $!"
	eval "PID_$name=$!"
}

pid_of() { # NAME
	eval "echo \$PID_$1"
}

# start_platform ENGINES SERVICES: the stand-in $PLATFORM, on a free network.
start_platform() {
	for net in 171 173 177 179 181 183 187 189; do
		NET=$net
		STORE=http://127.$NET.0.1:9000
		web -o /dev/null "$STORE/journal" && continue
		start platform "$PLATFORM" "$NET" "$1" "$2"
		until_true 5 web -f -o /dev/null "$STORE/journal" &&
		    kill -0 "$(pid_of platform)" 2>/dev/null && return 0
	done
	fail "no free loopback network"
}

edge_ip() { # NUMBER
	echo "127.$NET.9.$1"
}

# write_settings NUMBER: the settings file of a daemon, from the template.
write_settings() {
	ip=$(edge_ip "$1")
	sed -e "s/{{node_name}}/edge-$1/" \
	    -e "s/{{zone}}/$(echo a b c | cut -d' ' -f$(($1 % 3 + 1)))/" \
	    -e "s/{{listen.frontend}}/$ip:8080/" \
	    -e "s/{{listen.readiness}}/$ip:8083/" \
	    -e "s/{{ip}}/$ip/" \
	    -e "s/{{internal_port_range.0}}/7340/" \
	    -e "s/{{internal_port_range.1}}/7341/" \
	    -e "s/{{platform.address}}/127.$NET.0.1:9000/" \
	    -e "s/{{bounds.revoke_ms}}/5000/" \
	    -e "s/{{bounds.revoke_fail_closed}}/true/" \
	    -e "s/{{bounds.config_apply_ms}}/2000/" \
	    -e "s/{{bounds.drain_ms}}/2000/" \
	    -e "s/{{bounds.grace_s}}/8/" \
	    -e "s/{{bounds.stall_ms}}/5000/" \
	    -e "s/{{bounds.retry_budget_ratio}}/0.2/" \
	    -e "s/{{bounds.budget_window_s}}/10/" \
	    -e "s/{{bounds.retry_budget_slack}}/132/" \
	    -e "s/{{limits.cpu_share}}/0.25/" \
	    -e "s/{{limits.cores}}/1/" \
	    -e "s/{{limits.memory_mb}}/260/" \
	    -e "s/{{is_bootstrap}}/true/" \
	    deploy/banklift-edge.conf.in >"$RUN/edge-$1.conf"
}

# start_edge NUMBER: a daemon by the command of the deploy file.
start_edge() {
	write_settings "$1"
	start "edge$1" env BANKLIFT_CONFIG="$RUN/edge-$1.conf" \
	    target/banklift-edge
}

edge_ready() { # NUMBER
	web -f -o /dev/null "http://$(edge_ip "$1"):8083/readyz"
}

metric() { # NUMBER NAME
	web "http://$(edge_ip "$1"):9464/metrics" | sed -n "s/^banklift_$2 //p"
}

groups_open() { # NUMBER COUNT
	[ "$(metric "$1" groups_open)" = "$2" ]
}

control() { # SWITCH VALUE
	web -o /dev/null -X PUT --data "$1 $2" "$STORE/control"
}

journal() {
	web "$STORE/journal"
}

note() { # WORD...
	echo "$(now_ms) $*" >>"$RECORD"
}
