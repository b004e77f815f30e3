# Endpoints that turned requests away and said for how long they wanted nothing more
# got requests all the same. A failed call made the daemon prefer others for a quarter
# of a second, doubled each time, whatever the endpoint had asked for; and where all
# endpoints were out, it asked them anyway. Counted were the requests that endpoints
# turned away: 3 while the others served 50 calls, 17 and 18 of 40 calls where all
# three had asked for 4 s of rest.
. tests/lib.sh

start_three_services

rests() { # SERVICE: requests that it turned away
	curl -s "$(service_url 1 "$1")/journal" | grep -c '^rest$'
}

fault "$(service_url 1 1)" '{"rest_ms":4000}'
check "the others serve all" 50 "$(calls 50)"
check "one that asked for rest is left alone" 1 "$(rests 1)"

fault "$(service_url 1 2)" '{"rest_ms":4000}'
fault "$(service_url 1 3)" '{"rest_ms":4000}'
check "where all rest none is served" 0 "$(calls 40)"
check "and none is asked as the last resort" "1 1" "$(rests 2) $(rests 3)"
for s in 1 2 3; do
	fault "$(service_url 1 $s)" '{"rest_ms":0}'
done
check_true "after the rests all serve again" until_true 8 eval \
    '[ "$(calls 10)" = 10 ]'
verdict
