# Guards against more requests to a cold endpoint than it tolerates from all daemons
# together, beyond which it crashes. Seen: what entries tell of it was read by nothing;
# in this test all three endpoints crashed, seven times in seven seconds.
. tests/lib-edge.sh

B=127.$NET.2
COUNT=4

over_cold() {
	journal | grep -c '^over-cold'
}

start_edge_platform 4 3
put_config 1 's/{"name":"board"}/{"name":"board","cold_per_s":2}/
    s/{"name":"lm",/{"name":"lm","cold_per_s":2,/'
for n in $(seq $COUNT); do
	start_edge "$n" --domain "$(echo a b | cut -d' ' -f$((n % 2 + 1)))"
done
check_true "all are ready" until_true 15 all_ready
check_true "two replicas serve" until_true 15 groups_open 1 2

# One of three endpoints is cold: the others serve what exceeds its rate.
control cold-rate 2
control "cold-$B.1" 8000
ask_paced 6 $COUNT /look/x
check "all are served" 150 "$(answered 200)"
check "none is sent beyond the rate of a cold endpoint" 0 "$(over_cold)"

# All of them become cold at once: what exceeds their rates is refused, and none crashes.
for b in 1 2 3; do
	control "cold-$B.$b" 9000
done
ask_paced 7 $COUNT /look/x
check "all are served or refused" 175 $(($(answered 200) + $(answered 503)))
check "none is sent beyond the rate of any" 0 "$(over_cold)"
check "no endpoint crashed" 0 "$(journal | grep -c '^ended')"
all_served() {
	ask_paced 1 $COUNT /look/x
	[ "$(answered 200)" = 25 ]
}
check_true "all are served once they are warm" until_true 20 all_served

# Heads of replicas are protected as well.
control "cold-127.$NET.1.1" 8000
control "cold-127.$NET.1.2" 8100
ask_paced 6 $COUNT /write/x
check "streams are served by the others" 150 "$(answered 200)"
check "no head is sent more than it tolerates" 0 "$(over_cold)"

# A negative rate names no limit; one line says so.
put_config 2 's/{"name":"board"}/{"name":"board","cold_per_s":-3}/'
check_true "a negative rate is refused by a line" until_true 5 grep -q \
    'field_ignored field=cold_per_s reason=negative' "$RUN"/edge-1.out
ask_paced 1 $COUNT /look/x
check "all are served" 25 "$(answered 200)"
verdict
