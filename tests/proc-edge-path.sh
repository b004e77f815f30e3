# End-to-end test of banklift-edge on the stand-in platform.
. tests/lib-edge.sh

start_edge_platform 4 2
start_edge 1
start_edge 2
check "refused without a configuration" 503 \
    "$(until_true 10 curl -s -m 1 "http://$(edge_ip 1):9464/metrics"
    ask 1 /look/x | status_last)"
check_true "not ready without a configuration" eval '! edge_ready 1'
put_config 1
check_true "ready with a configuration" until_true 10 edge_ready 1
check_true "the other daemon is ready too" until_true 10 edge_ready 2
check_true "two groups of two are formed" until_true 10 groups_open 1 2
check "each member was joined once" 4 "$(journal | grep -c ' join 202')"
check "each head was opened once" 2 "$(journal | grep -c ' open 202')"

check "a plain response" "whole answer 200" "$(ask 1 /look/x)"
check "a non-idempotent request" "whole answer 200" "$(ask 2 /once/x -d a)"
check "a stream, event by event" "0 1 2 3 4 5 6 7 " \
    "$(ask 1 /write/x -d p | event_ids)"
check "the customer is named, the key not passed on" 0 \
    "$(journal | grep ' ran ' | grep -vc ' club key=none')"
check "an unknown key" 401 "$(KEY=no ask 1 /look/x | status_last)"
check "no route" 404 "$(ask 1 /nowhere/x | status_last)"
check "a public route needs no key" 200 \
    "$(KEY='' ask 1 /free/x | status_last)"

# A stream that is cut in the middle of event 3 is resumed at another endpoint.
control cut 3
control cuts 1
check "cut in an event: resumed without a gap" "0 1 2 3 4 5 6 7 " \
    "$(ask 1 /write/x -d p | event_ids)"
check "it was resumed once" 1 "$(metric 1 resumed_total)"
control cut 0

# Stray responses, refusals, failures.
control stray 1
check "a stray response before the right one" "whole answer 200" \
    "$(ask 1 /look/x)"
control full 1
check "refused by one endpoint, answered by another" "whole answer 200" \
    "$(ask 1 /look/x)"
control full 1
check "refused, not run: a non-idempotent request is retried" \
    "whole answer 200" "$(ask 1 /once/x -d a)"
control error 1
check "a failure is retried" "whole answer 200" "$(ask 1 /look/x)"
control error 1
check "a failure of a non-idempotent request is returned" "failed 500" \
    "$(ask 1 /once/x -d a)"
control unframed 1
check "a response without a length" "whole answer 200" "$(ask 1 /once/x -d a)"
control reset 1
check "reset without a length: never a success" 502 \
    "$(ask 1 /once/x -d a | status_last)"
control unframed 0
control reset 0
control noproof 1
check "a success without Server-Signature is a failure" 502 \
    "$(ask 1 /once/x -d a | status_last)"
control noproof 0

# All open connections fall silent for good while new ones work. Each endpoint has
# an idle one: the first request that uses one is retried on a new one, and the other
# idle ones are not used any more.
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
check "the next requests are answered at once" "whole answer whole answer whole answer " \
    "$(for _ in 1 2 3; do quick; printf ' '; done)"

# The placer's connections to hosts fall silent too: it queries the head of a group
# that another daemon suspects again on a new one, and keeps the group.
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
check "no group is dissolved because of it" "$doomed" \
    "$(cat "$RUN"/edge-[12].out | grep -c event=group_doomed)"

# `bankliftctl explain` shows the timeline of a request from both daemons' logs.
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
check "explained: sent, retried, answered" \
    "request_sent request_again request_sent request_answered " \
    "$(explain "$id" | sed -n 's/.*event=\(request_[a-z]*\) .*/\1/p' |
    tr '\n' ' ')"
check "explained: the reason of the retry" 1 \
    "$(explain "$id" | grep -c 'reason=connection_lost')"
check "an id that no log has" 4 "$(explain nobody 2>/dev/null; echo $?)"

# New configurations take effect; an older version never does.
put_config 3 's/"k1",//'
check_true "a revoked key is denied" until_true 5 eval \
    '[ "$(ask 1 /look/x | status_last)" = 401 ]'
check "the other key is still valid" 200 \
    "$(KEY=k2 ask 1 /look/x | status_last)"
put_config 2
sleep 0.5
check "an older version changes nothing" 401 "$(ask 1 /look/x | status_last)"
put_config 4
check_true "the newest version is in force" until_true 5 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'

# A group that has lost a member is closed, and its other host is used again.
heads=$(journal | sed -n 's/ open 202$//p' | tr '\n' ' ')
for member in e1 e2 e3 e4; do
	[[ " $heads" == *" $member "* ]] || break
done
control "dark-127.$NET.1.${member#e}" 1
check_true "one group is closed" until_true 15 groups_open 1 1
check "streams are still served" "0 1 2 3 4 5 6 7 " "$(ask 1 /write/x -d p | event_ids)"
control "dark-127.$NET.1.${member#e}" 0
# A head that was told to close may still be reported open first: the group is back
# only when a third open has been carried out.
check_true "the group is back" until_true 25 eval \
    '[ "$(journal | grep -c " open 202")" -ge 3 ] && groups_open 1 2'

# The placer is killed; another daemon takes over and keeps the groups.
placer=1
[ "$(metric 2 placer)" = 1 ] && placer=2
other=$((3 - placer))
opens=$(journal | grep -c ' open 202')
end "edge-$placer"
check_true "another daemon is the placer" until_true 10 eval \
    '[ "$(metric $other placer)" = 1 ]'
check "with a higher term" 2 "$(metric $other placer_term)"
sleep 1
check "it knows from the store that requests were served" "0 1 " \
    "$(cat "$RUN"/edge-$placer.out "$RUN"/edge-$other.out |
    sed -n 's/.*event=placer_taken .*served=//p' | tr '\n' ' ')"
check "no group was changed" "$opens" "$(journal | grep -c ' open 202')"
check "streams are served there" "0 1 2 3 4 5 6 7 " \
    "$(ask $other /write/x -d p | event_ids)"

verdict
