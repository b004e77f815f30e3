# Guards against connections that are reset since the peer stops reading for some seconds: a
# closed window was taken for a dead peer after 8 s, whatever time the request had.
. tests/lib-edge.sh

BODY_BYTES=3900000
# Blocks of 1,000 bytes that are read before the pause.
PART_BLOCKS=100
PAUSE_S=9.5

# fetch ID PATH: reads a part of a response, and the rest after a pause.
fetch() {
	exec 3<>"/dev/tcp/$(edge_ip 1)/8080"
	printf 'POST %s HTTP/1.1\r\nHost: h\r\nX-Api-Key: k1\r\nAttempt-Id: %s\r\n' \
	    "$2" "$1" >&3
	printf 'Content-Length: 0\r\n\r\n' >&3
	while read -r -u 3 line && [ "$line" != $'\r' ]; do
		echo "$line" >>"$RUN/head-$1"
	done
	# The output may be chunked, so it is read to the end of the connection.
	dd bs=1000 count=$PART_BLOCKS iflag=fullblock <&3 >"$RUN/body-$1" 2>/dev/null
	sleep $PAUSE_S
	timeout 4 cat <&3 >>"$RUN/body-$1"
	exec 3>&-
}

# bytes ID: length of the body, without what chunks add.
bytes() {
	if grep -qi '^transfer-encoding: chunked' "$RUN/head-$1"; then
		tr -dc '\000' <"$RUN/body-$1" | wc -c
	else
		wc -c <"$RUN/body-$1"
	fi
}

# upload NUMBER: a request whose endpoint stops reading its body.
upload() {
	head -c $BODY_BYTES /dev/zero |
	    ask 1 /once/x -m 15 --data-binary @- >"$RUN/upload-$1"
}

start_edge_platform 2 3
put_config 1 's/"timeout_ms":2000/"timeout_ms":15000/g; s/"idle_timeout_ms":3000/"idle_timeout_ms":15000/
    s/"max_body_bytes":5000/"max_body_bytes":5000000/'
control large $BODY_BYTES
start_edge 1
check_true "the daemon is ready" until_true 10 edge_ready 1
asking=
for n in 1 2 3; do
	for path in once look; do
		fetch "$path-$n" "/$path/x" &
		asking="$asking $!"
	done
done
# shellcheck disable=SC2086
wait $asking
control large 0
for n in 1 2 3; do
	control "stop-127.$NET.2.$n" 9500
done
asking=
for n in 1 2 3; do
	upload "$n" &
	asking="$asking $!"
done
# shellcheck disable=SC2086
wait $asking
for n in 1 2 3; do
	check "an upload that is read late is answered" "whole answer 200" \
	    "$(cat "$RUN/upload-$n")"
done
for n in 1 2 3; do
	for path in once look; do
		check "$path: the response is whole" $BODY_BYTES "$(bytes "$path-$n")"
	done
done
verdict
