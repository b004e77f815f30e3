/*
 * Feedback about itself that an endpoint gives in a response: that it requests
 * a backoff, is draining, or has a rate limit. Each kind is a row of
 * feedback_handlers.
 */
#include <math.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/**
 * fwd_endpoint_cool_down() - start a cooldown of an endpoint: prefer others.
 * @ex: the exchange, with its endpoint
 * @ms: length of the cooldown, which the endpoint did not ask for
 * @reason: reason for the log
 */
void
fwd_endpoint_cool_down(struct fwd_exchange *ex, uint64_t ms, const char *reason)
{
	struct endpoint *ep = ex->endpoint;

	ep->rest_until_ms =
	    MAX(ep->rest_until_ms, clock_loop_ms(ex->fwd->loop) + ms);
	event_log(LOG_INFO, "endpoint_rests",
	    "endpoint=%s ms=%llu reason=%s failures=%u id=%s", ep->report.id,
	    (unsigned long long)ms, reason, ep->failures, ex->id);
}

/* Current time. Feedback holds from now on, and the loop's time is that at
 * which this round began. */
static uint64_t
heard_now(const struct fwd_exchange *ex)
{
	uv_update_time(ex->fwd->loop);
	return (clock_loop_ms(ex->fwd->loop));
}

/* The endpoint requests a backoff: nothing from this daemon for a while. */
static void
heard_rest(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint *ep = ex->endpoint;
	uint64_t ms =
	    endpoint_rest_read(said->number, ex->fwd->set.rest_most_ms);

	endpoint_rest_ask(&ep->rest, ms, heard_now(ex));
	fwd_stats_count(&ex->fwd->stats, COUNT_BACKOFFS);
	event_log(LOG_NOTICE, "endpoint_asks_rest",
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" read=%s ms=%llu "
	    "left_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, said->text,
	    isnan(said->number) ? "no" : "yes", (unsigned long long)ms,
	    (unsigned long long)(MAX(ep->rest.until_ms,
				     clock_loop_ms(ex->fwd->loop)) -
		clock_loop_ms(ex->fwd->loop)),
	    ep->inflight, ex->id);
}

/* The endpoint is draining; this incarnation won't accept requests again. */
static void
heard_leaving(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint *ep = ex->endpoint;

	if (said->number != 1 || ep->draining)
		return;
	/* Its entry in the store may tell that later, or not at all while the
	 * store is unreachable. */
	ep->draining = true;
	fwd_stats_count(&ex->fwd->stats, COUNT_DRAINING);
	event_log(LOG_NOTICE, "endpoint_leaves",
	    "endpoint=%s started_ms=%lld entry_age_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms,
	    (unsigned long long)(clock_loop_ms(ex->fwd->loop) - ep->seen_ms),
	    ep->inflight, ex->id);
}

/* Logs a changed rate limit, and has other daemons notified. */
static void
limit_changed(struct fwd_exchange *ex, const char *event, const char *asked)
{
	struct endpoint *ep = ex->endpoint;

	event_log(LOG_NOTICE, event,
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" per_s=%.3f "
	    "inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, asked,
	    ep->limit.per_s, ep->inflight, ex->id);
	if (ex->fwd->on_limit != NULL)
		ex->fwd->on_limit(ex->fwd->on_limit_arg, ep);
}

/* The endpoint sets a rate limit, shared by all daemons. */
static void
heard_limit(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;
	double per_s = endpoint_limit_read(said->number, limit);
	bool unread = isnan(said->number);
	bool news = unread && !limit->unread;

	limit->unread = unread;
	limit->heard_ms = heard_now(ex);
	news |= endpoint_limit_name(limit, per_s, limit->heard_ms);
	if (!news)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_LIMITS);
	limit_changed(ex, "endpoint_names_limit", said->text);
}

/* The response names no rate limit: one that was set before has ended. */
static void
heard_no_limit(struct fwd_exchange *ex)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;

	if (!endpoint_limit_outlived(limit, ex->sent_ms))
		return;
	limit->heard_ms = heard_now(ex);
	if (endpoint_limit_lift(limit, limit->heard_ms))
		limit_changed(ex, "endpoint_lifts_limit", "");
}

/**
 * struct heard_word - handler of one kind of feedback.
 * @said: called for a response with such feedback
 * @unsaid: called for a response without it; NULL if that means nothing
 */
static const struct heard_word {
	void (*said)(struct fwd_exchange *, const struct feedback *);
	void (*unsaid)(struct fwd_exchange *);
} heard_words[FEEDBACK_KINDS] = {
	[FEEDBACK_BACKOFF] = { heard_rest, NULL },
	[FEEDBACK_DRAINING] = { heard_leaving, NULL },
	[FEEDBACK_LIMIT] = { heard_limit, heard_no_limit },
};

/* The endpoint accepted a request, which may have been a probe. */
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
 * Starts a cooldown of an endpoint that refused a request. An endpoint that
 * refuses requests has no load, so it looks best to the next ones: it attracted
 * two requests of three while replicas had free slots.
 */
static void
heard_refusal(struct fwd_exchange *ex)
{
	fwd_endpoint_cool_down(ex, endpoint_rest_refused(&ex->endpoint->rest),
	    "refused");
}

/**
 * fwd_feedback_apply() - apply the feedback in a response.
 * @ex: the exchange
 * @answer: decoded headers of the response; those of another incarnation tell
 *	nothing about the endpoint
 */
void
fwd_feedback_apply(struct fwd_exchange *ex, const struct wire_response *answer)
{
	const struct feedback *rest = &answer->feedback[FEEDBACK_BACKOFF];
	const struct endpoint *ep = ex->endpoint;

	if (answer->not_run)
		event_log(LOG_INFO, "request_not_run",
		    "id=%s endpoint=%s status=%u rest=\"%.40s\" "
		    "expected_ms=%.0f running=%u usable=%u known=%u sends=%u "
		    "age_ms=%llu",
		    ex->id, ep->report.id, ex->status,
		    rest->text != NULL ? rest->text : "-", ex->expected_ms,
		    ex->running_at_send, ex->usable_at_send, ex->known_at_send,
		    ex->sends,
		    (unsigned long long)(clock_loop_ms(ex->fwd->loop) -
			ex->sent_ms));
	if (answer->wrong_endpoint)
		return;
	for (enum feedback_kind word = 0; word < FEEDBACK_KINDS; word++) {
		if (answer->feedback[word].text != NULL)
			heard_words[word].said(ex, &answer->feedback[word]);
		else if (heard_words[word].unsaid != NULL)
			heard_words[word].unsaid(ex);
	}
	if (!answer->not_run)
		heard_taken(ex);
	else if (answer->lost_member == NULL &&
	    !endpoint_rest_holds(&ep->rest, clock_loop_ms(ex->fwd->loop)))
		heard_refusal(ex);
}

/* Counts a request to an endpoint with a rate limit; logs it if it is sent
 * without a permit. */
static void
heard_send_limited(struct fwd_exchange *ex)
{
	const struct endpoint *ep = ex->endpoint;
	const struct endpoint_limit *limit = &ep->limit;

	if (!limit->holds)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_LIMITED);
	if (ex->has_permit)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_OVER_SHARE);
	event_log(LOG_WARNING, "sent_over_share",
	    "id=%s endpoint=%s per_s=%.3f share_per_s=%.3f turns=%.2f sends=%u "
	    "usable=%u known=%u",
	    ex->id, ep->report.id, limit->per_s, limit->share_per_s,
	    limit->turns, ex->sends, ex->usable_at_send, ex->known_at_send);
}

/**
 * fwd_feedback_check_send() - count and log a send that exceeds a rate limit or
 *ignores a backoff.
 * @ex: the exchange, with its endpoint
 */
void
fwd_feedback_check_send(struct fwd_exchange *ex)
{
	const struct endpoint *ep = ex->endpoint;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	heard_send_limited(ex);
	if (!endpoint_rest_holds(&ep->rest, now))
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_IN_BACKOFF);
	event_log(LOG_WARNING, "sent_in_rest",
	    "id=%s endpoint=%s left_ms=%llu sends=%u usable=%u known=%u "
	    "expected_ms=%.0f",
	    ex->id, ep->report.id,
	    (unsigned long long)(ep->rest.until_ms - now), ex->sends,
	    ex->usable_at_send, ex->known_at_send, ex->expected_ms);
}
