/* A group whose hosts are not all known here: one contradicts, one is unknown.
 */
#include <CUnit/Basic.h>

#include "publish.h"

static void
test_unknown_host(void)
{
	json_auto_t *list = json_pack("[{s:s, s:s, s:s, s:s, s:s, s:s}]",
	    "name", "h1", "url", "http://x", "domain", "a", "pool", "lm",
	    "kind", "engine", "state", "live");
	json_auto_t *dump = json_pack(
	    "{s:i, s:[], s:[{s:s, s:s, s:s, s:s, s:i, s:[s, s]}], s:[]}",
	    "next", 9, "resources", "groups", "name", "g", "deployment", "d",
	    "domain", "a", "fabric", "f", "epoch", 5, "hosts", "h1", "h2",
	    "leases");
	json_auto_t *idle = json_pack("{s:s}", "state", "idle");
	struct state *state = state_load(dump, NULL);
	struct target *target = target_create("g", "http://x", "a", 5, 5);
	struct view_tables tables;
	struct inventory inv;

	inventory_init(&inv);
	inventory_update(&inv, list, 1);
	view_tables_init(&tables);
	g_hash_table_insert(tables.targets, &target->key, target);
	target_update_evidence(target, 100, true, 1000);
	evidence_parse(&inventory_find(&inv, "h1")->evidence, idle, 200);
	publish_evidence(state, &inv, &tables, 1000);
	CU_ASSERT_FALSE(target_valid(target, 201));
	view_tables_destroy(&tables);
	inventory_destroy(&inv);
	state_free(state);
}

int
main(void)
{
	unsigned failures;

	CU_initialize_registry();
	CU_add_test(CU_add_suite("publish", NULL, NULL), "unknown host",
	    test_unknown_host);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
