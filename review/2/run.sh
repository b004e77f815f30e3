#!/bin/bash
# Requests that full servers have refused wait at a daemon that gets SIGTERM.
. "$(dirname "$0")/../lib.sh"

start_stand "$CASE/manifest.json" a1 app-1 11 a 2 a2 app-1 12 b 2 \
    b1 app-2 13 a 2 b2 app-2 14 b 2 c1 app-3 15 a 2 c2 app-3 16 b 2
start_edge 1 a
start_edge 2 b
wait_ready 1 2
sleep 3.5

# At each of three services, long requests by way of daemon 2 take all slots 30 ms
# before others come by way of daemon 1, which can't know it yet.
for service in 1 2 3; do
	for n in 1 2 3 4; do
		ask 2 "$TMP/long-$service$n" POST \
		    "/rebuild-$service/x?work=13500" "l$service$n" 15000 0 0
	done
	sleep 0.03
	for n in 1 2 3 4 5 6; do
		ask 1 "$TMP/answer-$service$n" POST \
		    "/result-$service/x?work=50" "r$service$n" 12000 0 0
	done
	note "sent l${service}1 to l${service}4, r${service}1 to r${service}6"
	sleep 0.1
done
if [ "$TROUBLE" != 0 ]; then
	note "SIGTERM to daemon 1"
	kill -TERM "$EDGE_1"
fi
# shellcheck disable=SC2086
wait $ASKING
record_all "$TMP"/long-* "$TMP"/answer-*
lost=$(cat "$TMP"/answer-* | grep -c ' none 0 ')
note "$lost of 18 requests without an answer"
echo "$lost of 18 requests without an answer"
[ "$lost" -eq 0 ]
