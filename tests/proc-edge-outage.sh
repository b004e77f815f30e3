# banklift-edge during an outage of the store, and its shutdown.
. tests/lib-edge.sh

start_edge_platform 2 2
start_edge 1
start_edge 2
start_edge 3 --keys-fail-closed false
put_config 1
check_true "ready" until_true 10 edge_ready 1
check_true "a group serves" until_true 10 groups_open 1 1
check_true "ready" until_true 10 edge_ready 3
check "served" 200 "$(ask 1 /look/x | status_last)"

# SIGHUP reloads the settings and frees the old ones.
stop edge-1 HUP
check_true "reloaded" until_true 3 grep -q event=reloaded "$RUN/edge-1.out"

put_config 2 's/"k1","k2"/"k1"/'
check_true "a revoked key is denied" until_true 10 eval \
    '[ "$(KEY=k2 ask 3 /look/x | status_last)" = 401 ]'

# Keys are valid only while the configuration is known to be current, within the
# bound on revoked keys.
control down 1
check_true "keys are refused once their proof is too old" until_true 10 eval \
    '[ "$(ask 1 /look/x | status_last)" = 503 ]'
check "the refusal has Retry-After" 1 \
    "$(ask 1 /look/x -i | grep -ci '^retry-after: 0\.')"
check "a public route is served" 200 "$(ask 1 /free/x | status_last)"
check_true "an unknown route is not denied" until_true 5 eval \
    '[ "$(ask 1 /no/x | status_last)" = 503 ]'
check_true "not ready" eval '! edge_ready 1'
check_true "one daemon asks the store for all" until_true 5 eval \
    '[ "$(($(metric 1 reader) + $(metric 2 reader) + $(metric 3 reader)))" = 1 ]'
# Where keys fail open, those of the last known configuration stay valid.
check "a known key is served where keys fail open" 200 \
    "$(ask 3 /look/x | status_last)"
check "an unknown key is refused for now" 503 \
    "$(KEY=k3 ask 3 /look/x | status_last)"
check "a revoked key is still refused" 503 \
    "$(KEY=k2 ask 3 /look/x | status_last)"
check_true "ready where keys fail open" edge_ready 3
control down 0
check_true "requests are served again" until_true 10 eval \
    '[ "$(ask 1 /look/x | status_last)" = 200 ]'
check_true "the loss of the store was logged" \
    grep -q event=store_lost "$RUN/edge-1.out"
# Log lines are buffered for a short time.
check_true "the recovery of the store was logged" until_true 1 \
    grep -q event=store_regained "$RUN/edge-1.out"

# A draining endpoint gets no new requests.
control "drain-127.$NET.2.1" 1
sleep 1.5
before=$(journal | grep -c '^b1 ran')
for _ in 1 2 3 4 5 6; do ask 1 /look/x >/dev/null; done
check "no new request to a draining endpoint" "$before" \
    "$(journal | grep -c '^b1 ran')"
control "drain-127.$NET.2.1" 0

# A client that disconnects: its stream is ended at the endpoint.
timeout 0.05 curl -sN -H 'Host: h' -H 'X-Api-Key: k1' -H 'Attempt-Id: gone' \
    -H 'Model: m' -d p "$(edge_url 1)/write/x" >/dev/null
check_true "the endpoint sees the stream end" until_true 5 eval \
    'journal | grep -q "left gone" || ! journal | grep -q "ran gone"'

# SIGTERM: the daemon becomes unready, completes running requests, then exits.
control slow 1500
ask 1 /once/x -d a >"$RUN/late" &
until_true 5 eval 'journal | grep -c "/once/x" | grep -qv "^0$"'
stop edge-1 TERM
check_true "not ready at once" until_true 2 eval '! edge_ready 1'
control slow 0
check "new requests are still taken" 200 "$(ask 1 /look/x | status_last)"
check "their connections are closed" 1 \
    "$(ask 1 /look/x -i | grep -ci '^connection: close')"
check_true "the process exits" until_true 10 eval \
    '! kill -0 "$(pid_of edge-1)"'
check_true "the running request was answered" grep -q 'whole answer 200' "$RUN/late"
check_true "the start is logged" grep -q event=started "$RUN/edge-1.out"
check_true "the end is logged" grep -q event=stopped "$RUN/edge-1.out"

# Invalid settings stop the daemon with an error message.
check "an invalid setting" "banklift-edge: --drain-ms: must be 100 to 600000 ms" \
    "$("$BUILD/banklift-edge" --name x --domain a --drain-ms soon 2>&1)"
check "a missing setting" "banklift-edge: --name: is required" \
    "$("$BUILD/banklift-edge" --domain a 2>&1)"
printf '[banklift]\nname=edge-3\ndomain=a\nretry-ratio=0.5\ndrain-ms=\n' \
    >"$RUN/conf"
check "a settings file" 0 \
    "$("$BUILD/banklift-edge" --config "$RUN/conf" --check; echo $?)"
check "flags override it" 2 "$("$BUILD/banklift-edge" \
    --config "$RUN/conf" --retry-ratio many --check 2>/dev/null; echo $?)"

verdict
