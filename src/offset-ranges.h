/* Ranges of a topic's offsets that are known here beyond a gap. */
#ifndef BL_OFFSET_RANGES_H
#define BL_OFFSET_RANGES_H

#include <stdbool.h>
#include <stdint.h>

/* Ranges that are kept; what lies beyond further gaps counts as missing. */
#define OFFSET_RANGES_MAX 64

/**
 * struct offset_range - consecutive offsets that are known.
 * @from: first of them
 * @end: offset after the last one
 * @as_of_ms: loop time as of which the topic ended at @end; 0 for unknown
 */
struct offset_range {
	uint64_t from;
	uint64_t end;
	uint64_t as_of_ms;
};

/**
 * struct offset_ranges - ordered ranges with a gap between any two of them.
 * @at: the ranges
 * @n: number of them
 */
struct offset_ranges {
	struct offset_range at[OFFSET_RANGES_MAX];
	unsigned n;
};

bool offset_ranges_add(struct offset_ranges *, const struct offset_range *);
uint64_t offset_ranges_absorb(struct offset_ranges *, uint64_t *);
bool offset_ranges_gap(const struct offset_ranges *, unsigned, uint64_t,
    uint64_t, struct offset_range *);

#endif
