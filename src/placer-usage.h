/* Group downtime and stranded host time of each service. */
#ifndef BL_PLACER_USAGE_H
#define BL_PLACER_USAGE_H

#include "placer-idle.h"
#include "planner-peak.h"

/**
 * struct model_usage - counts of one model of a service.
 * @wanted: number of replicas that its share of the hosts would form
 * @open: number of replicas that serve
 * @forming: number of replicas that are being formed
 * @dissolving: number of replicas that are being dissolved
 * @down_ms: downtime: time summed over missing replicas, in ms x replicas
 */
struct model_usage {
	double wanted;
	unsigned open;
	unsigned forming;
	unsigned dissolving;
	double down_ms;
};

/**
 * struct service_usage - counts of one service since this daemon took the
 * lease.
 * @counted_ms: loop time of the last count, in ms; 0 before the first
 * @logged_ms: loop time at which the counts were last logged, in ms
 * @hosts: number of live hosts
 * @free: number of live hosts that are in no replica
 * @stranded_ms: time summed over hosts that are in no serving replica, in
 *	ms x hosts
 * @names: names of the models, and of former ones where there are fewer now
 * @models: counts of the models, in the order of the engine profile
 * @n_models: number of models
 * @idle: uses last logged for the hosts
 * @demand: measured demand of the models
 * @peak: recent peaks of that demand
 */
struct service_usage {
	uint64_t counted_ms;
	uint64_t logged_ms;
	unsigned hosts;
	unsigned free;
	double stranded_ms;
	char *names[PLANNER_MODELS_MAX];
	struct model_usage models[PLANNER_MODELS_MAX];
	unsigned n_models;
	struct idle_log idle;
	struct planner_demand demand;
	struct planner_peak peak;
};

struct service_usage *service_usage_create(void);
void service_usage_free(void *);
void service_usage_count(struct service_usage *, const char *,
    const struct planner_view *, const struct replica_list *, uint64_t);
void service_usage_print(const struct service_usage *, const char *, GString *);

#endif
