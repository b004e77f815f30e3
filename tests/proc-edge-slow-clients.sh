# Guards against memory that grows with the number of clients that don't read: what was
# held was bounded for each connection only, at 256 KB and one read. Seen: 100 clients
# that don't read responses of 8 MB made the memory of a daemon grow by 11 MB and more;
# a few thousand would have taken all that the smallest hosts have.
. tests/lib-edge.sh

MAX=4194304
READ=65536
CLIENTS=100

start_edge_platform 2 3
put_config 1
start_edge 1 --memory-mb 16
check_true "the daemon is ready" until_true 10 edge_ready 1
check "it may hold a quarter of its memory" "$MAX" "$(metric 1 held_max_bytes)"
check "a request is served" 200 "$(ask 1 /look/x | status_last)"

control large 8000000
before=$(memory_kb edge-1 VmRSS)
start unread "$BUILD/load-unread" "$(edge_ip 1)" 8080 /look/x $CLIENTS
sleep 1
held=$(metric 1 held_bytes)
check_true "clients that don't read make it hold something ($held)" \
    [ "$held" -gt $READ ]
check_true "it holds its bound and one read for each at most" \
    [ "$held" -le $((MAX + CLIENTS * READ)) ]
grown=$(($(memory_kb edge-1 VmRSS) - before))
check_true "its memory grows by no more than that and a half ($grown KB)" \
    [ "$grown" -le $(((MAX + CLIENTS * READ) * 3 / 2 / 1024)) ]

control large 0
[ "$held" -gt "$MAX" ] && {
	out=$(ask 1 /look/x -D "$RUN/head")
	check "a new request is refused while there is no room" 503 \
	    "$(echo "$out" | status_last)"
	check "and told when to retry" 1 "$(grep -ci '^retry-after: 1' "$RUN/head")"
}
end unread
served() {
	[ "$(ask 1 /look/x | status_last)" = 200 ]
}
check_true "requests are served once the clients have left" until_true 10 served
all_free() {
	[ "$(metric 1 held_bytes)" = 0 ]
}
check_true "nothing is held any more" until_true 10 all_free

# A body that there is no room for is refused before it is read.
head -c 4500000 /dev/zero >"$RUN/body"
put_config 2 's/"max_body_bytes":5000/"max_body_bytes":8000000/'
sleep 2
check "a body beyond the room is refused" 503 "$(ask 1 /look/x -X POST \
    -H 'Expect:' --data-binary "@$RUN/body" 2>/dev/null | status_last)"
head -c 1000000 /dev/zero >"$RUN/body"
check "one that fits is served" 200 \
    "$(ask 1 /look/x -X POST --data-binary "@$RUN/body" | status_last)"
check_true "its bytes are released" until_true 5 all_free
verdict
