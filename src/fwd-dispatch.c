/* Sends a request, lets it wait for a place, or refuses it. */
#include <math.h>
#include <string.h>

#include "event-log.h"
#include "fwd-admission.h"
#include "fwd-exchange.h"
#include "random.h"

/* Requests that wait before this one for the same places here. */
static unsigned
exchange_ahead(const struct fwd_exchange *ex)
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

/* What the decision on a request without an endpoint looks at. */
static void
exchange_admission(const struct fwd_exchange *ex,
    const struct fwd_criteria *want, const struct fwd_choice *choice,
    struct fwd_admission *a)
{
	const struct endpoint *ep =
	    choice->endpoint != NULL ? choice->endpoint : choice->any_usable;
	struct fwd_workload work;

	if (ep == NULL)
		ep = choice->next_permit != NULL ? choice->next_permit :
						   choice->next_available;
	memset(a, 0, sizeof *a);
	a->criteria = want;
	a->choice = choice;
	a->objective_ms = (double)ex->route->objective_ms;
	a->waited_ms = (double)(want->now_ms - ex->arrived_ms);
	a->left_ms =
	    (double)(ex->deadline_ms - MIN(want->now_ms, ex->deadline_ms));
	a->resubmitted = ex->resubmitted;
	a->sends = ex->sends;
	a->started = ex->runs > 0 || ex->first_us > 0;
	a->duration_ms = fwd_exchange_estimate(ex)->duration_ms;
	a->ahead = (double)want->ahead * MAX(ex->fwd->daemons, 1);
	a->draw = random_u32();
	if (ep == NULL)
		return;
	a->first_ms = a->duration_ms;
	if (ex->model == NULL)
		return;
	/* Judged for a prompt of usual size, so that large ones get through. */
	fwd_criteria_workload(want, MIN(ex->prompt, ex->engine->usual_prompt),
	    &work);
	a->first_ms = fwd_expect_first(ep, &work);
}

/* Why a request gets no place. */
static const char *
no_place_reason(const struct fwd_choice *choice)
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
exchange_no_place(struct fwd_exchange *ex, const struct fwd_admission *a)
{
	const struct fwd_choice *choice = a->choice;
	const struct endpoint *ep = choice->next_permit != NULL ?
	    choice->next_permit :
	    choice->next_available;
	int64_t retry = fwd_admission_retry_ms(a);

	event_log(LOG_NOTICE, "no_place",
	    "id=%s service=%s known=%u usable=%u closed=%u limited=%u "
	    "turn_ms=%.0f limits_per_s=%.2f endpoint=%s "
	    "load=%.2f first_ms=%.0f whole_ms=%.0f ahead=%.0f returned=%d "
	    "retry_ms=%lld",
	    ex->id, ex->service, choice->known, choice->usable,
	    choice->unavailable, choice->limited,
	    isinf(choice->permit_ms) ? -1 : choice->permit_ms,
	    choice->limits_per_s, ep != NULL ? ep->report.id : "-",
	    choice->load, a->first_ms, a->duration_ms, a->ahead, a->resubmitted,
	    (long long)retry);
	fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY,
	    no_place_reason(choice), retry);
}

/* Puts a request among those that wait, the more urgent first. */
static void
exchange_queue(struct fwd_exchange *ex)
{
	struct fwd_exchange *at;
	int priority = ex->route->priority;

	ex->state = EXCHANGE_QUEUED;
	TAILQ_FOREACH(at, &ex->fwd->queue, queue_entry) {
		if (at->route->priority > priority)
			break;
	}
	if (at != NULL)
		TAILQ_INSERT_BEFORE(at, ex, queue_entry);
	else
		TAILQ_INSERT_TAIL(&ex->fwd->queue, ex, queue_entry);
}

/**
 * fwd_exchange_dispatch() - send a request, let it wait for a place, or refuse
 * it.
 * @ex: the exchange
 */
void
fwd_exchange_dispatch(struct fwd_exchange *ex)
{
	struct fwd_choice choice;
	struct fwd_admission a;
	struct fwd_criteria want;

	if (ex->state != EXCHANGE_QUEUED)
		exchange_queue(ex);
	if (fwd_poison_refuse(ex))
		return;
	fwd_exchange_criteria(ex, &want);
	want.ahead = exchange_ahead(ex);
	fwd_choose(&ex->fwd->registry->fleet, &want, &choice);
	if (choice.unavailable > 0 && !ex->held_back) {
		ex->held_back = true;
		fwd_stats_count(&ex->fwd->stats, COUNT_HELD_BACK);
	}
	if (choice.limited > 0 && !ex->limit_held_back) {
		ex->limit_held_back = true;
		fwd_stats_count(&ex->fwd->stats, COUNT_LIMIT_HELD_BACK);
	}
	exchange_admission(ex, &want, &choice, &a);
	switch (fwd_admission_decide(&a)) {
	case ADMIT_SEND:
		fwd_exchange_send(ex, &choice);
		break;
	case ADMIT_REFUSE:
		exchange_no_place(ex, &a);
		break;
	case ADMIT_QUEUE:
		break;
	}
}
