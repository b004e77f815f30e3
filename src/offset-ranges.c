/* Ranges of a topic's offsets that are known here beyond a gap. */
#include <glib.h>
#include <string.h>

#include "offset-ranges.h"

/* Removes a number of ranges. */
static void
ranges_remove(struct offset_ranges *ranges, unsigned first, unsigned n)
{
	memmove(&ranges->at[first], &ranges->at[first + n],
	    (ranges->n - first - n) * sizeof ranges->at[0]);
	ranges->n -= n;
}

/* Merges a range into another one that it overlaps or continues. */
static void
range_merge(struct offset_range *into, const struct offset_range *range)
{
	into->from = MIN(into->from, range->from);
	if (range->end > into->end)
		into->as_of_ms = range->as_of_ms;
	else if (range->end == into->end)
		into->as_of_ms = MAX(into->as_of_ms, range->as_of_ms);
	into->end = MAX(into->end, range->end);
}

/**
 * offset_ranges_add() - note that a range is known.
 * @ranges: the ranges
 * @range: the range
 *
 * Return: false, and nothing is noted, if there are too many.
 */
bool
offset_ranges_add(struct offset_ranges *ranges,
    const struct offset_range *range)
{
	struct offset_range merged = *range;
	unsigned first = 0, n = 0;

	while (first < ranges->n && ranges->at[first].end < range->from)
		first++;
	while (
	    first + n < ranges->n && ranges->at[first + n].from <= range->end)
		range_merge(&merged, &ranges->at[first + n++]);
	if (n == 0 && ranges->n == OFFSET_RANGES_MAX)
		return (false);
	if (n > 1) {
		ranges_remove(ranges, first + 1, n - 1);
	} else if (n == 0) {
		memmove(&ranges->at[first + 1], &ranges->at[first],
		    (ranges->n - first) * sizeof ranges->at[0]);
		ranges->n++;
	}
	ranges->at[first] = merged;
	return (true);
}

/**
 * offset_ranges_absorb() - take out the ranges that continue what is known.
 * @ranges: the ranges
 * @next: all offsets before this one are known; moved past these ranges
 *
 * Return: the newest loop time as of which the topic ended within them; 0 if it
 * is unknown.
 */
uint64_t
offset_ranges_absorb(struct offset_ranges *ranges, uint64_t *next)
{
	uint64_t as_of_ms = 0;

	while (ranges->n > 0 && ranges->at[0].from <= *next) {
		*next = MAX(*next, ranges->at[0].end);
		as_of_ms = MAX(as_of_ms, ranges->at[0].as_of_ms);
		ranges_remove(ranges, 0, 1);
	}
	return (as_of_ms);
}

/**
 * offset_ranges_gap() - find a gap between the ranges.
 * @ranges: the ranges
 * @i: index of the gap
 * @next: all offsets before this one are known
 * @end: gaps are looked for up to this offset
 * @gap: filled in
 *
 * Return: false if there is no such gap.
 */
bool
offset_ranges_gap(const struct offset_ranges *ranges, unsigned i, uint64_t next,
    uint64_t end, struct offset_range *gap)
{
	if (i > ranges->n)
		return (false);
	memset(gap, 0, sizeof *gap);
	gap->from = i == 0 ? next : ranges->at[i - 1].end;
	gap->end = i < ranges->n ? MIN(ranges->at[i].from, end) : end;
	return (gap->from < gap->end);
}
