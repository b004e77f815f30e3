# A plain endpoint that named how many requests a second it takes from all daemons
# together got as many as before: the word was read by nothing. Counted are the
# requests that it ran: 58 in five seconds where it had named two a second, and 150 where
# three had named two each.
. tests/lib.sh

start_three_services

ran() { # SERVICE: requests that it ran
	curl -s "$(service_url 1 "$1")/journal" | grep -vc '^rest$'
}

fault "$(service_url 1 1)" '{"limit":2000}'
before=$(ran 1)
began=$(now_ms)
check "the others serve what it doesn't take" 150 "$(calls 150)"
most=$((($(now_ms) - began) * 2 / 1000 + 2))
got=$(($(ran 1) - before))
check_true "it gets what it takes, and not more ($got of $most)" \
    test "$got" -gt 0 -a "$got" -le "$most"

fault "$(service_url 1 2)" '{"limit":2000}'
fault "$(service_url 1 3)" '{"limit":2000}'
calls 10 >/dev/null
before=$(($(ran 1) + $(ran 2) + $(ran 3)))
began=$(now_ms)
served=$(calls 150)
most=$((($(now_ms) - began) * 6 / 1000 + 3))
got=$(($(ran 1) + $(ran 2) + $(ran 3) - before))
check_true "three get what they take, and not more ($got of $most)" \
    test "$got" -le "$most" -a "$got" -ge $((most / 2))
check "what they ran was served" "$got" "$served"

for s in 1 2 3; do
	fault "$(service_url 1 $s)" '{"limit":0}'
done
check_true "over, all serve again" until_true 8 eval '[ "$(calls 10)" = 10 ]'
verdict
