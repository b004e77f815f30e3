# Guards against a response whose head an endpoint or a daemon cuts by a regular close: it
# was passed on as a whole 200 without a body, and taken by operators' commands for success.
. tests/lib.sh

RAW=127.$NET.1.101
BYTES=$RUN/bytes

# respond BYTES: what the raw stand-in sends from here on.
respond() {
	printf '%b' "$1" >"$BYTES"
}

# refused KIND: the client gets an error and no false outcome, idempotent or not.
refused() {
	for idempotent in yes no; do
		out=$(call 1 1 /s/board/x -H "Banklift-Idempotent: $idempotent" -d body -D -)
		outcome=$(echo "$out" | grep -i '^banklift-outcome' | cut -d' ' -f2 | tr -d '\r')
		check "$1, idempotent $idempotent" "502 unknown" \
		    "$(echo "$out" | status_of) $outcome"
	done
}

respond 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi'
start_platform
start raw "$BUILD/standin-raw" "$RAW" "$BYTES"
add_host service-raw "http://$RAW:9000" mvd-centro "" board service
put_hosts
start_daemon 1 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{}'
check_true "a whole response is passed on" until_true 10 service_ok 1 1

HEAD='HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n'
respond 'HTTP/1.1 200 O'
refused "half a status line"
respond 'HTTP/1.1 200 OK\r\n'
refused "a status line"
respond "${HEAD}Content-Le"
refused "half a field"
respond "${HEAD}Content-Length: 5"
refused "a field without its end"
respond "${HEAD}Content-Length: 0\\r\\n"
refused "no empty line"
respond "${HEAD}Content-Length: 0\\r\\n\\r"
refused "half of the empty line"
respond 'HTTP/1.1 500 Oops\r\nX-A'
refused "half a head of a failure"
respond 'HTTP/1.1 204 No Content\r\nX-A: b'
refused "half a head without a body"
respond 'HTTP/1.1 100 Continue\r\n\r\n'
refused "an interim response alone"
respond 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n'
refused "an interim response and half a head"
respond "${HEAD}Content-Length: 5\\r\\n\\r\\nhi"
refused "half a body"
respond "${HEAD}Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n"
refused "no last chunk"
respond "${HEAD}Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\nX-A"
refused "half of the trailers"
respond "${HEAD}Transfer-Encoding: chunked\\r\\n\\r\\n2\\r\\nhi\\r\\n0\\r\\n\\r\\n"
check "the last chunk: whole" 200 "$(call 1 1 /s/board/x -d body | status_of)"

# The same from a daemon to an operator's command.
printf '[{"type":"model","name":"x","spec":{}}]' >"$RUN/x.json"
for args in "apply -f $RUN/x.json" "delete model x" "get model" "get model x" status levels \
    "compare model x" watch "wait 1"; do
	respond 'HTTP/1.1 200 OK\r\nContent-Ty'
	# shellcheck disable=SC2086
	timeout 10 "$BUILD/bankliftctl" -s "http://$RAW:9000" -t 2000 $args \
	    >"$RUN/ctl.out" 2>"$RUN/ctl.err"
	code=$?
	check_true "bankliftctl $args fails ($code)" [ $code -ne 0 ]
	check_true "and says so" [ -s "$RUN/ctl.err" ]
	check "and shows nothing" "" "$(cat "$RUN/ctl.out")"
done
verdict
