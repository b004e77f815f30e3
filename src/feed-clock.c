/*
 * Estimates of the clocks of the daemons that read entries for the others.
 *
 * A datagram may have waited for seconds in a queue, or in a daemon that passed
 * it on, so its arrival does not tell how old its content is. The sender's
 * clock does: the datagram that took the least time shows how far it differs
 * from the clock here, except for that time.
 */
#include <glib.h>
#include <stdbool.h>

#include "feed-clock.h"

/* Time after which an estimate no longer counts: clocks drift, and a host's
 * clock may stand still while it is suspended. */
#define WINDOW_MS 10000

/* Finds the estimate of a daemon's clock, or the one that was not used for
 * longest. */
static struct feed_clock *
clock_find(struct feed_clocks *clocks, uint64_t incarnation)
{
	struct feed_clock *oldest = &clocks->at[0];

	for (unsigned i = 0; i < FEED_CLOCKS_MAX; i++) {
		struct feed_clock *clock = &clocks->at[i];

		if (clock->incarnation == incarnation)
			return (clock);
		if (clock->used_ms < oldest->used_ms)
			oldest = clock;
	}
	return (oldest);
}

/* Adds a difference between the two clocks. */
static void
clock_add(struct feed_clock *clock, uint64_t incarnation, int64_t behind_ms,
    uint64_t now_ms)
{
	bool is_new = clock->incarnation != incarnation ||
	    now_ms - clock->window_ms >= 2 * WINDOW_MS;

	clock->used_ms = now_ms;
	if (!is_new && now_ms - clock->window_ms < WINDOW_MS) {
		clock->behind_ms[0] = MIN(clock->behind_ms[0], behind_ms);
		return;
	}
	clock->behind_ms[1] = is_new ? behind_ms : clock->behind_ms[0];
	clock->behind_ms[0] = behind_ms;
	clock->incarnation = incarnation;
	clock->window_ms = now_ms;
}

/**
 * feed_clocks_date() - when a datagram was sent, by the clock here.
 * @clocks: the estimates
 * @incarnation: random number of its sender's run
 * @sent_ms: when it was sent, by its sender's clock
 * @now_ms: loop time: when it arrived
 *
 * Return: loop time in ms, later than the actual one by the transit time of the
 * fastest datagram of that sender at most.
 */
uint64_t
feed_clocks_date(struct feed_clocks *clocks, uint64_t incarnation,
    uint64_t sent_ms, uint64_t now_ms)
{
	struct feed_clock *clock = clock_find(clocks, incarnation);
	int64_t date;

	clock_add(clock, incarnation, (int64_t)(now_ms - sent_ms), now_ms);
	date = (int64_t)sent_ms + MIN(clock->behind_ms[0], clock->behind_ms[1]);
	return (date > 0 ? (uint64_t)date : 0);
}
