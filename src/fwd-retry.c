/* Whether and how a request is sent once more. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Sends of one request, whatever became of them. */
#define SENDS_MAX 5
/* Less time than this is not worth another send. */
#define LEFT_LEAST_MS 40
/* When to come back after a refusal by every endpoint that was asked. */
#define RETRY_REFUSED_MS 150

/**
 * fwd_exchange_retryable() - whether another endpoint may run it too.
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
 * fwd_exchange_movable() - whether a request may leave a silent endpoint.
 * @ex: the exchange, with its endpoint
 *
 * Silence alone is no reason to cut an answer: where no other endpoint may go
 * on with it, it waits for this one.
 */
bool
fwd_exchange_movable(const struct fwd_exchange *ex)
{
	return (ex->conn != NULL && fwd_exchange_retryable(ex) &&
	    ex->runs < MAX(ex->route->max_attempts, 1) &&
	    ex->sends < SENDS_MAX);
}

/* Why a request is not sent once more; NULL where it may be. */
static const char *
again_obstacle(struct fwd_exchange *ex)
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
	if (now + LEFT_LEAST_MS >= ex->deadline_ms)
		return ("deadline");
	if (ex->runs > 0 &&
	    !poison_may_retry(&fwd->registry->poison, &fwd->registry->fleet,
		ex->fingerprint, now))
		return ("work_suspected");
	return (NULL);
}

/**
 * fwd_exchange_retry() - send a request once more, or end it.
 * @ex: the exchange; its endpoint was released
 * @reason: why the last send was not enough
 */
void
fwd_exchange_retry(struct fwd_exchange *ex, const char *reason)
{
	struct fwd *fwd = ex->fwd;
	const char *obstacle = again_obstacle(ex);

	if (ex->n_tried > 0)
		ex->tried[ex->n_tried - 1].failed_ms = clock_loop_ms(fwd->loop);
	/* Only what may have arrived counts as a repeat. */
	if (obstacle == NULL && ex->reached &&
	    !fwd_budget_take(fwd_budget_get(fwd, ex->service), &fwd->set.retry,
		fwd->daemons, clock_loop_ms(fwd->loop)))
		obstacle = "retry_budget";
	event_log(LOG_INFO, "request_again",
	    "id=%s reason=%s obstacle=%s sends=%u runs=%u "
	    "last_event=%lld work=%08x",
	    ex->id, reason, obstacle != NULL ? obstacle : "none", ex->sends,
	    ex->runs, (long long)ex->events.last_id,
	    FINGERPRINT_SHORT(ex->fingerprint));
	if (obstacle != NULL) {
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, reason,
		    RETRY_REFUSED_MS);
		return;
	}
	fwd_stats_count(&fwd->stats, COUNT_RETRIED);
	if (ex->first_us > 0)
		fwd_stats_count(&fwd->stats, COUNT_RESUMED);
	g_byte_array_set_size(ex->response_body, 0);
	fwd_events_restart(&ex->events);
	fwd_exchange_dispatch(ex);
}
