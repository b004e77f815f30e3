/*
 * The requests a second that an endpoint takes from all daemons together. Pure.
 *
 * Each daemon has a share of it, which gives turns: one turn sends one request.
 * Nothing passes it, also where no other endpoint is left.
 */
#include <glib.h>
#include <math.h>

#include "registry-limit.h"

/* Of an endpoint that names a limit which can't be read, and none before. */
#define LIMIT_UNREADABLE_PER_S 1.0
/* More than any endpoint serves; keeps what is computed with it finite. */
#define LIMIT_MOST_PER_S 1e6
/* An endpoint that takes less, or nothing, still gets a request in five
 * seconds: only its answers can say that the limit is over. */
#define LIMIT_ASKED_PER_S 0.2
/* Another daemon's word may look newer than it is by its way here. */
#define LIMIT_ECHO_MS 500
/* Turns that a daemon saves up; the sum over all daemons may come at once. */
#define LIMIT_TURNS_MOST 1.0
/* A turn that is due but for rounding. */
#define LIMIT_TURN_DUST 1e-6
#define MS_PER_S 1000.0
#define MILLI 1000.0

/**
 * endpoint_limit_normalize() - the limit that an endpoint names.
 * @per_s: what was read, in requests a second; NAN where that was no number
 * @limit: what it named before
 *
 * Return: requests a second.
 */
double
endpoint_limit_normalize(double per_s, const struct endpoint_limit *limit)
{
	if (isnan(per_s))
		return (limit->active ? limit->per_s : LIMIT_UNREADABLE_PER_S);
	/* As daemons tell each other, so that all have the same number. */
	return (round(CLAMP(per_s, 0, LIMIT_MOST_PER_S) * MILLI) / MILLI);
}

/**
 * endpoint_limit_set() - an endpoint named a limit.
 * @limit: what is known
 * @per_s: requests a second, from all daemons together
 * @at_ms: loop time of the answer
 *
 * Return: whether this is news; what was said before the newest word isn't.
 */
bool
endpoint_limit_set(struct endpoint_limit *limit, double per_s, uint64_t at_ms)
{
	bool news = !limit->active || limit->per_s != per_s;

	if (at_ms < limit->as_of_ms)
		return (false);
	if (!limit->active) {
		limit->share_per_s = 0;
		limit->since_ms = at_ms;
	}
	limit->as_of_ms = at_ms;
	limit->active = true;
	limit->per_s = per_s;
	return (news);
}

/**
 * endpoint_limit_clear() - an endpoint names no limit any more.
 * @limit: what is known
 * @at_ms: loop time of the answer
 *
 * Return: whether this is news.
 */
bool
endpoint_limit_clear(struct endpoint_limit *limit, uint64_t at_ms)
{
	if (!limit->active || at_ms < limit->as_of_ms)
		return (false);
	limit->active = false;
	limit->as_of_ms = at_ms;
	return (true);
}

/**
 * endpoint_limit_superseded() - whether an answer without a limit ends the one
 * that is known.
 * @limit: what is known
 * @sent_ms: loop time at which the request was sent
 *
 * An answer to an earlier request may have been on its way when the limit was
 * named.
 */
bool
endpoint_limit_superseded(const struct endpoint_limit *limit, uint64_t sent_ms)
{
	return (limit->active && sent_ms > limit->as_of_ms);
}

/**
 * endpoint_limit_merge() - another daemon tells of a limit, or of its end.
 * @limit: what is known
 * @per_s: the limit; INFINITY for none
 * @at_ms: loop time as of which the other knows it
 * @now_ms: loop time
 *
 * Return: whether this is news.
 */
bool
endpoint_limit_merge(struct endpoint_limit *limit, double per_s, uint64_t at_ms,
    uint64_t now_ms)
{
	/* An old word must not bring back a limit that is over, and words that
	 * go round must not make each other newer. */
	bool same = limit->active && limit->per_s == per_s;
	uint64_t since = !limit->active || same ? LIMIT_ECHO_MS : 0;
	bool news;

	if (limit->as_of_ms != 0 && at_ms <= limit->as_of_ms + since)
		return (false);
	news = isinf(per_s) ? endpoint_limit_clear(limit, at_ms) :
			      endpoint_limit_set(limit, per_s, at_ms);
	if (news)
		limit->changed_ms = now_ms;
	return (news);
}

/**
 * endpoint_limit_rate() - what all daemons together send.
 * @limit: a limit
 *
 * Return: requests a second.
 */
double
endpoint_limit_rate(const struct endpoint_limit *limit)
{
	return (fmax(limit->per_s, LIMIT_ASKED_PER_S));
}

/* Turns that a daemon has at a time. */
static double
limit_turns(const struct endpoint_limit *limit, uint64_t now_ms)
{
	double ms =
	    (double)(MAX(now_ms, limit->refilled_ms) - limit->refilled_ms);

	return (fmin(limit->permits + limit->share_per_s * ms / MS_PER_S,
	    LIMIT_TURNS_MOST));
}

/* Brings the turns up to a time. */
static void
limit_count(struct endpoint_limit *limit, uint64_t now_ms)
{
	limit->permits = limit_turns(limit, now_ms);
	limit->refilled_ms = MAX(limit->refilled_ms, now_ms);
}

/**
 * endpoint_limit_init_permits() - this daemon gets a share where it had none.
 * @limit: the limit
 * @turns: what it begins with
 * @from_ms: loop time from which on turns grow
 */
void
endpoint_limit_init_permits(struct endpoint_limit *limit, double turns,
    uint64_t from_ms)
{
	limit->permits = turns;
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
	limit_count(limit, now_ms);
	limit->share_per_s = per_s;
}

/**
 * endpoint_limit_wait_ms() - time until this daemon may send a request.
 * @limit: the limit, or none
 * @ahead: requests that take their turns before
 * @now_ms: loop time
 *
 * Return: ms; 0 for now, INFINITY where it has no share.
 */
double
endpoint_limit_wait_ms(const struct endpoint_limit *limit, unsigned ahead,
    uint64_t now_ms)
{
	double lacks;

	if (!limit->active)
		return (0);
	if (limit->share_per_s <= 0)
		return (INFINITY);
	lacks = ahead + 1 - limit_turns(limit, now_ms);
	if (lacks <= LIMIT_TURN_DUST)
		return (0);
	return (lacks / limit->share_per_s * MS_PER_S +
	    (double)(MAX(limit->refilled_ms, now_ms) - now_ms));
}

/**
 * endpoint_limit_take_permit() - a request is sent there.
 * @limit: the limit, or none
 * @now_ms: loop time
 *
 * Return: false where this daemon had no turn for it.
 */
bool
endpoint_limit_take_permit(struct endpoint_limit *limit, uint64_t now_ms)
{
	bool due = endpoint_limit_wait_ms(limit, 0, now_ms) <= 0;

	limit_count(limit, now_ms);
	limit->permits--;
	return (due);
}

/**
 * endpoint_limit_return_permit() - nothing of a request that took a turn was
 * sent.
 * @limit: the limit
 */
void
endpoint_limit_return_permit(struct endpoint_limit *limit)
{
	limit->permits = fmin(limit->permits + 1, LIMIT_TURNS_MOST);
}
