#!/bin/bash
# A requester posts on its kept channel after a stream that outlasts the first
# seconds after the SIGTERM of its daemon.
. "$(dirname "$0")/../lib.sh"

start_stand "$CASE/manifest.json" j1 lm-judges 21 a 26 j2 lm-judges 22 b 26 \
    b1 board-app 11 a 6 b2 board-app 12 b 6 b3 board-app 13 c 6
start_edge 1 a
start_edge 2 b
wait_ready 1 2
sleep 3.5

# Streams of 27 events: the first five end about 4 s after the SIGTERM, the
# others shortly before the end of the grace time. On the same channel follows a
# request that runs for 3.4 s, or for 0.45 s.
for n in 1 2 3 4 5 6 7 8 9; do
	gap=$((168 + 4 * n))
	work=3400
	[ "$n" -gt 5 ] && gap=$((271 + 3 * (n - 6))) && work=450
	note "channel $n to daemon 1: stream s$n, then request r$n"
	ask 1 "$TMP/answer-$n" \
	    POST "/verify/x?events=27&gap=$gap" "s$n" 8000 0 0 \
	    POST "/result/x?work=$work" "r$n" 4000 0 0
done
sleep 0.4
if [ "$TROUBLE" != 0 ]; then
	note "SIGTERM to daemon 1"
	kill -TERM "$EDGE_1"
fi
# shellcheck disable=SC2086
wait $ASKING
record_all "$TMP"/answer-*
[ "$(cat "$TMP"/answer-* | grep -c '^s.* whole 200 ')" -eq 9 ] ||
    unable "not all streams were whole"
ran=0
lost=0
for n in 1 2 3 4 5 6 7 8 9; do
	grep -q " ran [^ ]* r$n\$" "$TMP/stand.log" || continue
	ran=$((ran + 1))
	grep -q "^r$n whole " "$TMP/answer-$n" || lost=$((lost + 1))
done
note "$lost of $ran requests that ran without a whole answer"
echo "$lost of $ran requests that ran without a whole answer"
[ "$lost" -eq 0 ]
