# Guards against one odd entry among those of the endpoints that ends the daemons which read
# it, or after which they stop following: deeply nested, out of range, of a wrong type, or
# with numbers that are accepted and then counted with.
. tests/lib-edge.sh

COUNT=3
ENGINES=8
# Sound entries are followed within this time.
FOLLOW_S=3
LARGE=9007199254740992

# put_entry KEY FILE: appends the content of a file as the entry of an endpoint.
put_entry() {
	length=$((1 + ${#1} + $(wc -c <"$2")))
	{
		printf "$(printf '\\x%02x' $((length >> 24 & 255)) $((length >> 16 & 255)) \
		    $((length >> 8 & 255)) $((length & 255)) ${#1})"
		printf %s "$1"
		cat "$2"
	} >"$RUN/record"
	curl -s -m 5 -X POST --data-binary "@$RUN/record" \
	    "$STORE/log-append?topic=keyed.servers&part=0" >"$RUN/appended"
}

# entry [SERVICE [sed expression]]: writes the entry of an endpoint where nothing listens.
entry() {
	cat <<END | sed "${2:-}" >"$RUN/entry"
{"service":"${1:-board}","address":"127.$NET.3.1:9000","zone":"a","version":"v1",
"slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1,"models":[],"staged":[]}
END
}

# add_odd NAME: adds what `entry` has written, beside the others.
add_odd() {
	put_entry "odd-$1" "$RUN/entry"
}

nested() { # COUNT: so many brackets, opened and closed
	printf '%*s' "$1" '' | tr ' ' '['
	printf '%*s' "$1" '' | tr ' ' ']'
}

endpoints_are() { # NUMBER: at each daemon
	for n in $(seq $COUNT); do
		[ "$(metric "$n" endpoints)" = "$1" ] || return 1
	done
}

lacks() { # ENDPOINT: whether no daemon sends it requests
	before=$(runs_of "$1")
	for n in $(seq $COUNT); do
		for _ in 1 2 3 4; do
			ask "$n" /look/x >/dev/null
		done
	done
	[ "$(runs_of "$1")" -eq "$before" ]
}

served() { # all daemons serve
	for n in $(seq $COUNT); do
		[ "$(ask "$n" /look/x | status_last)" = 200 ] || return 1
		[ "$(ask "$n" /write/x | status_last)" = 200 ] || return 1
	done
}

check_sound() { # NAME: all run, serve, and follow a removal
	for n in $(seq $COUNT); do
		check_true "$1: daemon $n runs" running "edge-$n"
	done
	check_true "$1: all serve" until_true 5 served
	control "lapse-127.$NET.2.4" 1
	check_true "$1: a removal is followed" until_true $FOLLOW_S lacks b4
	control "lapse-127.$NET.2.4" 0
	check_true "$1: so is its return" until_true $((2 * FOLLOW_S)) serves b4
}

serves() { # ENDPOINT
	! lacks "$1"
}

# An odd entry may claim an open group too.
replicas_serve() {
	[ "$(metric 1 groups_open)" -ge $((ENGINES / 2)) ]
}

start_edge_platform $ENGINES 4
put_config 1
start_edges $COUNT
check_true "the daemons are ready" until_true 10 all_ready
check_true "the replicas serve" until_true 20 replicas_serve

n=0
for value in "$(nested 100000)" "{\"a\":$(nested 3000)}" 1e999 '{"service":1e999}'; do
	n=$((n + 1))
	printf %s "$value" >"$RUN/entry"
	add_odd "value-$n"
done
for address in 127.1:9000 127.$NET.3.1:0 127.$NET.3.1:65536 127.$NET.3.1:99999 \
    127.$NET.3.1:-1 "127.$NET.3.1: 80" '[::1]:9000' 999.1.1.1:80 : ''; do
	n=$((n + 1))
	entry board "s/\"address\":\"[^\"]*\"/\"address\":\"$address\"/"
	add_odd "address-$n"
done
for field in service address zone version slots state cold_remaining_ms sequence models \
    staged; do
	for value in 18446744073709551616 -9223372036854775809 1e308 -1 0.5 null true '{}' \
	    '[[]]' '"\\u0001"'; do
		n=$((n + 1))
		entry board "s/\"$field\":[^,]*\([,}]\)/\"$field\":$value\1/"
		add_odd "field-$n"
	done
done
check_sound "odd entries beside sound ones"

# What is accepted is counted with: for engines, by the placer.
n=0
for change in "s/\"slots\":4/\"slots\":$LARGE/" \
    "s/\"cold_remaining_ms\":0/\"cold_remaining_ms\":$LARGE/" \
    "s/\"sequence\":1/\"sequence\":$LARGE,\"pace\":1e308/" \
    's/"sequence":1/"sequence":1,"pace":-1e308/' \
    's/"models":\[\]/"models":[{"name":"m"}]/; s/"sequence":1/"sequence":1,"group":{"name":"odd","epoch":'$LARGE',"rank":0,"state":"open"}/' \
    's/"sequence":1/"sequence":1,"group":{"name":"odd","epoch":'$LARGE',"rank":2147483647,"state":"ready"}/'; do
	for service in board lm; do
		n=$((n + 1))
		entry $service "$change; s/3\.1:/3.$n:/"
		add_odd "large-$n"
	done
done
check_sound "entries with large numbers"

# In place of a sound one: only that endpoint is not used until its next entry.
printf %s "$(nested 100000)" >"$RUN/entry"
for id in e1 e2 b1; do
	put_entry "$id" "$RUN/entry"
done
check_sound "in place of sound ones"

# The engines' groups are found again after their entries were removed.
for n in $(seq $ENGINES); do
	control "lapse-127.$NET.1.$n" 1
done
sleep 2
for n in $(seq $ENGINES); do
	control "lapse-127.$NET.1.$n" 0
done
check_true "the replicas serve again" until_true 30 replicas_serve

# Thousands: the log stays bounded.
lines=$(wc -l <"$RUN/edge-1.out")
printf '{"service":[]}' >"$RUN/entry"
for n in $(seq 1000); do
	put_entry "many-$n" "$RUN/entry"
done
check_sound "a thousand odd entries"
check_true "a daemon logs them once each at most" \
    [ "$(grep -c 'endpoint_refused endpoint=many-' "$RUN/edge-1.out")" -le 1000 ]
verdict
