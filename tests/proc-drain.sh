# A graceful shutdown interrupts no request: rolling restart of all daemons under
# load from streams and calls, behind a load balancer that follows /health.
. tests/lib.sh

HOSTS_PER_REPLICA=1
start_platform
start_engines 1 3 50 20
start_services 1 1
put_hosts
for i in 1 2 3; do
	start_daemon 1 "$i"
done
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":3}'
for i in 1 2 3; do
	until_true 10 complete_ok 1 "$i"
	until_true 10 service_ok 1 "$i"
done

# Load balancer: checks /health before each call and picks a ready daemon.
balanced() { # NUMBER
	i=$(($1 % 3 + 1))
	for _ in 1 2 3; do
		ready 1 "$i" && break
		i=$((i % 3 + 1))
	done
	echo "$i"
}
client() { # NUMBER: streams and calls until the file "stop" exists
	while [ ! -e "$RUN/stop" ]; do
		i=$(balanced "$1")
		out=$(curl -s -N -m 20 -H "Authorization: Bearer $CUSTOMER_KEY" \
		    -d '{"model":"judges","prompt":"x","max_tokens":30,"stream":true}' \
		    "$(client_url 1 "$i")/v1/completions")
		case $out in
		*DONE*) echo whole ;;
		*) echo "cut at daemon $i: $(echo "$out" | tail -n1)" ;;
		esac
		i=$(balanced "$1")
		s=$(call 1 "$i" /s/board/results -d x | status_of)
		if [ "$s" = 200 ]; then
			echo whole
		else
			echo "post $s at daemon $i"
		fi
	done >"$RUN/client-$1"
}
CLIENTS=""
for n in $(seq 1 6); do
	client "$n" &
	CLIENTS="$CLIENTS $!"
done
sleep 0.5
for i in 1 2 3; do
	stop "daemon-1-$i" TERM
	wait "$(pid_of "daemon-1-$i")"
	check "daemon $i exits with status 0 after its requests" 0 $?
	start_daemon 1 "$i"
	until_true 10 ready 1 "$i"
	until_true 10 complete_ok 1 "$i"
	until_true 10 service_ok 1 "$i"
done
touch "$RUN/stop"
# shellcheck disable=SC2086
wait $CLIENTS
cat "$RUN"/client-* >"$RUN/all"
check "no request was cut or refused" 0 "$(grep -vc '^whole$' "$RUN/all")"
grep -v '^whole$' "$RUN/all" | sort | uniq -c
echo "requests over the rolling restart: $(wc -l <"$RUN/all")"
check_true "there was load" test "$(wc -l <"$RUN/all")" -gt 30

# A stream that is open at the signal is completed, however long it takes.
curl -s -N -m 30 -H "Authorization: Bearer $CUSTOMER_KEY" -d \
    '{"model":"judges","prompt":"x","max_tokens":250,"stream":true}' \
    "$(client_url 1 1)/v1/completions" >"$RUN/long" &
LONG=$!
sleep 0.3
stop daemon-1-1 TERM
wait "$LONG"
check "an open stream is completed" "data: [DONE]" \
    "$(grep -v '^$' "$RUN/long" | tail -n1)"
wait "$(pid_of daemon-1-1)"
check "the daemon exits after it" 0 $?
verdict
