# Guards against whole responses that are cut since their client reads slowly: connections
# that end were closed one second after the end of the response had been queued, and idle
# ones from three seconds after SIGTERM on, whether or not output still waited.
. tests/lib-edge.sh

# Sizes of responses in KB, some of which the sockets hold but for their last part.
SIZES="2400 2600 2800 3000 3200 3400 3600 3800 4000 4200 4400 4600 4800 5000 5200 5400"

# read_late NAME PAUSE-S: asks daemon 1, and reads nothing for some time.
read_late() {
	exec 3<>"/dev/tcp/$(edge_ip 1)/8080"
	printf 'GET /look/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: k1\r\nAttempt-Id: %s\r\n\r\n' \
	    "$1" >&3
	sleep "$2"
	timeout 6 cat <&3 >"$RUN/$1"
	exec 3>&-
}

# all_late CASE PAUSE-S: responses of all sizes, read late. Sets ASKING.
all_late() {
	ASKING=
	for kb in $SIZES; do
		control large $((kb * 1000))
		read_late "$1-$kb" "$2" &
		ASKING="$ASKING $!"
		sleep 0.05
	done
}

# cut CASE: sizes in KB of the responses that are not whole.
cut_responses() {
	for kb in $SIZES; do
		file=$RUN/$1-$kb
		head -n 1 "$file" | grep -q '^HTTP/1.1 200 ' || printf '%s ' "$kb"
		length=$(sed -n '/^\r$/q; p' "$file" | wc -c)
		chunked=$(head -c 2000 "$file" | grep -aic '^transfer-encoding: chunked')
		if [ "$chunked" = 1 ]; then
			tail -c 5 "$file" | grep -aq '^0' || printf '%s ' "$kb"
		elif [ "$(wc -c <"$file")" != $((length + 2 + kb * 1000)) ]; then
			printf '%s ' "$kb"
		fi
	done
}

start_edge_platform 2 3
put_config 1 's/"timeout_ms":2000/"timeout_ms":9000/g; s/"idle_timeout_ms":3000/"idle_timeout_ms":15000/'
start_edge 1 --memory-mb 500 --grace-s 8
check_true "the daemon is ready" until_true 10 edge_ready 1

# shellcheck disable=SC2086
all_late kept 3.5 && wait $ASKING
check "without a signal all responses are whole" "" "$(cut_responses kept)"

stop edge-1 TERM
sleep 0.3
# shellcheck disable=SC2086
all_late ending 3.5 && wait $ASKING
check "while the daemon drains all responses are whole" "" "$(cut_responses ending)"
check_true "it ends when they are read" until_true 3 grep -aq 'reason=drained' \
    "$RUN/edge-1.out"
verdict
