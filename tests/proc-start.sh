# A daemon that starts says that it is ready only once it can serve: not before it has
# the platform's host list, however early it has the configuration, nor before it has
# read the log to its end, which takes several reads.
. tests/lib.sh

HOSTS_PER_REPLICA=1
start_platform
start_engines 1 2 50 1
start_services 1 1
put_hosts
# More records than one read gives, before the resources; they are void.
curl -s -o /dev/null -d '{}' "$LOG_URL/streams/config/records?n=[1-1100]"
start_daemon 1 1
until_true 10 curl -s "$(client_url 1 1)/health"
until_true 10 apply_resources '{"mvd-centro":2}'
until_true 10 complete_ok 1 1
until_true 10 service_ok 1 1

in_log() { # DAEMON PATTERN
	grep -q "$2" "$RUN/$1.log"
}
has_configuration() {
	grep -o 'view_published.*next=[0-9]*' "$RUN/daemon-1-2.log" |
	    grep -qv 'next=[01]$'
}

# The host list doesn't respond.
stop hosts STOP
start_daemon 1 2
check_true "it has the configuration" until_true 5 has_configuration
said=no
for _ in $(seq 1 20); do
	ready 1 2 && said=yes
	sleep 0.02
done
check "without the host list it isn't ready" no "$said"
check_true "its log says why" in_log daemon-1-2 'event=not_ready reason=no_hosts'

# What it says first, it keeps.
stop hosts CONT
check_true "with the host list it is" until_true 10 ready 1 2
check "then a completion is served" 200 "$(complete 1 2 ping 1 | status_of)"
check "then a service is called" 200 \
    "$(call 1 2 /s/board/ping | status_of)"
check_true "its log says so" in_log daemon-1-2 ' event=ready '
answers() { # what it said, as far as that is logged
	sed -n 's/.* event=\(ready\|not_ready reason=[a-z_]*\) .*/\1/p' \
	    "$RUN/daemon-1-2.log"
}
check "an answer is logged when it differs from the last" "" \
    "$(answers | uniq -d)"

# Each read of the log takes a while.
fault "$LOG_URL" '{"slow_ms":1500}'
start_daemon 1 3
known() { # NEXT: whether daemon 3 has the configuration before this offset
	grep -q "view_published next=$1" "$RUN/daemon-1-3.log"
}
check_true "it has the first of the records" until_true 5 known 1001
said=no
for _ in $(seq 1 5); do
	ready 1 3 && said=yes
	sleep 0.02
done
check "before the last of them it isn't ready" no "$said"
check_true "with all of them it is" until_true 10 ready 1 3
check "then a completion is served there" 200 \
    "$(complete 1 3 ping 1 | status_of)"
fault "$LOG_URL" '{"slow_ms":0}'

# Leaving is logged too.
stop daemon-1-2 TERM
check_true "it says that it leaves" until_true 5 sh -c \
    "[ \"\$(curl -s $(client_url 1 2)/health)\" = leaving ]"
check_true "its log says so" in_log daemon-1-2 'event=not_ready reason=leaving'
wait "$(pid_of daemon-1-2)"
check "it exits with status 0" 0 $?
verdict
