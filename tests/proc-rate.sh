# Guards against daemons that ignore the rate limit that a plain endpoint names for all
# daemons together. Seen: 58 requests in five seconds where it had named two per second,
# and 150 where three endpoints had named two per second each.
. tests/lib.sh

start_three_services

ran() { # SERVICE: number of requests that it ran
	curl -s "$(service_url 1 "$1")/journal" | grep -vc '^rest$'
}

fault "$(service_url 1 1)" '{"limit":2000}'
before=$(ran 1)
began=$(now_ms)
check "the others serve what exceeds its limit" 150 "$(calls 150)"
most=$((($(now_ms) - began) * 2 / 1000 + 2))
got=$(($(ran 1) - before))
check_true "it gets no more than its limit ($got of $most)" \
    test "$got" -gt 0 -a "$got" -le "$most"

fault "$(service_url 1 2)" '{"limit":2000}'
fault "$(service_url 1 3)" '{"limit":2000}'
calls 10 >/dev/null
before=$(($(ran 1) + $(ran 2) + $(ran 3)))
began=$(now_ms)
served=$(calls 150)
most=$((($(now_ms) - began) * 6 / 1000 + 3))
got=$(($(ran 1) + $(ran 2) + $(ran 3) - before))
check_true "three get most of their limits, and no more ($got of $most)" \
    test "$got" -le "$most" -a "$got" -ge $((most / 2))
check "all that they ran was served" "$got" "$served"

for s in 1 2 3; do
	fault "$(service_url 1 $s)" '{"limit":0}'
done
check_true "after the limits all serve again" until_true 8 eval '[ "$(calls 10)" = 10 ]'
verdict
