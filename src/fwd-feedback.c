/*
 * Feedback about itself that an endpoint gives in a response: that it asks for
 * a backoff, is draining or names a rate limit. Each kind is a row of
 * feedback_handlers.
 */
#include <math.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/**
 * fwd_endpoint_cool_down() - start a cooldown of an endpoint: prefer others.
 * @send: the send
 * @ms: length of the cooldown, which the endpoint did not ask for
 * @reason: reason for the log
 */
void
fwd_endpoint_cool_down(struct fwd_send *send, uint64_t ms, const char *reason)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;

	ep->cooldown_until_ms =
	    MAX(ep->cooldown_until_ms, clock_loop_ms(ex->fwd->loop) + ms);
	event_log(LOG_INFO, "endpoint_rests",
	    "endpoint=%s ms=%llu reason=%s failures=%u id=%s", ep->report.id,
	    (unsigned long long)ms, reason, ep->failures, ex->id);
}

/* Current time. Feedback holds from now on, and the loop's time is that at
 * which this round began. */
static uint64_t
feedback_now(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;

	uv_update_time(ex->fwd->loop);
	return (clock_loop_ms(ex->fwd->loop));
}

/* Has it noted that the endpoint wants nothing from this daemon for so many ms,
 * nor from the gateway that the response came through. */
static void
feedback_declined(const struct fwd_send *send, uint64_t ms)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct net_gateway *gateway = NULL;

	if (net_conn_tunneled(send->conn))
		gateway = &send->conn->link->gateway;
	if (ex->fwd->on_declined != NULL)
		ex->fwd->on_declined(ex->fwd->on_declined_arg, send->endpoint,
		    ms, gateway);
}

/* The endpoint asks for a backoff: nothing from this daemon for a while. */
static void
feedback_backoff(struct fwd_send *send, const struct feedback *fb)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;
	uint64_t ms =
	    endpoint_backoff_normalize(fb->number, ex->fwd->set.backoff_max_ms);

	endpoint_backoff_extend(&ep->backoff, ms, feedback_now(send));
	feedback_declined(send, MAX(ms, 1));
	fwd_stats_count(&ex->fwd->stats, COUNT_BACKOFFS);
	event_log(LOG_NOTICE, "endpoint_asks_rest",
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" read=%s ms=%llu "
	    "left_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, fb->text,
	    isnan(fb->number) ? "no" : "yes", (unsigned long long)ms,
	    (unsigned long long)(MAX(ep->backoff.until_ms,
				     clock_loop_ms(ex->fwd->loop)) -
		clock_loop_ms(ex->fwd->loop)),
	    ep->inflight, ex->id);
}

/* The endpoint is draining; this incarnation won't accept requests again. */
static void
feedback_draining(struct fwd_send *send, const struct feedback *fb)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;

	if (fb->number != 1)
		return;
	/* Each gateway is told, also of what this daemon knows already. */
	if (!ep->draining || net_conn_tunneled(send->conn))
		feedback_declined(send, 0);
	if (ep->draining)
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
feedback_limit_changed(struct fwd_send *send, const char *event,
    const char *asked)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;

	event_log(LOG_NOTICE, event,
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" per_s=%.3f "
	    "inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, asked,
	    ep->limit.per_s, ep->inflight, ex->id);
	if (ex->fwd->on_limit != NULL)
		ex->fwd->on_limit(ex->fwd->on_limit_arg, ep);
}

/* The endpoint names a rate limit, which all daemons share. */
static void
feedback_limit(struct fwd_send *send, const struct feedback *fb)
{
	struct endpoint_limit *limit = &send->endpoint->limit;
	double per_s = endpoint_limit_normalize(fb->number, limit);
	bool unreadable = isnan(fb->number);
	bool changed = unreadable && !limit->unreadable;

	limit->unreadable = unreadable;
	limit->heard_ms = feedback_now(send);
	changed |= endpoint_limit_set(limit, per_s, limit->heard_ms);
	if (!changed)
		return;
	fwd_stats_count(&send->exchange->fwd->stats, COUNT_LIMITS);
	feedback_limit_changed(send, "endpoint_names_limit", fb->text);
}

/* The response names no rate limit: one that was named before has ended. */
static void
feedback_no_limit(struct fwd_send *send)
{
	struct endpoint_limit *limit = &send->endpoint->limit;

	if (!endpoint_limit_superseded(limit, send->basis.sent_ms))
		return;
	limit->heard_ms = feedback_now(send);
	if (endpoint_limit_clear(limit, limit->heard_ms))
		feedback_limit_changed(send, "endpoint_lifts_limit", "");
}

/**
 * struct feedback_handler - handler of one kind of feedback.
 * @present: called for a response with such feedback
 * @absent: called for a response without it; NULL if that means nothing
 */
static const struct feedback_handler {
	void (*present)(struct fwd_send *, const struct feedback *);
	void (*absent)(struct fwd_send *);
} feedback_handlers[FEEDBACK_KINDS] = {
	[FEEDBACK_BACKOFF] = { feedback_backoff, NULL },
	[FEEDBACK_DRAINING] = { feedback_draining, NULL },
	[FEEDBACK_LIMIT] = { feedback_limit, feedback_no_limit },
};

/* The endpoint accepted a request, which may have been a probe. */
static void
feedback_accepted(struct fwd_send *send)
{
	struct endpoint_backoff *backoff = &send->endpoint->backoff;

	endpoint_backoff_accepted(backoff);
	if (send->probe)
		endpoint_backoff_end_probe(backoff, true);
	send->probe = false;
}

/*
 * Starts a cooldown of an endpoint that refused a request. An endpoint that
 * refuses requests has no load, so it looks best to the next ones: it attracted
 * two requests of three while replicas had free slots.
 */
static void
feedback_refused(struct fwd_send *send)
{
	fwd_endpoint_cool_down(send,
	    endpoint_backoff_refused(&send->endpoint->backoff), "refused");
}

/**
 * fwd_feedback_apply() - apply the feedback in a response.
 * @send: the send
 * @response: decoded headers of the response; those of another incarnation tell
 *	nothing about the endpoint
 */
void
fwd_feedback_apply(struct fwd_send *send, const struct wire_response *response)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct feedback *backoff = &response->feedback[FEEDBACK_BACKOFF];
	const struct endpoint *ep = send->endpoint;

	if (response->not_run)
		event_log(LOG_INFO, "request_not_run",
		    "id=%s endpoint=%s status=%u rest=\"%.40s\" "
		    "expected_ms=%.0f running=%u usable=%u known=%u sends=%u "
		    "age_ms=%llu",
		    ex->id, ep->report.id, send->status,
		    backoff->text != NULL ? backoff->text : "-",
		    send->basis.expected_ms, send->basis.running,
		    send->basis.usable, send->basis.known, ex->sends,
		    (unsigned long long)(clock_loop_ms(ex->fwd->loop) -
			send->basis.sent_ms));
	if (response->wrong_endpoint)
		return;
	for (enum feedback_kind kind = 0; kind < FEEDBACK_KINDS; kind++) {
		if (response->feedback[kind].text != NULL)
			feedback_handlers[kind].present(send,
			    &response->feedback[kind]);
		else if (feedback_handlers[kind].absent != NULL)
			feedback_handlers[kind].absent(send);
	}
	if (!response->not_run)
		feedback_accepted(send);
	else if (response->lost_member == NULL &&
	    !endpoint_backoff_active(&ep->backoff,
		clock_loop_ms(ex->fwd->loop)))
		feedback_refused(send);
}

/* Counts a request to an endpoint with a rate limit; logs it if it is sent
 * without a permit. */
static void
feedback_check_limit(struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct endpoint *ep = send->endpoint;
	const struct endpoint_limit *limit = &ep->limit;

	if (!endpoint_limit_active(limit, send->basis.sent_ms))
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_LIMITED);
	if (send->has_permit)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_OVER_SHARE);
	event_log(LOG_WARNING, "sent_over_share",
	    "id=%s endpoint=%s per_s=%.3f share_per_s=%.3f turns=%.2f sends=%u "
	    "usable=%u known=%u",
	    ex->id, ep->report.id, limit->per_s, limit->share_per_s,
	    limit->permits, ex->sends, send->basis.usable, send->basis.known);
}

/**
 * fwd_feedback_check_send() - count and log a send that exceeds a rate limit or
 *	ignores a backoff.
 * @send: the send
 */
void
fwd_feedback_check_send(struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct endpoint *ep = send->endpoint;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	feedback_check_limit(send);
	if (!endpoint_backoff_active(&ep->backoff, now))
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_IN_BACKOFF);
	event_log(LOG_WARNING, "sent_in_rest",
	    "id=%s endpoint=%s left_ms=%llu sends=%u usable=%u known=%u "
	    "expected_ms=%.0f",
	    ex->id, ep->report.id,
	    (unsigned long long)(ep->backoff.until_ms - now), ex->sends,
	    send->basis.usable, send->basis.known, send->basis.expected_ms);
}
