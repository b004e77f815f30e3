/* The share of a service's work that each model has, measured by the requests
 * that run. Pure functions. */
#ifndef BL_REPLICA_DEMAND_H
#define BL_REPLICA_DEMAND_H

#include "replica-form.h"

/**
 * struct form_demand - measured demand for the models of one service.
 * @busy: moving average of the number of hosts that each model's requests would
 *	fill, in the order of the profile
 * @noted_ms: loop time of the last sample; 0 before the first one
 * @begun_ms: loop time of the first sample
 * @most: maximum number of replicas of the largest model; 0 for no bound
 * @moved_ms: loop time at which @most last changed
 */
struct form_demand {
	double busy[FORM_MODELS_MAX];
	uint64_t noted_ms;
	uint64_t begun_ms;
	unsigned most;
	uint64_t moved_ms;
};

/**
 * struct form_seen - requests that run at one model's replicas.
 * @running: requests that run at replicas without a rate limit
 * @unlimited: number of replicas without a rate limit
 * @limited: number of replicas that limit their request rate below what they
 *	could serve
 */
struct form_seen {
	double running;
	unsigned unlimited;
	unsigned limited;
};

void form_demand_note(struct form_demand *, const struct form_view *,
    const struct form_seen *, uint64_t);
void form_demand_apply(struct form_demand *, struct form_view *, uint64_t);

#endif
