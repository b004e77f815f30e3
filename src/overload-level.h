/* Level: which first attempts of a service and model are refused while capacity
 * is short. Pure. */
#ifndef BL_OVERLOAD_LEVEL_H
#define BL_OVERLOAD_LEVEL_H

#include <stdbool.h>
#include <stdint.h>

#include "fwd-priority.h"

/* Interval of updates. */
#define OVERLOAD_UPDATE_MS 100
/* How long a level is held when the sums of the other daemons are lost. */
#define OVERLOAD_HOLD_MS 2000

/**
 * struct overload_input - what a level is computed from, for all daemons.
 * @asked: first attempts per second, by priority
 * @returned: attempts after a refusal per second
 * @admitted: requests sent for the first time per second
 * @late: first events after the objective per second
 * @queued: requests that wait for a slot
 * @running: requests at the usable endpoints
 * @capacity: largest number of requests there with which first events are
 *	expected in time
 * @slots: slots there
 * @duration_ms: time for which a request occupies its slot, as measured by this
 *	daemon; 0 if not known
 * @told: these are sums over all daemons; otherwise this daemon's own counts,
 *	times the number of daemons
 */
struct overload_input {
	double asked[FWD_PRIORITIES];
	double returned;
	double admitted;
	double late;
	double queued;
	double running;
	double capacity;
	double slots;
	double duration_ms;
	bool told;
};

/**
 * struct overload_level - the level of a service and model; zeroed at the
 *	start, which refuses nothing.
 * @updated_ms: loop time of the last update; 0 before the first
 * @told_ms: loop time at which sums of all daemons were last known, or of the
 *	first update
 * @share: share of all first attempts that is refused, 0 to 1
 * @priority: requests of higher priority are not refused
 * @fraction: fraction of the requests of @priority that is refused
 * @lower_fraction: fraction of the requests of lower priority that is refused
 * @duration_ms: average time for which a request occupies its slot
 * @room_per_s: first attempts per second that can be served in time
 */
struct overload_level {
	uint64_t updated_ms;
	uint64_t told_ms;
	double share;
	int priority;
	double fraction;
	double lower_fraction;
	double duration_ms;
	double room_per_s;
};

bool overload_level_due(const struct overload_level *, uint64_t);
void overload_level_update(struct overload_level *,
    const struct overload_input *, uint64_t);
double overload_level_fraction(const struct overload_level *, int);
bool overload_refuses(double, uint32_t);

#endif
