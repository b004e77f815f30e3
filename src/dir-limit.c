/*
 * The requests a second that an endpoint takes from all daemons together. Pure.
 */
#include <glib.h>
#include <math.h>

#include "dir-limit.h"

/* Of an endpoint that names a limit which can't be read, and none before. */
#define LIMIT_UNREADABLE_PER_S 1.0
/* More than any endpoint serves; keeps what is computed with it finite. */
#define LIMIT_MOST_PER_S 1e6

/**
 * endpoint_limit_read() - the limit that an endpoint names.
 * @per_s: what was read, in requests a second; NAN where that was no number
 * @limit: what it named before
 *
 * Return: requests a second.
 */
double
endpoint_limit_read(double per_s, const struct endpoint_limit *limit)
{
	if (isnan(per_s))
		return (limit->holds ? limit->per_s : LIMIT_UNREADABLE_PER_S);
	return (CLAMP(per_s, 0, LIMIT_MOST_PER_S));
}

/**
 * endpoint_limit_name() - an endpoint named a limit.
 * @limit: what is known
 * @per_s: requests a second, from all daemons together
 * @at_ms: loop time of the answer
 *
 * Return: whether this is news; what was said before the newest word isn't.
 */
bool
endpoint_limit_name(struct endpoint_limit *limit, double per_s, uint64_t at_ms)
{
	bool news = !limit->holds || limit->per_s != per_s;

	if (at_ms < limit->said_ms)
		return (false);
	limit->said_ms = at_ms;
	limit->holds = true;
	limit->per_s = per_s;
	return (news);
}

/**
 * endpoint_limit_lift() - an endpoint names no limit any more.
 * @limit: what is known
 * @at_ms: loop time of the answer
 *
 * Return: whether this is news.
 */
bool
endpoint_limit_lift(struct endpoint_limit *limit, uint64_t at_ms)
{
	if (!limit->holds || at_ms < limit->said_ms)
		return (false);
	limit->holds = false;
	limit->said_ms = at_ms;
	return (true);
}

/**
 * endpoint_limit_outlived() - whether an answer without a limit ends the one
 * that is known.
 * @limit: what is known
 * @sent_ms: loop time at which the request was sent
 *
 * An answer to an earlier request may have been on its way when the limit was
 * named.
 */
bool
endpoint_limit_outlived(const struct endpoint_limit *limit, uint64_t sent_ms)
{
	return (limit->holds && sent_ms > limit->said_ms);
}
