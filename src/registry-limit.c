/*
 * Rate limit of an endpoint for all daemons together, which it names or has
 * while it is cold. Does no I/O.
 *
 * Each daemon has a share of the rate, which fills a token bucket of permits;
 * each request takes one. The limit also holds when no other endpoint is left.
 */
#include <glib.h>
#include <math.h>

#include "registry-limit.h"

/* Assumed if an endpoint names a limit that can't be read and named none
 * before. */
#define LIMIT_UNREADABLE_PER_S 1.0
/* More than any endpoint serves; keeps computations with it finite. */
#define LIMIT_MAX_PER_S 1e6
/* An endpoint that takes fewer requests, or none, still gets one in five
 * seconds: only its responses can show that the limit has ended. */
#define LIMIT_MIN_PER_S 0.2
/* A peer's limit may look newer than it is by the transmission delay. */
#define LIMIT_ECHO_MS 500
/* Users of an endpoint: this many per request per second of its limit, and
 * USERS_BASE more. Each may send one request at once, so the sum over 4 s is at
 * most six times the limit and USERS_BASE; endpoints tolerate six times the
 * limit and five. */
#define USERS_PER_RATE 2.0
#define USERS_BASE 3.0
/* The same for a cold endpoint, which tolerates 1.5 times its rate and five in
 * any second. */
#define COLD_USERS_PER_RATE 0.5
#define COLD_USERS_BASE 5.0
/* Permits that a daemon can save up. The sum over all daemons may be spent at
 * once. */
#define PERMITS_MAX 1.0
/* A permit that is missing by no more than this is missing by rounding only. */
#define PERMIT_EPSILON 1e-6
#define MS_PER_S 1000.0
#define MILLI 1000.0

/**
 * endpoint_limit_normalize() - bring a limit that an endpoint named into range.
 * @per_s: the limit as read, in requests a second; NAN if it was no number
 * @limit: the limit that is known
 *
 * Return: requests a second.
 */
double
endpoint_limit_normalize(double per_s, const struct endpoint_limit *limit)
{
	if (isnan(per_s))
		return (limit->named ? limit->per_s : LIMIT_UNREADABLE_PER_S);
	/* Daemons exchange limits in thousandths; round, so that all have the
	 * same number. */
	return (round(CLAMP(per_s, 0, LIMIT_MAX_PER_S) * MILLI) / MILLI);
}

/**
 * endpoint_limit_set() - set the limit that an endpoint named.
 * @limit: the limit that is known
 * @per_s: requests a second, from all daemons together
 * @at_ms: loop time of the response that named it
 *
 * Return: whether the limit changed. A response older than the newest one has
 * no effect.
 */
bool
endpoint_limit_set(struct endpoint_limit *limit, double per_s, uint64_t at_ms)
{
	bool changed = !limit->named || limit->per_s != per_s;

	if (at_ms < limit->as_of_ms)
		return (false);
	if (!endpoint_limit_active(limit, at_ms)) {
		limit->share_per_s = 0;
		limit->since_ms = at_ms;
	}
	limit->as_of_ms = at_ms;
	limit->named = true;
	limit->per_s = per_s;
	return (changed);
}

/**
 * endpoint_limit_clear() - note that an endpoint names no limit any more.
 * @limit: the limit that is known
 * @at_ms: loop time of the response without a limit
 *
 * Return: whether there was a limit that this ends.
 */
bool
endpoint_limit_clear(struct endpoint_limit *limit, uint64_t at_ms)
{
	if (!limit->named || at_ms < limit->as_of_ms)
		return (false);
	limit->named = false;
	limit->as_of_ms = at_ms;
	return (true);
}

/**
 * endpoint_limit_superseded() - whether a response without a limit ends the one
 * that is known.
 * @limit: the limit that is known
 * @sent_ms: loop time at which the request was sent
 *
 * A response to a request sent before the limit was named does not, as it may
 * have been under way at that time.
 */
bool
endpoint_limit_superseded(const struct endpoint_limit *limit, uint64_t sent_ms)
{
	return (limit->named && sent_ms > limit->as_of_ms);
}

/**
 * endpoint_limit_merge() - merge what another daemon knows of the limit.
 * @limit: the limit that is known
 * @per_s: the other's limit; INFINITY for none
 * @at_ms: loop time as of which the other knows it
 * @now_ms: loop time
 *
 * Return: whether the limit changed.
 */
bool
endpoint_limit_merge(struct endpoint_limit *limit, double per_s, uint64_t at_ms,
    uint64_t now_ms)
{
	/* An old message must not restore a limit that has ended, and messages
	 * that circulate must not make each other newer. */
	bool same = limit->named && limit->per_s == per_s;
	uint64_t margin = !limit->named || same ? LIMIT_ECHO_MS : 0;
	bool changed;

	if (limit->as_of_ms != 0 && at_ms <= limit->as_of_ms + margin)
		return (false);
	changed = isinf(per_s) ? endpoint_limit_clear(limit, at_ms) :
				 endpoint_limit_set(limit, per_s, at_ms);
	if (changed)
		limit->changed_ms = now_ms;
	return (changed);
}

/**
 * endpoint_limit_cold() - whether an endpoint tolerates few requests because it
 * is cold.
 * @limit: the limit
 * @now_ms: loop time
 */
bool
endpoint_limit_cold(const struct endpoint_limit *limit, uint64_t now_ms)
{
	return (limit->cold_per_s > 0 && now_ms < limit->cold_until_ms);
}

/**
 * endpoint_limit_active() - whether there is a limit.
 * @limit: the limit
 * @now_ms: loop time
 */
bool
endpoint_limit_active(const struct endpoint_limit *limit, uint64_t now_ms)
{
	return (limit->named || endpoint_limit_cold(limit, now_ms));
}

/**
 * endpoint_limit_set_cold() - note until when an endpoint is cold.
 * @limit: the limit
 * @per_s: requests a second that it tolerates until then; 0 for any number
 * @until_ms: loop time at which that ends; in the past where it is not cold
 * @now_ms: loop time
 *
 * Return: whether it has become cold.
 */
bool
endpoint_limit_set_cold(struct endpoint_limit *limit, double per_s,
    uint64_t until_ms, uint64_t now_ms)
{
	bool was_active = endpoint_limit_active(limit, now_ms);
	bool was_cold = endpoint_limit_cold(limit, now_ms);

	limit->cold_per_s = per_s;
	limit->cold_until_ms = until_ms;
	if (was_cold || !endpoint_limit_cold(limit, now_ms))
		return (false);
	if (!was_active) {
		limit->share_per_s = 0;
		limit->since_ms = now_ms;
	}
	return (true);
}

/**
 * endpoint_limit_rate() - rate at which all daemons together send requests.
 * @limit: the limit, which is active
 * @now_ms: loop time
 *
 * Return: requests a second.
 */
double
endpoint_limit_rate(const struct endpoint_limit *limit, uint64_t now_ms)
{
	double rate = limit->named ? limit->per_s : INFINITY;

	if (endpoint_limit_cold(limit, now_ms))
		rate = fmin(rate, limit->cold_per_s);
	return (fmax(rate, LIMIT_MIN_PER_S));
}

/**
 * endpoint_limit_max_users() - number of daemons that may share the limit.
 * @limit: the limit, which is active
 * @now_ms: loop time
 *
 * Each of them may send one request at once, besides its share of the rate.
 */
double
endpoint_limit_max_users(const struct endpoint_limit *limit, uint64_t now_ms)
{
	double rate = endpoint_limit_rate(limit, now_ms);
	double max = USERS_PER_RATE * rate + USERS_BASE;

	if (endpoint_limit_cold(limit, now_ms))
		max = fmin(max, COLD_USERS_PER_RATE * rate + COLD_USERS_BASE);
	return (floor(max));
}

/* Permits that this daemon has at a time. */
static double
limit_permits(const struct endpoint_limit *limit, uint64_t now_ms)
{
	double ms =
	    (double)(MAX(now_ms, limit->refilled_ms) - limit->refilled_ms);

	return (fmin(limit->permits + limit->share_per_s * ms / MS_PER_S,
	    PERMITS_MAX));
}

/* Updates the permits to a time. */
static void
limit_refill(struct endpoint_limit *limit, uint64_t now_ms)
{
	limit->permits = limit_permits(limit, now_ms);
	limit->refilled_ms = MAX(limit->refilled_ms, now_ms);
}

/**
 * endpoint_limit_init_permits() - set the permits of a daemon that gets its
 * first share.
 * @limit: the limit
 * @permits: number of permits
 * @from_ms: loop time from which on permits accrue
 */
void
endpoint_limit_init_permits(struct endpoint_limit *limit, double permits,
    uint64_t from_ms)
{
	limit->permits = permits;
	limit->refilled_ms = from_ms;
}

/**
 * endpoint_limit_set_share() - set this daemon's share.
 * @limit: the limit
 * @per_s: requests a second; 0 for none
 * @now_ms: loop time
 */
void
endpoint_limit_set_share(struct endpoint_limit *limit, double per_s,
    uint64_t now_ms)
{
	limit_refill(limit, now_ms);
	limit->share_per_s = per_s;
}

/**
 * endpoint_limit_wait_ms() - time until this daemon may send a request.
 * @limit: the limit, which may be inactive
 * @ahead: requests that take their permits before
 * @now_ms: loop time
 *
 * Return: time in ms; 0 for now, INFINITY if this daemon has no share.
 */
double
endpoint_limit_wait_ms(const struct endpoint_limit *limit, unsigned ahead,
    uint64_t now_ms)
{
	double missing;

	if (!endpoint_limit_active(limit, now_ms))
		return (0);
	if (limit->share_per_s <= 0)
		return (INFINITY);
	missing = ahead + 1 - limit_permits(limit, now_ms);
	if (missing <= PERMIT_EPSILON)
		return (0);
	return (missing / limit->share_per_s * MS_PER_S +
	    (double)(MAX(limit->refilled_ms, now_ms) - now_ms));
}

/**
 * endpoint_limit_take_permit() - take the permit of a request that is sent.
 * @limit: the limit, which may be inactive
 * @now_ms: loop time
 *
 * Return: false if this daemon had no permit; it then owes one.
 */
bool
endpoint_limit_take_permit(struct endpoint_limit *limit, uint64_t now_ms)
{
	bool due = endpoint_limit_wait_ms(limit, 0, now_ms) <= 0;

	limit_refill(limit, now_ms);
	limit->permits--;
	return (due);
}

/**
 * endpoint_limit_return_permit() - return the permit of a request of which
 * nothing was sent.
 * @limit: the limit
 */
void
endpoint_limit_return_permit(struct endpoint_limit *limit)
{
	limit->permits = fmin(limit->permits + 1, PERMITS_MAX);
}
