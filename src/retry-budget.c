/* A retry budget: retries are a bounded share of successes. */
#include "retry-budget.h"

/* One retry costs this much; a success earns a tenth of it. */
#define RETRY_COST 100
#define SUCCESS_CREDIT 10
/* At most ten retries are saved up, and a new budget starts with them. */
#define CREDIT_MAX (10 * RETRY_COST)

/**
 * retry_budget_init() - start with a full budget.
 * @budget: the budget
 */
void
retry_budget_init(struct retry_budget *budget)
{
	atomic_init(&budget->credit, CREDIT_MAX);
}

/**
 * retry_budget_note_success() - a request succeeded.
 * @budget: the budget
 */
void
retry_budget_note_success(struct retry_budget *budget)
{
	if (atomic_load(&budget->credit) + SUCCESS_CREDIT <= CREDIT_MAX)
		atomic_fetch_add(&budget->credit, SUCCESS_CREDIT);
}

/**
 * retry_budget_take() - take one retry off the budget.
 * @budget: the budget
 *
 * Return: false when the budget is spent; the request then fails at once.
 */
bool
retry_budget_take(struct retry_budget *budget)
{
	int credit = atomic_load(&budget->credit);

	while (credit >= RETRY_COST) {
		if (atomic_compare_exchange_weak(&budget->credit, &credit,
			credit - RETRY_COST))
			return (true);
	}
	return (false);
}
