#!/bin/bash
# Servers leave, one after the other, each while the daemon that reads the store
# is cut off from it; the other daemons go on sending them requests.
. "$(dirname "$0")/../lib.sh"

SERVERS=(b1 board-app 11 a 12 b2 board-app 12 b 12 b3 board-app 13 c 12
    b4 board-app 14 a 12 b5 board-app 15 b 12 b6 board-app 16 c 12
    b7 board-app 17 a 12 b8 board-app 18 b 12 b9 board-app 19 c 12)
ROUNDS=6

start_stand "$CASE/manifest.json" "${SERVERS[@]}"
for n in 1 2 3; do
	start_pipe "$n"
	start_edge "$n" "$(echo a b c | cut -d' ' -f"$n")"
done
wait_ready 1 2 3
sleep 3.5

# The daemon that reads the entries for the others: the last to say so.
reader() {
	for n in 1 2 3; do
		grep -a 'event=reader_changed topic=endpoints' \
		    "$TMP/edge-$n.out" | tail -n 1 |
		    sed "s/.* at=\([0-9]*\) .*reader=\(.\).*/\1 \2 $n/"
	done | grep ' 1 ' | sort -n | tail -n 1 | cut -d' ' -f3
}

# Cuts a daemon off from the store, or heals the cut.
path_signal() { # SIGNAL NUMBER
	[ "$TROUBLE" != 0 ] || return 0
	note "path of daemon $2 to the store: $1"
	eval "kill -$1 \$PIPE_$2"
}

# Requests of 0.45 s by way of two daemons.
ask_others() { # DAEMON...
	for _ in $(seq 54); do
		for daemon; do
			sent=$((sent + 1))
			ask "$daemon" "$TMP/answer-$sent" POST \
			    "/result/x?work=450" "r$sent" 4000 0 0
		done
		sleep 0.05
	done
	# shellcheck disable=SC2086
	wait $ASKING
	ASKING=
}

sent=0
who=$(reader)
[ -n "$who" ] || unable "no daemon reads the entries"
path_signal STOP "$who"
sleep 3
path_signal CONT "$who"
sleep 3.6
for round in $(seq "$ROUNDS"); do
	who=$(reader)
	path_signal STOP "$who"
	sleep 0.3
	note "server b$round leaves"
	kill -USR1 "$STAND"
	# shellcheck disable=SC2046
	ask_others $(echo 1 2 3 | tr ' ' '\n' | grep -v "^$who$")
	path_signal CONT "$who"
	sleep 3.2
done

record_all "$TMP"/answer-*
late=0
failed=0
for round in $(seq "$ROUNDS"); do
	leaves=$(sed -n "s/ leaves b$round .*//p" "$TMP/stand.log")
	for id in $(awk -v end=$((leaves + 2000)) -v server="b$round" \
	    '$2 == "ran" && $3 == server && $1 > end { print $4 }' \
	    "$TMP/stand.log"); do
		late=$((late + 1))
		grep -q "^$id whole 200 " "$TMP/answer-${id#r}" ||
		    failed=$((failed + 1))
	done
done
note "$late requests reached a server over 2.0 s after it left; $failed failed"
echo "$late requests reached a server over 2.0 s after it left; $failed failed"
[ "$late" -eq 0 ]
