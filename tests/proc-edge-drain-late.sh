# Guards against requests that a draining daemon takes late in its grace time since others
# were short, and then breaks off: streams on kept connections, and late uploads.
. tests/lib-drain.sh

GRACE_S=8
EVENT_MS=100

start_learned 6000 12

# Each stream takes 4 s from here on. The next request of its connection comes 3.7 s after
# the SIGTERM, 3.6 s before the daemon ends what is left.
control events 40
for n in 1 2; do
	begin_raw "stream-$n" 1 "$(text stream-$n-1 /write/x)" "sleep 4.2" \
	    "$(text stream-$n-2 /write/x)"
done
begin_raw short 1 "$(text short-1 /write/x)" "sleep 4.2" \
    "$(text short-2 /once/x | budget 2000)"
sleep 0.5
for n in 1 2; do
	begin_raw "upload-$n" 1 "$(text upload-$n /once/x 2)a" "sleep 3.7" b
done
terminate 1
until_ms 2500
control slow 5000
await_end 1

for n in 1 2; do
	check "a stream on a kept connection is refused" "200 503 no" \
	    "$(statuses stream-$n)$(ran stream-$n-2 && echo yes || echo no)"
	check "and told when to retry" 1 \
	    "$(grep -ac '^Retry-After: ' "$RUN/stream-$n")"
	check "so is an upload that ends late" "503 no" \
	    "$(statuses upload-$n)$(ran upload-$n && echo yes || echo no)"
	check "and told when to retry" 1 \
	    "$(grep -ac '^Retry-After: ' "$RUN/upload-$n")"
done
check "a request with its deadline before the end is sent" "200 504 yes" \
    "$(statuses short)$(ran short-2 && echo yes || echo no)"
verdict
