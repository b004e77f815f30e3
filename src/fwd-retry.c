/* Retries: whether a request is sent again after a failed send. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Maximum number of sends of one request, whatever their outcome. */
#define SENDS_MAX 5
/* A retry needs at least this much time before the deadline. */
#define LEFT_MIN_MS 40
/* Time to retry for the client after every endpoint asked has refused. */
#define RETRY_REFUSED_MS 150

/**
 * fwd_exchange_retryable() - whether another endpoint may also run a request.
 * @ex: the exchange
 */
bool
fwd_exchange_retryable(const struct fwd_exchange *ex)
{
	if (ex->route->retry == RETRY_STREAM)
		return (ex->route->resumable);
	return (ex->route->retry == RETRY_IDEMPOTENT);
}

/**
 * fwd_exchange_movable() - whether a request may be moved from a silent
 *	endpoint to another.
 * @ex: the exchange, with its endpoint
 *
 * Silence alone is no reason to abort a response: if no other endpoint may
 * continue it, the exchange waits for this one.
 */
bool
fwd_exchange_movable(const struct fwd_exchange *ex)
{
	return (ex->conn != NULL && fwd_exchange_retryable(ex) &&
	    ex->runs < MAX(ex->route->max_attempts, 1) &&
	    ex->sends < SENDS_MAX);
}

/* Returns why a request must not be retried, or NULL if it may be. */
static const char *
retry_obstacle(struct fwd_exchange *ex)
{
	struct fwd *fwd = ex->fwd;
	uint64_t now = clock_loop_ms(fwd->loop);

	if (ex->conn == NULL)
		return ("caller_left");
	if (ex->runs > 0 && !fwd_exchange_retryable(ex))
		return ("may_have_run");
	if (ex->runs >= MAX(ex->route->max_attempts, 1))
		return ("attempts");
	if (ex->sends >= SENDS_MAX)
		return ("sends");
	if (now + LEFT_MIN_MS >= ex->deadline_ms)
		return ("deadline");
	if (ex->runs > 0 &&
	    !poison_may_retry(&fwd->registry->poison, &fwd->registry->fleet,
		ex->fingerprint, now))
		return ("work_suspected");
	return (NULL);
}

/**
 * fwd_exchange_retry() - retry a request, or end it if it must not be retried.
 * @ex: the exchange; the send has ended
 * @reason: why the last send failed
 */
void
fwd_exchange_retry(struct fwd_exchange *ex, const char *reason)
{
	struct fwd *fwd = ex->fwd;
	const char *obstacle = retry_obstacle(ex);
	uint64_t now = clock_loop_ms(fwd->loop);
	const struct fwd_budget_share share = { fwd->daemons,
		fwd_budget_draw(fwd->name_hash, now) };

	if (ex->n_tried > 0)
		ex->tried[ex->n_tried - 1].failed_ms = now;
	/* A send that can't have reached its endpoint needs no retry budget. */
	if (obstacle == NULL && ex->reached &&
	    !fwd_budget_take(fwd_budget_get(fwd, ex->service), &fwd->set.retry,
		&share, now))
		obstacle = "retry_budget";
	event_log(LOG_INFO, "request_again",
	    "id=%s reason=%s obstacle=%s sends=%u runs=%u "
	    "last_event=%lld work=%08x",
	    ex->id, reason, obstacle != NULL ? obstacle : "none", ex->sends,
	    ex->runs, (long long)ex->last_event,
	    FINGERPRINT_SHORT(ex->fingerprint));
	if (obstacle != NULL) {
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, reason,
		    RETRY_REFUSED_MS);
		return;
	}
	fwd_stats_count(&fwd->stats, COUNT_RETRIED);
	if (ex->first_us > 0)
		fwd_stats_count(&fwd->stats, COUNT_RESUMED);
	fwd_exchange_dispatch(ex);
}
