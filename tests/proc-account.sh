# bankliftctl account: requests and hosts by time, from logs.
. tests/lib.sh

account() {
	"$BUILD/bankliftctl" account "$@"
}
check "rows of a recorded log" "$(cat tests/expected/account.txt)" \
    "$(account tests/logs/account.log)"
check "from standard input" "$(cat tests/expected/account.txt)" \
    "$(account <tests/logs/account.log)"
check "a log that can't be read" 1 "$(account no-such 2>/dev/null; echo $?)"
check "a log without lines" 4 "$(account </dev/null; echo $?)"

verdict
