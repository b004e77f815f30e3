# Shared by the tests of prompt parts that crash endpoints.

COUNT=9
# Requests of the last ask_parts: statuses of the normal ones, and of the others.
NORMAL=$RUN/normal
CRASHING=$RUN/crashing

start_parts_fleet() {
	start_edge_platform 14 10
	control back 1500
	put_config 1
	start_edges $COUNT
	check_true "all are ready" until_true 15 all_ready
	check_true "all replicas serve" until_true 15 groups_open 1 7
}

# ask_parts SECONDS PATH [PARTS...]: sends 25 requests a second whose prompts share
# their first part, and five a second whose prompts begin with PARTS, which end in a
# comma; no two requests are alike, and each goes to the next daemon.
ask_parts() {
	: >"$NORMAL"
	: >"$CRASHING"
	left=$(($1 * 25))
	path=$2
	shift 2
	while [ "$left" -gt 0 ]; do
		left=$((left - 1))
		own=$((own + 1))
		at=$((own % COUNT + 1))
		ask $at "$path" --data "own $own" -H "Prompt-Prefix: \
aa000001:60,bb00000$((own % 6)):20,c$(printf %07x $own):20" 2>/dev/null |
		    status_last >>"$NORMAL" &
		asking="${asking:-} $!"
		if [ $((left % 5)) -eq 0 ] && [ $# -gt 0 ]; then
			parts=$1
			shift
			set -- "$@" "$parts"
			ask $((own / 5 % COUNT + 1)) "$path" --data "other $own" \
			    -H "Prompt-Prefix: ${parts}d$(printf %07x $own):20" \
			    2>/dev/null | status_last >>"$CRASHING" &
			asking="$asking $!"
		fi
		sleep 0.035
	done
	# shellcheck disable=SC2086
	wait $asking
	asking=
}
own=0

crashes() {
	journal | grep -c '^ended '
}

# Parts per thousand of the normal requests that were served.
served_normal() {
	echo $(($(grep -c '^200$' "$NORMAL") * 1000 / $(wc -l <"$NORMAL")))
}

# Number of parts and requests that daemons quarantined.
quarantined() {
	cat "$RUN"/edge-?.out |
	    sed -n 's/.*event=work_quarantined .*work=\([^ ]*\) .*/\1/p' |
	    sort -u | wc -l
}

# Time after the newest crash after which a daemon probes whether what is quarantined
# still crashes endpoints.
PROBE_MS=15000

# Number of such probes so far; where the machine is slow, the requests of a test take that
# long. Log lines wait up to 250 ms to be written.
probes() {
	sleep 0.5
	cat "$RUN"/edge-?.out | sed -n 's/.*event=work_probed .*blamed_for=\([^ ]*\).*/\1/p' |
	    awk -F, -v least=$PROBE_MS '{
		newest = -1
		for (i = 1; i <= NF; i++) {
			n = split($i, part, ":")
			if (newest < 0 || part[n] + 0 < newest)
				newest = part[n] + 0
		}
		due += newest >= least
	    } END { print due + 0 }'
}

# check_parts NAME PATH ENDED PARTS...: while requests whose prompts begin with
# PARTS come, ENDED endpoints end at most, and normal requests are served.
check_parts() {
	name=$1
	path=$2
	ended=$3
	shift 3
	ask_parts 3 "$path"
	before=$(served_normal)
	ended_before=$(crashes)
	ask_parts 8 "$path" "$@"
	ended_then=$(crashes)
	probes_then=$(probes)
	ask_parts 4 "$path" "$@"
	after=$(served_normal)
	probed=$(($(probes) - probes_then))
	check_true "$name: $ended end at most ($((ended_then - ended_before)))" \
	    [ $((ended_then - ended_before)) -le "$ended" ]
	check_true "$name: no endpoint ends after that, but one for each probe ($probed)" \
	    [ "$(crashes)" -le $((ended_then + probed)) ]
	check "$name: none is sent late" 0 "$(journal | grep -c '^over-crash ')"
	check_true "$name: normal ones are served ($before, then $after)" \
	    [ $((after * 100)) -ge $((before * 95)) ]
}
