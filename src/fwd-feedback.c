/*
 * What an endpoint says of itself in an answer: that it rests or leaves, or how
 * many requests a second it takes. Each word is a row of the table below.
 */
#include <math.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/**
 * fwd_endpoint_cool_down() - prefer other endpoints for a while.
 * @ex: the exchange, with its endpoint
 * @ms: how long; the endpoint did not ask for it
 * @reason: for the log
 */
void
fwd_endpoint_cool_down(struct fwd_exchange *ex, uint64_t ms, const char *reason)
{
	struct endpoint *ep = ex->endpoint;

	ep->cooldown_until_ms =
	    MAX(ep->cooldown_until_ms, clock_loop_ms(ex->fwd->loop) + ms);
	event_log(LOG_INFO, "endpoint_rests",
	    "endpoint=%s ms=%llu reason=%s failures=%u id=%s", ep->report.id,
	    (unsigned long long)ms, reason, ep->failures, ex->id);
}

/* What an endpoint says holds from now; the loop's time is from before this
 * round. */
static uint64_t
heard_now(const struct fwd_exchange *ex)
{
	uv_update_time(ex->fwd->loop);
	return (clock_loop_ms(ex->fwd->loop));
}

/* The endpoint wants nothing from this daemon for a while. */
static void
heard_rest(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint *ep = ex->endpoint;
	uint64_t ms =
	    endpoint_backoff_normalize(said->number, ex->fwd->set.rest_most_ms);

	endpoint_backoff_extend(&ep->backoff, ms, heard_now(ex));
	fwd_stats_count(&ex->fwd->stats, COUNT_BACKOFFS);
	event_log(LOG_NOTICE, "endpoint_asks_rest",
	    "endpoint=%s started_ms=%lld asked=\"%.40s\" read=%s ms=%llu "
	    "left_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms, said->text,
	    isnan(said->number) ? "no" : "yes", (unsigned long long)ms,
	    (unsigned long long)(MAX(ep->backoff.until_ms,
				     clock_loop_ms(ex->fwd->loop)) -
		clock_loop_ms(ex->fwd->loop)),
	    ep->inflight, ex->id);
}

/* The endpoint ends what it has; for good within its incarnation. */
static void
heard_leaving(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint *ep = ex->endpoint;

	if (said->number != 1 || ep->draining)
		return;
	/* Its entry in the store may say so later, or not at all where the
	 * store is away. */
	ep->draining = true;
	fwd_stats_count(&ex->fwd->stats, COUNT_DRAINING);
	event_log(LOG_NOTICE, "endpoint_leaves",
	    "endpoint=%s started_ms=%lld entry_age_ms=%llu inflight=%u id=%s",
	    ep->report.id, (long long)ep->report.started_ms,
	    (unsigned long long)(clock_loop_ms(ex->fwd->loop) - ep->seen_ms),
	    ep->inflight, ex->id);
}

/* What an endpoint takes has changed: a line, and a word to the others. */
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

/* The endpoint takes so many requests a second from all daemons together. */
static void
heard_limit(struct fwd_exchange *ex, const struct feedback *said)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;
	double per_s = endpoint_limit_normalize(said->number, limit);
	bool unread = isnan(said->number);
	bool news = unread && !limit->unreadable;

	limit->unreadable = unread;
	limit->heard_ms = heard_now(ex);
	news |= endpoint_limit_set(limit, per_s, limit->heard_ms);
	if (!news)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_LIMITS);
	limit_changed(ex, "endpoint_names_limit", said->text);
}

/* The endpoint names no limit, or none any more. */
static void
heard_no_limit(struct fwd_exchange *ex)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;

	if (!endpoint_limit_superseded(limit, ex->sent_ms))
		return;
	limit->heard_ms = heard_now(ex);
	if (endpoint_limit_clear(limit, limit->heard_ms))
		limit_changed(ex, "endpoint_lifts_limit", "");
}

/**
 * struct heard_word - a word that an endpoint may say of itself.
 * @said: takes it in
 * @unsaid: an answer came without it; NULL where that means nothing
 */
static const struct heard_word {
	void (*said)(struct fwd_exchange *, const struct feedback *);
	void (*unsaid)(struct fwd_exchange *);
} heard_words[FEEDBACK_KINDS] = {
	[FEEDBACK_BACKOFF] = { heard_rest, NULL },
	[FEEDBACK_DRAINING] = { heard_leaving, NULL },
	[FEEDBACK_LIMIT] = { heard_limit, heard_no_limit },
};

/* The endpoint took a request, which may have been to find that out. */
static void
heard_taken(struct fwd_exchange *ex)
{
	struct endpoint_backoff *rest = &ex->endpoint->backoff;

	endpoint_backoff_accepted(rest);
	if (ex->probe)
		endpoint_backoff_end_probe(rest, true);
	ex->probe = false;
}

/*
 * An endpoint that turns requests away has no work, so it looks best to all
 * that come next: it drew two requests of three from replicas with places.
 */
static void
heard_refusal(struct fwd_exchange *ex)
{
	fwd_endpoint_cool_down(ex,
	    endpoint_backoff_refused(&ex->endpoint->backoff), "refused");
}

/**
 * fwd_feedback_apply() - take in what an endpoint says of itself.
 * @ex: the exchange that it answers
 * @answer: the head of its answer; another incarnation's says nothing of it
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
	    !endpoint_backoff_active(&ep->backoff,
		clock_loop_ms(ex->fwd->loop)))
		heard_refusal(ex);
}

/* A request goes to an endpoint that named a limit. */
static void
heard_send_limited(struct fwd_exchange *ex)
{
	const struct endpoint *ep = ex->endpoint;
	const struct endpoint_limit *limit = &ep->limit;

	if (!limit->active)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_LIMITED);
	if (ex->has_permit)
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_OVER_SHARE);
	event_log(LOG_WARNING, "sent_over_share",
	    "id=%s endpoint=%s per_s=%.3f share_per_s=%.3f turns=%.2f sends=%u "
	    "usable=%u known=%u",
	    ex->id, ep->report.id, limit->per_s, limit->share_per_s,
	    limit->permits, ex->sends, ex->usable_at_send, ex->known_at_send);
}

/**
 * fwd_feedback_check_send() - a request goes to an endpoint.
 * @ex: the exchange, with its endpoint
 */
void
fwd_feedback_check_send(struct fwd_exchange *ex)
{
	const struct endpoint *ep = ex->endpoint;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	heard_send_limited(ex);
	if (!endpoint_backoff_active(&ep->backoff, now))
		return;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT_IN_BACKOFF);
	event_log(LOG_WARNING, "sent_in_rest",
	    "id=%s endpoint=%s left_ms=%llu sends=%u usable=%u known=%u "
	    "expected_ms=%.0f",
	    ex->id, ep->report.id,
	    (unsigned long long)(ep->backoff.until_ms - now), ex->sends,
	    ex->usable_at_send, ex->known_at_send, ex->expected_ms);
}
