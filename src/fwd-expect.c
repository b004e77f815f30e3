/* When an endpoint's next events are expected. Pure. */
#include "fwd-expect.h"

/* Weight of the newest answer in what is learned of a model; hundreds come in
 * a few seconds, so some late ones hardly show. */
#define LEARN_ALPHA 0.02
/* The first of them count more, as long as there are few. */
#define LEARN_FIRST 10
/* One that is this far off says something of its endpoint, not of the model:
 * a dead or slow host. */
#define EXTRA_MOST_MS 400.0
/* Tokens of a million, for the profile's figure on pairs. */
#define PAIRS_UNIT 1e6

/**
 * fwd_expect_running() - requests at an endpoint, one's own and the others'.
 * @ep: the endpoint
 */
double
fwd_expect_running(const struct endpoint *ep)
{
	return ((double)ep->inflight + ep->peer_inflight);
}

/* Time of one step with some requests that write. */
static double
step_ms(const struct engine_profile *e, const struct model_profile *m,
    double running)
{
	double context = running * (e->usual_prompt + e->usual_answer / 2);

	return ((e->step_ms + e->per_seq_ms * running +
		    e->context_per_k_ms * context / 1000) *
	    m->pace);
}

/* The steps of a pass for the requests that write. */
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
 * @e: its engine
 * @m: its model
 */
double
fwd_expect_gap(const struct endpoint *ep, const struct engine_profile *e,
    const struct model_profile *m)
{
	return (step_ms(e, m, fwd_expect_running(ep)) * ep->slowness);
}

/**
 * fwd_expect_rate() - prompt tokens that an endpoint reads in a millisecond.
 * @ep: the endpoint
 * @work: a request for it
 *
 * Return: 0 where the profile says nothing of reading.
 */
double
fwd_expect_rate(const struct endpoint *ep, const struct fwd_workload *work)
{
	return (work->engine->read_per_ms / work->model->pace / ep->slowness);
}

/* From when a prompt is read to its first event: half a pass, its own steps. */
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
 * fwd_expect_backlog() - prompt tokens that an endpoint has yet to read.
 * @ep: the endpoint
 * @work: a request for it
 *
 * An endpoint that reads all the time has read, of the prompts without a first
 * event, what it reads between a prompt's end and its first event. The rest is
 * left; and at least what this daemon sent just now.
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
 * A request waits for half of a pass of those that write, then for the prompts
 * before its own and its own to be read, then for its own first steps. Steps
 * between the pieces of a prompt do not show: prompts of three pieces came no
 * later than their reading takes (MEASUREMENTS, first events).
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

/* Weight of the newest of some answers. */
static double
learn_weight(unsigned seen)
{
	return (seen <= LEARN_FIRST ? 1.0 / seen : LEARN_ALPHA);
}

/**
 * fwd_estimate_add_first() - a first event came.
 * @learned: of its model
 * @late_ms: after it was expected without what was learned
 */
void
fwd_estimate_add_first(struct fwd_estimate *learned, double late_ms)
{
	late_ms = CLAMP(late_ms, 0, EXTRA_MOST_MS);
	learned->overhead_ms += learn_weight(++learned->n_overhead) *
	    (late_ms - learned->overhead_ms);
}

/**
 * fwd_estimate_add_duration() - a request ended that ran.
 * @learned: of its model or service
 * @whole_ms: since it was sent
 */
void
fwd_estimate_add_duration(struct fwd_estimate *learned, double whole_ms)
{
	learned->duration_ms += learn_weight(++learned->n_duration) *
	    (whole_ms - learned->duration_ms);
}
