/*
 * Choice of an endpoint by what other daemons may have sent meanwhile. Pure.
 *
 * The unseen requests of the other failure domains are divided first, with
 * their own preference, and then those of this one, in which the request takes
 * part.
 */
#include <math.h>

#include "fwd-balance.h"
#include "fwd-spread.h"

/* With fewer unseen requests than this for each endpoint, the best by known
 * load is hardly ever chosen by two daemons at once. */
#define UNSEEN_MIN 0.5
/* Smallest slope of an option; without times in the profile it would be 0. */
#define SLOPE_MIN 1e-3
/* Maximum number of failure domains that are counted. */
#define DOMAINS_MAX 16

/* What one request that decodes adds to the cost of an endpoint. */
static double
decode_slope(const struct endpoint *ep, const struct fwd_criteria *criteria)
{
	struct fwd_workload workload;

	if (criteria->model == NULL)
		return (1 / fwd_cost_slots(ep, criteria));
	fwd_criteria_workload(criteria, criteria->prompt, &workload);
	return (fwd_expect_slope(ep, &workload));
}

/* What the prefill of a usual prompt adds to the cost of an endpoint. */
static double
prefill_slope(const struct endpoint *ep, const struct fwd_criteria *criteria)
{
	struct fwd_workload workload;
	double rate;

	if (criteria->model == NULL)
		return (0);
	fwd_criteria_workload(criteria, criteria->prompt, &workload);
	rate = fwd_expect_rate(ep, &workload);
	return (rate > 0 ? criteria->engine->usual_prompt / rate : 0);
}

/* Fills in an endpoint as an option. */
static void
fill_option(struct fwd_spread_option *option, const struct endpoint *ep,
    const struct fwd_criteria *criteria)
{
	double stayed = fwd_unseen_stayed(&criteria->unseen);
	double ended = ep->peer_inflight * fwd_unseen_ended(&criteria->unseen);
	double decode = decode_slope(ep, criteria), first;

	*option = (struct fwd_spread_option){ 0 };
	option->cost = fwd_cost(ep, criteria, 0, &first) - decode * ended;
	option->slope =
	    fmax(decode * stayed + prefill_slope(ep, criteria), SLOPE_MIN);
	option->room =
	    fmax(fwd_cost_slots(ep, criteria) - fwd_expect_running(ep) + ended,
		0) /
	    stayed;
}

/* Number of failure domains, of which this daemon's is one. */
static unsigned
count_domains(struct endpoint *const *endpoints, unsigned n,
    const struct fwd_criteria *criteria)
{
	const char *seen[DOMAINS_MAX] = { criteria->domain };
	unsigned n_seen = 1, k;

	for (unsigned i = 0; i < n && n_seen < DOMAINS_MAX; i++) {
		const char *domain = endpoints[i]->report.domain;

		for (k = 0; k < n_seen && g_strcmp0(seen[k], domain) != 0; k++)
			;
		if (k == n_seen)
			seen[n_seen++] = domain;
	}
	return (n_seen);
}

/* Adds @local to the costs of the endpoints of this failure domain, and @remote
 * to the others. */
static void
add_costs(struct fwd_spread_option *options, struct endpoint *const *endpoints,
    unsigned n, const struct fwd_criteria *criteria, double local,
    double remote)
{
	for (unsigned i = 0; i < n; i++)
		options[i].cost +=
		    fwd_cost_is_local(endpoints[i], criteria) ? local : remote;
}

/**
 * fwd_balance_applies() - whether there are so many unseen requests that the
 *	known loads are too outdated to choose by.
 * @criteria: what the request requires
 * @n: number of endpoints with a free slot
 */
bool
fwd_balance_applies(const struct fwd_criteria *criteria, unsigned n)
{
	return (n > 0 && criteria->unseen.requests >= UNSEEN_MIN * n);
}

/**
 * fwd_balance_choose() - choose an endpoint by what other daemons may have sent
 *	meanwhile.
 * @endpoints: endpoints with a free slot, drawn from all that have one
 * @n: number of @endpoints, above 0
 * @total: number of all that have one
 * @criteria: what the request requires
 * @preference: how much the own failure domain is preferred, from 0 to 1
 *
 * Return: the endpoint, or NULL to choose by the known loads.
 */
struct endpoint *
fwd_balance_choose(struct endpoint *const *endpoints, unsigned n,
    unsigned total, const struct fwd_criteria *criteria, double preference)
{
	double requests = criteria->unseen.requests * n / total, own;
	double cross = fwd_cost_cross_domain(criteria) * preference;
	g_autofree struct fwd_spread_option *options = NULL;
	unsigned i;

	options = g_new(struct fwd_spread_option, n);
	for (i = 0; i < n; i++)
		fill_option(&options[i], endpoints[i], criteria);
	own = requests / count_domains(endpoints, n, criteria);
	add_costs(options, endpoints, n, criteria, cross, 0);
	fwd_spread_fill(options, n, requests - own);
	add_costs(options, endpoints, n, criteria, -cross, cross);
	fwd_spread_fill(options, n, own);
	i = fwd_spread_draw(options, n, own, criteria->draw);
	return (i < n ? endpoints[i] : NULL);
}
