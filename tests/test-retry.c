/* The retry budget of bankliftd, used by many threads. */
#include <CUnit/Basic.h>
#include <glib.h>

#include "retry-budget.h"

#define THREADS 4
#define ROUNDS 300000
/* Successes for one retry: twice those that pay for it. */
#define SUCCESSES_PER_RETRY 20
/* Retries that a budget has at most. */
#define RETRIES_MAX 10

static struct retry_budget budget;

/* Uses the budget and refills it; counts how often it held too much. */
static gpointer
use_budget(gpointer arg)
{
	unsigned beyond = 0;

	for (unsigned i = 0; i < ROUNDS; i++) {
		if (i % SUCCESSES_PER_RETRY == 0)
			retry_budget_take(&budget);
		retry_budget_note_success(&budget);
		beyond += atomic_load(&budget.credit) > RETRIES_MAX * 100;
	}
	return (GUINT_TO_POINTER(beyond));
}

/* Successes at the same moment don't lift the budget above its bound. */
static void
test_bound(void)
{
	GThread *threads[THREADS];
	unsigned beyond = 0;

	retry_budget_init(&budget);
	for (unsigned i = 0; i < THREADS; i++)
		threads[i] = g_thread_new("budget", use_budget, NULL);
	for (unsigned i = 0; i < THREADS; i++)
		beyond += GPOINTER_TO_UINT(g_thread_join(threads[i]));
	CU_ASSERT_EQUAL(beyond, 0);
}

/* A used-up budget allows a retry after ten successes. */
static void
test_refill(void)
{
	retry_budget_init(&budget);
	for (unsigned i = 0; i < RETRIES_MAX; i++)
		CU_ASSERT_TRUE(retry_budget_take(&budget));
	CU_ASSERT_FALSE(retry_budget_take(&budget));
	for (unsigned i = 0; i < 9; i++)
		retry_budget_note_success(&budget);
	CU_ASSERT_FALSE(retry_budget_take(&budget));
	retry_budget_note_success(&budget);
	CU_ASSERT_TRUE(retry_budget_take(&budget));
}

int
main(void)
{
	CU_pSuite suite;
	unsigned failures;

	CU_initialize_registry();
	suite = CU_add_suite("retry", NULL, NULL);
	CU_add_test(suite, "bound", test_bound);
	CU_add_test(suite, "refill", test_refill);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
