#!/bin/bash
# A draining daemon passes on streams that outlast its grace time, as most streams
# of their service are short.
. "$(dirname "$0")/../lib-2.sh"

start_stand "$CASE/manifest.json" j1 lm-judges 21 a 26 j2 lm-judges 22 b 26 \
    s1 lm-summaries 11 a 26 s2 lm-summaries 12 b 26
start_edge 1 a
start_edge 2 b
wait_ready 1 2
sleep 3.5

# The usual traffic of the second service: streams of 3 to 6 events.
for n in 1 2 3 4 5 6 7 8; do
	ask 1 "$TMP/usual-$n" \
	    POST "/summary/x?events=5&gap=50" "u$n.1" 6000 0 0 \
	    POST "/summary/x?events=3&gap=50" "u$n.2" 6000 0 0 \
	    POST "/summary/x?events=6&gap=50" "u$n.3" 6000 0 0 \
	    POST "/summary/x?events=4&gap=50" "u$n.4" 6000 0 0 \
	    POST "/summary/x?events=5&gap=50" "u$n.5" 6000 0 0
done
sleep 2

# Streams of 27 events that begin before the SIGTERM and end about 4 s after it.
# On the same channel follows a stream of 50 events, the longest on the sheet.
for n in 1 2 3 4 5 6; do
	gap=$((168 + 4 * n))
	note "channel $n to daemon 1: stream s$n, then stream r$n"
	ask 1 "$TMP/answer-$n" \
	    POST "/verify/x?events=27&gap=$gap" "s$n" 8000 0 0 \
	    POST "/summary/x?events=50&gap=100" "r$n" 6000 0 0
done
sleep 0.4
if [ "$TROUBLE" != 0 ]; then
	note "SIGTERM to daemon 1"
	kill -TERM "$EDGE_1"
fi
# shellcheck disable=SC2086
wait $ASKING
record_all "$TMP"/usual-* "$TMP"/answer-*
count_lost streams
[ "$lost" -eq 0 ]
