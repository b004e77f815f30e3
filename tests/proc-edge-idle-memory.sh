# Guards against idle connections of clients that keep the memory of their last response: a
# daemon grew by its size with each one, until it was killed.
. tests/lib-edge.sh

CONNECTIONS=200
BODY_BYTES=250000
# Of 50 MB that were sent, 80 KB for each connection.
LIMIT_KB=16384
# Freed memory that the sanitizer keeps would count as used.
export ASAN_OPTIONS=${ASAN_OPTIONS:-}:quarantine_size_mb=1

# fetch ID: one response on a new connection, which is kept.
fetch() {
	exec {fd}<>"/dev/tcp/$(edge_ip 1)/8080"
	printf 'GET /look/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: k1\r\nAttempt-Id: %s\r\n\r\n' \
	    "$1" >&"$fd"
	while read -r -u "$fd" line && [ "$line" != $'\r' ]; do :; done
	head -c $BODY_BYTES <&"$fd" | wc -c
}

start_edge_platform 2 2
put_config 1 's/"idle_timeout_ms":3000/"idle_timeout_ms":30000/'
control large $BODY_BYTES
start_edge 1
check_true "the daemon is ready" until_true 10 edge_ready 1
fetch warm >"$RUN/warm"
before=$(memory_kb edge-1 VmRSS)
for n in $(seq $CONNECTIONS); do
	fetch "kept-$n"
done >"$RUN/lengths"
check "all responses are whole" $CONNECTIONS "$(grep -cx $BODY_BYTES "$RUN/lengths")"
sleep 1
grown=$(($(memory_kb edge-1 VmRSS) - before))
check_true "idle connections hold 16 MB at most ($grown KB)" [ "$grown" -le $LIMIT_KB ]
verdict
