/*
 * Backoff that an endpoint asks this daemon for. Does no I/O.
 *
 * The endpoint itself asks for it, unlike for a cooldown, which is a guess: so
 * nothing is sent to it before the end, even when no other endpoint is left.
 */
#include <glib.h>
#include <math.h>

#include "registry-backoff.h"

/* Used if an endpoint asks for a backoff and the duration can't be read: a
 * third of what endpoints were seen to ask for, so that such an endpoint is not
 * lost for long. */
#define BACKOFF_UNREADABLE_MS 1000

/* Bound on unanswered requests to an endpoint right after its backoff: all
 * daemons that it asked for one return, each with this many. */
#define PROBES_MIN 1
/* With more unanswered requests than this the endpoint counts as recovered: one
 * daemon's share of its slots is smaller. */
#define PROBES_MAX 4

/* Cooldown after an endpoint refuses a request and asks for no backoff: a
 * full endpoint gets a free slot in that time. Doubled with each consecutive
 * refusal, up to about what endpoints ask for. */
#define REFUSED_MIN_MS 100
#define REFUSED_DOUBLINGS_MAX 5

/**
 * endpoint_backoff_normalize() - bring a backoff that was asked for into
 * range.
 * @asked_ms: the duration as read, in ms; NAN if it was none
 * @max_ms: longest backoff
 *
 * Return: duration in ms.
 */
uint64_t
endpoint_backoff_normalize(double asked_ms, uint64_t max_ms)
{
	if (isnan(asked_ms))
		return (BACKOFF_UNREADABLE_MS);
	return ((uint64_t)fmin(fmax(ceil(asked_ms), 0), (double)max_ms));
}

/**
 * endpoint_backoff_extend() - apply a backoff that an endpoint asks for.
 * @backoff: the endpoint's backoff
 * @ms: duration, from now on
 * @now_ms: loop time
 *
 * It does not shorten one that the endpoint asked for before.
 */
void
endpoint_backoff_extend(struct endpoint_backoff *backoff, uint64_t ms,
    uint64_t now_ms)
{
	if (now_ms + ms <= backoff->until_ms || ms == 0)
		return;
	backoff->until_ms = now_ms + ms;
	backoff->end_unlogged = true;
	backoff->max_probes = PROBES_MIN;
}

/**
 * endpoint_backoff_active() - whether an endpoint is in backoff.
 * @backoff: the endpoint's backoff
 * @now_ms: loop time
 */
bool
endpoint_backoff_active(const struct endpoint_backoff *backoff, uint64_t now_ms)
{
	return (now_ms < backoff->until_ms);
}

/**
 * endpoint_backoff_ended() - whether a backoff has ended since the last call.
 * @backoff: the endpoint's backoff
 * @now_ms: loop time
 */
bool
endpoint_backoff_ended(struct endpoint_backoff *backoff, uint64_t now_ms)
{
	bool ended =
	    backoff->end_unlogged && !endpoint_backoff_active(backoff, now_ms);

	if (ended)
		backoff->end_unlogged = false;
	return (ended);
}

/**
 * endpoint_backoff_admits() - whether the bound on unanswered requests after a
 * backoff admits one more.
 * @backoff: the endpoint's backoff
 */
bool
endpoint_backoff_admits(const struct endpoint_backoff *backoff)
{
	return (
	    backoff->max_probes == 0 || backoff->probes < backoff->max_probes);
}

/**
 * endpoint_backoff_begin_probe() - count a request that is sent to the
 * endpoint.
 * @backoff: the endpoint's backoff
 *
 * Return: whether it counts towards the bound, so that
 * endpoint_backoff_end_probe() is to be called at its end.
 */
bool
endpoint_backoff_begin_probe(struct endpoint_backoff *backoff)
{
	if (backoff->max_probes == 0)
		return (false);
	backoff->probes++;
	return (true);
}

/**
 * endpoint_backoff_end_probe() - end a request that counts towards the bound.
 * @backoff: the endpoint's backoff
 * @accepted: the endpoint answered and did not refuse it
 */
void
endpoint_backoff_end_probe(struct endpoint_backoff *backoff, bool accepted)
{
	backoff->probes--;
	if (!accepted || backoff->max_probes == 0)
		return;
	backoff->max_probes *= 2;
	if (backoff->max_probes > PROBES_MAX)
		backoff->max_probes = 0;
}

/**
 * endpoint_backoff_probing() - whether it is yet to be shown, after a backoff
 * or a refusal, that the endpoint accepts requests again.
 * @backoff: the endpoint's backoff
 */
bool
endpoint_backoff_probing(const struct endpoint_backoff *backoff)
{
	return (backoff->max_probes != 0);
}

/**
 * endpoint_backoff_refused() - note that the endpoint refused a request and
 * asked for no backoff.
 * @backoff: the endpoint's backoff
 *
 * Return: duration of the cooldown that is due, in ms.
 */
uint64_t
endpoint_backoff_refused(struct endpoint_backoff *backoff)
{
	unsigned doublings = backoff->refusals;

	if (backoff->refusals < REFUSED_DOUBLINGS_MAX)
		backoff->refusals++;
	backoff->max_probes = PROBES_MIN;
	return ((uint64_t)REFUSED_MIN_MS << doublings);
}

/**
 * endpoint_backoff_accepted() - note that the endpoint accepted a request.
 * @backoff: the endpoint's backoff
 */
void
endpoint_backoff_accepted(struct endpoint_backoff *backoff)
{
	backoff->refusals = 0;
}
