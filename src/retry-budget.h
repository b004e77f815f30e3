/* A retry budget: bounds retries to a share of the successful requests. */
#ifndef BL_RETRY_BUDGET_H
#define BL_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>

/**
 * struct retry_budget - retry budget of one customer for one service.
 * @credit: retries left, in hundredths of a retry
 */
struct retry_budget {
	atomic_int credit;
};

void retry_budget_init(struct retry_budget *);
void retry_budget_note_success(struct retry_budget *);
bool retry_budget_left(struct retry_budget *);
bool retry_budget_take(struct retry_budget *);

#endif
