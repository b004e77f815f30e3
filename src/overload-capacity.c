/*
 * Capacity of the endpoints of a service and model. Pure.
 *
 * An endpoint can have as many requests as let a usual prompt have its first
 * event in time. With more of them decoding, passes take longer, and more
 * prompts wait to be prefilled.
 */
#include <math.h>
#include <string.h>

#include "fwd-cost.h"
#include "overload-capacity.h"

#define MS_PER_S 1000.0
/* Utilization of the prefill rate above which prompts queue without bound. */
#define PREFILL_MAX 0.95

/* Average time that a prompt waits for those before it, at an endpoint that
 * keeps @running requests of @duration_ms each; as of a queue with random
 * arrivals and prompts of random length. */
static double
prefill_wait_ms(const struct endpoint *ep, const struct fwd_workload *workload,
    double running, double duration_ms)
{
	double rate = fwd_expect_rate(ep, workload);
	double prompt_ms = rate > 0 ? workload->prompt / rate : 0;
	double used = duration_ms > 0 ? running / duration_ms * prompt_ms : 0;

	if (used >= PREFILL_MAX)
		return (INFINITY);
	return (used / (1 - used) * prompt_ms);
}

/* Expected time to the first event at an idle endpoint, once it keeps @running
 * requests. */
static double
first_ms(struct endpoint *idle, const struct fwd_workload *workload,
    double running, double duration_ms)
{
	idle->peer_inflight = (unsigned)running;
	return (fwd_expect_first(idle, workload) +
	    prefill_wait_ms(idle, workload, running, duration_ms));
}

/* Largest number of requests up to @slots that an endpoint serves in time. */
static double
requests_in_time(const struct endpoint *ep, const struct fwd_criteria *criteria,
    unsigned slots, double objective_ms, double duration_ms)
{
	struct endpoint idle = *ep;
	struct fwd_workload workload;
	unsigned low = 0, high = slots;

	if (criteria->model == NULL)
		return (slots);
	fwd_criteria_workload(criteria, criteria->engine->usual_prompt,
	    &workload);
	idle.inflight = 0;
	idle.pending = 0;
	idle.peer_pending = 0;
	memset(&idle.backlog, 0, sizeof idle.backlog);
	while (low < high) {
		unsigned middle = (low + high + 1) / 2;

		if (first_ms(&idle, &workload, middle, duration_ms) <=
		    objective_ms)
			low = middle;
		else
			high = middle - 1;
	}
	return (low);
}

/* Adds an endpoint's capacity; a rate limit bounds the requests there. */
static void
capacity_add(struct overload_capacity *capacity, const struct endpoint *ep,
    const struct fwd_criteria *criteria, double objective_ms,
    double duration_ms)
{
	double slots = fwd_cost_slots(ep, criteria);
	double bound = slots;
	double in_time;

	if (endpoint_limit_active(&ep->limit, criteria->now_ms) &&
	    duration_ms > 0)
		bound = fmin(slots, ep->limit.per_s * duration_ms / MS_PER_S);
	in_time = requests_in_time(ep, criteria, (unsigned)slots, objective_ms,
	    duration_ms);
	capacity->running += fwd_expect_running(ep);
	capacity->in_time += fmin(in_time, bound);
	capacity->slots += bound;
}

/**
 * overload_capacity_measure() - capacity of the usable endpoints.
 * @fleet: the endpoints
 * @criteria: service, engine, model, overhead and time are used
 * @objective_ms: latency objective of the requests
 * @duration_ms: average time for which a request occupies its slot; 0 if not
 *	known
 * @capacity: filled in
 */
void
overload_capacity_measure(const struct fleet *fleet,
    const struct fwd_criteria *criteria, double objective_ms,
    double duration_ms, struct overload_capacity *capacity)
{
	const struct endpoint *ep;

	memset(capacity, 0, sizeof *capacity);
	TAILQ_FOREACH(ep, &fleet->endpoints, entry) {
		if (!ep->gone && fwd_endpoint_matches(ep, criteria) &&
		    endpoint_usable(ep, criteria->now_ms))
			capacity_add(capacity, ep, criteria, objective_ms,
			    duration_ms);
	}
}
