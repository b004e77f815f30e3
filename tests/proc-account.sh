# bankliftctl account: rows of requests and hosts over time, computed from logs.
. tests/lib.sh

account() {
	"$BUILD/bankliftctl" account "$@"
}
check "rows of a recorded log" "$(cat tests/expected/account.txt)" \
    "$(account tests/logs/account.log)"
check "from standard input" "$(cat tests/expected/account.txt)" \
    "$(account <tests/logs/account.log)"
# Logs that many daemons write at the same time have truncated lines.
check "a truncated line" "$(cat tests/expected/account.txt)" \
    "$( (cat tests/logs/account.log; tail -n 1 tests/logs/account.log |
    sed 's/event=.*/event=host_use host=h9/') | account)"
check "a log that cannot be read" 1 "$(account no-such 2>/dev/null; echo $?)"
check "a log without lines" 4 "$(account </dev/null; echo $?)"

verdict
