# Guards against requests to plain endpoints that have asked for a backoff. A failed call
# made the daemon prefer others for 250 ms, doubled each time, whatever the endpoint had
# asked for, and if all endpoints were out it used them anyway. Seen: 3 refused requests
# while the others served 50 calls; 17 and 18 of 40 calls where all three had asked for
# a backoff of 4 s.
. tests/lib.sh

start_three_services

refusals() { # SERVICE: number of requests that it refused
	curl -s "$(service_url 1 "$1")/journal" | grep -c '^rest$'
}

fault "$(service_url 1 1)" '{"rest_ms":4000}'
check "the others serve all" 50 "$(calls 50)"
check "an endpoint in backoff gets no further request" 1 "$(refusals 1)"

fault "$(service_url 1 2)" '{"rest_ms":4000}'
fault "$(service_url 1 3)" '{"rest_ms":4000}'
check "all endpoints in backoff: no call is served" 0 "$(calls 40)"
check "all endpoints in backoff: none is used as a last resort" "1 1" \
    "$(refusals 2) $(refusals 3)"
for s in 1 2 3; do
	fault "$(service_url 1 $s)" '{"rest_ms":0}'
done
check_true "after the backoffs all serve again" until_true 8 eval \
    '[ "$(calls 10)" = 10 ]'
verdict
