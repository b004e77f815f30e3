/* How many replicas of the largest model balance it with the others. Pure
 * functions. */
#ifndef BL_PLANNER_BALANCE_H
#define BL_PLANNER_BALANCE_H

#include "planner-peak.h"

/**
 * struct planner_balance - the largest model beside all others together.
 * @largest_hosts: hosts that the largest model needs at its peaks
 * @other_hosts: hosts that the others need at theirs
 * @size: hosts in a replica of the largest model
 * @other_size: hosts in the smallest replica
 * @largest_reserve: hosts of the largest model's replicas that may be missing
 * @other_reserve: those of the others
 */
struct planner_balance {
	double largest_hosts;
	double other_hosts;
	unsigned size;
	unsigned other_size;
	double largest_reserve;
	double other_reserve;
};

void planner_balance_init(struct planner_balance *, const struct planner_peak *,
    const struct planner_view *);
unsigned planner_balance_fit(const struct planner_balance *,
    const struct planner_view *);
bool planner_balance_short(const struct planner_balance *,
    const struct planner_view *, unsigned);
void planner_balance_set_reserves(struct planner_balance *,
    const struct planner_view *, unsigned);
unsigned planner_balance_best(const struct planner_balance *,
    const struct planner_view *, unsigned, unsigned, bool);
double planner_balance_cost(const struct planner_balance *,
    const struct planner_view *, unsigned);

#endif
