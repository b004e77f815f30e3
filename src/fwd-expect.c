/* Latency estimates: first event and gap between events. Pure. */
#include "fwd-expect.h"

/* Weight of the newest response in the averages of a model; hundreds come in a
 * few seconds, so a few late ones hardly show. */
#define LEARN_ALPHA 0.02
/* Up to this number of responses the average is their arithmetic mean: each
 * counts more while there are few. */
#define LEARN_FIRST 10
/* A larger overhead is due to the endpoint, a dead or slow host, and not to the
 * model. */
#define EXTRA_MOST_MS 400.0
/* The profile gives the time for a million pairs of tokens. */
#define PAIRS_UNIT 1e6

/**
 * fwd_expect_running() - requests at an endpoint, of this and other daemons.
 * @ep: the endpoint
 */
double
fwd_expect_running(const struct endpoint *ep)
{
	return ((double)ep->inflight + ep->peer_inflight);
}

/* Time of one decode step while @running requests decode. */
static double
step_ms(const struct engine_profile *e, const struct model_profile *m,
    double running)
{
	double context = running * (e->usual_prompt + e->usual_answer / 2);

	return ((e->step_ms + e->per_seq_ms * running +
		    e->context_per_k_ms * context / 1000) *
	    m->pace);
}

/* Time of the decode steps in one pass. */
static double
writers_ms(const struct endpoint *ep, const struct fwd_workload *work)
{
	double running = fwd_expect_running(ep);

	if (running < 1)
		return (0);
	return (
	    step_ms(work->engine, work->model, running) * work->engine->stride);
}

/**
 * fwd_expect_gap() - expected time between two tokens at an endpoint.
 * @ep: the endpoint
 * @e: profile of its engine
 * @m: profile of its model
 */
double
fwd_expect_gap(const struct endpoint *ep, const struct engine_profile *e,
    const struct model_profile *m)
{
	return (step_ms(e, m, fwd_expect_running(ep)) * ep->slowness);
}

/**
 * fwd_expect_rate() - prefill rate of an endpoint, in tokens per millisecond.
 * @ep: the endpoint
 * @work: a request for it
 *
 * Return: the rate, or 0 if the profile has none.
 */
double
fwd_expect_rate(const struct endpoint *ep, const struct fwd_workload *work)
{
	return (work->engine->read_per_ms / work->model->pace / ep->slowness);
}

/* Time from a prompt's prefill to its first event: half a pass of the requests
 * that decode, then its own first steps. */
static double
after_ms(const struct endpoint *ep, const struct fwd_workload *work)
{
	const struct engine_profile *e = work->engine;
	double running = fwd_expect_running(ep);
	double steps = step_ms(e, work->model, running + 1) * e->stride;

	return ((writers_ms(ep, work) / 2 + steps) * ep->slowness +
	    work->overhead_ms);
}

/**
 * fwd_expect_backlog() - prefill backlog of an endpoint, in tokens.
 * @ep: the endpoint
 * @work: a request for it
 *
 * Of the prompts without a first event, a busy endpoint has prefilled as much
 * as it can between the end of a prompt's prefill and the first event. The
 * remainder is the backlog, which is at least that of this daemon's own
 * prompts.
 */
double
fwd_expect_backlog(const struct endpoint *ep, const struct fwd_workload *work)
{
	double pending = ep->pending + ep->peer_pending;
	double read = fwd_expect_rate(ep, work) * after_ms(ep, work);

	return (MAX(fwd_backlog_tokens(&ep->backlog, work->now_ms),
	    pending - read));
}

/**
 * fwd_expect_first() - expected time to the first event of a request.
 * @ep: the endpoint
 * @work: the request
 *
 * A request waits for half a pass of the requests that decode, then for the
 * prefill of the prompts before its own and of its own, then for its own first
 * steps. Decode steps between the chunks of a prompt's prefill don't show:
 * prompts of three chunks took no longer than their prefill (MEASUREMENTS,
 * first events).
 *
 * Return: milliseconds from now.
 */
double
fwd_expect_first(const struct endpoint *ep, const struct fwd_workload *work)
{
	const struct engine_profile *e = work->engine;
	double backlog = fwd_expect_backlog(ep, work) + work->prompt;
	double pairs = work->prompt * work->prompt / 2 / PAIRS_UNIT;
	double read = pairs * e->pairs_per_m_ms * work->model->pace;
	double rate = fwd_expect_rate(ep, work);

	if (rate > 0)
		read += backlog / rate;
	return (read + after_ms(ep, work));
}

/* Weight of the newest of @seen values in an average. */
static double
learn_weight(unsigned seen)
{
	return (seen <= LEARN_FIRST ? 1.0 / seen : LEARN_ALPHA);
}

/**
 * fwd_estimate_add_first() - update the average overhead of first events.
 * @learned: estimates of the model
 * @late_ms: delay of a first event beyond the profile's estimate
 */
void
fwd_estimate_add_first(struct fwd_estimate *learned, double late_ms)
{
	late_ms = CLAMP(late_ms, 0, EXTRA_MOST_MS);
	learned->overhead_ms += learn_weight(++learned->n_overhead) *
	    (late_ms - learned->overhead_ms);
}

/**
 * fwd_estimate_add_duration() - update the average duration of requests.
 * @learned: estimates of the model or service
 * @whole_ms: time from the send to the end of the response
 */
void
fwd_estimate_add_duration(struct fwd_estimate *learned, double whole_ms)
{
	learned->duration_ms += learn_weight(++learned->n_duration) *
	    (whole_ms - learned->duration_ms);
}
