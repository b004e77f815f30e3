# A customer's rate limit applies to all daemons together; a customer that floods does
# not affect another one.
. tests/lib.sh

start_platform
start_services 1 1
put_hosts
start_daemon 1 1
start_daemon 1 2
start_daemon 2 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
printf '[{"type":"customer","name":"flood","spec":{"key_sha256":"%s","rate":30,"burst":3}}]' \
    "$(printf %s flood-key | sha256sum | cut -d' ' -f1)" >"$RUN/flood.json"
ctl 1 1 apply -f "$RUN/flood.json" >/dev/null
for d in "1 1" "1 2" "2 1"; do
	# shellcheck disable=SC2086
	until_true 10 service_ok $d
done
sharing() { # COUNT: whether all running daemons share limits among COUNT
	for d in 1-1 1-2 2-1; do
		[ -n "$(pid_of "daemon-$d")" ] || continue
		kill -0 "$(pid_of "daemon-$d")" 2>/dev/null || continue
		grep -h event=limits_shared "$RUN/daemon-$d.log" | tail -n1 |
		    grep -q "daemons=$1\$" || return 1
	done
}
check_true "three daemons share the limits" until_true 10 sharing 3

# flood SECONDS: sends 40 calls/s to each daemon, four times the limit in sum. One
# process sends all calls to a daemon, so that a loaded machine does not make them too
# few (seen: 98 admitted of 120).
flood() {
	PIDS_FLOOD=""
	for d in "1 1" "1 2" "2 1"; do
		# shellcheck disable=SC2086
		url=$(client_url $d)/s/board/x
		curl -s --rate 40/s -o /dev/null \
		    -w '%{http_code}\n' -H "Authorization: Bearer flood-key" \
		    "$url?[1-$((40 * $1))]" >"$RUN/calls-${d% *}-${d#* }" &
		PIDS_FLOOD="$PIDS_FLOOD $!"
	done
}
flooded() { # sets n to the number of admitted calls
	# shellcheck disable=SC2086
	wait $PIDS_FLOOD
	n=$(cat "$RUN"/calls-[0-9]* | grep -c '^200$')
}
flood 4
# Meanwhile the other customer is served as before.
others=0
for _ in $(seq 1 30); do
	[ "$(call 1 1 /s/board/x | status_of)" = 200 ] && others=$((others + 1))
done
flooded
check "the other customer is not affected" 30 "$others"
echo "admitted over three daemons: $n in 4 s, the limit is 120"
check_true "the sum exceeds the limit by 10 percent at most" test "$n" -le 132
check_true "the customer gets most of its limit" test "$n" -ge 100

# A daemon is killed, others of its domain are alive: they take over its share.
end daemon-1-2
check_true "the others take over its share" until_true 10 sharing 2
flood 4
flooded
echo "admitted over two daemons: $n in 4 s"
check_true "two daemons exceed the limit by 10 percent at most" test "$n" -le 132
check_true "two daemons admit most of the limit" test "$n" -ge 100

# A whole domain is silent: it may be cut off but serving, so that its share is not
# given to others.
end daemon-2-1
sleep 2
flood 4
flooded
echo "admitted by the one daemon that is left: $n in 4 s, its share is 60"
check_true "the share of a silent domain is not used by others" test "$n" -le 66
verdict
