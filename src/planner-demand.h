/* How much of the work each model of a service has, as it is seen. Pure. */
#ifndef BL_PLANNER_DEMAND_H
#define BL_PLANNER_DEMAND_H

#include "planner.h"

/**
 * struct planner_demand - what was seen of one service.
 * @busy_hosts: moving mean of the hosts that each model's requests would fill,
 *in the order of the profile
 * @updated_ms: when that was last noted; 0 before the first request
 * @first_ms: when the first request was seen
 * @largest_max: replicas of the largest model that may stand; 0 for no bound
 * @bound_changed_ms: when that last changed
 */
struct planner_demand {
	double busy_hosts[PLANNER_MODELS_MAX];
	uint64_t updated_ms;
	uint64_t first_ms;
	unsigned largest_max;
	uint64_t bound_changed_ms;
};

/**
 * struct demand_sample - what runs at one model's replicas.
 * @running: requests at those without a limit
 * @unlimited: how many these are
 * @limited: replicas that take fewer requests a second than they could serve
 */
struct demand_sample {
	double running;
	unsigned unlimited;
	unsigned limited;
};

void planner_demand_update(struct planner_demand *, const struct planner_view *,
    const struct demand_sample *, uint64_t);
void planner_demand_apply(struct planner_demand *, struct planner_view *,
    uint64_t);

#endif
