/*
 * Connections to several endpoints that are reset together: this tells of the
 * daemon's path to them, and not of a request that only one of them had. Does
 * no I/O.
 */
#include <glib.h>

#include "registry-poison.h"

/* Connections that are reset within this time of each other have one cause. */
#define TOGETHER_MS 10

/**
 * struct reset_count - endpoints to which this daemon has connections.
 * @n: all of them
 * @reset: those to which a connection was reset at the time in question
 */
struct reset_count {
	unsigned n;
	unsigned reset;
};

/* Whether a connection to an endpoint was reset at about this time. */
static bool
endpoint_reset_at(const struct endpoint *ep, uint64_t at_ms)
{
	uint64_t reset_ms = ep->pool.path.reset_ms;

	return (reset_ms != 0 && reset_ms + TOGETHER_MS >= at_ms &&
	    reset_ms <= at_ms + TOGETHER_MS);
}

/* Whether an endpoint seems to have ended while it ran a request. */
static bool
endpoint_blamed_on(const struct endpoint *ep,
    const struct poison_suspect *suspect)
{
	const struct poison_crash crash = poison_crash_of(ep, false, 0);

	return (poison_suspect_find(suspect, &crash) != NULL);
}

/* Whether most of those that were counted were reset. */
static bool
most_reset(const struct reset_count *count)
{
	return (count->reset * 2 > count->n);
}

/*
 * Whether the connections to most endpoints that did not have a request were
 * reset with the one that did: of all that this daemon has connections to, or
 * of the endpoint's failure domain. A request ends the endpoints that have it
 * and no others, however many these are.
 */
static bool
others_reset(const struct fleet *fleet, const struct poison_suspect *suspect,
    const struct poison_crash *crash)
{
	const struct endpoint *blamed = poison_crash_endpoint(fleet, crash);
	struct reset_count all = { 0 }, domain = { 0 };
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &fleet->endpoints, entry) {
		bool reset = endpoint_reset_at(ep, crash->at_ms);

		if ((!reset && ep->pool.n_open == 0) ||
		    endpoint_blamed_on(ep, suspect))
			continue;
		all.n++;
		all.reset += reset;
		if (blamed == NULL ||
		    g_strcmp0(ep->report.domain, blamed->report.domain) != 0)
			continue;
		domain.n++;
		domain.reset += reset;
	}
	return (most_reset(&all) || most_reset(&domain));
}

/**
 * poison_crash_shared() - whether this daemon's path may be the cause of a
 *	crash that it observed.
 * @fleet: the endpoints
 * @suspect: the request
 * @crash: a crash of it
 * @now_ms: loop time
 *
 * Return: false also for a crash that is too new to tell.
 */
bool
poison_crash_shared(const struct fleet *fleet,
    const struct poison_suspect *suspect, const struct poison_crash *crash,
    uint64_t now_ms)
{
	if (crash->cause != POISON_UNJUDGED)
		return (crash->cause == POISON_SHARED);
	return (crash->origin == POISON_LOCAL && !crash->silent &&
	    now_ms >= crash->at_ms + TOGETHER_MS &&
	    others_reset(fleet, suspect, crash));
}

/**
 * poison_crash_told() - whether other daemons are told of a crash: not of one
 *	that this daemon observed while its path may be the cause.
 * @fleet: the endpoints
 * @suspect: the request
 * @crash: a crash of it
 */
bool
poison_crash_told(const struct fleet *fleet,
    const struct poison_suspect *suspect, const struct poison_crash *crash)
{
	if (crash->cause != POISON_UNJUDGED)
		return (crash->cause != POISON_SHARED);
	return (crash->origin != POISON_LOCAL || crash->silent ||
	    !others_reset(fleet, suspect, crash));
}

/* Judges the cause of a crash; returns whether a shared one is confirmed. */
static bool
crash_judge(const struct fleet *fleet, const struct poison_suspect *suspect,
    struct poison_crash *crash, uint64_t now_ms)
{
	const struct endpoint *ep;

	if (crash->origin != POISON_LOCAL || crash->silent)
		return (false);
	if (crash->cause == POISON_UNJUDGED &&
	    now_ms >= crash->at_ms + TOGETHER_MS)
		crash->cause = others_reset(fleet, suspect, crash) ?
		    POISON_SHARED :
		    POISON_OWN;
	if (crash->cause != POISON_SHARED)
		return (false);
	ep = poison_crash_endpoint(fleet, crash);
	if (ep != NULL && !ep->gone && ep->lapsed_ms == 0)
		return (false);
	crash->cause = POISON_CONFIRMED;
	return (true);
}

/**
 * poison_judge() - judge the causes of the crashes that this daemon observed.
 * @poison: the table
 * @fleet: the endpoints
 * @now_ms: loop time
 */
void
poison_judge(struct poison *poison, const struct fleet *fleet, uint64_t now_ms)
{
	struct poison_suspect *suspect, *next;

	for (suspect = TAILQ_FIRST(&poison->suspects); suspect != NULL;
	     suspect = next) {
		bool confirmed = false;

		next = TAILQ_NEXT(suspect, entry);
		for (unsigned i = 0; i < suspect->n_crashes; i++)
			confirmed |= crash_judge(fleet, suspect,
			    &suspect->crashes[i], now_ms);
		if (confirmed)
			poison_suspect_changed(poison, suspect, now_ms);
	}
}
