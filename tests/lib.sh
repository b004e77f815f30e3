# Shared by the process tests: stand-ins and daemons on loopback addresses.
# Each test uses a network of its own, 127.$NET.0.0/16, so that tests can run in
# parallel. Every process that a test starts is killed by its id.

set -u
BUILD=${BUILD:-build/debug}
NET=${NET:-10}
RUN=$(mktemp -d "${TMPDIR:-/tmp}/banklift-test.XXXXXX")
export BANKLIFT_OPERATOR_TOKEN=test-token
CUSTOMER_KEY=key-of-the-test
LOG_URL=http://127.$NET.0.1:9000
HOSTS_URL=http://127.$NET.0.2:9000
DOMAINS="mvd-centro mvd-pocitos mvd-cordon"
FAILURES=0
ENDED=no
CHECKS=0
# Short timeouts, so that failures are detected soon.
DAEMON_FLAGS="--probe-ms 100 --evidence-ms 600 --dead-ms 1200 \
--heartbeat-ms 100 --peer-dead-ms 1000 --lease-renew-ms 300 \
--lease-hold-ms 900 --lease-wait-ms 1500 --drain-accept-ms 300 \
--stall-ms 1500 --log-level debug"

finish() {
	# Only children that still exist: the id of one that has ended may belong to
	# another process by now.
	for pid in $(jobs -pr) $(jobs -ps); do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	# The logs of a test that was stopped before its verdict are kept too.
	if [ "$FAILURES" -eq 0 ] && [ "$ENDED" = yes ]; then
		rm -rf "$RUN"
	else
		echo "logs kept in $RUN"
	fi
}
trap finish EXIT

# start NAME COMMAND...: runs a process in the background, with its own log.
start() {
	name=$1
	shift
	"$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
	eval "PID_$(echo "$name" | tr - _)=$!"
}

pid_of() {
	eval "echo \$PID_$(echo "$1" | tr - _)"
}

stop() { # NAME SIGNAL
	running "$1" && kill "-$2" "$(pid_of "$1")"
}

running() { # NAME: whether it is still a child of this shell
	jobs -p | grep -qx "$(pid_of "$1")"
}

# end NAME...: kills and reaps processes, without the shell's notice.
end() {
	for name in "$@"; do
		running "$name" && kill -KILL "$(pid_of "$name")"
		wait "$(pid_of "$name")" 2>/dev/null
	done
}

# until_true SECONDS COMMAND...: waits for a condition, at most SECONDS.
until_true() {
	bound=$(($(date +%s%3N) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(date +%s%3N)" -lt "$bound" ] || return 1
		sleep 0.05
	done
}

# memory_kb PROCESS FIELD: memory of a process that `start` began: VmHWM for the most that
# it had, VmRSS for what it has.
memory_kb() {
	sed -n "s/^$2:[^0-9]*\([0-9]*\).*/\1/p" "/proc/$(pid_of "$1")/status"
}

now_ms() {
	date +%s%3N
}

# check NAME EXPECTED ACTUAL
check() {
	CHECKS=$((CHECKS + 1))
	if [ "$2" = "$3" ]; then
		echo "ok   $1"
	else
		FAILURES=$((FAILURES + 1))
		echo "FAIL $1"
		echo "     expected: $2"
		echo "     actual:   $3"
	fi
}

# check_true NAME COMMAND...
check_true() {
	what=$1
	shift
	if "$@"; then
		check "$what" yes yes
	else
		check "$what" yes no
	fi
}

verdict() {
	ENDED=yes
	echo "$CHECKS checks, $FAILURES failed"
	[ "$FAILURES" -eq 0 ]
}

domain_name() { # number from 1
	echo "$DOMAINS" | cut -d' ' -f"$1"
}

HOST_ENTRIES=""
add_host() { # NAME URL DOMAIN FABRIC POOL KIND
	HOST_ENTRIES="$HOST_ENTRIES${HOST_ENTRIES:+,}{\"name\":\"$1\",\
\"url\":\"$2\",\"domain\":\"$3\",\"fabric\":\"$4\",\"pool\":\"$5\",\
\"kind\":\"$6\",\"state\":\"live\",\"accelerators\":2}"
}

put_hosts() { # [sed expression]
	printf '{"hosts":[%s]}' "$HOST_ENTRIES" | sed "${1:-}" |
	    curl -s -X PUT --data-binary @- "$HOSTS_URL/hosts" >/dev/null
}

engine_url() { # DOMAIN-NUMBER ENGINE-NUMBER
	echo "http://127.$NET.$1.$2:9000"
}

service_url() { # DOMAIN-NUMBER SERVICE-NUMBER
	echo "http://127.$NET.$1.$((100 + $2)):9000"
}

# start_engines DOMAIN-NUMBER COUNT [LOAD-MS [TOKEN-MS]]
start_engines() {
	for e in $(seq 1 "$2"); do
		start "engine-$1-$e" "$BUILD/standin-engine" \
		    "127.$NET.$1.$e:9000" "engine-$1-$e" "${3:-50}" "${4:-1}"
		add_host "engine-$1-$e" "$(engine_url "$1" "$e")" \
		    "$(domain_name "$1")" "fabric-$1" lm engine
	done
}

start_services() { # DOMAIN-NUMBER COUNT
	for s in $(seq 1 "$2"); do
		start "service-$1-$s" "$BUILD/standin-service" \
		    "127.$NET.$1.$((100 + s)):9000" "service-$1-$s"
		add_host "service-$1-$s" "$(service_url "$1" "$s")" \
		    "$(domain_name "$1")" "" board service
	done
}

start_platform() {
	start log "$BUILD/standin-log" "127.$NET.0.1:9000"
	start hosts "$BUILD/standin-hosts" "127.$NET.0.2:9000"
	until_true 10 curl -s "$LOG_URL/stats"
	until_true 10 curl -s "$HOSTS_URL/hosts"
}

daemon_ip() { # DOMAIN-NUMBER DAEMON-NUMBER
	echo "127.$NET.$1.$((200 + $2))"
}

client_url() {
	echo "http://$(daemon_ip "$1" "$2"):8080"
}

operator_url() {
	echo "http://$(daemon_ip "$1" "$2"):8081"
}

# start_daemon DOMAIN-NUMBER DAEMON-NUMBER [FLAG...]
start_daemon() {
	ip=$(daemon_ip "$1" "$2")
	d=$1
	i=$2
	shift 2
	# shellcheck disable=SC2086
	start "daemon-$d-$i" "$BUILD/bankliftd" --name "daemon-$d-$i" \
	    --domain "$(domain_name "$d")" --caller-address "$ip:8080" \
	    --operator-address "$ip:8081" --peer-address "$ip:8082" \
	    --peers "$(daemon_ip 1 1):8082,$(daemon_ip 2 1):8082,$(daemon_ip \
	    3 1):8082" --log-url "$LOG_URL" --hosts-url "$HOSTS_URL" \
	    $DAEMON_FLAGS "$@"
}

ctl() { # DOMAIN-NUMBER DAEMON-NUMBER ARGUMENT...
	url=$(operator_url "$1" "$2")
	shift 2
	"$BUILD/bankliftctl" -s "$url" "$@"
}

ready() { # DOMAIN-NUMBER DAEMON-NUMBER
	[ "$(curl -s "$(client_url "$1" "$2")/health")" = ready ]
}

key_hash() {
	printf %s "$CUSTOMER_KEY" | sha256sum | cut -d' ' -f1
}

# apply_resources REPLICAS-JSON: applies the default resources of the tests.
apply_resources() {
	cat >"$RUN/resources.json" <<EOF
[{"type":"customer","name":"venue","spec":{"key_sha256":"$(key_hash)"}},
 {"type":"placement","name":"by-weight",
  "spec":{"policy":"${PLACEMENT:-weighted}","downtime_weight":0.8}},
 {"type":"routing","name":"usual","spec":{"split":{"least-work":100}}},
 {"type":"deployment","name":"judges","spec":{"model":"judge-7b","pool":"lm",
  "hosts_per_replica":${HOSTS_PER_REPLICA:-2},"replicas":$1,
  "placement":"by-weight","routing":"usual"}},
 {"type":"service","name":"board","spec":{"pool":"board"}}]
EOF
	ctl 1 1 apply -f "$RUN/resources.json" >"$RUN/apply.out" 2>&1
}

# call DOMAIN DAEMON PATH [curl argument...]: prints the body, then the status.
call() {
	url=$(client_url "$1" "$2")$3
	shift 3
	curl -s -m 30 -w '\n%{http_code}' \
	    -H "Authorization: Bearer $CUSTOMER_KEY" "$@" "$url"
}

status_of() { # the last line of a call's output
	tail -n1
}

complete() { # DOMAIN DAEMON PROMPT [TOKENS [curl argument...]]
	d=$1
	i=$2
	prompt=$3
	tokens=${4:-5}
	[ $# -gt 4 ] && shift 4 || shift $#
	call "$d" "$i" /v1/completions "$@" -d \
	    "{\"model\":\"judges\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens}"
}

complete_ok() { # DOMAIN DAEMON
	[ "$(complete "$1" "$2" ping 1 | status_of)" = 200 ]
}

service_ok() {
	[ "$(call "$1" "$2" /s/board/ping | status_of)" = 200 ]
}

fault() { # URL JSON
	curl -s -X PUT -d "$2" "$1/fault" >/dev/null
}

journal_count() { # REQUEST-ID URL...: number of its runs at these endpoints
	id=$1
	shift
	for url in "$@"; do
		curl -s "$url/journal"
	done | grep -cx "$id"
}

serving() { # DOMAIN DAEMON: number of targets that this daemon may use
	ctl "$1" "$2" -j status | grep -c '"serving": true'
}

three_serve() {
	[ "$(serving 1 1)" = 3 ]
}

# Starts one daemon and three plain endpoints; returns when all serve.
start_three_services() {
	start_platform
	start_services 1 3
	put_hosts
	start_daemon 1 1
	until_true 10 curl -s "$(client_url 1 1)/health"
	until_true 10 apply_resources '{}'
	until_true 10 service_ok 1 1
	until_true 10 three_serve
}

calls() { # COUNT: calls a service sequentially; prints how many were served
	ok=0
	for _ in $(seq 1 "$1"); do
		[ "$(call 1 1 /s/board/x | status_of)" = 200 ] && ok=$((ok + 1))
		sleep 0.02
	done
	echo "$ok"
}
