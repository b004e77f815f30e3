/* The hosts that each model of a service needs at its recent peaks, and the
 * number of replicas of the largest model that balances the models. Pure
 * functions. */
#ifndef BL_PLANNER_PEAK_H
#define BL_PLANNER_PEAK_H

#include "planner-demand.h"

/* Time that a peak covers, in s; longer than the period of a wave of the load
 * and than the pause between two bursts. */
#define PEAK_SPAN_S 15
/* A model is short of hosts from this utilization at its peak on; a replica
 * then has slightly more than half of its slots in use. */
#define PEAK_SHORT 0.95
/* Replicas of a model that may be missing after a loss. */
#define PEAK_RESERVE 1

/**
 * struct model_peak - recent demand for one model.
 * @hosts_needed: one-second average of the number of hosts whose replicas would
 *	serve the model's requests just in time; field asked of event placement
 * @peaks: maximum of @hosts_needed in each second of the last PEAK_SPAN_S
 */
struct model_peak {
	double hosts_needed;
	double peaks[PEAK_SPAN_S];
};

/**
 * struct planner_peak - recent demand for the models of one service.
 * @models: demand of each model, in the order of the profile
 * @updated_ms: loop time of the last sample; 0 before the first one
 * @short_since_ms: loop time since which a model's peak has been above what
 *	its replicas serve in time; 0 while none is
 * @changed_ms: loop time of the last change of the bound, or at which that of
 *	another placer was taken over; 0 before the first
 * @lowered: that change lowered the bound
 * @most_hosts: most live hosts seen lately
 */
struct planner_peak {
	struct model_peak models[PLANNER_MODELS_MAX];
	uint64_t updated_ms;
	uint64_t short_since_ms;
	uint64_t changed_ms;
	bool lowered;
	double most_hosts;
};

void planner_peak_update(struct planner_peak *, const struct planner_view *,
    const struct demand_sample *, uint64_t);
void planner_peak_apply(struct planner_peak *, unsigned *,
    struct planner_view *, uint64_t);
double planner_peak_hosts(const struct planner_peak *, unsigned);
double planner_peak_hosts_ahead(const struct planner_peak *, unsigned);

/* planner-capacity.c: requests that a replica serves in time. */
double planner_slots_in_time(const struct engine_profile *);
double planner_utilization(const struct engine_profile *,
    const struct model_profile *, double);
double planner_duration_ms(const struct engine_profile *,
    const struct model_profile *, double);

#endif
