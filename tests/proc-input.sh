# Invalid input gets a typed error; the daemon neither crashes nor leaks memory.
. tests/lib.sh

start_platform
start_services 1 1
put_hosts
start_daemon 1 1 --body-bytes 4096
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
until_true 10 service_ok 1 1

# bad NAME STATUS TYPE PATH [curl argument...]
bad() {
	name=$1
	want="$2 \"type\":\"$3\""
	path=$4
	shift 4
	out=$(call 1 1 "$path" "$@")
	check "$name" "$want" \
	    "$(echo "$out" | status_of) $(echo "$out" | grep -o '"type":"[a-z_]*"')"
}
head -c 5000 /dev/zero | tr '\0' x >"$RUN/big"
bad "a body that is too large" 413 body_too_large /v1/completions \
    --data-binary "@$RUN/big"
bad "a body that is not JSON" 400 bad_json /v1/completions -d 'no'
bad "a JSON array" 400 bad_json /v1/completions -d '[1]'
bad "no model" 422 bad_field /v1/completions -d '{"prompt":"x"}'
bad "a prompt of the wrong type" 422 bad_field /v1/completions \
    -d '{"model":"judges","prompt":7}'
bad "max_tokens out of range" 422 bad_field /v1/completions \
    -d '{"model":"judges","prompt":"x","max_tokens":0}'
bad "stream of the wrong type" 422 bad_field /v1/completions \
    -d '{"model":"judges","prompt":"x","stream":"yes"}'
bad "messages of the wrong form" 422 bad_field /v1/chat/completions \
    -d '{"model":"judges","messages":[{"role":1}]}'
bad "a deadline of the wrong form" 400 bad_header /s/board/x \
    -H 'Banklift-Deadline-Ms: soon'
bad "an idempotency mark of the wrong form" 400 bad_header /s/board/x \
    -H 'Banklift-Idempotent: maybe'
bad "a request id that is too long" 400 bad_header /s/board/x \
    -H "Banklift-Request-Id: $(head -c 101 "$RUN/big")"
bad "a priority out of range" 400 bad_header /v1/completions \
    -H 'Banklift-Priority: 10' -d '{"model":"judges","prompt":"x"}'
bad "an unknown service" 404 not_found /s/nobody/x
check "no key" 401 "$(curl -s -o /dev/null -w '%{http_code}' \
    "$(client_url 1 1)/s/board/x")"
check "operators: no token" 401 "$(curl -s -o /dev/null -w '%{http_code}' \
    "$(operator_url 1 1)/status")"
check "operators: not at the clients' address" 404 "$(curl -s -o /dev/null \
    -w '%{http_code}' "$(client_url 1 1)/status")"

# Clients that send an incomplete head or body.
for n in 1 2 3; do
	(printf 'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'; sleep 1) |
	    timeout 2 bash -c "cat >/dev/tcp/$(daemon_ip 1 1)/8080"
	(printf 'POST /s/board/x HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\nx'
	sleep 1) | timeout 2 bash -c "cat >/dev/tcp/$(daemon_ip 1 1)/8080"
done 2>/dev/null
check "after incomplete requests: served" 200 \
    "$(call 1 1 /s/board/x | status_of)"

# Random bytes at the peer address.
for _ in 1 2 3 4 5; do
	head -c 300 /dev/urandom |
	    timeout 1 bash -c "cat >/dev/udp/$(daemon_ip 1 1)/8082"
done
check "after random bytes at the peer address: served" 200 \
    "$(call 1 1 /s/board/x | status_of)"

# Settings.
setting() { # NAME MESSAGE FLAG...
	name=$1
	want=$2
	shift 2
	out=$("$BUILD/bankliftd" --name d --domain a --check "$@" 2>&1)
	check "$name" "2 bankliftd: $want" "$? $out"
}
setting "an unknown flag" "--nonsense: unknown option" --nonsense 1
setting "a number out of range" "--probe-ms: must be 20 to 30000 ms" \
    --probe-ms 5
setting "an address that is a name" \
    "--caller-address: must be an IP number and port" \
    --caller-address localhost:80
setting "times that contradict each other" \
    "--lease-hold-ms: must be twice --lease-renew-ms or more" \
    --lease-renew-ms 5000 --lease-hold-ms 6000
check "valid settings" 0 "$("$BUILD/bankliftd" --name d --domain a --check; echo $?)"

# The command line's exit codes.
ctl 1 1 get placement nobody >/dev/null 2>&1
check "ctl: not found" 4 $?
ctl 1 1 frobnicate >/dev/null 2>&1
check "ctl: usage" 2 $?
BANKLIFT_OPERATOR_TOKEN=wrong ctl 1 1 status >/dev/null 2>&1
check "ctl: refused" 1 $?
stop daemon-1-1 TERM
wait "$(pid_of daemon-1-1)"
check "the daemon exits with status 0 and leaks nothing" 0 $?
check "no sanitizer finding" 0 "$(grep -lE 'Sanitizer|runtime error' \
    "$RUN"/*.log | wc -l)"
verdict
