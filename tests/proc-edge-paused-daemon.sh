# Guards against connections that a daemon ends because it stood still itself: what came
# meanwhile must be read before a client counts as idle.
. tests/lib-edge.sh

start_edge_platform 4 2
put_config 1
start_edge 1
check_true "ready" until_true 15 edge_ready 1

# request FD ID: sends a request on a connection; response FD: prints its status.
request() {
	printf 'GET /free/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n\r\n' \
	    "$2" >&"$1"
}
response() {
	IFS=' ' read -r -t 8 -u "$1" _ status _
	while read -r -t 2 -u "$1" line && [ "$line" != $'\r' ]; do
		case $line in
		Content-Length:*) length=${line#*: } ;;
		esac
	done
	read -r -t 2 -N "${length%$'\r'}" -u "$1" _
	echo "${status:-none}"
}

exec 3<>"/dev/tcp/$(edge_ip 1)/8080" 4<>"/dev/tcp/$(edge_ip 1)/8080"
request 3 first
check "a request on a new connection" 200 "$(response 3)"
printf 'GET /free/x HTTP/1.1\r\nHost: h\r\n' >&4
sleep 0.2

# The daemon stands still for longer than a client may be idle, or take for a head.
stop edge-1 STOP
request 3 second
printf 'Attempt-Id: third\r\n\r\n' >&4
sleep 4
stop edge-1 CONT
check "a request on a kept connection" 200 "$(response 3)"
check "a request whose head was begun before" 200 "$(response 4)"
check_true "the pause is logged" until_true 2 grep -q event=paused "$RUN/edge-1.out"
verdict
