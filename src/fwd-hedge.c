/*
 * Hedging: a second send of a request beside one whose endpoint is silent. The
 * first one to bring the next part of the response goes on; the other is
 * cancelled.
 */
#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Pause between two tries to hedge a request. */
#define HEDGE_PAUSE_MS 100
/* The same after no connection could be started. */
#define HEDGE_FAILED_PAUSE_MS 1000
/* An endpoint that a daemon was told of within this time was heard of a moment
 * ago: what others tell is up to 0.5 s old. */
#define HEARD_RECENTLY_MS 400

/* Whether the request may get another send beside this one, or in its place: of
 * two silent sends the newer one is replaced. */
static bool
hedge_may_add(const struct fwd_send *send)
{
	return (TAILQ_LAST(&send->exchange->active, fwd_send_list) == send);
}

/* Cancels a send. */
static void
hedge_cancel(struct fwd_send *send)
{
	if (send->conn->connected)
		fwd_exchange_note_released(send->exchange, send->endpoint);
	else
		fwd_send_note_reached(send, false);
	fwd_send_free(send);
}

/* Chooses an endpoint for a second send. */
static void
hedge_choose(struct fwd_exchange *ex, enum hedge_choice which,
    struct fwd_choice *choice)
{
	struct fwd_criteria criteria;

	fwd_exchange_criteria(ex, &criteria);
	criteria.ahead = fwd_exchange_count_ahead(ex);
	if (which == HEDGE_HEARD)
		criteria.heard_since_ms =
		    criteria.now_ms - MIN(criteria.now_ms, HEARD_RECENTLY_MS);
	fwd_choose(&ex->fwd->registry->fleet, &criteria, choice);
}

/* Starts a second send, or returns what keeps the request from it. */
static enum fwd_obstacle
hedge_start(struct fwd_send *send, enum hedge_choice which)
{
	struct fwd_exchange *ex = send->exchange;
	enum fwd_obstacle obstacle = fwd_exchange_obstacle(ex);
	struct fwd_choice choice;

	if (obstacle != OBSTACLE_NONE)
		return (obstacle);
	hedge_choose(ex, which, &choice);
	if (choice.endpoint == NULL)
		return (OBSTACLE_NO_ENDPOINT);
	if (!fwd_exchange_take_budget(ex))
		return (OBSTACLE_BUDGET);
	if (fwd_send_other(send))
		hedge_cancel(send);
	fwd_exchange_count_retry(ex);
	fwd_stats_count(&ex->fwd->stats, COUNT_HEDGED);
	return (fwd_exchange_add_send(ex, &choice) ? OBSTACLE_NONE :
						     OBSTACLE_NO_CONNECTION);
}

/* Logs a hedge, or what keeps a request from one if that has changed. */
static void
hedge_log(const struct fwd_exchange *ex, const char *endpoint,
    const char *reason, enum fwd_obstacle obstacle, uint64_t silent_ms)
{
	const struct fwd_send *newest = TAILQ_LAST(&ex->active, fwd_send_list);

	event_log(LOG_INFO, "request_hedged",
	    "id=%s reason=%s obstacle=%s endpoint=%s silent_ms=%llu other=%s "
	    "sends=%u runs=%u last_event=%lld work=%08x",
	    ex->id, reason, fwd_obstacle_name(obstacle), endpoint,
	    (unsigned long long)silent_ms,
	    obstacle == OBSTACLE_NONE ? newest->endpoint->report.id : "-",
	    ex->sends, ex->runs, (long long)ex->last_event, fwd_keys_name(ex));
}

/**
 * fwd_hedge() - send a request to a second endpoint as well, if it may be.
 * @send: a send whose endpoint is silent; it goes on, unless it is the newer
 *one of two silent sends and is replaced
 * @reason: reason for the log
 * @which: endpoints that may be chosen
 */
void
fwd_hedge(struct fwd_send *send, const char *reason, enum hedge_choice which)
{
	struct fwd_exchange *ex = send->exchange;
	const char *endpoint = send->endpoint->report.id;
	uint64_t now = clock_loop_ms(ex->fwd->loop);
	uint64_t heard = send->heard_ms;
	enum fwd_obstacle obstacle;

	if (!hedge_may_add(send) || now < ex->hedge_again_ms)
		return;
	obstacle = hedge_start(send, which);
	ex->hedge_again_ms = now +
	    (obstacle == OBSTACLE_NO_CONNECTION ? HEDGE_FAILED_PAUSE_MS :
						  HEDGE_PAUSE_MS);
	if (obstacle == OBSTACLE_NONE || obstacle != ex->hedge_obstacle)
		hedge_log(ex, endpoint, reason, obstacle,
		    now - MIN(heard, now));
	if (obstacle != OBSTACLE_NONE && ex->hedge_obstacle == OBSTACLE_NONE)
		fwd_stats_count(&ex->fwd->stats, COUNT_HEDGES_WITHHELD);
	ex->hedge_obstacle = obstacle;
}

/* Logs which of two sends goes on, and what the other one was doing. */
static void
hedge_settle_log(const struct fwd_send *send, const struct fwd_send *other)
{
	const struct fwd_exchange *ex = send->exchange;
	uint64_t now = clock_loop_ms(ex->fwd->loop);
	bool first = send == TAILQ_FIRST(&ex->active);

	fwd_stats_count(&ex->fwd->stats,
	    first ? COUNT_HEDGES_LOST : COUNT_HEDGES_WON);
	event_log(LOG_INFO, "hedge_settled",
	    "id=%s endpoint=%s first=%d ms=%llu other=%s other_connected=%d "
	    "other_silent_ms=%llu last_event=%lld",
	    ex->id, send->endpoint->report.id, first,
	    (unsigned long long)(now - MIN(ex->last.sent_ms, now)),
	    other->endpoint->report.id, other->conn->connected,
	    (unsigned long long)(now - MIN(other->heard_ms, now)),
	    (long long)ex->last_event);
}

/**
 * fwd_hedge_settle() - go on with one send, and cancel the other.
 * @send: the send that has brought the next part of the response
 */
void
fwd_hedge_settle(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;
	struct fwd_send *other = TAILQ_FIRST(&ex->active);

	if (other == send)
		other = TAILQ_NEXT(send, entry);
	if (other == NULL)
		return;
	hedge_settle_log(send, other);
	fwd_silence_outlasted(send, other);
	hedge_cancel(other);
	ex->hedge_obstacle = OBSTACLE_NONE;
}
