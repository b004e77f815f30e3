/* A retry budget: bounds retries to a share of the successful requests. */
#include "retry-budget.h"

/* Credit that a retry uses; a success adds a tenth of it. */
#define RETRY_COST 100
#define SUCCESS_CREDIT 10
/* At most ten retries are accumulated; a new budget starts with ten. */
#define CREDIT_MAX (10 * RETRY_COST)

/**
 * retry_budget_init() - initialize with the full credit.
 * @budget: the budget
 */
void
retry_budget_init(struct retry_budget *budget)
{
	atomic_init(&budget->credit, CREDIT_MAX);
}

/**
 * retry_budget_note_success() - add the credit of a successful request.
 * @budget: the budget
 */
void
retry_budget_note_success(struct retry_budget *budget)
{
	int credit = atomic_load(&budget->credit);

	while (credit + SUCCESS_CREDIT <= CREDIT_MAX) {
		if (atomic_compare_exchange_weak(&budget->credit, &credit,
			credit + SUCCESS_CREDIT))
			return;
	}
}

/**
 * retry_budget_left() - whether there is credit for a retry.
 * @budget: the budget
 */
bool
retry_budget_left(struct retry_budget *budget)
{
	return (atomic_load(&budget->credit) >= RETRY_COST);
}

/**
 * retry_budget_take() - use the credit of one retry.
 * @budget: the budget
 *
 * Return: false if the budget is used up; the request then fails at once.
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
