# Guards against streams that a daemon ends because all endpoints are silent for some time:
# their endpoints go on afterwards and would have sent the rest.
. tests/lib-edge.sh
. tests/lib-streams.sh

B=127.$NET.2

# A job that has ended can stay in the list of `jobs` without -r or -s.
ended() { # NAME
	! echo "$(jobs -rp) $(jobs -sp)" | tr ' ' '\n' | grep -qx "$(pid_of "$1")"
}

start_edge_platform 6 2
change
start_edge 1
start_edge 2 --domain b
# Never has budget for a retry.
start_edge 3 --domain c --retry-ratio 0 --retry-slack 0
for d in 1 2 3; do
	check_true "daemon $d is ready" until_true 15 edge_ready "$d"
done
check_true "three replicas serve" until_true 15 groups_open 1 3
stream_events 40
begin_streams usual 12 1 2 3
await_streams
check_whole usual

# All engines stop while the configuration changes, and both plain endpoints under
# requests that may run once. More requests arrive meanwhile.
control slow 500
for ms in 1200 2500; do
	begin_streams "stop$ms" 12 1 2
	begin_streams "no-budget$ms" 6 3
	send_paced "once$ms" 4 /once/x 1 2
	control stop $ms
	control "stop-$B.1" $ms
	control "stop-$B.2" $ms
	change
	send_paced "meanwhile$ms" 6 /write/x 1 2 3
	change
	sleep 0.4
	change
	await_streams
	check_whole "stop$ms"
	check_whole "no-budget$ms"
	check_none_failed "meanwhile$ms"
	check "requests that may run once are served, $ms ms" 4 \
	    "$(grep -l '^status 200 ' "$RUN/once$ms".* | wc -l)"
	check "they ran once, $ms ms" "1 1 1 1" "$(journal |
	    awk -v c="once$ms." 'index($3, c) == 1 && $2 == "ran" { print $3 }' |
	    sort | uniq -c | awk '{ print $1 }' | xargs)"
done
control slow 0

# They stop twice, the second time with the store.
stream_events 90
begin_streams twice 12 1 2
control stop 1200
change
sleep 3
stop platform STOP
sleep 1.2
stop platform CONT
change
await_streams
check_whole twice
stream_events 40

# Signals to daemons while they stop. One daemon ends, another takes its place.
await_all_used 3 1 2
begin_streams signals 12 1 2
control stop 1500
sleep 0.2
stop edge-1 HUP
stop edge-2 TERM
start_edge 4 --domain b
change
await_streams
check_whole signals
check_true "the daemon has ended" until_true 8 ended edge-2
check_true "another is ready" until_true 10 edge_ready 4
check "the settings were reloaded" 1 "$(grep -c event=reloaded "$RUN/edge-1.out")"
verdict
