# Replays of the committed traces give exactly the committed tables.
. tests/lib.sh

replay() { # NAME ARGUMENT...
	name=$1
	shift
	"$(dirname "$BUILD")/debug/banklift-bench" "$@" >"$RUN/$name.txt"
	diff "tests/expected/$name.txt" "$RUN/$name.txt" >"$RUN/$name.diff"
	check "$name: as expected" 0 $?
	head -n 20 "$RUN/$name.diff"
}

replay placement placement traces/fabric-dark.txt traces/flapping.txt \
    traces/no-spare.txt traces/pauses.txt traces/rolling.txt \
    traces/single-host.txt traces/slow-store.txt
replay routing routing traces/prompts.csv
verdict
