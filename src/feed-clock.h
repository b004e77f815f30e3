/* Estimates of the clocks of the daemons that read entries for the others. */
#ifndef BL_FEED_CLOCK_H
#define BL_FEED_CLOCK_H

#include <stdint.h>

/* Daemons whose clocks are estimated at a time: the reader, and others that
 * read while it is lost. */
#define FEED_CLOCKS_MAX 4

/**
 * struct feed_clock - estimate of one daemon's clock.
 * @incarnation: random number of the daemon's current run; 0 for none
 * @behind_ms: least difference between the clock here at an arrival and the
 *	sender's clock at sending, in this window of time and in the last one
 * @window_ms: when this window began
 * @used_ms: when it was last used
 */
struct feed_clock {
	uint64_t incarnation;
	int64_t behind_ms[2];
	uint64_t window_ms;
	uint64_t used_ms;
};

/**
 * struct feed_clocks - estimates of several clocks.
 * @at: the estimates
 */
struct feed_clocks {
	struct feed_clock at[FEED_CLOCKS_MAX];
};

uint64_t feed_clocks_date(struct feed_clocks *, uint64_t, uint64_t, uint64_t);

#endif
