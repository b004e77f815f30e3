/* Plans changes of group membership as records for the log. Does no I/O. */
#ifndef BL_PLAN_H
#define BL_PLAN_H

#include "place-live.h"

/**
 * struct plan_input - input of a plan.
 * @state: the configuration, locked
 * @inv: the hosts, locked
 * @domain: failure domain to plan for
 * @limits: current time and limits
 */
struct plan_input {
	const struct state *state;
	struct inventory *inv;
	const char *domain;
	struct place_live_limits limits;
};

GPtrArray *plan_changes(const struct plan_input *);

#endif
