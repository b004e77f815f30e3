/* How much of the work each model of a service has, as it is seen. Pure. */
#ifndef BL_REPLICA_DEMAND_H
#define BL_REPLICA_DEMAND_H

#include "replica-form.h"

/**
 * struct form_demand - what was seen of one service.
 * @busy: moving mean of the hosts that each model's requests would fill, in the
 *	order of the profile
 * @noted_ms: when that was last noted; 0 before the first request
 * @begun_ms: when the first request was seen
 * @most: replicas of the largest model that may stand; 0 for no bound
 * @moved_ms: when that last changed
 */
struct form_demand {
	double busy[FORM_MODELS_MAX];
	uint64_t noted_ms;
	uint64_t begun_ms;
	unsigned most;
	uint64_t moved_ms;
};

/**
 * struct form_seen - what runs at one model's replicas.
 * @running: requests at those without a limit
 * @unlimited: how many these are
 * @limited: replicas that take fewer requests a second than they could serve
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
