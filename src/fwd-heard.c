/* What an endpoint says of itself in an answer: that it rests or leaves. */
#include <math.h>

#include "event-log.h"
#include "fwd-exchange.h"

/**
 * fwd_endpoint_rest() - prefer other endpoints for a while.
 * @ex: the exchange, with its endpoint
 * @ms: how long; the endpoint did not ask for it
 * @reason: for the log
 */
void
fwd_endpoint_rest(struct fwd_exchange *ex, uint64_t ms, const char *reason)
{
	struct endpoint *ep = ex->endpoint;

	ep->rest_until_ms = MAX(ep->rest_until_ms, uv_now(ex->fwd->loop) + ms);
	event_log(LOG_INFO, "endpoint_rests",
	    "endpoint=%s ms=%llu reason=%s failures=%u id=%s", ep->report.id,
	    (unsigned long long)ms, reason, ep->failures, ex->id);
}

/* The endpoint wants nothing from this daemon for a while. */
static void
heard_rest(struct fwd_exchange *ex, const struct wire_answer *answer,
    uint64_t ms)
{
	struct endpoint *ep = ex->endpoint;

	/* The rest runs from now; the loop's time is from before this round. */
	uv_update_time(ex->fwd->loop);
	endpoint_rest_ask(&ep->rest, ms, uv_now(ex->fwd->loop));
	fwd_stats_count(&ex->fwd->stats, COUNT_RESTS);
	event_log(LOG_NOTICE, "endpoint_asks_rest",
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" read=%s ms=%llu "
	    "left_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, answer->rest,
	    isnan(answer->rest_ms) ? "no" : "yes", (unsigned long long)ms,
	    (unsigned long long)(MAX(ep->rest.until_ms, uv_now(ex->fwd->loop)) -
		uv_now(ex->fwd->loop)),
	    ep->inflight, ex->id);
}

/* The endpoint ends what it has; for good within its incarnation. */
static void
heard_leaving(struct fwd_exchange *ex)
{
	struct endpoint *ep = ex->endpoint;

	if (ep->draining)
		return;
	/* Its entry in the store may say so later, or not at all where the
	 * store is away. */
	ep->draining = true;
	fwd_stats_count(&ex->fwd->stats, COUNT_LEAVING);
	event_log(LOG_NOTICE, "endpoint_leaves",
	    "endpoint=%s started_ms=%lld entry_age_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms,
	    (unsigned long long)(uv_now(ex->fwd->loop) - ep->seen_ms),
	    ep->inflight, ex->id);
}

/* The endpoint took a request, which may have been to find that out. */
static void
heard_taken(struct fwd_exchange *ex)
{
	struct endpoint_rest *rest = &ex->endpoint->rest;

	endpoint_rest_taken(rest);
	if (ex->probe)
		endpoint_rest_probed(rest, true);
	ex->probe = false;
}

/*
 * An endpoint that turns requests away has no work, so it looks best to all
 * that come next: it drew two requests of three from replicas with places.
 */
static void
heard_refusal(struct fwd_exchange *ex)
{
	fwd_endpoint_rest(ex, endpoint_rest_refused(&ex->endpoint->rest),
	    "refused");
}

/**
 * fwd_heard() - take in what an endpoint says of itself.
 * @ex: the exchange that it answers
 * @answer: the head of its answer; another incarnation's says nothing of it
 */
void
fwd_heard(struct fwd_exchange *ex, const struct wire_answer *answer)
{
	uint64_t rest_ms = 0;

	if (answer->not_run)
		event_log(LOG_INFO, "request_not_run",
		    "id=%s endpoint=%s status=%u rest=\"%.40s\" leaving=%d "
		    "expected_ms=%.0f running=%u usable=%u known=%u sends=%u "
		    "age_ms=%llu",
		    ex->id, ex->endpoint->report.id, ex->status,
		    answer->rest != NULL ? answer->rest : "-", answer->leaving,
		    ex->expected_ms, ex->running_at_send, ex->usable_at_send,
		    ex->known_at_send, ex->sends,
		    (unsigned long long)(uv_now(ex->fwd->loop) - ex->sent_ms));
	if (answer->wrong_endpoint)
		return;
	if (answer->leaving)
		heard_leaving(ex);
	if (answer->rest != NULL)
		rest_ms = endpoint_rest_read(answer->rest_ms,
		    ex->fwd->set.rest_most_ms);
	if (answer->rest != NULL)
		heard_rest(ex, answer, rest_ms);
	if (!answer->not_run)
		heard_taken(ex);
	else if (rest_ms == 0 && answer->at_fault == NULL)
		heard_refusal(ex);
}

/**
 * fwd_heard_send() - a request goes to an endpoint.
 * @ex: the exchange, with its endpoint
 */
void
fwd_heard_send(struct fwd_exchange *ex)
{
	const struct endpoint *ep = ex->endpoint;
	uint64_t now = uv_now(ex->fwd->loop);

	if (!endpoint_rest_holds(&ep->rest, now))
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_IN_REST);
	event_log(LOG_WARNING, "sent_in_rest",
	    "id=%s endpoint=%s left_ms=%llu sends=%u usable=%u known=%u "
	    "expected_ms=%.0f",
	    ex->id, ep->report.id,
	    (unsigned long long)(ep->rest.until_ms - now), ex->sends,
	    ex->usable_at_send, ex->known_at_send, ex->expected_ms);
}
