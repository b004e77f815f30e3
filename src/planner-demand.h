/* The share of a service's work that each model has, measured by the requests
 * that run. Pure functions. */
#ifndef BL_PLANNER_DEMAND_H
#define BL_PLANNER_DEMAND_H

#include "fleet-sums.h"
#include "planner.h"

/**
 * struct planner_demand - measured demand for the models of one service.
 * @busy_hosts: moving average of the number of hosts that each model's requests
 *	would fill, in the order of the profile
 * @updated_ms: loop time of the last sample; 0 before the first one
 * @first_ms: loop time of the first sample
 * @largest_max: maximum number of replicas of the largest model; 0 for no bound
 * @bound_changed_ms: loop time at which @largest_max last changed
 */
struct planner_demand {
	double busy_hosts[PLANNER_MODELS_MAX];
	uint64_t updated_ms;
	uint64_t first_ms;
	unsigned largest_max;
	uint64_t bound_changed_ms;
};

/**
 * struct demand_sample - requests that run at one model's replicas.
 * @running: requests that run at replicas without a rate limit
 * @queued: requests that wait at the daemons, or that were refused and are to
 *	return; 0 where not known
 * @refused: requests refused per second for lack of capacity, each counted
 *	once; 0 where not known
 * @unlimited: number of replicas without a rate limit
 * @limited: number of replicas that limit their request rate below what they
 *	could serve
 */
struct demand_sample {
	double running;
	double queued;
	double refused;
	unsigned unlimited;
	unsigned limited;
};

void planner_demand_update(struct planner_demand *, const struct planner_view *,
    const struct demand_sample *, uint64_t);
void planner_demand_apply(struct planner_demand *, struct planner_view *,
    uint64_t);
void planner_demand_add_sums(struct demand_sample *,
    const struct planner_view *, const char *, const struct fleet_sums *);

#endif
