# Guards against daemons that take their own cut from the store, or one long ago, for an
# outage of it: they went on sending requests to endpoints whose entries had been removed,
# seconds after drain-ms, as entries that lapse in an outage are written again after it.
. tests/lib-edge.sh

DRAIN_MS=2000

# start_path DAEMON: a path of its own to the store, for the next daemon.
start_path() {
	# shellcheck disable=SC2016
	start "path-$1" sh -c 'exec "$0" "$1" "$2" <"$3"' "$BUILD/soak-proxy" \
	    "127.$NET.8.$1" "127.$NET.0.1" "$RUN/commands"
	STORE_AT=127.$NET.8.$1:9000
}

# ask_all PATH DAEMON...: a request at each daemon; prints the statuses.
ask_all() {
	path=$1
	shift
	for n; do
		ask "$n" "$path" 2>/dev/null | status_last
	done
}

# ask_for MS DAEMON...: requests at these daemons for some time; prints the statuses.
ask_for() {
	until=$(($(now_ms) + $1))
	shift
	while [ "$(now_ms)" -lt "$until" ]; do
		ask_all /free/x "$@"
	done
}

mkfifo "$RUN/commands"
exec 9<>"$RUN/commands"
start_edge_platform 2 3
put_config 1
for n in 1 2 3; do
	start_path "$n"
	start_edge "$n" --drain-ms $DRAIN_MS
done
COUNT=3
check_true "all are ready" until_true 15 all_ready

# All daemons fail to read the store once.
control down 1
sleep 3
control down 0
check_true "served after an outage" until_true 5 eval \
    '[ "$(ask_all /free/x 1 2 3 | sort -u)" = 200 ]'
sleep 4
for n in 1 2 3; do
	check "daemon $n has noticed that the store answers it again" \
	    "$(grep -c 'event=store_lost topic=endpoints' "$RUN/edge-$n.out")" \
	    "$(grep -c 'event=store_regained topic=endpoints' "$RUN/edge-$n.out")"
done

# An endpoint is taken away while the daemon that reads for the others is cut off.
who=$(readers | tail -n 1)
check_true "a daemon reads for the others" [ -n "$who" ]
others=$(echo 1 2 3 | tr -d "$who")
stop "path-$who" STOP
sleep 0.3
control "lapse-127.$NET.2.1" 1
removed=$(now_ms)
# shellcheck disable=SC2086
ask_for $DRAIN_MS $others >/dev/null
before=$(runs_of b1)
# shellcheck disable=SC2086
ask_for 2000 $others >"$RUN/asked"
check "the others send it nothing more after drain-ms" "$before" "$(runs_of b1)"
check_true "all of $(wc -l <"$RUN/asked") requests are served, in $(($(now_ms) - removed)) ms" \
    [ "$(sort -u "$RUN/asked")" = 200 ]
stop "path-$who" CONT
sleep 4

# Two endpoints are taken away while a daemon is cut off, as it learns later.
who=$(readers | tail -n 1)
stop "path-$who" STOP
sleep 0.3
control "lapse-127.$NET.2.2" 1
sleep 3
stop "path-$who" CONT
sleep 1
before=$(runs_of b2)
ask_for 1500 1 2 3 >/dev/null
check "nor does the daemon that was cut off, once it is back" "$before" "$(runs_of b2)"
control "lapse-127.$NET.2.1" 0
control "lapse-127.$NET.2.2" 0
served_by_all() {
	ask_for 300 1 2 3 >/dev/null
	[ "$(runs_of b1)" -gt "$1" ] && [ "$(runs_of b2)" -gt "$2" ]
}
check_true "entries that are written again are used" until_true 5 \
    served_by_all "$(runs_of b1)" "$(runs_of b2)"

# Entries that lapse in a true outage are written again soon after it: requests go on.
control down 1
sleep 2
for n in 1 2 3; do
	control "lapse-127.$NET.2.$n" 1
done
sleep 1
control down 0
ask_for 1500 1 2 3 >"$RUN/after"
for n in 1 2 3; do
	control "lapse-127.$NET.2.$n" 0
done
ask_for 1500 1 2 3 >>"$RUN/after"
check "all requests are served after an outage in which all entries lapsed" "200" \
    "$(sort -u "$RUN/after" | tr '\n' ' ' | sed 's/ $//')"
check_true "the outage is logged" grep -q event=store_outage "$RUN/edge-1.out"

# An entry that is removed after it is current.
sleep 3
control "lapse-127.$NET.2.3" 1
sleep 1.2
before=$(runs_of b3)
ask_for 1000 1 2 3 >/dev/null
check "an entry that is removed later is that of an endpoint that is gone" "$before" \
    "$(runs_of b3)"
verdict
