/* For how long an endpoint may be silent, and has been. */
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
/* The same at one that was found silent and not heard since: this multiple of
 * the mean duration of its requests, and at least this. */
#define SUSPECT_SILENCE_FACTOR 3.0
#define SUSPECT_SILENCE_MIN_MS 150

/* How long an endpoint of a plain service may be silent. */
static double
plain_silence_timeout(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct fwd_estimate *estimate = fwd_exchange_estimate(ex);
	double timeout =
	    MAX(PLAIN_SILENCE_FACTOR * (double)ex->route->objective_ms,
		PLAIN_SILENCE_MIN_MS);

	if (!ex->fwd->set.balance_spread || estimate->n_duration == 0 ||
	    !endpoint_suspected(send->endpoint))
		return (timeout);
	return (CLAMP(SUSPECT_SILENCE_FACTOR * estimate->duration_ms,
	    SUSPECT_SILENCE_MIN_MS, timeout));
}

/* How long an endpoint may be silent. */
static double
send_silence_timeout(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	double gap;

	if (ex->model == NULL)
		return (plain_silence_timeout(send));
	if (send->in_backlog)
		return (MAX(SILENCE_FIRST_FACTOR * send->basis.silence_ms,
		    SILENCE_FIRST_MIN_MS));
	gap = fwd_expect_gap(send->endpoint, ex->engine, ex->model) *
	    ex->engine->stride;
	return (MAX(SILENCE_FACTOR * gap, SILENCE_MIN_MS));
}

/**
 * fwd_silence_heard_ms() - loop time at which an endpoint was last heard of.
 * @send: a send to it
 */
uint64_t
fwd_silence_heard_ms(const struct fwd_send *send)
{
	const struct endpoint *ep = send->endpoint;

	/* Other responses of an endpoint without a model tell nothing about
	 * this one. */
	if (send->exchange->model == NULL)
		return (send->heard_ms);
	/* A replica that sends events to other daemons is busy, not lost. */
	return (MAX(send->heard_ms, MAX(ep->heard_ms, ep->peer_heard_ms)));
}

/**
 * fwd_silence_part() - for how long an endpoint has sent nothing to any daemon,
 *	as a part of its timeout.
 * @send: a send to it
 * @now_ms: loop time
 *
 * Return: 1 or more if the endpoint is silent; 0 if its silence tells nothing.
 */
double
fwd_silence_part(const struct fwd_send *send, uint64_t now_ms)
{
	uint64_t heard = fwd_silence_heard_ms(send);
	double timeout = send_silence_timeout(send);

	if (send->paused || now_ms < send->exchange->fwd->grace_until_ms)
		return (0);
	if (now_ms - send->endpoint->avoided_ms < WARNED_MS)
		timeout *= WARNED_FACTOR;
	if (endpoint_limit_cold(&send->endpoint->limit, now_ms))
		timeout *= COLD_FACTOR;
	return ((double)(now_ms - MIN(heard, now_ms)) / timeout);
}
