# The whole path of banklift-edge on the stand-in platform.
. tests/lib-edge.sh

start_edge_platform 4 2
start_edge 1
start_edge 2
check "without a configuration: come back later" 503 \
    "$(until_true 10 curl -s -m 1 "http://$(edge_ip 1):9464/metrics"
    ask 1 /look/x | status_last)"
check_true "not ready without a configuration" eval '! edge_ready 1'
put_config 1
check_true "ready with one" until_true 10 edge_ready 1
check_true "the other too" until_true 10 edge_ready 2
check_true "two groups of two are formed" until_true 10 groups_open 1 2
check "each member was joined once" 4 "$(journal | grep -c ' join 202')"
check "and each head opened once" 2 "$(journal | grep -c ' open 202')"

check "a plain answer" "whole answer 200" "$(ask 1 /look/x)"
check "one that runs once" "whole answer 200" "$(ask 2 /once/x -d a)"
check "a stream, event by event" "0 1 2 3 4 5 6 7 " \
    "$(ask 1 /write/x -d p | event_ids)"
check "the customer is named, the key not passed on" 0 \
    "$(journal | grep ' ran ' | grep -vc ' club key=none')"
check "an unknown key" 401 "$(KEY=no ask 1 /look/x | status_last)"
check "no route" 404 "$(ask 1 /nowhere/x | status_last)"
check "a public route needs no key" 200 \
    "$(KEY='' ask 1 /free/x | status_last)"

# A stream that is cut in the middle of event 3 goes on elsewhere.
control cut 3
control cuts 1
check "cut in an event, resumed: gapless" "0 1 2 3 4 5 6 7 " \
    "$(ask 1 /write/x -d p | event_ids)"
check "it was resumed once" 1 "$(metric 1 resumed_total)"
control cut 0

# Answers that are not this request's, refusals, failures.
control stray 1
check "a stray answer before the right one" "whole answer 200" \
    "$(ask 1 /look/x)"
control full 1
check "refused by one endpoint, answered by another" "whole answer 200" \
    "$(ask 1 /look/x)"
control full 1
check "refused, not run: may be sent again though it runs once" \
    "whole answer 200" "$(ask 1 /once/x -d a)"
control error 1
check "a failure, tried again" "whole answer 200" "$(ask 1 /look/x)"
control error 1
check "a failure of what runs once is the answer" "failed 500" \
    "$(ask 1 /once/x -d a)"
control unframed 1
check "an answer without a length" "whole answer 200" "$(ask 1 /once/x -d a)"
control reset 1
check "reset without a length: never a success" 502 \
    "$(ask 1 /once/x -d a | status_last)"
control unframed 0
control reset 0
control noproof 1
check "a success without proof is none" 502 \
    "$(ask 1 /once/x -d a | status_last)"
control noproof 0

# Connections that are open fall silent for good while new ones work. Each
# endpoint has an idle one; the first request that meets one is sent again on a
# new one, and nothing else is sent on those that are left.
control slow 200
for _ in 1 2 3 4; do
	ask 1 /look/x >/dev/null &
done
sleep 1
control slow 0
control mute 1
check "a request on a connection that fell silent" "whole answer 200" \
    "$(ask 1 /look/x)"
quick() {
	timeout 0.5 curl -s -H 'Host: h' -H 'X-Api-Key: k1' \
	    -H 'Attempt-Id: q' "$(edge_url 1)/look/x"
}
check "then at once" "whole answer whole answer whole answer " \
    "$(for _ in 1 2 3; do quick; printf ' '; done)"

# The placer's own connections to hosts fall silent alike: the head of a group
# that another daemon suspects then is asked again on a new one, and the group
# stands.
placer=$([ "$(metric 1 placer)" = 1 ] && echo 1 || echo 2)
for _ in 1 2 3 4 5 6 7 8; do
	ask "$placer" /write/x -d p >/dev/null &
	ask $((3 - placer)) /write/x -d p >/dev/null &
done
sleep 1
doomed=$(cat "$RUN"/edge-[12].out | grep -c event=group_doomed)
control mute 2
check "a stream on a connection that fell silent" "0 1 2 3 4 5 6 7 " \
    "$(ask $((3 - placer)) /write/x -d p | event_ids)"
sleep 2
check "no group is dissolved for it" "$doomed" \
    "$(cat "$RUN"/edge-[12].out | grep -c event=group_doomed)"

# The story of a request from the logs of both daemons.
control cut 3
control cuts 1
ask 1 /write/x -d p -H 'Attempt-Id: told' >/dev/null
control cut 0
sleep 0.6
explain() {
	"$BUILD/bankliftctl" explain "$1" "$RUN/edge-1.out" "$RUN/edge-2.out"
}
id=$(sed -n 's/.*event=request_again id=\([^ ]*\) .*/\1/p' \
    "$RUN/edge-1.out" | tail -n 1)
check "explained: sent, sent again, answered" \
    "request_sent request_again request_sent request_answered " \
    "$(explain "$id" | sed -n 's/.*event=\(request_[a-z]*\) .*/\1/p' |
    tr '\n' ' ')"
check "why it was sent again" 1 \
    "$(explain "$id" | grep -c 'reason=connection_lost')"
check "an id that no log has" 4 "$(explain nobody 2>/dev/null; echo $?)"

# Configurations come and go; versions never go back.
put_config 3 's/"k1",//'
check_true "a key taken away opens nothing" until_true 5 eval \
    '[ "$(ask 1 /look/x | status_last)" = 401 ]'
check "the other key still does" 200 \
    "$(KEY=k2 ask 1 /look/x | status_last)"
put_config 2
sleep 0.5
check "an older version changes nothing" 401 "$(ask 1 /look/x | status_last)"
put_config 4
check_true "the newest one is in force" until_true 5 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'

# A group whose member is lost is closed, and its host reused.
heads=$(journal | sed -n 's/ open 202$//p' | tr '\n' ' ')
for member in e1 e2 e3 e4; do
	[[ " $heads" == *" $member "* ]] || break
done
control "dark-127.$NET.1.${member#e}" 1
check_true "one group less" until_true 15 groups_open 1 1
check "streams go on" "0 1 2 3 4 5 6 7 " "$(ask 1 /write/x -d p | event_ids)"
control "dark-127.$NET.1.${member#e}" 0
# A head that was told to close may serve again first: the group is back when one
# was opened once more.
check_true "it is back" until_true 25 eval \
    '[ "$(journal | grep -c " open 202")" -ge 3 ] && groups_open 1 2'

# The placer dies; another takes over and keeps the groups.
placer=1
[ "$(metric 2 placer)" = 1 ] && placer=2
other=$((3 - placer))
opens=$(journal | grep -c ' open 202')
end "edge-$placer"
check_true "another daemon places" until_true 10 eval \
    '[ "$(metric $other placer)" = 1 ]'
check "with a higher term" 2 "$(metric $other placer_term)"
sleep 1
check "it knows from the store that requests have come" "0 1 " \
    "$(cat "$RUN"/edge-$placer.out "$RUN"/edge-$other.out |
    sed -n 's/.*event=placer_taken .*served=//p' | tr '\n' ' ')"
check "no group was touched" "$opens" "$(journal | grep -c ' open 202')"
check "streams go on there" "0 1 2 3 4 5 6 7 " \
    "$(ask $other /write/x -d p | event_ids)"

verdict
