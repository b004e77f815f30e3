/* How many replicas of the largest model balance it with the others. Pure
 * functions. */
#include <math.h>
#include <string.h>

#include "planner-balance.h"

/* One change adds or takes at most one in this many replicas of the largest
 * model, whose next burst may be larger than those seen. */
#define BALANCE_STEP_PART 3
/* Part of a replica by which the peaks of the largest model may exceed those
 * that it keeps besides the reserve. */
#define BALANCE_MARGIN 0.25
/* A model gives up replicas only if those that it keeps are used to at most
 * this part at its peaks: taking them back needs model loads. */
#define BALANCE_KEPT_UTILIZATION 0.8
/* Exponent of the utilization in the cost: the part of late responses rises
 * steeply where a model fills its replicas. */
#define BALANCE_COST_EXPONENT 4

/**
 * planner_balance_init() - set the demand of a balance.
 * @b: the balance
 * @peak: the demand
 * @view: the view, for the service's models
 */
void
planner_balance_init(struct planner_balance *b, const struct planner_peak *peak,
    const struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);

	memset(b, 0, sizeof *b);
	b->size = MAX(planner_model(view, view->largest)->size, 1);
	b->other_size = b->size;
	for (unsigned i = 0; i < n; i++) {
		double hosts = planner_peak_hosts_ahead(peak, i);

		if (i == view->largest) {
			b->largest_hosts = hosts;
			continue;
		}
		b->other_hosts += hosts;
		b->other_size =
		    CLAMP(planner_model(view, i)->size, 1, b->other_size);
	}
}

/**
 * planner_balance_fit() - replicas of the largest model that the fabric domains
 * can hold.
 * @b: the balance
 * @view: the view; its hosts have been counted
 */
unsigned
planner_balance_fit(const struct planner_balance *b,
    const struct planner_view *view)
{
	unsigned fit = 0;

	for (guint i = 0; i < view->fabrics->len; i++)
		fit += planner_fabric_at(view, i)->hosts / b->size;
	return (fit);
}

/* Hosts that can serve the other models beside a number of replicas of the
 * largest, which are spread evenly over the fabric domains. */
static double
balance_rest(const struct planner_balance *b, const struct planner_view *view,
    unsigned largest)
{
	unsigned left = largest, rest = 0, fabrics = view->fabrics->len;

	for (guint i = 0; i < fabrics; i++) {
		unsigned hosts = planner_fabric_at(view, i)->hosts;
		unsigned part = (left + fabrics - i - 1) / (fabrics - i);

		part = MIN(part, hosts / b->size);
		left -= part;
		rest += (hosts - part * b->size) / b->other_size;
	}
	return ((double)rest * b->other_size);
}

/* Hosts in replicas of all models but the largest. */
static double
others_present(const struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double hosts = 0;

	for (unsigned i = 0; i < n; i++) {
		if (i != view->largest)
			hosts +=
			    view->replicas[i] * planner_model(view, i)->size;
	}
	return (hosts);
}

/**
 * planner_balance_set_reserves() - set the hosts that may be missing.
 * @b: the balance
 * @view: the view; its hosts and replicas have been counted
 * @largest: replicas of the largest model that are wanted now
 *
 * These are the hosts of the reserve, or those of the replicas that are missing
 * now although there are hosts for them.
 */
void
planner_balance_set_reserves(struct planner_balance *b,
    const struct planner_view *view, unsigned largest)
{
	b->largest_reserve = b->size *
	    MAX(PEAK_RESERVE, (double)largest - view->replicas[view->largest]);
	b->other_reserve = MAX(PEAK_RESERVE * b->other_size,
	    balance_rest(b, view, largest) - others_present(view));
}

/* Utilization of the hosts that are left without the reserve. */
static double
reserved_utilization(double needed, double hosts, double reserve, unsigned size)
{
	return (needed / MAX(hosts - reserve, size / 2.0));
}

/**
 * planner_balance_cost() - the expected late work, up to a factor.
 * @b: the balance; its reserves have been set
 * @view: the view
 * @largest: number of replicas of the largest model
 */
double
planner_balance_cost(const struct planner_balance *b,
    const struct planner_view *view, unsigned largest)
{
	double at_largest = reserved_utilization(b->largest_hosts,
	    largest * b->size, b->largest_reserve, b->size);
	double at_others = reserved_utilization(b->other_hosts,
	    balance_rest(b, view, largest), b->other_reserve, b->other_size);

	return (b->largest_hosts * pow(at_largest, BALANCE_COST_EXPONENT) +
	    b->other_hosts * pow(at_others, BALANCE_COST_EXPONENT));
}

/* Whether hosts are too few for peaks. While replicas are missing, the next
 * one may be lost before they are back. */
static bool
hosts_short(double needed, double allowed, double present, unsigned size)
{
	if (present < allowed)
		present =
		    MAX(present - MAX(PEAK_RESERVE * size, allowed - present),
			present / 2);
	return (needed > PEAK_SHORT * MIN(present, allowed));
}

/**
 * planner_balance_short() - whether the largest model or the others are short
 * of hosts at their peaks.
 * @b: the balance
 * @view: the view
 * @largest: replicas of the largest model that are wanted now
 *
 * Both the replicas that there are and those that the hosts allow must be
 * enough.
 */
bool
planner_balance_short(const struct planner_balance *b,
    const struct planner_view *view, unsigned largest)
{
	return (hosts_short(b->largest_hosts, largest * b->size,
		    view->replicas[view->largest] * b->size, b->size) ||
	    hosts_short(b->other_hosts, balance_rest(b, view, largest),
		others_present(view), b->other_size));
}

/* Whether the other models keep what they need beside a number of replicas of
 * the largest. */
static bool
others_can_spare(const struct planner_balance *b,
    const struct planner_view *view, unsigned largest)
{
	return (b->other_hosts <=
	    BALANCE_KEPT_UTILIZATION * balance_rest(b, view, largest));
}

/**
 * planner_balance_best() - the number of replicas of the largest model with the
 * least cost.
 * @b: the balance; its reserves have been set
 * @view: the view
 * @bound: the present number
 * @max: the largest number
 * @corrected: the configured shares have been corrected before
 *
 * Both sides keep the replicas that their peaks need. After the configured
 * shares were corrected, the largest model also keeps the reserve.
 */
unsigned
planner_balance_best(const struct planner_balance *b,
    const struct planner_view *view, unsigned bound, unsigned max,
    bool corrected)
{
	double needed = b->largest_hosts / b->size / BALANCE_KEPT_UTILIZATION;
	unsigned least = (unsigned)ceil(needed - BALANCE_MARGIN) +
	    (corrected ? PEAK_RESERVE : 0);
	unsigned step = MAX(bound / BALANCE_STEP_PART, 1);
	unsigned best = bound;
	double best_cost = planner_balance_cost(b, view, bound);

	least = MAX(least, MAX(bound - step, 1));
	for (unsigned n = MIN(least, bound); n <= MIN(max, bound + step); n++) {
		double cost = planner_balance_cost(b, view, n);

		if (cost >= best_cost ||
		    (n > bound && !others_can_spare(b, view, n)))
			continue;
		best = n;
		best_cost = cost;
	}
	return (best);
}
