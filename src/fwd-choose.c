/* Chooses the endpoint of a request from what is known of all. Pure. */
#include <math.h>
#include <string.h>

#include "fwd-choose.h"

/* Endpoints are compared within this many candidates drawn at random, so
 * that daemons with the same late knowledge do not all choose the same. */
#define CANDIDATES 3
/* Work in another failure domain must gain this much to be chosen: bytes
 * between failure domains are priced, and what is known of the work there is
 * older, since far daemons are told less often. */
#define CROSS_DOMAIN_MS 40.0
/* A plain endpoint's queue is counted in requests; one in another failure
 * domain counts as this much of a request more. */
#define CROSS_DOMAIN_LOAD 0.15
/* An endpoint's share of failures weighs as much as this load. */
#define ERROR_WEIGHT 2.0
/* Where every endpoint has failed a request, one may have it again after this:
 * about the time of a short answer, in which a full one gets a place. */
#define TRIED_AGAIN_MS 200
/* Of the requests that other endpoints could have, one in so many may go to one
 * that has not shown yet that it takes requests again: those that are refused
 * are repeated, and repeats are usually bounded at two in ten. */
#define PROBE_ONE_IN 10

/* Endpoints with a free place; those of them whose limits give this daemon a
 * turn, which only few daemons have; and those that rested or refused and have
 * not shown yet that they take requests again. */
struct found {
	GPtrArray *sure;
	GPtrArray *turns;
	GPtrArray *doubted;
};

/*
 * Whether an endpoint has failed the request; with @again, only lately.
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

/* Whether an endpoint is of the kind that a request needs. */
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
 * fwd_criteria_workload() - a request's work for an engine.
 * @want: the request; its engine and model are known
 * @prompt: tokens that count
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

/* What an endpoint costs a request; lower is better. */
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

/* Requests that an endpoint should have at once at most. */
static double
endpoint_places(const struct endpoint *ep, const struct fwd_criteria *want)
{
	if (want->engine != NULL)
		return (want->engine->slots);
	return (MAX(ep->report.slots, 1));
}

/* Endpoints that are asked only where there are no others. */
enum last_resort {
	RESORT_NONE,
	RESORT_TRIED,
	RESORT_RESTING,
};

/* A rest that we guessed may be cut short; one that was asked for may not. */
static bool
resort_takes(const struct endpoint *ep, uint64_t now_ms,
    enum last_resort resort)
{
	if (resort == RESORT_RESTING)
		return (endpoint_accepts(ep, now_ms));
	return (endpoint_usable(ep, now_ms));
}

/* Notes an endpoint that takes nothing by its own word, and for how long. */
static void
choice_note_closed(struct fwd_choice *choice, const struct endpoint *ep,
    uint64_t now_ms)
{
	bool rests = endpoint_backoff_active(&ep->backoff, now_ms);

	if (!rests && !ep->draining)
		return;
	choice->unavailable++;
	if (ep->draining)
		return;
	if (choice->next_available == NULL ||
	    ep->backoff.until_ms < choice->next_available->backoff.until_ms)
		choice->next_available = ep;
}

/* Whether this daemon may send the request; if not, notes when it may. */
static bool
choice_note_turn(struct fwd_choice *choice, const struct endpoint *ep,
    const struct fwd_criteria *want)
{
	double ms =
	    endpoint_limit_wait_ms(&ep->limit, want->ahead, want->now_ms);

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

/* Puts an endpoint with a free place among those of its sort. */
static void
found_add(const struct found *found, struct endpoint *ep)
{
	if (endpoint_backoff_probing(&ep->backoff))
		g_ptr_array_add(found->doubted, ep);
	else if (ep->limit.active)
		g_ptr_array_add(found->turns, ep);
	else
		g_ptr_array_add(found->sure, ep);
}

/*
 * Collects the endpoints with a free place that have not failed the request
 * yet; as a last resort also those that did, or all that are taken to need
 * rest without having asked for it.
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
		    endpoint_backoff_admits(&ep->backoff))
			found_add(found, ep);
	}
}

/* Moves the endpoints of the own failure domain to the front. */
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

/* Moves random candidates of a part of the array to the start of that part. */
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

/* Compares some candidates with the best so far. */
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
 * fwd_choice_all_unavailable() - whether all endpoints of the kind rest or
 * leave by their own word.
 * @choice: the choice
 */
bool
fwd_choice_all_unavailable(const struct fwd_choice *choice)
{
	return (
	    choice->unavailable > 0 && choice->unavailable == choice->known);
}

/* Compares random candidates, near and far, with the best so far. */
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
 * fwd_choose() - choose the endpoint of a request.
 * @fleet: the endpoints
 * @want: what the request needs
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
	/* Where all rest, one that may fail is better than none. */
	if (choice->usable == 0 && want->model == NULL)
		collect(fleet, want, RESORT_RESTING, &found, choice);
	/* Chosen by cost, one with as little to do as the others would never
	 * be asked again. A repeat goes where requests are taken. */
	if (want->n_tried == 0 && want->draw % PROBE_ONE_IN == 0)
		choose_among(doubted, want, choice, &draw, &best);
	if (choice->endpoint != NULL)
		return;
	/* First, so that of equals one that has a limit is asked: only its
	 * answers say that the limit is over. */
	compare(turns, 0, turns->len, want, choice, &best);
	choose_among(sure, want, choice, &draw, &best);
	if (choice->endpoint == NULL || choice->load >= FWD_BUSY_LOAD)
		choose_among(doubted, want, choice, &draw, &best);
}
