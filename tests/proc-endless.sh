# Guards against bytes without end from an endpoint in many responses at once: each was
# bounded, but not all of them together, so that a daemon ran out of memory.
. tests/lib.sh

CALLS=24
MEMORY_MB=64
# The bound, and as much again for copies of what is received.
LIMIT_KB=$((2 * MEMORY_MB * 1024))
# Freed memory that the sanitizer keeps would count as used.
export ASAN_OPTIONS=${ASAN_OPTIONS:-}:quarantine_size_mb=4

start_platform
start_services 1 1
put_hosts
start_daemon 1 1 --response-memory-mb $MEMORY_MB
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
check_true "a service is called" until_true 10 service_ok 1 1
before=$(memory_kb daemon-1-1 VmHWM)
fault "$(service_url 1 1)" '{"endless":1}'
asking=
for n in $(seq $CALLS); do
	echo "$(call 1 1 /s/board/x -H 'Banklift-Idempotent: no' -d body |
	    status_of)" >"$RUN/status-$n" &
	asking="$asking $!"
done
# shellcheck disable=SC2086
wait $asking
grown=$(($(memory_kb daemon-1-1 VmHWM) - before))
check_true "memory grows by $((LIMIT_KB / 1024)) MB at most ($grown KB)" \
    [ "$grown" -le $LIMIT_KB ]
check "no response is passed on" $CALLS "$(cat "$RUN"/status-* | grep -c '^502$')"
fault "$(service_url 1 1)" '{"endless":0}'
check_true "the service is called again" until_true 10 service_ok 1 1
verdict
