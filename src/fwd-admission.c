/*
 * Whether a request is sent, waits for a place or is refused. Pure.
 *
 * Answers loads above what the replicas can take: a burst, or replicas lost
 * until they are formed again. A request waits for as long as a place that it
 * can have in time is expected, and not longer: each one that is served late
 * makes later ones late. One that was refused comes back when a replica that
 * is being repaired should serve again.
 */
#include <math.h>

#include "fwd-admission.h"

/* When to come back where the service has no models that a repair would load:
 * about as long as an endpoint rests after failures. */
#define RETRY_PLAIN_MS 400
/* Part of the time to come back over which callers are spread, so that they
 * don't return all at once. */
#define RETRY_SPREAD 0.5
/* Callers heed a time to come back up to this part of the time they have. */
#define RETRY_HEEDED (1.0 / 3)
#define MS_PER_S 1000

/* Expected time until a place becomes free for the request. */
static double
place_ms(const struct fwd_admission *a)
{
	if (a->choice->running <= 0)
		return (INFINITY);
	return (a->duration_ms / a->choice->running * (a->ahead + 1));
}

/* Whether a request that has a place would be answered in time. */
static bool
in_time(const struct fwd_admission *a, double from_now_ms)
{
	return (a->waited_ms + from_now_ms <= a->objective_ms);
}

/* Time until the first rest of an endpoint of the kind ends. */
static double
opens_ms(const struct fwd_admission *a)
{
	const struct endpoint *ep = a->choice->next_available;

	if (ep == NULL)
		return (INFINITY);
	return ((double)(ep->backoff.until_ms -
	    MIN(a->criteria->now_ms, ep->backoff.until_ms)));
}

/*
 * What becomes of a request whose endpoints all rest or leave. After a rest one
 * request goes to the endpoint first, so no more than one waits for its end.
 */
static enum fwd_admission_verdict
decide_closed(const struct fwd_admission *a)
{
	double opens = opens_ms(a);
	bool waits;

	if (a->started)
		waits = a->choice->next_available == NULL || opens < a->left_ms;
	else
		waits = a->ahead < 1 &&
		    in_time(a, opens + (a->resubmitted ? 0 : a->first_ms));
	return (waits ? ADMIT_QUEUE : ADMIT_REFUSE);
}

/* Whether only limits keep the endpoints of the kind from the request. */
static bool
only_limited(const struct fwd_choice *choice)
{
	return (choice->usable == 0 && choice->limited > 0);
}

/**
 * fwd_admission_decide() - decide about a request that has no endpoint.
 * @a: the request
 */
enum fwd_admission_verdict
fwd_admission_decide(const struct fwd_admission *a)
{
	const struct fwd_choice *choice = a->choice;
	double place = fmin(place_ms(a), choice->permit_ms);

	if (choice->endpoint != NULL) {
		/* With free places a late answer is no reason to refuse, and
		 * expectations are least sure where little runs. */
		if (a->sends > 0 || a->resubmitted ||
		    a->criteria->model == NULL ||
		    choice->load < FWD_BUSY_LOAD || in_time(a, a->first_ms))
			return (ADMIT_SEND);
		return (ADMIT_REFUSE);
	}
	if (fwd_choice_all_unavailable(choice))
		return (decide_closed(a));
	/* What was begun goes on as long as there is time. */
	if (a->sends > 0)
		return (only_limited(choice) && place >= a->left_ms ?
			ADMIT_REFUSE :
			ADMIT_QUEUE);
	if (choice->usable == 0 && choice->limited == 0)
		return (ADMIT_REFUSE);
	return (in_time(a, place + (a->resubmitted ? 0 : a->first_ms)) ?
		ADMIT_QUEUE :
		ADMIT_REFUSE);
}

/**
 * fwd_admission_retry_ms() - when a refused request should come back.
 * @a: the request
 */
int64_t
fwd_admission_retry_ms(const struct fwd_admission *a)
{
	double spread = RETRY_SPREAD * a->draw / UINT32_MAX;
	double retry = RETRY_PLAIN_MS;

	if (a->criteria->model != NULL)
		retry =
		    a->criteria->model->warm_ms + a->criteria->engine->form_ms;
	retry *= 1 + spread;
	/* All daemons together have a turn so often. */
	if (only_limited(a->choice))
		retry = (1 + spread) *
		    fmax(MS_PER_S / a->choice->limits_per_s, RETRY_PLAIN_MS);
	/* Before the first rest is over a caller would be refused again. */
	if (fwd_choice_all_unavailable(a->choice) &&
	    a->choice->next_available != NULL)
		retry =
		    opens_ms(a) + spread * fmax(opens_ms(a), RETRY_PLAIN_MS);
	return (llround(MIN(retry, MAX(a->left_ms, 0) * RETRY_HEEDED)));
}
