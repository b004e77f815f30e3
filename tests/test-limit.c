/*
 * Limits. Threads may use a limit in another order than they read the clock, so
 * a limit may see the time go back. With no rate set, such a request must still
 * be admitted.
 */
#include <CUnit/Basic.h>

#include "limit.h"

static void
test_unlimited(void)
{
	struct limit limit = { 0 };
	uint64_t wait_us = 0;

	limit_set(&limit, 0, 1, 0, 3);
	CU_ASSERT_TRUE(limit_admit(&limit, 100, &wait_us));
	CU_ASSERT_TRUE(limit_admit(&limit, 99, &wait_us));
}

int
main(void)
{
	unsigned failures;

	CU_initialize_registry();
	CU_add_test(CU_add_suite("limit", NULL, NULL), "unlimited",
	    test_unlimited);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
