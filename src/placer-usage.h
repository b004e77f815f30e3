/* Group downtime and stranded hosts, as the placer sees them. */
#ifndef BL_PLACER_USAGE_H
#define BL_PLACER_USAGE_H

#include "placer-idle.h"
#include "planner-demand.h"

/**
 * struct model_usage - one model of one service.
 * @wanted: replicas that its share of the hosts would form
 * @open: replicas that serve
 * @forming: replicas that are to serve
 * @dissolving: replicas that are being dissolved
 * @down_ms: milliseconds x replicas that were missing
 */
struct model_usage {
	double wanted;
	unsigned open;
	unsigned forming;
	unsigned dissolving;
	double down_ms;
};

/**
 * struct service_usage - one service, since this daemon took the lease.
 * @counted_ms: loop time of the last count; 0 before the first
 * @logged_ms: loop time of the last lines of the log
 * @hosts: that live
 * @free: of these, those in no replica
 * @stranded_ms: milliseconds x hosts in no replica that serves
 * @names: of the models
 * @models: in the order of the profile
 * @n_models: how many
 * @idle: what was said of hosts
 * @demand: how the work is split between the models
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
};

struct service_usage *service_usage_create(void);
void service_usage_free(void *);
void service_usage_count(struct service_usage *, const char *,
    const struct planner_view *, const struct replica_list *, uint64_t);
void service_usage_print(const struct service_usage *, const char *, GString *);

#endif
