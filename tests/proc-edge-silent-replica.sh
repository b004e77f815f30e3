# Guards against streams that a daemon ends because one replica is silent for some time and
# no other goes on in its place: the replica goes on afterwards and would have sent the rest.
. tests/lib-edge.sh
. tests/lib-streams.sh

E=127.$NET.1
# Longest time to go on at another replica, and what a loaded machine adds to a stream.
MOVED_MS=1500

slower() { # CASE MS: streams that took longer
	sed -n 's/^status 200 \([^ ]*\) .*/\1/p' "$RUN/$1".* |
	    awk -v ms="$2" '$1 * 1000 > ms' | wc -l
}

# others SWITCH NUMBER: sets a switch of all heads but that of $first.
others() {
	for head in $(heads | grep -vx "$first"); do
		control "$1-$E.${head#e}" "$2"
	done
}

# begin CASE: begins streams at all replicas, of which the first then stops.
begin() {
	await_all_used 3 1 2
	first=$(heads | head -n 1)
	begin_streams "$1" 12 1 2
	check_true "$1: the replica that stops has streams" [ "$(runs_at "$first" "$1")" -gt 0 ]
	control "stop-$E.${first#e}" "$2"
}

start_edge_platform 6 1
change
start_edge 1
start_edge 2 --domain b
for d in 1 2; do
	check_true "daemon $d is ready" until_true 15 edge_ready "$d"
done
check_true "three replicas serve" until_true 15 groups_open 1 3
stream_events 40

# The others refuse the streams of the first, and go on with their own.
begin refused 2000
control full 1000
change
await_streams
control full 0
check_whole refused

# The others break the connections on which these come.
begin broken 2000
others break 1
change
await_streams
others break 0
check_whole broken

# The others stop as well, until after it has gone on.
begin silent 2000
others stop 3000
change
await_streams
check_whole silent

# The others stop as well, and refuse once they have gone on.
begin silent-refused 2000
others stop 1000
control full 1000
change
await_streams
control full 0
check_whole silent-refused

# The first never goes on: the others do, in time.
begin dead 60000
await_streams
check_whole dead
check "they go on at others in time" 0 "$(slower dead $((EVENTS * EVENT_MS + MOVED_MS)))"
verdict
