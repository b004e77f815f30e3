# Sixteen daemons in one failure domain form a cell with one relay and one reader of
# the store. The relay is killed, and another daemon must replace it.
. tests/lib-edge.sh

COUNT=16

# sum NAME: prints the sum of a metric over all running daemons.
sum() {
	total=0
	for n in $(seq 1 $COUNT); do
		value=$(metric "$n" "$1")
		total=$((total + ${value:-0}))
	done
	echo "$total"
}

all_ready() {
	for n in $(seq "${1:-1}" $COUNT); do
		edge_ready "$n" || return 1
	done
}

# relay_of DAEMON-NUMBER: prints the relay that its log names last.
relay_of() {
	sed -n 's/.*event=relay_changed relay=\([^ ]*\).*/\1/p' \
	    "$RUN/edge-$1.out" | tail -n 1
}

# one_relay RELAY FIRST: whether all daemons from FIRST on report to RELAY.
one_relay() {
	for n in $(seq "$2" $COUNT); do
		[ "edge-$n" = "$1" ] || [ "$(relay_of "$n")" = "$1" ] || return 1
	done
}

all_served() {
	for n in $(seq "${1:-1}" $COUNT); do
		[ "$(ask "$n" /look/x | status_last)" = 200 ] || return 1
	done
}

start_edge_platform 2 2
put_config 1
# The first has the most cores, so that it becomes the relay; the second is next.
for n in $(seq 1 $COUNT); do
	start_edge "$n" --cores "$(awk "BEGIN { print 17 - $n }")"
done
check_true "all are ready" until_true 10 all_ready
check_true "all report to the first" until_true 5 one_relay edge-1 1
check_true "each daemon knows the fifteen others" until_true 5 eval \
    '[ "$(sum peers)" = 240 ]'
# A daemon that stops being the reader notices it within two of its checks.
check_true "one daemon reads the store for all" until_true 3 eval \
    '[ "$(sum reader)" = 1 ]'
check_true "one daemon is the placer" until_true 10 eval '[ "$(sum placer)" = 1 ]'
check_true "all see one open group" until_true 10 eval \
    '[ "$(sum groups_open)" = 16 ]'
check_true "all serve" until_true 5 all_served

# entries_younger MS: whether the entries of all daemons are younger than this.
entries_younger() {
	for n in $(seq 1 $COUNT); do
		[ "$(metric "$n" endpoints_age_ms)" -lt "$1" ] || return 1
	done
}
check_true "all know that their entries are current" until_true 5 entries_younger 2000

# calls DAEMON-NUMBER: prints its store calls for entries and configuration.
calls() {
	curl -s -m 5 "http://$(edge_ip "$1"):9464/metrics" |
	    sed -n 's/^banklift_store_calls_total{topic="\(config\|endpoints\)"} //p' |
	    awk '{ n += $1 } END { print n }'
}
# The first daemon is the relay, but another may have taken the placer's lease
# before it and is the reader then.
reader=$(readers)
others=$(seq 1 $COUNT | grep -vx "$reader")
before=0
for n in $others; do
	before=$((before + $(calls "$n")))
done
sleep 3
after=0
for n in $others; do
	after=$((after + $(calls "$n")))
done
check "fifteen daemons are not readers" 15 "$(echo "$others" | wc -l)"
check "they make no calls to the store" "$before" "$after"

# A daemon that starts later takes the entries from its relay.
end edge-16
start_edge 16 --cores 0.5
check_true "the restarted daemon is ready" until_true 5 edge_ready 16
check_true "its entries came from the relay" until_true 1 \
    grep -q event=entries_taken "$RUN/edge-16.out"
check "it serves requests" 200 "$(ask 16 /look/x | status_last)"

# The relay, which is also reader and placer, is killed.
end edge-1
check_true "all report to the second" until_true 5 one_relay edge-2 2
check_true "all others serve" until_true 5 all_served 2
check_true "each daemon knows the fourteen others" until_true 5 eval \
    '[ "$(sum peers)" = 210 ]'
check_true "another daemon is the placer" until_true 10 eval '[ "$(sum placer)" = 1 ]'
check_true "one daemon is the reader" until_true 5 eval '[ "$(sum reader)" = 1 ]'
# Changes reach all daemons through the new relay.
put_config 2 's/"k1","k2"/"k1"/'
check_true "a revoked key is denied by all daemons" until_true 10 eval \
    '[ "$(for n in $(seq 2 16); do KEY=k2 ask $n /look/x | status_last; done |
    sort -u)" = 401 ]'
control "drain-127.$NET.2.1" 1
sleep 1.5
ran=$(journal | grep -c '^b1 ran')
all_served 2
check "no daemon sends to a draining endpoint" "$ran" \
    "$(journal | grep -c '^b1 ran')"
verdict
