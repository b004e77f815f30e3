/* Cost of endpoints for a request. Pure. */
#include "fwd-cost.h"

/* An endpoint in another failure domain must be this much faster to be chosen
 * while the own one is fully preferred: traffic between failure domains is
 * charged, and load reports from there are older, since distant daemons are
 * sent fewer. */
#define CROSS_DOMAIN_MS 40.0
/* The same for plain services, where the cost is the load: requests
 * per slot. */
#define CROSS_DOMAIN_LOAD 0.15
/* Weight of an endpoint's error rate: an error rate of 1 counts as this much
 * load, or adds this multiple of the expected time to the first event. */
#define ERROR_WEIGHT 2.0

/**
 * fwd_criteria_workload() - a request's workload for an engine.
 * @criteria: the request's criteria, with its engine and model
 * @prompt: length of the prompt to estimate for, in tokens
 * @workload: filled in
 */
void
fwd_criteria_workload(const struct fwd_criteria *criteria, double prompt,
    struct fwd_workload *workload)
{
	workload->engine = criteria->engine;
	workload->model = criteria->model;
	workload->prompt = prompt;
	workload->overhead_ms = criteria->overhead_ms;
	workload->load_error_ms = criteria->load_error_ms;
	workload->evidence = criteria->evidence;
	workload->now_ms = criteria->now_ms;
}

/**
 * fwd_cost_is_local() - whether an endpoint is in this daemon's failure domain.
 * @ep: the endpoint
 * @criteria: the request's criteria
 */
bool
fwd_cost_is_local(const struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	return (g_strcmp0(ep->report.domain, criteria->domain) == 0);
}

/**
 * fwd_cost_cross_domain() - by how much an endpoint in another failure domain
 *	must be better to be chosen, while the own one is fully preferred.
 * @criteria: the request's criteria
 *
 * Return: as fwd_cost().
 */
double
fwd_cost_cross_domain(const struct fwd_criteria *criteria)
{
	return (criteria->model != NULL ? CROSS_DOMAIN_MS : CROSS_DOMAIN_LOAD);
}

/**
 * fwd_cost() - cost of an endpoint for a request; lower is better.
 * @ep: the endpoint
 * @criteria: the request's criteria
 * @preference: how much the own failure domain is preferred, from 0 to 1
 * @first: set to the expected time to the first event, in ms; 0 without a model
 *
 * Return: milliseconds; requests per slot for a plain service.
 */
double
fwd_cost(const struct endpoint *ep, const struct fwd_criteria *criteria,
    double preference, double *first)
{
	double cross = fwd_cost_is_local(ep, criteria) ?
	    0 :
	    preference * fwd_cost_cross_domain(criteria);
	double errors =
	    ERROR_WEIGHT * endpoint_error_rate(ep, criteria->now_ms);
	struct fwd_workload workload;

	*first = 0;
	if (criteria->model != NULL) {
		fwd_criteria_workload(criteria, criteria->prompt, &workload);
		*first = fwd_expect_first(ep, &workload);
		return (*first * (1 + errors) + cross);
	}
	return (
	    fwd_expect_running(ep) / MAX(ep->report.slots, 1) + errors + cross);
}

/**
 * fwd_cost_slots() - maximum number of requests that an endpoint should have at
 *	once.
 * @ep: the endpoint
 * @criteria: the request's criteria
 */
double
fwd_cost_slots(const struct endpoint *ep, const struct fwd_criteria *criteria)
{
	if (criteria->engine != NULL)
		return (criteria->engine->slots);
	return (MAX(ep->report.slots, 1));
}
