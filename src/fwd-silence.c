/* Endpoints that fall silent: when that is judged, and what is done. */
#include "event-log.h"
#include "fwd-exchange.h"

/* Silence of a replica's streams is judged against its expected gap, with
 * this factor, and never below this bound. */
#define SILENCE_FACTOR 5.0
#define SILENCE_LEAST_MS 300
/* Silence before a first event, against the expected first event. */
#define SILENCE_FIRST_FACTOR 3.0
#define SILENCE_FIRST_LEAST_MS 500
/* Another daemon's warning counts this long, and lowers the bounds. */
#define WARNED_MS 1500
#define WARNED_SHARE 0.6
/* A plain endpoint that says nothing for this many objectives is left. */
#define PLAIN_SILENCE_FACTOR 2.0
#define PLAIN_SILENCE_LEAST_MS 700

/* How long an endpoint may say nothing before this request is moved. */
static double
exchange_silence_ms(const struct fwd_exchange *ex)
{
	double gap;

	if (ex->model == NULL)
		return (
		    MAX(PLAIN_SILENCE_FACTOR * (double)ex->route->objective_ms,
			PLAIN_SILENCE_LEAST_MS));
	if (ex->in_backlog)
		return (MAX(SILENCE_FIRST_FACTOR * ex->expected_ms,
		    SILENCE_FIRST_LEAST_MS));
	gap = fwd_expect_gap(ex->endpoint, ex->engine, ex->model) *
	    ex->engine->stride;
	return (MAX(SILENCE_FACTOR * gap, SILENCE_LEAST_MS));
}

/* Whether the endpoint has said nothing to anyone for too long. */
static bool
exchange_is_silent(const struct fwd_exchange *ex, uint64_t now)
{
	uint64_t heard = MAX(ex->heard_ms, ex->endpoint->heard_ms);

	/* A replica that answers others is busy, not lost. */
	heard = MAX(heard, ex->endpoint->peer_heard_ms);
	if (ex->paused || now < ex->fwd->grace_until_ms)
		return (false);
	/* A plain endpoint's other answers say nothing of this one. */
	if (ex->model == NULL)
		heard = ex->heard_ms;
	return ((double)(now - MIN(heard, now)) > exchange_silence_ms(ex) *
		(now - ex->endpoint->avoided_ms < WARNED_MS ? WARNED_SHARE :
							      1));
}

/* The endpoint is silent: avoid it, and move what may be moved. */
static void
exchange_silent(struct fwd_exchange *ex, uint64_t now)
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
		/* Its other connections may have fallen silent alike. */
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
 * fwd_silence_check() - judge the silence of the endpoint that has a request.
 * @ex: the exchange; it is connected
 * @now_ms: loop time
 */
void
fwd_silence_check(struct fwd_exchange *ex, uint64_t now_ms)
{
	if (exchange_is_silent(ex, now_ms))
		exchange_silent(ex, now_ms);
}
