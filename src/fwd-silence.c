/* Detection of silent endpoints, and what follows from it. */
#include "event-log.h"
#include "fwd-exchange.h"

/* Timeout of a stream between events: this multiple of the expected gap, and at
 * least this. */
#define SILENCE_FACTOR 5.0
#define SILENCE_MIN_MS 300
/* Timeout before the first event: this multiple of the expected time to it, and
 * at least this. */
#define SILENCE_FIRST_FACTOR 3.0
#define SILENCE_FIRST_MIN_MS 500
/* For this time after another daemon's warning about an endpoint the timeouts
 * are multiplied by this. */
#define WARNED_MS 1500
#define WARNED_FACTOR 0.6
/* For a cold endpoint, which is slow after its start, the timeouts are
 * multiplied by this. */
#define COLD_FACTOR 2.0
/* Timeout of an endpoint without a model: this multiple of the route's latency
 * objective, and at least this. */
#define PLAIN_SILENCE_FACTOR 2.0
#define PLAIN_SILENCE_MIN_MS 700

/* How long an endpoint may be silent before this request is moved. */
static double
exchange_silence_timeout(const struct fwd_exchange *ex)
{
	double gap;

	if (ex->model == NULL)
		return (
		    MAX(PLAIN_SILENCE_FACTOR * (double)ex->route->objective_ms,
			PLAIN_SILENCE_MIN_MS));
	if (ex->in_backlog)
		return (MAX(SILENCE_FIRST_FACTOR * ex->silence_ms,
		    SILENCE_FIRST_MIN_MS));
	gap = fwd_expect_gap(ex->endpoint, ex->engine, ex->model) *
	    ex->engine->stride;
	return (MAX(SILENCE_FACTOR * gap, SILENCE_MIN_MS));
}

/* Whether the endpoint has sent nothing to any daemon for too long. */
static bool
exchange_is_silent(const struct fwd_exchange *ex, uint64_t now)
{
	uint64_t heard = MAX(ex->heard_ms, ex->endpoint->heard_ms);
	double factor = 1;

	/* A replica that sends events to other daemons is busy, not lost. */
	heard = MAX(heard, ex->endpoint->peer_heard_ms);
	if (ex->paused || now < ex->fwd->grace_until_ms)
		return (false);
	/* Other responses of an endpoint without a model tell nothing about
	 * this one. */
	if (ex->model == NULL)
		heard = ex->heard_ms;
	if (now - ex->endpoint->avoided_ms < WARNED_MS)
		factor = WARNED_FACTOR;
	if (endpoint_limit_cold(&ex->endpoint->limit, now))
		factor *= COLD_FACTOR;
	return ((double)(now - MIN(heard, now)) >
	    exchange_silence_timeout(ex) * factor);
}

/* Starts a cooldown of a silent endpoint, warns others and moves the request if
 * that is allowed. */
static void
exchange_handle_silence(struct fwd_exchange *ex, uint64_t now)
{
	struct endpoint *ep = ex->endpoint;

	if (now >= ep->cooldown_until_ms) {
		fwd_stats_count(&ex->fwd->stats, COUNT_SILENT_ENDPOINTS);
		event_log(LOG_NOTICE, "endpoint_silent",
		    "endpoint=%s silent_ms=%llu inflight=%u pending=%.0f "
		    "slowness=%.2f id=%s",
		    ep->report.id,
		    (unsigned long long)(now - MAX(ex->heard_ms, ep->heard_ms)),
		    ep->inflight, ep->pending, ep->slowness, ex->id);
		/* Its idle connections may be dead as well. */
		net_pool_clear(&ep->pool);
		ep->cooldown_until_ms = now + COOLDOWN_SILENT_MS;
		ep->warned_ms = now;
		if (ex->fwd->on_silent != NULL)
			ex->fwd->on_silent(ex->fwd->on_silent_arg, ep);
	}
	if (ex->upstream->connected && !ex->crash_suspected) {
		ex->crash_suspected = true;
		fwd_poison_observe_crash(ex, true);
	}
	if (fwd_exchange_movable(ex))
		fwd_exchange_move(ex, ex->upstream->connected,
		    "endpoint_silent");
}

/**
 * fwd_silence_check() - check whether the endpoint of an exchange is silent.
 * @ex: the exchange; its connection to the endpoint is established
 * @now_ms: loop time
 */
void
fwd_silence_check(struct fwd_exchange *ex, uint64_t now_ms)
{
	if (exchange_is_silent(ex, now_ms))
		exchange_handle_silence(ex, now_ms);
}
