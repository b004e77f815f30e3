# Long outage of the log: requests that need no log are served, others are refused at
# once, and its recovery causes no burst of appends. A failure domain that is cut off
# still serves its own groups.
. tests/lib.sh

start_platform
start_engines 1 2 50 1
start_engines 2 2 50 1
start_services 1 1
put_hosts
start_daemon 1 1
start_daemon 2 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":1,"mvd-pocitos":1}'
until_true 10 complete_ok 1 1
until_true 10 complete_ok 2 1
both_own() {
	[ "$(ctl 2 1 -j get group | grep -c '"epoch"')" = 2 ]
}
until_true 10 both_own

appends() {
	curl -s "$LOG_URL/stats" | grep -o '[0-9]*'
}
fault "$LOG_URL" '{"down":1}'
sleep 3
check "log down for longer than every lease: prompts are served" 200 \
    "$(complete 1 1 hello 3 | status_of)"
check "log down: prompts are served in the other failure domain" 200 \
    "$(complete 2 1 hello 3 | status_of)"
check "log down: idempotent calls are served" 200 \
    "$(call 1 1 /s/board/x | status_of)"
began=$(now_ms)
check "log down: a non-idempotent call is refused" 503 \
    "$(call 1 1 /s/board/x -d x | status_of)"
check_true "log down: it is refused at once" test $(($(now_ms) - began)) -lt 1000

# Cut off from its peers and the platform: the other daemon is paused.
stop daemon-1-1 STOP
sleep 1.5
check "a domain alone serves its own group" 200 \
    "$(complete 2 1 hello 3 | status_of)"
stop daemon-1-1 CONT

before=$(appends)
fault "$LOG_URL" '{"down":0}'
leased() {
	ctl 1 1 -j status | grep -q '"controller": true' &&
	    ctl 2 1 -j status | grep -q '"controller": true'
}
check_true "log back: the domains have controllers again" until_true 10 leased
sleep 2
rate=$((($(appends) - before) / 2))
check_true "log back: no burst of appends ($rate appends/s)" test "$rate" -lt 25
check "log back: prompts are served" 200 "$(complete 1 1 hello 3 | status_of)"
check "log back: a non-idempotent call is served" 200 \
    "$(call 1 1 /s/board/x -d x | status_of)"

# The log is slow rather than down.
fault "$LOG_URL" '{"slow_ms":400}'
check "log slow: prompts are served" 200 "$(complete 1 1 hello 3 | status_of)"
check "log slow: a non-idempotent call is served, later" 200 \
    "$(call 2 1 /s/board/x -d x | status_of)"
verdict
