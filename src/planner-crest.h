/* The hosts that each model of a service needs at its recent peaks, and the
 * number of replicas of the largest model that balances the models. Pure
 * functions. */
#ifndef BL_PLANNER_CREST_H
#define BL_PLANNER_CREST_H

#include "planner-demand.h"

/* Time that a crest covers, in s; longer than the waves of a daily load that is
 * replayed fast, and than the pause between two bursts of it. */
#define CREST_SPAN_S 15
/* A model is short of hosts from this utilization at its crest on; a replica
 * then has slightly more than half of its slots in use. */
#define CREST_SHORT 0.95
/* Replicas of a model that may be missing after a loss. */
#define CREST_RESERVE 1

/**
 * struct model_crest - recent demand for one model.
 * @hosts: one-second average of the number of hosts whose replicas would serve
 *	the model's requests just in time
 * @requests: average over some seconds of the requests that run or wait
 * @peaks: maximum of @hosts in each second of the last CREST_SPAN_S
 */
struct model_crest {
	double hosts;
	double requests;
	double peaks[CREST_SPAN_S];
};

/**
 * struct planner_crest - recent demand for the models of one service.
 * @models: demand of each model, in the order of the profile
 * @updated_ms: loop time of the last sample; 0 before the first one
 * @short_since_ms: loop time since which a model's crest has been above what
 *	its replicas serve in time; 0 while none is
 * @changed_ms: loop time of the last change of the bound; 0 before the first
 * @lowered: that change lowered the bound
 * @most_hosts: most live hosts seen lately
 */
struct planner_crest {
	struct model_crest models[PLANNER_MODELS_MAX];
	uint64_t updated_ms;
	uint64_t short_since_ms;
	uint64_t changed_ms;
	bool lowered;
	double most_hosts;
};

void planner_crest_update(struct planner_crest *, const struct planner_view *,
    const struct demand_sample *, uint64_t);
void planner_crest_apply(struct planner_crest *, unsigned *,
    struct planner_view *, uint64_t);
double planner_crest_hosts(const struct planner_crest *, unsigned);
double planner_crest_hosts_ahead(const struct planner_crest *, unsigned);

/* planner-capacity.c: requests that a replica serves in time. */
double planner_slots_in_time(const struct engine_profile *);
double planner_utilization(const struct engine_profile *,
    const struct model_profile *, double);
double planner_duration_ms(const struct engine_profile *,
    const struct model_profile *, double);

#endif
