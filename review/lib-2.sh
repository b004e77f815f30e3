# Shared by the scripts of the cases from 4 on, beside lib.sh. To be sourced in the
# folder of a case.
. "$(dirname "$0")/../lib.sh"

# count_lost WHAT: channels 1 to 6 each had a request sN, which must have got its
# whole answer, and then rN. Sets `lost` to how many of the rN that a server ran got
# none; tells and records it, with WHAT they are.
count_lost() {
	ran=0
	lost=0
	[ "$(cat "$TMP"/answer-* | grep -c '^s.* whole 200 ')" -eq 6 ] ||
	    unable "not every channel had a whole answer and was kept"
	for n in 1 2 3 4 5 6; do
		grep -q " ran [^ ]* r$n\$" "$TMP/stand.log" || continue
		ran=$((ran + 1))
		grep -q "^r$n whole " "$TMP/answer-$n" || lost=$((lost + 1))
	done
	note "$lost of $ran $1 that ran without a whole answer"
	echo "$lost of $ran $1 that ran without a whole answer"
}
