# Shared by the tests of banklift-edge: the stand-in platform and daemons.
. tests/lib.sh

STORE=http://127.$NET.0.1:9000

edge_ip() { # DAEMON-NUMBER
	echo "127.$NET.9.$1"
}

edge_url() { # DAEMON-NUMBER
	echo "http://$(edge_ip "$1"):8080"
}

# start_edge DAEMON-NUMBER [FLAG...]
start_edge() {
	ip=$(edge_ip "$1")
	n=$1
	shift
	start "edge-$n" "$BUILD/${EDGE_PROGRAM:-banklift-edge}" --name "edge-$n" --domain a \
	    --caller-address "$ip:8080" --ready-address "$ip:8083" \
	    --metrics-address "$ip:9464" --peer-address "$ip:8084" \
	    --store-address "${STORE_AT:-127.$NET.0.1:9000}" \
	    --source-ip "$ip" --key-proof-ms 2000 \
	    --log-level debug "$@"
}

# start_edges COUNT [FLAG...]: starts daemons 1 to COUNT, in three failure domains.
start_edges() {
	count=$1
	shift
	for i in $(seq "$count"); do
		start_edge "$i" --domain "$(echo a b c | cut -d' ' -f$((i % 3 + 1)))" \
		    "$@"
	done
}

edge_ready() { # DAEMON-NUMBER
	[ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
	    "http://$(edge_ip "$1"):8083/readyz")" = 200 ]
}

# Whether daemons 1 to COUNT are ready.
all_ready() {
	for n in $(seq $COUNT); do
		edge_ready "$n" || return 1
	done
}

control() { # SWITCH NUMBER
	curl -s -m 5 -X PUT --data "$1 $2" "$STORE/control"
}

journal() {
	curl -s -m 5 "$STORE/journal"
}

journal_has() { # PATTERN
	journal | grep -q "$1"
}

runs_of() { # ENDPOINT: number of requests that it ran
	journal | grep -c "^$1 ran "
}

metric() { # DAEMON-NUMBER NAME
	curl -s -m 5 "http://$(edge_ip "$1"):9464/metrics" |
	    sed -n "s/^banklift_$2 //p"
}

# Prints which of daemons 1 to COUNT read the entries for the others.
readers() {
	for n in $(seq $COUNT); do
		[ "$(metric "$n" reader)" = 1 ] && echo "$n"
	done
}

# put_config VERSION [sed expression]: writes the default configuration.
put_config() {
	cat <<END | tr -d '\n' | sed "${2:-}" |
{"version":$1,"routes":[
{"name":"write","host":"h","path_prefix":"/write/","route_kind":"streaming",
"timeout_ms":4000,"target_latency_ms":500,"service":"lm","max_attempts":2,
"resumable":true},
{"name":"once","host":"h","path_prefix":"/once/",
"route_kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,
"service":"board","max_attempts":1},
{"name":"look","host":"h","path_prefix":"/look/","route_kind":"idempotent",
"timeout_ms":2000,"target_latency_ms":300,"service":"board",
"max_attempts":2},
{"name":"free","host":"h","path_prefix":"/free/","route_kind":"idempotent",
"timeout_ms":2000,"service":"board","max_attempts":2,"public":true}],
"services":[{"name":"lm","engine":{"slots":8,"step_ms":2,"read_per_s":46000,
"chunk":2048,"stride":5,"loads_per_s":40,"loads_at_once":6,"models":[
{"name":"m","size":2,"share":1,"pace":1,"load_s":0.1,"warm_s":0.1}]}},
{"name":"board"}],
"tenants":[{"name":"club","api_keys":["k1","k2"]}],
"limits":{"max_header_bytes":2000,"max_body_bytes":5000,
"header_timeout_ms":600,"idle_timeout_ms":3000}}
END
	    curl -s -m 5 -X PUT --data-binary @- "$STORE/config"
}

# start_edge_platform ENGINES SERVICES
start_edge_platform() {
	start platform "$BUILD/standin-platform" "$NET" "$1" "$2"
	until_true 10 curl -s -m 1 "$STORE/journal"
}

# ask DAEMON-NUMBER PATH [curl argument...]: prints the body, then the status.
ask() {
	url=$(edge_url "$1")$2
	shift 2
	curl -s -m 10 -w ' %{http_code}' -H 'Host: h' -H "X-Api-Key: ${KEY-k1}" \
	    -H "Attempt-Id: t$(date +%s%N)" -H 'Model: m' \
	    -H 'Token-Counts: 100,40' "$@" "$url"
}

status_last() {
	grep -o '[0-9]*$' | tail -n 1
}

# Prints the ids of the events of a stream, in one line.
event_ids() {
	sed -n 's/^id: //p' | tr '\n' ' '
}

groups_open() { # DAEMON-NUMBER COUNT
	[ "$(metric "$1" groups_open)" = "$2" ]
}

# ask_paced SECONDS DAEMONS PATH [curl argument...]: sends 25 requests a second,
# round-robin to the first DAEMONS daemons; writes the status codes to $ASKED.
ASKED=$RUN/asked
ask_paced() {
	: >"$ASKED"
	left=$(($1 * 25))
	daemons=$2
	path=$3
	shift 3
	while [ "$left" -gt 0 ]; do
		left=$((left - 1))
		ask $((left % daemons + 1)) "$path" "$@" 2>/dev/null |
		    status_last >>"$ASKED" &
		asking="${asking:-} $!"
		sleep 0.035
	done
	# Wait for the requests only: the daemons keep running.
	# shellcheck disable=SC2086
	wait $asking
	asking=
}

answered() { # STATUS: number of responses of the last ask_paced with it
	grep -c "^$1$" "$ASKED"
}
