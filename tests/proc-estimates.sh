# bankliftctl estimates: first events by model, late or not and expected or not. Guards against
# truncated lines, moved requests and services without a model that are counted.
. tests/lib.sh

estimates() {
	"$BUILD/bankliftctl" estimates "$@"
}
EXPECTED="model=big in_time=1 false_alarms=0 late=0 foreseen=0
model=m in_time=2 false_alarms=1 late=3 foreseen=1"
check "counts of a recorded log" "$EXPECTED" \
    "$(estimates tests/logs/estimates.log)"
check "from standard input" "$EXPECTED" \
    "$(estimates <tests/logs/estimates.log)"
check "a log that cannot be read" 1 "$(estimates no-such 2>/dev/null; echo $?)"
check "a log without lines" 4 "$(estimates </dev/null; echo $?)"

verdict
