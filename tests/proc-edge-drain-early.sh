# Guards against requests that a draining daemon takes right after SIGTERM since others were
# short, and then breaks off: streams that don't say how long they may be, and requests that
# their clients may not repeat.
. tests/lib-drain.sh

GRACE_S=8
EVENT_MS=100

start_learned 9000 24

# A stream without a maximum length.
stream() {
	text "$1" /write/x | sed 's/100,40/100/'
}

# Streams that end 0.8 s after the SIGTERM, and what follows on their connections. From
# 1.1 s on a stream takes 7 s, also one in progress.
control events 16
begin_raw budgeted 1 "$(text budgeted-1 /write/x)" "sleep 1.8" \
    "$(stream budgeted-2 | budget 7000)"
begin_raw unbounded 1 "$(text unbounded-1 /write/x)" "sleep 1.8" \
    "$(stream unbounded-2)"
begin_raw fitting 1 "$(text fitting-1 /write/x)" "sleep 1.8" \
    "$(text fitting-2 /look/x | budget 5000)"
begin_raw upload 1 "$(text upload /once/x 2)a" "sleep 2" b
sleep 0.8
terminate 1
begin_raw first 1 "$(stream first)"
begin_raw first-short 1 "$(text first-short /look/x | budget 5000)"
until_ms 1100
control events 70
control slow 7000
until_ms 1400
begin_raw new 1 "$(text new /once/x)"
until_ms 1600
control slow 20
until_ms 2500
begin_raw new-short 1 "$(text new-short /look/x | budget 3000)"
await_end 1

for name in budgeted unbounded; do
	check "$name: a stream on a kept connection is refused" "200 503 no" \
	    "$(statuses $name)$(ran $name-2 && echo yes || echo no)"
	check "$name: and told when to retry" 1 \
	    "$(grep -ac '^Retry-After: ' "$RUN/$name")"
done
for name in upload first new; do
	check "$name is refused" "503 no" \
	    "$(statuses $name)$(ran $name && echo yes || echo no)"
	check "$name: and told when to retry" 1 \
	    "$(grep -ac '^Retry-After: ' "$RUN/$name")"
	check "$name: and that the connection is closed" 1 \
	    "$(grep -ac '^Connection: close' "$RUN/$name")"
done
check "one whose deadline is before the end is sent" "200 200 " \
    "$(statuses fitting)"
check "it is also served on a new connection" "200 200 " \
    "$(statuses first-short)$(statuses new-short)"
verdict
