/* Load balancing: chooses an endpoint for a request. Pure. */
#include <math.h>
#include <string.h>

#include "fwd-choose.h"

/* Number of random candidates of which the best is chosen. Random, so that
 * daemons with the same outdated load reports don't all choose the same one. */
#define CANDIDATES 3
/* An endpoint in another failure domain must be this much faster to be chosen:
 * traffic between failure domains is charged, and load reports from there are
 * older, since distant daemons are sent fewer. */
#define CROSS_DOMAIN_MS 40.0
/* The same for services without models, where the cost is the load: requests
 * per slot. */
#define CROSS_DOMAIN_LOAD 0.15
/* Weight of an endpoint's error rate: an error rate of 1 counts as this much
 * load, or adds this multiple of the expected time to the first event. */
#define ERROR_WEIGHT 2.0
/* If every endpoint has failed a request, one may have it again after this
 * time: about that of a short response, in which a full endpoint gets a free
 * slot. */
#define TRIED_AGAIN_MS 200
/* One in this many of the requests that other endpoints could have may probe an
 * endpoint after a backoff or refusal. Refused probes are retried, and retries
 * are usually bounded at two in ten requests. */
#define PROBE_ONE_IN 10

/*
 * Endpoints with a free slot:
 * @sure: without any restriction
 * @turns: with a rate limit of which this daemon has a permit, as only few
 *	daemons have
 * @doubted: in probing after a backoff or refusal: they have not accepted a
 *	request since
 */
struct found {
	GPtrArray *sure;
	GPtrArray *turns;
	GPtrArray *doubted;
};

/*
 * Whether an endpoint has failed the request; with @again, only within the last
 * TRIED_AGAIN_MS.
 */
static bool
want_tried(const struct fwd_criteria *want, const struct endpoint *ep,
    bool again)
{
	for (unsigned i = 0; i < want->n_tried; i++) {
		const struct fwd_tried *tried = &want->tried[i];

		if (tried->endpoint == ep &&
		    (!again ||
			want->now_ms - tried->failed_ms < TRIED_AGAIN_MS))
			return (true);
	}
	return (false);
}

/* Whether an endpoint is of the request's service and serves its model. */
static bool
endpoint_fits(const struct endpoint *ep, const struct fwd_criteria *want)
{
	if (strcmp(ep->report.service, want->service) != 0)
		return (false);
	if (want->model == NULL)
		return (true);
	return (ep->report.rank == 0 && ep->report.state == GROUP_OPEN &&
	    ep->report.model != NULL &&
	    strcmp(ep->report.model, want->model->name) == 0);
}

/**
 * fwd_criteria_workload() - a request's workload for an engine.
 * @want: the request's criteria, with its engine and model
 * @prompt: length of the prompt to estimate for, in tokens
 * @work: filled in
 */
void
fwd_criteria_workload(const struct fwd_criteria *want, double prompt,
    struct fwd_workload *work)
{
	work->engine = want->engine;
	work->model = want->model;
	work->prompt = prompt;
	work->overhead_ms = want->overhead_ms;
	work->now_ms = want->now_ms;
}

/* Cost of an endpoint for a request; lower is better. */
static double
endpoint_cost(const struct endpoint *ep, const struct fwd_criteria *want,
    double *first)
{
	bool across = g_strcmp0(ep->report.domain, want->domain) != 0;
	struct fwd_workload work;

	*first = 0;
	if (want->model != NULL) {
		fwd_criteria_workload(want, want->prompt, &work);
		*first = fwd_expect_first(ep, &work);
		return (*first * (1 + ERROR_WEIGHT * ep->error_rate) +
		    (across ? CROSS_DOMAIN_MS : 0));
	}
	return (fwd_expect_running(ep) / MAX(ep->report.slots, 1) +
	    ERROR_WEIGHT * ep->error_rate + (across ? CROSS_DOMAIN_LOAD : 0));
}

/* Maximum number of requests that an endpoint should have at once. */
static double
endpoint_places(const struct endpoint *ep, const struct fwd_criteria *want)
{
	if (want->engine != NULL)
		return (want->engine->slots);
	return (MAX(ep->report.slots, 1));
}

/* Endpoints that are chosen only if there are no others: none of them, those
 * that have failed the request, or those in a cooldown. */
enum last_resort {
	RESORT_NONE,
	RESORT_TRIED,
	RESORT_RESTING,
};

/* Whether an endpoint may be chosen. As a last resort a cooldown, which this
 * daemon assumed, may be ignored; a backoff that was requested may not. */
static bool
resort_takes(const struct endpoint *ep, uint64_t now_ms,
    enum last_resort resort)
{
	if (resort == RESORT_RESTING)
		return (endpoint_open(ep, now_ms));
	return (endpoint_usable(ep, now_ms));
}

/* Notes an endpoint that has requested a backoff or is draining. */
static void
choice_note_closed(struct fwd_choice *choice, const struct endpoint *ep,
    uint64_t now_ms)
{
	bool rests = endpoint_rest_holds(&ep->rest, now_ms);

	if (!rests && !ep->draining)
		return;
	choice->unavailable++;
	if (ep->draining)
		return;
	if (choice->next_available == NULL ||
	    ep->rest.until_ms < choice->next_available->rest.until_ms)
		choice->next_available = ep;
}

/* Whether this daemon has a permit of the endpoint's rate limit for the
 * request; if not, notes when it will have one. */
static bool
choice_note_turn(struct fwd_choice *choice, const struct endpoint *ep,
    const struct fwd_criteria *want)
{
	double ms =
	    endpoint_limit_turn_ms(&ep->limit, want->ahead, want->now_ms);

	if (ms <= 0)
		return (true);
	choice->limited++;
	choice->limits_per_s += endpoint_limit_rate(&ep->limit);
	if (choice->next_permit == NULL || ms < choice->permit_ms) {
		choice->next_permit = ep;
		choice->permit_ms = ms;
	}
	return (false);
}

/* Adds an endpoint with a free slot to the array that it belongs to. */
static void
found_add(const struct found *found, struct endpoint *ep)
{
	if (endpoint_rest_doubted(&ep->rest))
		g_ptr_array_add(found->doubted, ep);
	else if (ep->limit.holds)
		g_ptr_array_add(found->turns, ep);
	else
		g_ptr_array_add(found->sure, ep);
}

/*
 * Collects the endpoints with a free slot that have not failed the request; as
 * a last resort also those that did, or those in a cooldown.
 */
static void
collect(const struct fleet *fleet, const struct fwd_criteria *want,
    enum last_resort resort, const struct found *found,
    struct fwd_choice *choice)
{
	struct endpoint *ep;

	choice->known = 0;
	choice->usable = 0;
	choice->running = 0;
	choice->any_usable = NULL;
	choice->next_available = NULL;
	choice->unavailable = 0;
	choice->limited = 0;
	choice->next_permit = NULL;
	choice->permit_ms = INFINITY;
	choice->limits_per_s = 0;
	TAILQ_FOREACH(ep, &fleet->endpoints, entry) {
		if (!endpoint_fits(ep, want) || ep->gone)
			continue;
		choice->known++;
		choice_note_closed(choice, ep, want->now_ms);
		if (!resort_takes(ep, want->now_ms, resort) ||
		    want_tried(want, ep, resort == RESORT_TRIED) ||
		    !choice_note_turn(choice, ep, want))
			continue;
		choice->usable++;
		choice->running += fwd_expect_running(ep);
		choice->any_usable = ep;
		if (fwd_expect_running(ep) < endpoint_places(ep, want) &&
		    endpoint_rest_has_room(&ep->rest))
			found_add(found, ep);
	}
}

/* Moves the endpoints of this daemon's failure domain to the front. Returns
 * their number. */
static unsigned
near_first(GPtrArray *found, const struct fwd_criteria *want)
{
	unsigned n = 0;

	for (guint i = 0; i < found->len; i++) {
		struct endpoint *ep = found->pdata[i];

		if (g_strcmp0(ep->report.domain, want->domain) != 0)
			continue;
		found->pdata[i] = found->pdata[n];
		found->pdata[n++] = ep;
	}
	return (n);
}

/* Moves random candidates of the range [first, end) to the start of the range.
 * Returns the end of the candidates. */
static unsigned
draw_candidates(GPtrArray *found, unsigned first, unsigned end, uint32_t *draw)
{
	unsigned n = MIN(end - first, CANDIDATES);

	for (unsigned i = first; i < first + n; i++) {
		unsigned k = i + *draw % (end - i);
		void *swap = found->pdata[i];

		found->pdata[i] = found->pdata[k];
		found->pdata[k] = swap;
		*draw = *draw / 7 + *draw * 2654435761u;
	}
	return (first + n);
}

/* Compares the candidates in the range [first, end) with the best so far. */
static void
compare(const GPtrArray *found, unsigned first, unsigned end,
    const struct fwd_criteria *want, struct fwd_choice *choice, double *best)
{
	for (unsigned i = first; i < end; i++) {
		struct endpoint *ep = found->pdata[i];
		double expected, cost = endpoint_cost(ep, want, &expected);

		if (cost >= *best)
			continue;
		*best = cost;
		choice->endpoint = ep;
		choice->first_ms = expected;
		choice->overhead_ms = want->overhead_ms;
		choice->load =
		    fwd_expect_running(ep) / endpoint_places(ep, want);
	}
}

/**
 * fwd_choice_all_unavailable() - whether all matching endpoints have requested
 *a backoff or are draining.
 * @choice: the choice
 */
bool
fwd_choice_all_unavailable(const struct fwd_choice *choice)
{
	return (
	    choice->unavailable > 0 && choice->unavailable == choice->known);
}

/* Compares random candidates of this and of other failure domains with the best
 * so far. */
static void
choose_among(GPtrArray *found, const struct fwd_criteria *want,
    struct fwd_choice *choice, uint32_t *draw, double *best)
{
	unsigned near = near_first(found, want);
	unsigned end = draw_candidates(found, 0, near, draw);

	compare(found, 0, end, want, choice, best);
	end = draw_candidates(found, near, found->len, draw);
	compare(found, near, end, want, choice, best);
}

/**
 * fwd_choose() - choose an endpoint for a request.
 * @fleet: the endpoints
 * @want: what the request requires of an endpoint
 * @choice: filled in
 */
void
fwd_choose(const struct fleet *fleet, const struct fwd_criteria *want,
    struct fwd_choice *choice)
{
	g_autoptr(GPtrArray) sure = g_ptr_array_new();
	g_autoptr(GPtrArray) turns = g_ptr_array_new();
	g_autoptr(GPtrArray) doubted = g_ptr_array_new();
	const struct found found = { sure, turns, doubted };
	double best = INFINITY;
	uint32_t draw = want->draw;

	memset(choice, 0, sizeof *choice);
	collect(fleet, want, RESORT_NONE, &found, choice);
	if (choice->usable == 0 && want->n_tried > 0)
		collect(fleet, want, RESORT_TRIED, &found, choice);
	/* If all are in a cooldown, one that may fail is better than none. */
	if (choice->usable == 0 && want->model == NULL)
		collect(fleet, want, RESORT_RESTING, &found, choice);
	/* By cost alone, an endpoint in probing whose load is as low as that of
	 * the others would never get a request again. A retry doesn't probe. */
	if (want->n_tried == 0 && want->draw % PROBE_ONE_IN == 0)
		choose_among(doubted, want, choice, &draw, &best);
	if (choice->endpoint != NULL)
		return;
	/* First, so that of equal endpoints one with a rate limit is chosen:
	 * only its responses tell when the limit has ended. */
	compare(turns, 0, turns->len, want, choice, &best);
	choose_among(sure, want, choice, &draw, &best);
	if (choice->endpoint == NULL || choice->load >= FWD_BUSY_LOAD)
		choose_among(doubted, want, choice, &draw, &best);
}
