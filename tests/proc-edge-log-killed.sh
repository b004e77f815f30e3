# Guards against a log that lacks the reason of what a client met, because the daemon was killed
# before it wrote the end of its log.
. tests/lib-edge.sh

# broken_off: breaks off a stream and kills the daemon; prints how often its log tells of that.
broken_off() {
	start_edge 1
	until_true 15 edge_ready 1 && until_true 15 groups_open 1 2 ||
	    return
	ask 1 /write/x -d p >/dev/null
	stop edge-1 KILL
	grep -c 'event=request_broken_off' "$RUN/edge-1.out"
}

start_edge_platform 4 1
put_config 1
control cut 3
control cuts 9
for _ in 1 2 3; do
	check "a stream that is broken off just before a kill" 1 \
	    "$(broken_off)"
done

verdict
