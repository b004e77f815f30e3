# A leaving endpoint gets no new requests after a few seconds, whether the endpoint or
# the host list says so first, also from daemons that are cut off from the host list.
. tests/lib.sh

start_platform
start_services 1 2
put_hosts
put_hosts
start_daemon 1 1
start_daemon 1 2
start_daemon 2 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
until_true 10 service_ok 1 1
until_true 10 service_ok 1 2
until_true 10 service_ok 2 1
S1=$(service_url 1 1)
S2=$(service_url 1 2)

# quiet URL: whether no daemon sends it any of 30 calls.
quiet() {
	before=$(curl -s "$1/journal" | wc -l)
	for _ in $(seq 1 10); do
		for d in "1 1" "1 2" "2 1"; do
			# shellcheck disable=SC2086
			call $d /s/board/x >/dev/null
		done
	done
	[ "$(curl -s "$1/journal" | wc -l)" -eq "$before" ]
}
# leave NAME URL: measures the time until no daemon sends it any call.
leave() {
	began=$(now_ms)
	check_true "$1: no new requests within 5 s" until_true 5 quiet "$2"
	echo "$1: no new requests after at most $(($(now_ms) - began)) ms"
}

# The endpoint reports it; the host list lags behind.
fault "$HOSTS_URL" '{"lag_ms":60000}'
fault "$S1" '{"leaving":1}'
leave "the endpoint says so, the host list lags" "$S1"
check "calls are served by the other endpoint" 200 \
    "$(call 2 1 /s/board/x | status_of)"
fault "$S1" '{"leaving":0}'
back() {
	had=$(curl -s "$S1/journal" | wc -l)
	quiet "$S2" || true
	[ "$(curl -s "$S1/journal" | wc -l)" -gt "$had" ]
}
check_true "not leaving any more: it gets requests again" until_true 10 back

# The host list reverts to an older one without the hosts: they answer probes and are
# still used.
put_hosts 's/{"name.*}]/]/'
put_hosts
fault "$HOSTS_URL" '{"lag_ms":60000}'
sleep 1.5
check "an older list without the hosts: calls are served" "200 200" \
    "$(call 1 1 /s/board/x | status_of) $(call 2 1 /s/board/x | status_of)"

# The host list says so; the endpoint does not report it.
fault "$HOSTS_URL" '{"lag_ms":0}'
put_hosts '/service-1-1/s/\("name":"service-1-1".*\)"state":"live"\(.*"name":"service-1-2"\)/\1"state":"leaving"\2/'
leave "the host list says so, the endpoint does not" "$S1"
put_hosts
check_true "listed as live again: it gets requests again" until_true 10 back

# A daemon that cannot reach the host list learns from its peers that an endpoint
# leaves.
end daemon-2-1
SAVED=$HOSTS_URL
HOSTS_URL=$SAVED
start_daemon 2 1
until_true 10 service_ok 2 1
fault "$HOSTS_URL" '{"down":1}'
fault "$S2" '{"leaving":1}'
leave "the host list is down, the endpoint says so" "$S2"
verdict
