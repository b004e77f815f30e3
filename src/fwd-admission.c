/*
 * Admission control: send, queue or refuse a request. Pure.
 *
 * Handles load above the capacity of the replicas: a burst, or replicas that
 * are lost until they are formed again. A request is queued only while a slot
 * is expected in time for it, since each request that is served late delays
 * later ones. A refused client is told to retry when a replica that is being
 * repaired should serve again.
 */
#include <math.h>

#include "fwd-admission.h"

/* Time to retry for a plain service, where no repair has to load a model: about
 * the cooldown of an endpoint after failures. */
#define RETRY_PLAIN_MS 400
/* Jitter as a part of the time to retry, so that the clients don't all return
 * at once. */
#define RETRY_JITTER 0.5
/* Clients obey a time to retry up to this part of the time that they have. */
#define RETRY_OBEYED (1.0 / 3)
#define MS_PER_S 1000

/* Expected time until a slot becomes free for the request. */
static double
slot_ms(const struct fwd_admission *a)
{
	if (a->choice->running <= 0)
		return (INFINITY);
	return (a->duration_ms / a->choice->running * (a->ahead + 1));
}

/* Whether a request that starts in @from_now_ms would meet its objective. */
static bool
in_time(const struct fwd_admission *a, double from_now_ms)
{
	return (a->waited_ms + from_now_ms <= a->objective_ms);
}

/* Time until the first backoff of a matching endpoint ends. */
static double
backoff_ms(const struct fwd_admission *a)
{
	const struct endpoint *ep = a->choice->next_available;

	if (ep == NULL)
		return (INFINITY);
	return ((double)(ep->backoff.until_ms -
	    MIN(a->criteria->now_ms, ep->backoff.until_ms)));
}

/*
 * Decides on a request whose endpoints are all in backoff or draining. After a
 * backoff a single request probes the endpoint, so only one is queued for it.
 */
static enum fwd_admission_verdict
decide_unavailable(const struct fwd_admission *a)
{
	double backoff = backoff_ms(a);
	bool waits;

	if (a->started)
		waits =
		    a->choice->next_available == NULL || backoff < a->left_ms;
	else
		waits = a->ahead < 1 &&
		    in_time(a, backoff + (a->resubmitted ? 0 : a->first_ms));
	return (waits ? ADMIT_QUEUE : ADMIT_REFUSE);
}

/**
 * fwd_admission_decide() - decide on a request that has no endpoint.
 * @a: the request and the endpoints' state
 */
enum fwd_admission_verdict
fwd_admission_decide(const struct fwd_admission *a)
{
	const struct fwd_choice *choice = a->choice;
	double slot = fmin(slot_ms(a), choice->permit_ms);

	if (choice->endpoint != NULL) {
		/* While slots are free a late response is no reason to refuse,
		 * and estimates are least certain at low load. */
		if (a->sends > 0 || a->resubmitted ||
		    a->criteria->model == NULL ||
		    choice->load < FWD_BUSY_LOAD || in_time(a, a->first_ms))
			return (ADMIT_SEND);
		return (ADMIT_REFUSE);
	}
	/* A response that was begun is continued as soon as any endpoint may,
	 * one that is not known yet too. */
	if (a->begun)
		return (ADMIT_QUEUE);
	if (fwd_choice_all_unavailable(choice))
		return (decide_unavailable(a));
	/* A request that was sent before is retried until its deadline. */
	if (a->sends > 0)
		return (fwd_choice_only_limited(choice) && slot >= a->left_ms ?
			ADMIT_REFUSE :
			ADMIT_QUEUE);
	if (choice->usable == 0 && choice->limited == 0)
		return (ADMIT_REFUSE);
	return (in_time(a, slot + (a->resubmitted ? 0 : a->first_ms)) ?
		ADMIT_QUEUE :
		ADMIT_REFUSE);
}

/**
 * fwd_admission_retry_ms() - time after which a refused client should retry.
 * @a: the request and the endpoints' state
 */
int64_t
fwd_admission_retry_ms(const struct fwd_admission *a)
{
	double jitter = RETRY_JITTER * a->draw / UINT32_MAX;
	double retry = RETRY_PLAIN_MS;

	if (a->criteria->model != NULL)
		retry =
		    a->criteria->model->warm_ms + a->criteria->engine->form_ms;
	retry *= 1 + jitter;
	/* All daemons together get permits at this rate. */
	if (fwd_choice_only_limited(a->choice))
		retry = (1 + jitter) *
		    fmax(MS_PER_S / a->choice->limits_per_s, RETRY_PLAIN_MS);
	/* Before the first backoff ends the client would be refused again. */
	if (fwd_choice_all_unavailable(a->choice) &&
	    a->choice->next_available != NULL)
		retry = backoff_ms(a) +
		    jitter * fmax(backoff_ms(a), RETRY_PLAIN_MS);
	return (llround(MIN(retry, MAX(a->left_ms, 0) * RETRY_OBEYED)));
}
