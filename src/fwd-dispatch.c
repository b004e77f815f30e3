/* Dispatch: sends, queues or refuses a request. */
#include <math.h>
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-admission.h"
#include "fwd-cost.h"
#include "fwd-drain-admit.h"
#include "fwd-exchange.h"
#include "random.h"

/**
 * fwd_exchange_count_ahead() - requests queued before one for the same slots.
 * @ex: the exchange; all are before one that is not queued
 */
unsigned
fwd_exchange_count_ahead(const struct fwd_exchange *ex)
{
	const struct fwd_exchange *other;
	unsigned ahead = 0;

	TAILQ_FOREACH(other, &ex->fwd->queue, queue_entry) {
		if (other == ex)
			break;
		ahead += other->model == ex->model &&
		    strcmp(other->service, ex->service) == 0;
	}
	return (ahead);
}

/*
 * Number of requests queued before this one at all daemons. While the others'
 * are not known, they are taken to have as many as this daemon.
 */
static double
exchange_fleet_ahead(const struct fwd_exchange *ex, unsigned own)
{
	const struct fleet_sums *sums = &ex->fwd->registry->sums;

	if (!ex->fwd->set.overload_levels || !sums->told)
		return ((double)own * MAX(ex->fwd->daemons, 1));
	return (own +
	    fleet_demand_queued_elsewhere(sums, ex->service,
		ex->model != NULL ? ex->model->name : NULL, ex->priority));
}

/* Fills in the input of the decision on a request. */
static void
exchange_fill_admission(const struct fwd_exchange *ex,
    const struct fwd_criteria *criteria, const struct fwd_choice *choice,
    struct fwd_admission *a)
{
	const struct endpoint *ep =
	    choice->endpoint != NULL ? choice->endpoint : choice->any_usable;
	struct fwd_workload workload;

	if (ep == NULL)
		ep = choice->next_permit != NULL ? choice->next_permit :
						   choice->next_available;
	memset(a, 0, sizeof *a);
	a->criteria = criteria;
	a->choice = choice;
	a->objective_ms = (double)ex->route->objective_ms;
	a->waited_ms = (double)(criteria->now_ms - ex->arrived_ms);
	a->left_ms =
	    (double)(ex->deadline_ms - MIN(criteria->now_ms, ex->deadline_ms));
	a->resubmitted = ex->resubmitted;
	a->sends = ex->sends;
	a->started = ex->runs > 0;
	a->begun = ex->first_us > 0;
	a->duration_ms = fwd_exchange_estimate(ex)->duration_ms;
	a->ahead = exchange_fleet_ahead(ex, criteria->ahead);
	a->draw = random_u32();
	if (ep == NULL)
		return;
	a->first_ms = a->duration_ms;
	if (ex->model == NULL)
		return;
	/* Estimated for a prompt of at most the usual size, so that large ones
	 * are admitted too. */
	fwd_criteria_workload(criteria,
	    MIN(ex->prompt, ex->engine->usual_prompt), &workload);
	a->first_ms = fwd_expect_first(ep, &workload);
}

/* Returns why a request gets no slot, for the log. */
static const char *
no_slot_reason(const struct fwd_choice *choice)
{
	if (fwd_choice_all_unavailable(choice))
		return (choice->next_available != NULL ? "endpoints_rest" :
							 "endpoints_leave");
	if (choice->usable > 0)
		return ("places_taken");
	return (choice->limited > 0 ? "endpoints_limited" : "no_endpoint");
}

/* Refuses a request that can't be served in time. */
static void
exchange_refuse_no_slot(struct fwd_exchange *ex, const struct fwd_admission *a,
    const char *reason)
{
	const struct fwd_choice *choice = a->choice;
	const struct endpoint *ep = choice->next_permit != NULL ?
	    choice->next_permit :
	    choice->next_available;
	int64_t retry = fwd_level_retry_ms(ex, a);

	event_log(LOG_NOTICE, "no_place",
	    "id=%s service=%s known=%u usable=%u closed=%u limited=%u "
	    "turn_ms=%.0f limits_per_s=%.2f endpoint=%s "
	    "load=%.2f first_ms=%.0f whole_ms=%.0f ahead=%.0f resubmitted=%d "
	    "retry_ms=%lld",
	    ex->id, ex->service, choice->known, choice->usable,
	    choice->unavailable, choice->limited,
	    isinf(choice->permit_ms) ? -1 : choice->permit_ms,
	    choice->limits_per_s, ep != NULL ? ep->report.id : "-",
	    choice->load, a->first_ms, a->duration_ms, a->ahead, a->resubmitted,
	    (long long)retry);
	if (ex->runs == 0 && ex->first_us == 0)
		fwd_count_refused(ex, retry);
	fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, reason, retry);
}

/* Rank of a request in the queue. */
static int
exchange_rank(const struct fwd_exchange *ex)
{
	return (fwd_priority_rank(ex->priority,
	    ex->resubmitted && ex->fwd->set.overload_levels));
}

/**
 * fwd_exchange_enqueue() - insert a request into the queue, by rank.
 * @ex: the exchange
 */
void
fwd_exchange_enqueue(struct fwd_exchange *ex)
{
	struct fwd_exchange *at;

	ex->state = EXCHANGE_QUEUED;
	TAILQ_FOREACH(at, &ex->fwd->queue, queue_entry) {
		if (exchange_rank(at) > exchange_rank(ex))
			break;
	}
	if (at != NULL)
		TAILQ_INSERT_BEFORE(at, ex, queue_entry);
	else
		TAILQ_INSERT_TAIL(&ex->fwd->queue, ex, queue_entry);
}

/* Whether a request may be taken for one like others of its model or service:
 * its client may repeat it if it is not, or it says how long its stream may be.
 */
static bool
exchange_is_comparable(const struct fwd_exchange *ex)
{
	switch (ex->route->retry) {
	case RETRY_NEVER:
		return (false);
	case RETRY_IDEMPOTENT:
		return (true);
	case RETRY_STREAM:
		return (ex->response_tokens > 0);
	}
	return (false);
}

/* Whether a graceful shutdown leaves a request time to be sent. A response that
 * was begun is continued in any case: it can't be refused. */
static bool
exchange_fits_drain(const struct fwd_exchange *ex)
{
	const struct fwd_drain_window *window = &ex->fwd->drain;
	struct fwd_drain_request request;

	if (window->end_ms == 0 || ex->first_us > 0)
		return (true);
	request.now_ms = clock_loop_ms(ex->fwd->loop);
	request.deadline_ms = ex->deadline_ms;
	request.usual_ms = exchange_is_comparable(ex) ?
	    fwd_estimate_longest(fwd_exchange_estimate(ex)) :
	    INFINITY;
	return (fwd_drain_admits(window, &request));
}

/**
 * fwd_exchange_dispatch() - send, queue or refuse a request.
 * @ex: the exchange
 */
void
fwd_exchange_dispatch(struct fwd_exchange *ex)
{
	struct fwd_choice choice;
	struct fwd_admission a;
	struct fwd_criteria criteria;
	struct fwd_poison_refusal refusal;
	bool arrived = ex->state != EXCHANGE_QUEUED && ex->sends == 0;

	if (ex->state != EXCHANGE_QUEUED)
		fwd_exchange_enqueue(ex);
	if (fwd_poison_refuses(ex, &refusal)) {
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY,
		    refusal.reason, refusal.retry_ms);
		return;
	}
	if (!exchange_fits_drain(ex)) {
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, "daemon_ends",
		    FWD_DRAIN_RETRY_MS);
		return;
	}
	if (!fwd_exchange_recheck(ex)) {
		fwd_exchange_end_wait(ex);
		return;
	}
	fwd_exchange_criteria(ex, &criteria);
	criteria.ahead = fwd_exchange_count_ahead(ex);
	fwd_choose(&ex->fwd->registry->fleet, &criteria, &choice);
	if (choice.unavailable > 0 && !ex->held_back) {
		ex->held_back = true;
		fwd_stats_count(&ex->fwd->stats, COUNT_HELD_BACK);
	}
	if (choice.limited > 0 && !ex->limit_held_back) {
		ex->limit_held_back = true;
		fwd_stats_count(&ex->fwd->stats, COUNT_LIMIT_HELD_BACK);
	}
	exchange_fill_admission(ex, &criteria, &choice, &a);
	if (arrived)
		fwd_level_note(ex);
	if (arrived && fwd_level_refuses(ex, &choice)) {
		exchange_refuse_no_slot(ex, &a, "overloaded");
		return;
	}
	switch (fwd_admission_decide(&a)) {
	case ADMIT_SEND:
		fwd_exchange_send(ex, &choice);
		break;
	case ADMIT_REFUSE:
		exchange_refuse_no_slot(ex, &a, no_slot_reason(&choice));
		break;
	case ADMIT_QUEUE:
		fwd_exchange_end_wait(ex);
		break;
	}
}
