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
place_ms(const struct admission *a)
{
	if (a->choice->taken <= 0)
		return (INFINITY);
	return (a->whole_ms / a->choice->taken * (a->ahead + 1));
}

/* Whether a request that has a place would be answered in time. */
static bool
in_time(const struct admission *a, double from_now_ms)
{
	return (a->waited_ms + from_now_ms <= a->objective_ms);
}

/* Time until the first rest of an endpoint of the kind ends. */
static double
opens_ms(const struct admission *a)
{
	const struct endpoint *ep = a->choice->opens;

	if (ep == NULL)
		return (INFINITY);
	return ((double)(ep->backoff.until_ms -
	    MIN(a->want->now_ms, ep->backoff.until_ms)));
}

/*
 * What becomes of a request whose endpoints all rest or leave. After a rest one
 * request goes to the endpoint first, so no more than one waits for its end.
 */
static enum admission_verdict
decide_closed(const struct admission *a)
{
	double opens = opens_ms(a);
	bool waits;

	if (a->begun)
		waits = a->choice->opens == NULL || opens < a->left_ms;
	else
		waits = a->ahead < 1 &&
		    in_time(a, opens + (a->returned ? 0 : a->first_ms));
	return (waits ? ADMIT_WAIT : ADMIT_REFUSE);
}

/* Whether only limits keep the endpoints of the kind from the request. */
static bool
only_limited(const struct fwd_choice *choice)
{
	return (choice->usable == 0 && choice->limited > 0);
}

/**
 * admission_decide() - decide about a request that has no endpoint.
 * @a: the request
 */
enum admission_verdict
admission_decide(const struct admission *a)
{
	const struct fwd_choice *choice = a->choice;
	double place = fmin(place_ms(a), choice->turn_ms);

	if (choice->endpoint != NULL) {
		/* With free places a late answer is no reason to refuse, and
		 * expectations are least sure where little runs. */
		if (a->sends > 0 || a->returned || a->want->model == NULL ||
		    choice->load < FWD_FULL_ENOUGH || in_time(a, a->first_ms))
			return (ADMIT_SEND);
		return (ADMIT_REFUSE);
	}
	if (fwd_choice_all_closed(choice))
		return (decide_closed(a));
	/* What was begun goes on as long as there is time. */
	if (a->sends > 0)
		return (only_limited(choice) && place >= a->left_ms ?
			ADMIT_REFUSE :
			ADMIT_WAIT);
	if (choice->usable == 0 && choice->limited == 0)
		return (ADMIT_REFUSE);
	return (in_time(a, place + (a->returned ? 0 : a->first_ms)) ?
		ADMIT_WAIT :
		ADMIT_REFUSE);
}

/**
 * admission_retry_ms() - when a refused request should come back.
 * @a: the request
 */
int64_t
admission_retry_ms(const struct admission *a)
{
	double spread = RETRY_SPREAD * a->draw / UINT32_MAX;
	double retry = RETRY_PLAIN_MS;

	if (a->want->model != NULL)
		retry = a->want->model->warm_ms + a->want->engine->form_ms;
	retry *= 1 + spread;
	/* All daemons together have a turn so often. */
	if (only_limited(a->choice))
		retry = (1 + spread) *
		    fmax(MS_PER_S / a->choice->limits_per_s, RETRY_PLAIN_MS);
	/* Before the first rest is over a caller would be refused again. */
	if (fwd_choice_all_closed(a->choice) && a->choice->opens != NULL)
		retry =
		    opens_ms(a) + spread * fmax(opens_ms(a), RETRY_PLAIN_MS);
	return (llround(MIN(retry, MAX(a->left_ms, 0) * RETRY_HEEDED)));
}
