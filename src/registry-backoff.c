/*
 * The rest that an endpoint asks this daemon for. Pure.
 *
 * It is the endpoint's word, not a guess: nothing is sent there before it is
 * over, also where no other endpoint is left.
 */
#include <glib.h>
#include <math.h>

#include "registry-backoff.h"

/* Of an endpoint that asks for rest and gives no duration that can be read: a
 * third of what endpoints were seen to ask for, so that one that can't be
 * understood is not lost for long. */
#define REST_UNREADABLE_MS 1000

/* Requests that go to an endpoint after its rest before one was answered. All
 * daemons that it asked come back, each with so many. */
#define PROBES_FIRST 1
/* With so many answers on their way an endpoint is back: a daemon's share of
 * its places is smaller. */
#define PROBES_ENOUGH 4

/* Where an endpoint turns a request away and doesn't say for how long, others
 * are preferred for so long: a full one gets a place in that time. Doubled with
 * each refusal in a row, up to about what endpoints ask for. */
#define REFUSED_FIRST_MS 100
#define REFUSED_DOUBLINGS 5

/**
 * endpoint_backoff_normalize() - the duration of a rest that was asked for.
 * @asked_ms: what was read, in ms; NAN where that was no duration
 * @most_ms: an endpoint is left alone for no longer on its word
 *
 * Return: ms.
 */
uint64_t
endpoint_backoff_normalize(double asked_ms, uint64_t most_ms)
{
	if (isnan(asked_ms))
		return (REST_UNREADABLE_MS);
	return ((uint64_t)fmin(fmax(ceil(asked_ms), 0), (double)most_ms));
}

/**
 * endpoint_backoff_extend() - an endpoint asks for rest.
 * @rest: what it asked for before
 * @ms: how long, from now on
 * @now_ms: loop time
 *
 * A shorter rest does not end a longer one that it asked for before.
 */
void
endpoint_backoff_extend(struct endpoint_backoff *rest, uint64_t ms,
    uint64_t now_ms)
{
	if (now_ms + ms <= rest->until_ms || ms == 0)
		return;
	rest->until_ms = now_ms + ms;
	rest->end_unlogged = true;
	rest->max_probes = PROBES_FIRST;
}

/**
 * endpoint_backoff_active() - whether an endpoint's rest lasts.
 * @rest: what it asked for
 * @now_ms: loop time
 */
bool
endpoint_backoff_active(const struct endpoint_backoff *rest, uint64_t now_ms)
{
	return (now_ms < rest->until_ms);
}

/**
 * endpoint_backoff_ended() - whether a rest has ended since this was last
 * asked.
 * @rest: what it asked for
 * @now_ms: loop time
 */
bool
endpoint_backoff_ended(struct endpoint_backoff *rest, uint64_t now_ms)
{
	bool ended =
	    rest->end_unlogged && !endpoint_backoff_active(rest, now_ms);

	if (ended)
		rest->end_unlogged = false;
	return (ended);
}

/**
 * endpoint_backoff_admits() - whether one more request may go there after a
 * rest.
 * @rest: what it asked for
 */
bool
endpoint_backoff_admits(const struct endpoint_backoff *rest)
{
	return (rest->max_probes == 0 || rest->probes < rest->max_probes);
}

/**
 * endpoint_backoff_begin_probe() - a request goes to the endpoint.
 * @rest: what it asked for
 *
 * Return: whether endpoint_backoff_end_probe() is to be told of its answer.
 */
bool
endpoint_backoff_begin_probe(struct endpoint_backoff *rest)
{
	if (rest->max_probes == 0)
		return (false);
	rest->probes++;
	return (true);
}

/**
 * endpoint_backoff_end_probe() - a request that went there under the bound is
 * over.
 * @rest: what it asked for
 * @taken: the endpoint answered and did not turn it away
 */
void
endpoint_backoff_end_probe(struct endpoint_backoff *rest, bool taken)
{
	rest->probes--;
	if (!taken || rest->max_probes == 0)
		return;
	rest->max_probes *= 2;
	if (rest->max_probes > PROBES_ENOUGH)
		rest->max_probes = 0;
}

/**
 * endpoint_backoff_probing() - whether it is not known that the endpoint takes
 * requests again, after a rest or a refusal.
 * @rest: what it asked for
 */
bool
endpoint_backoff_probing(const struct endpoint_backoff *rest)
{
	return (rest->max_probes != 0);
}

/**
 * endpoint_backoff_refused() - it turned a request away and asked for no rest.
 * @rest: what it asked for
 *
 * Return: for how long others are to be preferred, in ms.
 */
uint64_t
endpoint_backoff_refused(struct endpoint_backoff *rest)
{
	unsigned doublings = rest->refusals;

	if (rest->refusals < REFUSED_DOUBLINGS)
		rest->refusals++;
	rest->max_probes = PROBES_FIRST;
	return ((uint64_t)REFUSED_FIRST_MS << doublings);
}

/**
 * endpoint_backoff_accepted() - it answered a request that it did not turn
 * away.
 * @rest: what it asked for
 */
void
endpoint_backoff_accepted(struct endpoint_backoff *rest)
{
	rest->refusals = 0;
}
