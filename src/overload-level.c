/*
 * Level: which first attempts of a service and model are refused while capacity
 * is short. Pure.
 *
 * The share of the first attempts to refuse is the excess of what is asked over
 * what the replicas can serve in time: the requests at which first events are
 * expected in time, by the time for which each occupies its slot, less those
 * that return and those that are too many already. It is computed anew from the
 * sums at each update, so all daemons reach the same level whenever they
 * started. Stepwise adaptation to late first events and queues would react only
 * when requests are late, and again when the refused ones return.
 */
#include <math.h>
#include <string.h>

#include "overload-level.h"
#include "ramp.h"

/* Refusals set in gradually between these parts of the capacity in use. */
#define GATE_FROM 0.85
#define GATE_TO 1.0
/* Time within which requests beyond the capacity are to be worked off. */
#define DRAIN_S 1.0
/* Up to this part of the slots in use, and late part of the first events, the
 * capacity is not taken to be short, whatever is expected: many deployments run
 * well at 0.6 to 0.8 of their slots. */
#define SLOTS_TRUSTED 0.8
#define LATE_TRUSTED 0.01
/* From this late part of the first events on, only what is expected counts. */
#define LATE_SHORT 0.15
/* The capacity is taken to be this part of the slots at least: below it, fewer
 * requests make no first event earlier. */
#define SLOTS_MIN 0.4
/* A late part above LATE_USUAL reduces the capacity, by LATE_GAIN times the
 * excess. */
#define LATE_USUAL 0.1
#define LATE_GAIN 0.15
/* Most of the first attempts that are refused. The rest shows when first events
 * are in time again. */
#define SHARE_MAX 0.9
/* Time constant with which the share follows the sums. */
#define FOLLOW_MS 100.0
/* Lower priorities keep at least this part of their share of the capacity. */
#define KEPT_LOWER 0.2
/* Time constant of the average duration of requests, and the smallest rate and
 * number of requests that it is computed from. */
#define DURATION_FOLLOW_MS 1000.0
#define ADMITTED_MIN_PER_S 1.0
#define RUNNING_MIN 1.0
/* A smaller share counts as none. */
#define SHARE_MIN 0.005
#define MS_PER_S 1000.0

static double
asked_total(const struct overload_input *in)
{
	double sum = 0;

	for (int p = 0; p < FWD_PRIORITIES; p++)
		sum += in->asked[p];
	return (sum);
}

/* Requests that the replicas can have at once, by what is expected and by how
 * many of the first events are late. */
static double
corrected_capacity(const struct overload_input *in)
{
	double late = in->admitted > 0 ? fmin(in->late / in->admitted, 1) : 0;
	double trusted = SLOTS_TRUSTED * in->slots;
	double capacity = in->capacity;

	if (capacity < trusted)
		capacity = trusted -
		    (trusted - capacity) * ramp(late, LATE_TRUSTED, LATE_SHORT);
	capacity *= 1 - LATE_GAIN * fmax(late - LATE_USUAL, 0);
	return (fmax(capacity, SLOTS_MIN * in->slots));
}

/*
 * Updates the time for which a request occupies its slot: the requests that run
 * divided by those that start, by Little's law. All daemons see it alike, while
 * the average that one measures itself takes long where it has few requests.
 */
static void
update_duration(struct overload_level *level, const struct overload_input *in,
    double elapsed)
{
	double duration_ms;

	if (level->duration_ms <= 0)
		level->duration_ms = in->duration_ms;
	if (in->admitted < ADMITTED_MIN_PER_S || in->running < RUNNING_MIN)
		return;
	duration_ms = in->running / in->admitted * MS_PER_S;
	level->duration_ms += (1 - exp(-elapsed / DURATION_FOLLOW_MS)) *
	    (duration_ms - level->duration_ms);
}

/* First attempts per second that can be served in time. */
static double
room_per_s(const struct overload_input *in, double capacity, double duration_ms)
{
	double present = in->running + in->queued;
	double room;

	if (duration_ms <= 0)
		return (INFINITY);
	room = capacity * MS_PER_S / duration_ms - in->returned;
	if (present > capacity)
		room -= (present - capacity) / DRAIN_S;
	return (fmax(room, 0));
}

/* Share of the first attempts to refuse by the present sums. */
static double
target_share(struct overload_level *level, const struct overload_input *in)
{
	double capacity = corrected_capacity(in);
	double asked = asked_total(in);
	double room = room_per_s(in, capacity, level->duration_ms);
	double used, gate;

	level->room_per_s = room;
	if (asked <= 0 || capacity <= 0 || asked <= room)
		return (0);
	used = (in->running + in->queued) / capacity;
	gate = ramp(used, GATE_FROM, GATE_TO);
	return (fmin(gate * (asked - room) / asked, SHARE_MAX));
}

/* Sets a level to refuse nothing. */
static void
level_open(struct overload_level *level)
{
	level->share = 0;
	level->priority = FWD_PRIORITIES;
	level->fraction = 0;
	level->lower_fraction = 0;
}

/*
 * Distributes the share over the priorities: the lowest are refused first, but
 * each keeps a part of what an equal distribution would leave to it.
 */
static void
level_distribute(struct overload_level *level, const struct overload_input *in)
{
	double floor = KEPT_LOWER * (1 - level->share);
	double left = asked_total(in) * (1 - level->share - floor);

	level->priority = FWD_PRIORITIES;
	level->fraction = 0;
	level->lower_fraction = 0;
	if (level->share < SHARE_MIN)
		return;
	level->lower_fraction = 1 - floor;
	for (int p = 0; p < FWD_PRIORITIES; p++) {
		double wanted = in->asked[p] * (1 - floor);

		if (wanted <= left) {
			left -= wanted;
			continue;
		}
		level->priority = p;
		level->fraction = 1 - floor - left / in->asked[p];
		return;
	}
}

/**
 * overload_level_due() - whether a level is due for an update.
 * @level: the level
 * @now_ms: loop time
 */
bool
overload_level_due(const struct overload_level *level, uint64_t now_ms)
{
	return (level->updated_ms == 0 ||
	    now_ms - level->updated_ms >= OVERLOAD_UPDATE_MS);
}

/**
 * overload_level_update() - update a level.
 * @level: the level
 * @in: the sums and the capacity
 * @now_ms: loop time
 *
 * When the sums of the other daemons are lost, the level is held for
 * OVERLOAD_HOLD_MS and then follows this daemon's own view. After a pause of
 * this process that long, the level and the sums are too old: it opens until
 * the next update.
 */
void
overload_level_update(struct overload_level *level,
    const struct overload_input *in, uint64_t now_ms)
{
	double elapsed = (double)(now_ms - level->updated_ms);
	double target;

	if (level->updated_ms == 0 || elapsed > OVERLOAD_HOLD_MS) {
		level_open(level);
		level->updated_ms = now_ms;
		level->told_ms = now_ms;
		return;
	}
	level->updated_ms = now_ms;
	if (in->told)
		level->told_ms = now_ms;
	else if (now_ms - level->told_ms < OVERLOAD_HOLD_MS)
		return;
	update_duration(level, in, elapsed);
	target = target_share(level, in);
	level->share +=
	    (1 - exp(-elapsed / FOLLOW_MS)) * (target - level->share);
	level_distribute(level, in);
}

/**
 * overload_level_fraction() - fraction of the first attempts to refuse.
 * @level: the level
 * @priority: their priority
 */
double
overload_level_fraction(const struct overload_level *level, int priority)
{
	if (level->updated_ms == 0 || priority < level->priority)
		return (0);
	return (priority == level->priority ? level->fraction :
					      level->lower_fraction);
}

/**
 * overload_refuses() - whether a request is among those to refuse.
 * @fraction: fraction of the requests to refuse
 * @hash: hash of the request's id
 */
bool
overload_refuses(double fraction, uint32_t hash)
{
	return (hash / (UINT32_MAX + 1.0) < fraction);
}
