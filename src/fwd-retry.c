/* Retries: whether a request is sent again after a failed send. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Maximum number of sends of a request whose response was not begun, whatever
 * their outcome. */
#define SENDS_MAX 5
/* A retry needs at least this much time before the deadline. */
#define LEFT_MIN_MS 40
/* Time to retry for the client after every endpoint asked has refused. */
#define RETRY_REFUSED_MS 150
/* Longest time for which a response that was begun waits for an obstacle to
 * pass, or for one of the endpoints that it may still be sent to. */
#define OBSTACLE_WAIT_MS 1500

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

/* Whether a request ran as often as its route allows. */
static bool
exchange_attempts_used(const struct fwd_exchange *ex)
{
	return (ex->runs >= MAX(ex->route->max_attempts, 1));
}

/* Whether an endpoint was left that did not fail the request. */
static bool
exchange_has_released(const struct fwd_exchange *ex)
{
	for (unsigned i = 0; i < ex->n_tried; i++) {
		if (ex->tried[i].released)
			return (true);
	}
	return (false);
}

/**
 * fwd_exchange_released_only() - whether only endpoints that did not fail a
 *	request that ran there may continue its response.
 * @ex: the exchange
 *
 * The attempts of a route bound the endpoints that run a request, so a response
 * that was begun may go on there when they are used up.
 */
bool
fwd_exchange_released_only(const struct fwd_exchange *ex)
{
	return (ex->first_us > 0 && exchange_attempts_used(ex));
}

/* What keeps a request from another send, whether its last one ran or not. */
static enum fwd_obstacle
exchange_send_obstacle(const struct fwd_exchange *ex, uint64_t now_ms)
{
	if (ex->conn == NULL)
		return (OBSTACLE_CLIENT_LEFT);
	if (ex->first_us == 0 && ex->sends >= SENDS_MAX)
		return (OBSTACLE_SENDS);
	if (now_ms + LEFT_MIN_MS >= ex->deadline_ms)
		return (OBSTACLE_DEADLINE);
	return (OBSTACLE_NONE);
}

/**
 * fwd_exchange_withdrawable() - whether a request may be withdrawn from an
 *	endpoint that it was not sent to yet.
 * @ex: the exchange
 *
 * If not, it waits for the connection to that endpoint.
 */
bool
fwd_exchange_withdrawable(const struct fwd_exchange *ex)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	return (exchange_send_obstacle(ex, now) == OBSTACLE_NONE);
}

/**
 * fwd_exchange_obstacle() - what keeps a request from another send, but for the
 *	retry budget.
 * @ex: the exchange
 */
enum fwd_obstacle
fwd_exchange_obstacle(const struct fwd_exchange *ex)
{
	const struct registry *registry = ex->fwd->registry;
	uint64_t now = clock_loop_ms(ex->fwd->loop);
	enum fwd_obstacle obstacle = exchange_send_obstacle(ex, now);

	if (obstacle != OBSTACLE_NONE || ex->runs == 0)
		return (obstacle);
	if (!fwd_exchange_retryable(ex))
		return (OBSTACLE_MAY_HAVE_RUN);
	if (ex->first_us > 0 && ex->route->retry != RETRY_STREAM)
		return (OBSTACLE_NOT_RESUMABLE);
	if (exchange_attempts_used(ex) &&
	    (ex->first_us == 0 || !exchange_has_released(ex)))
		return (OBSTACLE_ATTEMPTS);
	if (!poison_may_retry(&registry->poison, &registry->fleet, &ex->keys,
		now))
		return (OBSTACLE_SUSPECTED);
	return (OBSTACLE_NONE);
}

/**
 * fwd_exchange_take_budget() - take a retry from the service's budget.
 * @ex: the exchange
 *
 * Return: whether the budget allows it.
 */
bool
fwd_exchange_take_budget(const struct fwd_exchange *ex)
{
	struct fwd *fwd = ex->fwd;
	uint64_t now = clock_loop_ms(fwd->loop);
	const struct fwd_budget_share share = { fwd->daemons,
		fwd_budget_draw(fwd->name_hash, now) };

	return (fwd_budget_take(fwd_budget_get(fwd, ex->service),
	    &fwd->set.retry, &share, now));
}

/* The same, with the retry budget. A send that can't have reached its endpoint
 * needs none. */
static enum fwd_obstacle
exchange_retry_obstacle(struct fwd_exchange *ex)
{
	enum fwd_obstacle obstacle = fwd_exchange_obstacle(ex);

	if (obstacle == OBSTACLE_NONE && ex->reached &&
	    !fwd_exchange_take_budget(ex))
		return (OBSTACLE_BUDGET);
	return (obstacle);
}

static void
retry_log(const struct fwd_exchange *ex, const char *reason)
{
	g_autofree char *keys = fwd_keys_format(ex);

	event_log(LOG_INFO, "request_again",
	    "id=%s reason=%s obstacle=%s sends=%u runs=%u "
	    "last_event=%lld work=%08x crashes=%s",
	    ex->id, reason, fwd_obstacle_name(ex->obstacle), ex->sends,
	    ex->runs, (long long)ex->last_event, fwd_keys_name(ex), keys);
}

/**
 * fwd_exchange_count_retry() - count that a request is sent again.
 * @ex: the exchange
 */
void
fwd_exchange_count_retry(struct fwd_exchange *ex)
{
	fwd_stats_count(&ex->fwd->stats, COUNT_RETRIED);
	if (ex->first_us > 0)
		fwd_stats_count(&ex->fwd->stats, COUNT_RESUMED);
}

/**
 * fwd_exchange_retry() - retry a request, or end it if it must not be retried.
 * @ex: the exchange; the send has ended
 * @reason: why the send failed
 *
 * A response that was begun waits for an obstacle that may pass.
 */
void
fwd_exchange_retry(struct fwd_exchange *ex, const char *reason)
{
	ex->obstacle = exchange_retry_obstacle(ex);
	retry_log(ex, reason);
	if (ex->obstacle != OBSTACLE_NONE &&
	    (ex->first_us == 0 || !fwd_obstacle_passes(ex->obstacle))) {
		fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, reason,
		    RETRY_REFUSED_MS);
		return;
	}
	if (ex->obstacle == OBSTACLE_NONE)
		fwd_exchange_count_retry(ex);
	ex->failed = reason;
	ex->failed_ms = clock_loop_ms(ex->fwd->loop);
	/* What reached no endpoint is sent again from the loop, since nothing
	 * bounds the sends of a response that was begun. */
	if (ex->first_us > 0 && !ex->reached)
		fwd_exchange_enqueue(ex);
	else
		fwd_exchange_dispatch(ex);
}

/**
 * fwd_exchange_recheck() - check whether the obstacle of a retry has passed.
 * @ex: the exchange, which is queued
 *
 * Return: whether the request may be sent.
 */
bool
fwd_exchange_recheck(struct fwd_exchange *ex)
{
	if (ex->obstacle == OBSTACLE_NONE)
		return (true);
	ex->obstacle = exchange_retry_obstacle(ex);
	if (ex->obstacle != OBSTACLE_NONE)
		return (false);
	retry_log(ex, ex->failed);
	fwd_exchange_count_retry(ex);
	return (true);
}

/**
 * fwd_exchange_end_wait() - end a response that was begun if it has waited long
 *	enough for what may not come.
 * @ex: the exchange, which is queued; freed if it is ended
 */
void
fwd_exchange_end_wait(struct fwd_exchange *ex)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	if (ex->obstacle == OBSTACLE_NONE && !fwd_exchange_released_only(ex))
		return;
	if (now - MIN(ex->failed_ms, now) < OBSTACLE_WAIT_MS)
		return;
	if (ex->obstacle == OBSTACLE_NONE)
		ex->obstacle = OBSTACLE_ATTEMPTS;
	retry_log(ex, ex->failed);
	fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, ex->failed,
	    RETRY_REFUSED_MS);
}
