/* Load balancing: chooses an endpoint for a request. Pure. */
#include <math.h>
#include <string.h>

#include "fwd-balance.h"

/* Number of random candidates of which the best is chosen. Random, so that
 * daemons with the same outdated load reports don't all choose the same one. */
#define CANDIDATES 3
/* Maximum number of random candidates of which one is drawn by what other
 * daemons may have sent meanwhile. It bounds the work for a request in a large
 * fleet. */
#define BALANCE_MAX 64
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
 * @unrestricted: without any restriction
 * @permitted: with a rate limit of which this daemon has a permit, as only few
 *	daemons have
 * @probing: in probing after a backoff or refusal: they have not accepted a
 *	request since; or found silent and not heard since
 */
struct eligible {
	GPtrArray *unrestricted;
	GPtrArray *permitted;
	GPtrArray *probing;
};

/**
 * fwd_endpoint_matches() - whether an endpoint is of a request's service and
 *	serves its model.
 * @ep: the endpoint
 * @criteria: the request's criteria
 */
bool
fwd_endpoint_matches(const struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	if (strcmp(ep->report.service, criteria->service) != 0)
		return (false);
	if (criteria->model == NULL)
		return (true);
	return (ep->report.rank == 0 && ep->report.state == GROUP_OPEN &&
	    ep->report.model != NULL &&
	    strcmp(ep->report.model, criteria->model->name) == 0);
}

/* Endpoints that are chosen only if there are no others: none of them, those
 * that have failed the request, or those in a cooldown. */
enum last_resort {
	RESORT_NONE,
	RESORT_TRIED,
	RESORT_COOLDOWN,
};

/* Whether an endpoint may be chosen. As a last resort a cooldown, which this
 * daemon assumed, may be ignored; a backoff that the endpoint asked for may
 * not. */
static bool
resort_allows(const struct endpoint *ep, uint64_t now_ms,
    enum last_resort resort)
{
	if (resort == RESORT_COOLDOWN)
		return (endpoint_accepts(ep, now_ms));
	return (endpoint_usable(ep, now_ms));
}

/* Finds an endpoint among those that the request was sent to, or NULL. */
static const struct fwd_tried *
criteria_find_tried(const struct fwd_criteria *criteria,
    const struct endpoint *ep)
{
	for (unsigned i = 0; i < criteria->n_tried; i++) {
		if (criteria->tried[i].endpoint == ep)
			return (&criteria->tried[i]);
	}
	return (NULL);
}

/* Whether the request's earlier sends allow an endpoint. As a last resort one
 * that failed it may be chosen again after a while. */
static bool
criteria_allows_tried(const struct fwd_criteria *criteria,
    const struct endpoint *ep, enum last_resort resort)
{
	const struct fwd_tried *tried = criteria_find_tried(criteria, ep);

	if (tried == NULL)
		return (!criteria->released_only);
	if (tried->active)
		return (false);
	if (criteria->released_only ? !tried->released : resort != RESORT_TRIED)
		return (false);
	return (criteria->now_ms - tried->failed_ms >= TRIED_AGAIN_MS);
}

/* Notes an endpoint that has asked for a backoff or is draining. */
static void
choice_note_unavailable(struct fwd_choice *choice, const struct endpoint *ep,
    uint64_t now_ms)
{
	bool in_backoff = endpoint_backoff_active(&ep->backoff, now_ms);

	if (!in_backoff && !ep->draining)
		return;
	choice->unavailable++;
	if (ep->draining)
		return;
	if (choice->next_available == NULL ||
	    ep->backoff.until_ms < choice->next_available->backoff.until_ms)
		choice->next_available = ep;
}

/* Whether this daemon has a permit of the endpoint's rate limit for the
 * request; if not, notes when it will have one. */
static bool
choice_check_limit(struct fwd_choice *choice, const struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	double ms = endpoint_limit_wait_ms(&ep->limit, criteria->ahead,
	    criteria->now_ms);

	if (ms <= 0)
		return (true);
	choice->limited++;
	choice->limits_per_s +=
	    endpoint_limit_rate(&ep->limit, criteria->now_ms);
	if (choice->next_permit == NULL || ms < choice->permit_ms) {
		choice->next_permit = ep;
		choice->permit_ms = ms;
	}
	return (false);
}

/* Whether an endpoint has a free slot. The short requests of a plain service
 * may have ended since other daemons reported them. */
static bool
has_free_slot(const struct endpoint *ep, const struct fwd_criteria *criteria)
{
	double running = fwd_expect_running(ep);

	if (criteria->model == NULL)
		running -=
		    ep->peer_inflight * fwd_unseen_ended(&criteria->unseen);
	return (running < fwd_cost_slots(ep, criteria));
}

/* Adds an endpoint with a free slot to the array that it belongs to. */
static void
eligible_add(const struct eligible *eligible, struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	if (endpoint_backoff_probing(&ep->backoff) ||
	    (criteria->probe_suspects && endpoint_suspected(ep)))
		g_ptr_array_add(eligible->probing, ep);
	else if (endpoint_limit_active(&ep->limit, criteria->now_ms))
		g_ptr_array_add(eligible->permitted, ep);
	else
		g_ptr_array_add(eligible->unrestricted, ep);
}

/* Counts a usable endpoint, full or not. */
static void
choice_count_usable(struct fwd_choice *choice, const struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	struct fwd_usage *usage =
	    fwd_cost_is_local(ep, criteria) ? &choice->own : &choice->others;

	choice->usable++;
	choice->running += fwd_expect_running(ep);
	choice->any_usable = ep;
	usage->running += fwd_expect_running(ep);
	usage->slots += fwd_cost_slots(ep, criteria);
}

/*
 * Collects the endpoints with a free slot that have not failed the request; as
 * a last resort also those that did, or those in a cooldown.
 */
static void
collect(const struct fleet *fleet, const struct fwd_criteria *criteria,
    enum last_resort resort, const struct eligible *eligible,
    struct fwd_choice *choice)
{
	struct endpoint *ep;

	memset(choice, 0, sizeof *choice);
	choice->permit_ms = INFINITY;
	TAILQ_FOREACH(ep, &fleet->endpoints, entry) {
		if (!fwd_endpoint_matches(ep, criteria) || ep->gone)
			continue;
		choice->known++;
		choice_note_unavailable(choice, ep, criteria->now_ms);
		if (!resort_allows(ep, criteria->now_ms, resort) ||
		    !criteria_allows_tried(criteria, ep, resort) ||
		    MAX(ep->heard_ms, ep->peer_heard_ms) <
			criteria->heard_since_ms ||
		    !choice_check_limit(choice, ep, criteria))
			continue;
		choice_count_usable(choice, ep, criteria);
		if (has_free_slot(ep, criteria) &&
		    endpoint_backoff_admits(&ep->backoff))
			eligible_add(eligible, ep, criteria);
	}
}

/* Moves the endpoints of this daemon's failure domain to the front. Returns
 * their number. */
static unsigned
local_first(GPtrArray *eligible, const struct fwd_criteria *criteria)
{
	unsigned n = 0;

	for (guint i = 0; i < eligible->len; i++) {
		struct endpoint *ep = eligible->pdata[i];

		if (!fwd_cost_is_local(ep, criteria))
			continue;
		eligible->pdata[i] = eligible->pdata[n];
		eligible->pdata[n++] = ep;
	}
	return (n);
}

/* Moves at most @max random candidates of the range [first, end) to the start
 * of the range. Returns the end of the candidates. */
static unsigned
draw_candidates(GPtrArray *eligible, unsigned first, unsigned end, unsigned max,
    uint32_t *draw)
{
	unsigned n = MIN(end - first, max);

	for (unsigned i = first; i < first + n; i++) {
		unsigned k = i + *draw % (end - i);
		void *swap = eligible->pdata[i];

		eligible->pdata[i] = eligible->pdata[k];
		eligible->pdata[k] = swap;
		*draw = *draw / 7 + *draw * 2654435761u;
	}
	return (first + n);
}

/* Compares an endpoint with the best so far. */
static void
compare_one(struct endpoint *ep, const struct fwd_criteria *criteria,
    struct fwd_choice *choice, double *best)
{
	double expected;
	double cost = fwd_cost(ep, criteria, choice->preference, &expected);

	if (cost >= *best)
		return;
	*best = cost;
	choice->endpoint = ep;
	choice->first_ms = expected;
	choice->overhead_ms = criteria->overhead_ms;
	choice->load = fwd_expect_running(ep) / fwd_cost_slots(ep, criteria);
}

/* Compares the candidates in the range [first, end) with the best so far. */
static void
compare(const GPtrArray *eligible, unsigned first, unsigned end,
    const struct fwd_criteria *criteria, struct fwd_choice *choice,
    double *best)
{
	for (unsigned i = first; i < end; i++)
		compare_one(eligible->pdata[i], criteria, choice, best);
}

/**
 * fwd_choice_all_unavailable() - whether all matching endpoints have asked for
 *	a backoff or are draining.
 * @choice: the choice
 */
bool
fwd_choice_all_unavailable(const struct fwd_choice *choice)
{
	return (
	    choice->unavailable > 0 && choice->unavailable == choice->known);
}

/**
 * fwd_choice_only_limited() - whether rate limits alone keep matching endpoints
 *	from having the request.
 * @choice: the choice
 */
bool
fwd_choice_only_limited(const struct fwd_choice *choice)
{
	return (choice->usable == 0 && choice->limited > 0);
}

/* Whether candidates are drawn from all failure domains together. Drawn apart,
 * half of them are of the own one, whatever its part of the endpoints. */
static bool
draws_together(const struct fwd_criteria *criteria,
    const struct fwd_choice *choice)
{
	return ((double)(criteria->draw >> 8) >=
	    choice->preference * (UINT32_MAX >> 8));
}

/* Compares random candidates of this and of other failure domains with the best
 * so far. */
static void
choose_among(GPtrArray *eligible, const struct fwd_criteria *criteria,
    struct fwd_choice *choice, uint32_t *draw, double *best)
{
	unsigned n_local, end;

	if (criteria->balance_domains && draws_together(criteria, choice)) {
		end = draw_candidates(eligible, 0, eligible->len, CANDIDATES,
		    draw);
		compare(eligible, 0, end, criteria, choice, best);
		return;
	}
	n_local = local_first(eligible, criteria);
	end = draw_candidates(eligible, 0, n_local, CANDIDATES, draw);
	compare(eligible, 0, end, criteria, choice, best);
	if (criteria->balance_domains && choice->endpoint != NULL)
		choice->preference *= fwd_domains_prefer_first(choice->first_ms,
		    criteria->objective_ms);
	end =
	    draw_candidates(eligible, n_local, eligible->len, CANDIDATES, draw);
	compare(eligible, n_local, end, criteria, choice, best);
}

/* Chooses by what other daemons may have sent meanwhile, or else by the known
 * loads. */
static void
choose_balanced(GPtrArray *eligible, const struct fwd_criteria *criteria,
    struct fwd_choice *choice, uint32_t *draw, double *best)
{
	struct endpoint *ep = NULL;
	bool applies = fwd_balance_applies(criteria, eligible->len);

	if (applies) {
		unsigned n = draw_candidates(eligible, 0, eligible->len,
		    BALANCE_MAX, draw);

		ep = fwd_balance_choose((struct endpoint *const *)
					    eligible->pdata,
		    n, eligible->len, criteria, choice->preference);
	}
	if (ep != NULL)
		compare_one(ep, criteria, choice, best);
	else if (!applies || !criteria->may_wait)
		choose_among(eligible, criteria, choice, draw, best);
}

/**
 * fwd_choose() - choose an endpoint for a request.
 * @fleet: the endpoints
 * @criteria: what the request requires of an endpoint
 * @choice: filled in
 */
void
fwd_choose(const struct fleet *fleet, const struct fwd_criteria *criteria,
    struct fwd_choice *choice)
{
	g_autoptr(GPtrArray) unrestricted = g_ptr_array_new();
	g_autoptr(GPtrArray) permitted = g_ptr_array_new();
	g_autoptr(GPtrArray) probing = g_ptr_array_new();
	const struct eligible eligible = { unrestricted, permitted, probing };
	double best = INFINITY;
	uint32_t draw = criteria->draw;

	collect(fleet, criteria, RESORT_NONE, &eligible, choice);
	if (choice->usable == 0 && criteria->n_tried > 0)
		collect(fleet, criteria, RESORT_TRIED, &eligible, choice);
	/* If all are in a cooldown, one that may fail is better than none. */
	if (choice->usable == 0 &&
	    (criteria->model == NULL || criteria->released_only))
		collect(fleet, criteria, RESORT_COOLDOWN, &eligible, choice);
	choice->preference = 1;
	if (criteria->balance_domains)
		choice->preference =
		    fwd_domains_prefer(&choice->own, &choice->others);
	/* By cost alone, an endpoint in probing whose load is as low as that of
	 * the others would never get a request again. A retry doesn't probe. */
	if (criteria->n_tried == 0 && criteria->draw % PROBE_ONE_IN == 0)
		choose_among(probing, criteria, choice, &draw, &best);
	if (choice->endpoint != NULL)
		return;
	/* First, so that of equal endpoints one with a rate limit is chosen:
	 * only its responses tell when the limit has ended. */
	compare(permitted, 0, permitted->len, criteria, choice, &best);
	choose_balanced(unrestricted, criteria, choice, &draw, &best);
	if (choice->endpoint == NULL || choice->load >= FWD_BUSY_LOAD)
		choose_among(probing, criteria, choice, &draw, &best);
}
