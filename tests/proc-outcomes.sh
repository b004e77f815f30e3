# The outcome "not run" is reported only if it is true: checks the ways in which a call
# can end, idempotent or not, against the endpoint's journal.
. tests/lib.sh

start_platform
start_services 1 1
add_host service-dead "http://127.$NET.1.199:9000" mvd-centro "" board service
put_hosts
start_daemon 1 1 --call-timeout-ms 4000
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
until_true 10 service_ok 1 1
S=$(service_url 1 1)

# row NAME IDEMPOTENT FAULT EXPECTED [curl argument...]: EXPECTED has the status, the
# outcome and the number of runs at the endpoint.
n=0
row() {
	n=$((n + 1))
	name=$1
	idempotent=$2
	id="row-$n"
	faults=$3
	expected=$4
	shift 4
	fault "$S" "$faults"
	out=$(call 1 1 /s/board/x -H "Banklift-Request-Id: $id" \
	    -H "Banklift-Idempotent: $idempotent" -d body -D - "$@")
	outcome=$(echo "$out" | grep -i '^banklift-outcome' |
	    cut -d' ' -f2 | tr -d '\r')
	check "$name, idempotent $idempotent" "$expected" \
	    "$(echo "$out" | status_of) $outcome $(journal_count "$id" "$S")"
	fault "$S" '{"cut_before":0,"cut_after":0,"not_started":0,"status":0,"slow_ms":0}'
}

row "answered" no '{}' "200 whole 1"
row "answered" yes '{}' "200 whole 1"
row "cut before running" no '{"cut_before":9}' "502 unknown 0"
row "cut before running" yes '{"cut_before":9}' "502 unknown 0"
row "cut after running" no '{"cut_after":9}' "502 unknown 1"
row "cut after running" yes '{"cut_after":9}' "502 unknown 1"
row "says not started" no '{"not_started":9}' "503 not_run 0"
row "says not started" yes '{"not_started":9}' "503 not_run 0"
row "its own 500" no '{"status":500}' "500 whole 1"
row "its own 500" yes '{"status":500}' "500 whole 1"
row "its own 503" no '{"status":503}' "503 whole 1"
row "its own 503" yes '{"status":503}' "503 whole 1"
row "its own 429" no '{"status":429}' "429 whole 1"
row "a status that HTTP/1.1 doesn't have" no '{"status":600}' "502 unknown 1"
row "a status that HTTP/1.1 doesn't have" yes '{"status":999}' "502 unknown 1"
row "slower than the deadline" no '{"slow_ms":900}' "504 unknown 1" \
    -H 'Banklift-Deadline-Ms: 300'
row "slower than the deadline" yes '{"slow_ms":900}' "504 unknown 1" \
    -H 'Banklift-Deadline-Ms: 300'
row "silent for the stall time" no '{"slow_ms":2500}' "200 whole 1"
row "silent for the stall time" yes '{"slow_ms":2500}' "200 whole 1"
row "silent to the deadline" no '{"slow_ms":4600}' "504 unknown 1"

# The endpoint is killed; for a short time the evidence of it is still valid.
end service-1-1
out=$(call 1 1 /s/board/x -H "Banklift-Request-Id: refused" -d body)
check "refused, idempotent no" '503 "outcome":"not_run"' \
    "$(echo "$out" | status_of) $(echo "$out" | grep -o '"outcome":"[a-z_]*"')"
verdict
