/* Latency estimates: first event and gap between events. Pure. */
#include <math.h>

#include "fwd-expect.h"

/* Weight of the newest response in the averages of a model; hundreds come in a
 * few seconds, so a few late ones hardly show. */
#define AVERAGE_ALPHA 0.02
/* Up to this number of responses the average is their arithmetic mean: each
 * counts more while there are few. */
#define AVERAGE_MEAN_COUNT 10
/* A larger overhead is due to the endpoint, a dead or slow host, and not to the
 * model. */
#define OVERHEAD_MAX_MS 400.0
/* Weight of the newest response in the errors by load; a daemon has about one
 * response a second for each point. */
#define LOAD_ERROR_ALPHA 0.05
/* Nearly all requests end within their mean duration and so many mean
 * deviations. */
#define LONGEST_DEVIATIONS 4
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

/* What each request that decodes adds to a decode step, before the model's
 * pace. */
static double
request_step_ms(const struct engine_profile *e)
{
	double context = e->usual_prompt + e->usual_response / 2;

	return (e->per_seq_ms + e->context_per_k_ms * context / 1000);
}

/**
 * fwd_expect_step() - time of one decode step.
 * @e: profile of the engine
 * @m: profile of the model
 * @running: number of requests that decode
 */
double
fwd_expect_step(const struct engine_profile *e, const struct model_profile *m,
    double running)
{
	return ((e->step_ms + request_step_ms(e) * running) * m->pace);
}

/* Time of the decode steps in one pass. */
static double
decode_pass_ms(const struct endpoint *ep, const struct fwd_workload *workload)
{
	double running = fwd_expect_running(ep);

	if (running < 1)
		return (0);
	return (fwd_expect_step(workload->engine, workload->model, running) *
	    workload->engine->stride);
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
	return (fwd_expect_step(e, m, fwd_expect_running(ep)) * ep->slowness);
}

/**
 * fwd_expect_rate() - prefill rate of an endpoint, in tokens per millisecond.
 * @ep: the endpoint
 * @workload: a request for it
 *
 * Return: the rate, or 0 if the profile has none.
 */
double
fwd_expect_rate(const struct endpoint *ep, const struct fwd_workload *workload)
{
	return (workload->engine->prefill_per_ms / workload->model->pace /
	    ep->slowness);
}

/**
 * fwd_expect_slope() - what each further request that decodes adds to the time
 *	to the first event, in milliseconds.
 * @ep: the endpoint
 * @workload: a request for it
 */
double
fwd_expect_slope(const struct endpoint *ep, const struct fwd_workload *workload)
{
	const struct engine_profile *e = workload->engine;

	/* It lengthens the half pass before the first steps, and these. */
	return (1.5 * request_step_ms(e) * e->stride * workload->model->pace *
	    ep->slowness);
}

/* Time from a prompt's prefill to its first event: half a pass of the requests
 * that decode, then its own first steps. */
static double
after_prefill_ms(const struct endpoint *ep, const struct fwd_workload *workload)
{
	const struct engine_profile *e = workload->engine;
	double running = fwd_expect_running(ep);
	double steps =
	    fwd_expect_step(e, workload->model, running + 1) * e->stride;

	return ((decode_pass_ms(ep, workload) / 2 + steps) * ep->slowness +
	    workload->overhead_ms);
}

/**
 * fwd_expect_backlog() - prefill backlog of an endpoint, in tokens.
 * @ep: the endpoint
 * @workload: a request for it
 *
 * Of the prompts without a first event, a busy endpoint has prefilled as much
 * as it can between the end of a prompt's prefill and the first event. The
 * remainder is the backlog, which is at least that of this daemon's own
 * prompts.
 */
double
fwd_expect_backlog(const struct endpoint *ep,
    const struct fwd_workload *workload)
{
	double pending = ep->pending + ep->peer_pending;
	double prefilled =
	    fwd_expect_rate(ep, workload) * after_prefill_ms(ep, workload);

	return (MAX(fwd_backlog_tokens(&ep->backlog, workload->now_ms),
	    pending - prefilled));
}

/* Splits a load into the point below it and the distance from that. */
static unsigned
load_point(double load, double *distance)
{
	double at = CLAMP(load, 0, 1) * (FWD_LOAD_POINTS - 1);
	unsigned below = MIN((unsigned)at, FWD_LOAD_POINTS - 2);

	*distance = at - below;
	return (below);
}

/* Error of the estimate at a load, interpolated between points. */
static double
load_error_ms(const double *errors, double load)
{
	double distance;
	unsigned below = load_point(load, &distance);

	return (errors[below] * (1 - distance) + errors[below + 1] * distance);
}

/* What the errors by load add to the estimate for an endpoint. */
static double
expect_load_error(const struct endpoint *ep,
    const struct fwd_workload *workload)
{
	if (workload->load_error_ms == NULL || workload->engine->slots == 0)
		return (0);
	return (load_error_ms(workload->load_error_ms,
	    fwd_expect_running(ep) / workload->engine->slots));
}

/**
 * fwd_expect_correction() - what evidence tells about the next first event.
 * @ep: the endpoint
 * @workload: a request for it
 * @correction: filled in; zeros where there is no evidence
 *
 * The sums over all daemons, which are up to 0.6 s old, include this daemon's
 * own evidence only after that time. Until then it counts by itself.
 */
void
fwd_expect_correction(const struct endpoint *ep,
    const struct fwd_workload *workload, struct fwd_correction *correction)
{
	const struct sum_row *known;
	struct sum_row own = { .key = ep->id_hash };

	correction->lateness_ms = 0;
	correction->overdue_ms = 0;
	if (workload->evidence == NULL)
		return;
	if (fwd_evidence_row(&ep->evidence, false, workload->now_ms, &own)) {
		correction->lateness_ms = fwd_evidence_lateness_ms(&own);
		correction->overdue_ms = fwd_evidence_overdue_ms(&own);
	}
	known = sum_table_get(workload->evidence, ep->id_hash);
	if (known == NULL)
		return;
	correction->lateness_ms = fwd_evidence_lateness_ms(known);
	correction->overdue_ms =
	    MAX(correction->overdue_ms, fwd_evidence_overdue_ms(known));
}

/**
 * fwd_correction_ms() - time that a correction adds to an estimate.
 * @correction: the correction
 */
double
fwd_correction_ms(const struct fwd_correction *correction)
{
	return (MAX(correction->lateness_ms, correction->overdue_ms));
}

/**
 * fwd_expect_first() - expected time to the first event of a request.
 * @ep: the endpoint
 * @workload: the request
 *
 * A request waits for half a pass of the requests that decode, then for the
 * prefill of the prompts before its own and of its own, then for its own first
 * steps. Decode steps between the chunks of a prompt's prefill don't show:
 * prompts of three chunks took no longer than their prefill (MEASUREMENTS,
 * first events). Evidence of the endpoint corrects the sum.
 *
 * Return: milliseconds from now.
 */
double
fwd_expect_first(const struct endpoint *ep, const struct fwd_workload *workload)
{
	const struct engine_profile *e = workload->engine;
	double backlog = fwd_expect_backlog(ep, workload) + workload->prompt;
	double pairs = workload->prompt * workload->prompt / 2 / PAIRS_UNIT;
	double prefill = pairs * e->pairs_per_m_ms * workload->model->pace;
	double rate = fwd_expect_rate(ep, workload);
	struct fwd_correction correction;

	if (rate > 0)
		prefill += backlog / rate;
	fwd_expect_correction(ep, workload, &correction);
	prefill += expect_load_error(ep, workload);
	return (MAX(prefill + after_prefill_ms(ep, workload), 0) +
	    fwd_correction_ms(&correction));
}

/* Weight of the newest of @seen values in an average. */
static double
average_weight(unsigned seen)
{
	return (seen <= AVERAGE_MEAN_COUNT ? 1.0 / seen : AVERAGE_ALPHA);
}

/**
 * fwd_estimate_add_first() - update the average overhead of first events.
 * @estimate: estimates of the model
 * @overhead_ms: delay of a first event beyond the profile's estimate
 */
void
fwd_estimate_add_first(struct fwd_estimate *estimate, double overhead_ms)
{
	overhead_ms = CLAMP(overhead_ms, 0, OVERHEAD_MAX_MS);
	estimate->overhead_ms += average_weight(++estimate->n_overhead) *
	    (overhead_ms - estimate->overhead_ms);
}

/**
 * fwd_estimate_add_load_error() - update the average errors by load.
 * @estimate: estimates of the model
 * @load: the endpoint's requests at the send, as a part of its slots
 * @error_ms: delay of a first event beyond the whole estimate
 */
void
fwd_estimate_add_load_error(struct fwd_estimate *estimate, double load,
    double error_ms)
{
	double distance;
	unsigned below = load_point(load, &distance);
	double step = LOAD_ERROR_ALPHA *
	    CLAMP(error_ms, -OVERHEAD_MAX_MS, OVERHEAD_MAX_MS);

	estimate->load_error_ms[below] += step * (1 - distance);
	estimate->load_error_ms[below + 1] += step * distance;
}

/**
 * fwd_estimate_add_duration() - update the average duration of requests.
 * @estimate: estimates of the model or service
 * @duration_ms: time from the send to the end of the response
 */
void
fwd_estimate_add_duration(struct fwd_estimate *estimate, double duration_ms)
{
	double weight = average_weight(++estimate->n_duration);
	double error = duration_ms - estimate->duration_ms;

	if (estimate->n_duration == 1)
		estimate->deviation_ms = duration_ms / 2;
	else
		estimate->deviation_ms +=
		    weight * (fabs(error) - estimate->deviation_ms);
	estimate->duration_ms += weight * error;
}

/**
 * fwd_estimate_longest() - time within which nearly all requests end.
 * @estimate: estimates of the model or service
 *
 * The same bound as that of TCP's retransmission timeout (RFC 6298).
 *
 * Return: milliseconds from the send; infinite before any request has ended.
 */
double
fwd_estimate_longest(const struct fwd_estimate *estimate)
{
	if (estimate->n_duration == 0)
		return (INFINITY);
	return (estimate->duration_ms +
	    LONGEST_DEVIATIONS * estimate->deviation_ms);
}
