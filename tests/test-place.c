/* Placement of bankliftd on evidence that a host may send wrong. */
#include <CUnit/Basic.h>

#include "place.h"

#define SIZE 4

static const int shards_wrong[] = { PLACE_NO_SHARD, -2, -5, INT32_MIN, SIZE,
	INT32_MAX };

/* A shard that no group has counts as none. */
static void
test_shard_out_of_range(void)
{
	struct place_host hosts[2] = {
		{ .name = "h0", .group = PLACE_NO_GROUP, .reusable = true },
		{ .name = "h1", .group = PLACE_NO_GROUP, .reusable = true },
	};
	const struct place_view view = { .hosts = hosts,
		.n_hosts = 2,
		.n_fabrics = 1,
		.size = SIZE };

	hosts[1].shard = SIZE - 1;
	for (size_t i = 0; i < G_N_ELEMENTS(shards_wrong); i++) {
		hosts[0].shard = shards_wrong[i];
		CU_ASSERT_EQUAL(place_shards_held(&view, 0), 1);
	}
	hosts[0].shard = 0;
	CU_ASSERT_EQUAL(place_shards_held(&view, 0), 2);
}

int
main(void)
{
	CU_pSuite suite;
	unsigned failures;

	CU_initialize_registry();
	suite = CU_add_suite("place", NULL, NULL);
	CU_add_test(suite, "shard out of range", test_shard_out_of_range);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
