/* Counts of a service whose models change. */
#include <CUnit/Basic.h>
#include <string.h>

#include "placer-usage.h"

/* Counts a service with the first of its models. */
static void
count_models(struct service_usage *u, unsigned n, uint64_t now_ms)
{
	static const char *const names[] = { "m0", "m1", "m2" };
	struct replica_list replicas = TAILQ_HEAD_INITIALIZER(replicas);
	struct catalog *catalog = catalog_create();
	struct engine_profile *engine =
	    catalog_add_engine(catalog_add_service(catalog, "s"));
	struct planner_view view;

	for (unsigned i = 0; i < n; i++) {
		struct model_profile *m = g_new0(struct model_profile, 1);

		m->name = g_strdup(names[i]);
		m->size = 1;
		g_ptr_array_add(engine->models, m);
	}
	planner_view_init(&view, engine);
	for (unsigned i = 0; i < n; i++)
		view.wanted[i] = 1;
	service_usage_count(u, "s", &view, &replicas, now_ms);
	planner_view_clear(&view);
	catalog_unref(catalog);
}

/* Names of models that are gone are freed; the sanitizer would report them. */
static void
test_fewer_models(void)
{
	struct service_usage *u = service_usage_create();

	count_models(u, 3, 1000);
	count_models(u, 1, 2000);
	CU_ASSERT_EQUAL(u->n_models, 1);
	CU_ASSERT_STRING_EQUAL(u->names[0], "m0");
	service_usage_free(u);
}

/* A model that is gone and comes back keeps its downtime. */
static void
test_model_back(void)
{
	struct service_usage *u = service_usage_create();

	count_models(u, 2, 1000);
	count_models(u, 2, 2000);
	CU_ASSERT_EQUAL(u->models[1].down_ms, 1000);
	count_models(u, 1, 3000);
	count_models(u, 2, 4000);
	CU_ASSERT_EQUAL(u->models[0].down_ms, 3000);
	CU_ASSERT_EQUAL(u->models[1].down_ms, 2000);
	service_usage_free(u);
}

int
main(void)
{
	CU_pSuite suite;
	unsigned failures;

	CU_initialize_registry();
	suite = CU_add_suite("usage", NULL, NULL);
	CU_add_test(suite, "fewer models", test_fewer_models);
	CU_add_test(suite, "model back", test_model_back);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
