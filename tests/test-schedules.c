/*
 * Random fault schedules over the decision code, in virtual time, with
 * invariants checked after every step. A seed determines a schedule:
 *   test-schedules [FIRST-SEED [COUNT]]
 *
 * There are three daemons, eight hosts and one log. Daemons pause or are cut
 * off from the log or from hosts; answers to appends are lost or appends take
 * effect late; orders arrive late; hosts die, restart without their state, and
 * either check fencing tokens or do not.
 */
#include <CUnit/Basic.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "schedules.h"

#define STEPS 400
#define SEEDS 200

static json_t *
host_list(void)
{
	json_t *list = json_array();

	for (int i = 0; i < HOSTS; i++) {
		g_autofree char *name = g_strdup_printf("h%d", i);

		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i}",
			"name", name, "url", "http://x", "domain", "a",
			"fabric", i < HOSTS / 2 ? "f0" : "f1", "pool", "lm",
			"kind", "engine", "state", "live", "accelerators", 2));
	}
	return (list);
}

static void
sim_init(uint64_t seed)
{
	json_auto_t *list = host_list();

	sim.rng = seed;
	sim.now = 100000;
	sim.n_delayed = 0;
	sim.violation = NULL;
	memset(sim.runs, 0, sizeof sim.runs);
	sim.config_log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	sim.claim_log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	g_ptr_array_add(sim.config_log,
	    json_pack("{s:s, s:s, s:s, s:s, s:i, s:{s:s, s:s, s:i, s:{s:i}}}",
		"kind", "change", "op", "put", "type", "deployment", "name",
		"d", "base", 0, "spec", "model", "m", "pool", "lm",
		"hosts_per_replica", 2, "replicas", "a", 3));
	for (int i = 0; i < HOSTS; i++)
		sim.hosts[i] = (struct real_host){ .alive = true,
			.checks_fence = schedules_random(2) == 0 };
	for (int i = 0; i < DAEMONS; i++) {
		struct sim_daemon *d = &sim.daemons[i];

		memset(d, 0, sizeof *d);
		snprintf(d->name, sizeof d->name, "d%d#1", i);
		d->state = state_create();
		lease_elector_init(&d->elector, sim.now);
		inventory_init(&d->inv);
		inventory_update(&d->inv, list, sim.now);
		view_tables_init(&d->tables);
		claim_index_init(&d->claims);
	}
}

static void
sim_clear(void)
{
	for (int i = 0; i < sim.n_delayed; i++) {
		json_decref(sim.delayed[i].config);
		json_decref(sim.delayed[i].claim);
	}
	for (int i = 0; i < DAEMONS; i++) {
		struct sim_daemon *d = &sim.daemons[i];

		state_free(d->state);
		inventory_destroy(&d->inv);
		if (d->view != NULL)
			view_free(d->view);
		view_tables_destroy(&d->tables);
		claim_index_destroy(&d->claims);
		for (int k = 0; k < IDS; k++)
			g_free(d->token[k]);
	}
	g_ptr_array_unref(sim.config_log);
	g_ptr_array_unref(sim.claim_log);
}

/*
 * No host may be in two groups that both have a valid target, be it at the same
 * daemon or at two.
 */
static void
check_groups(void)
{
	uint64_t used[HOSTS] = { 0 };

	for (int i = 0; i < DAEMONS; i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, sim.daemons[i].tables.targets);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct target *t = value;
			struct group *g =
			    state_group(sim.daemons[i].state, t->name);

			if (g == NULL || !target_valid(t, sim.now))
				continue;
			for (guint k = 0; k < g->hosts->len; k++) {
				char *name = g->hosts->pdata[k];
				uint64_t *u = &used[atoi(name + 1)];

				if (*u != 0 && *u != t->epoch)
					record_violation(
					    "a host was used in two groups");
				*u = t->epoch;
			}
		}
	}
}

/*
 * Daemons that have read equally far in the log have equal states, and no
 * daemon goes back in the log.
 */
static void
check_states(const uint64_t *before)
{
	for (int i = 0; i < DAEMONS; i++) {
		if (sim.daemons[i].state->next < before[i])
			record_violation("a daemon's log offset decreased");
		if (i > 0 &&
		    sim.daemons[i].state->next == sim.daemons[0].state->next &&
		    schedules_random(16) == 0 &&
		    state_digest(sim.daemons[i].state) !=
			state_digest(sim.daemons[0].state))
			record_violation(
			    "states differ at the same log offset");
	}
}

static void
sim_fault(void)
{
	struct sim_daemon *d = &sim.daemons[schedules_random(DAEMONS)];
	struct real_host *h = &sim.hosts[schedules_random(HOSTS)];

	switch (schedules_random(8)) {
	case 0:
		d->paused = !d->paused;
		break;
	case 1:
		d->log_cut = !d->log_cut;
		break;
	case 2:
		d->host_cut[schedules_random(HOSTS)] ^= true;
		break;
	case 3:
		/* A restart: the host loses its group and its fence. */
		h->alive = true;
		h->epoch = 0;
		h->fence = 0;
		break;
	case 4:
		h->alive = schedules_random(2) == 0;
		break;
	default:
		break;
	}
}

static void
sim_step(void)
{
	uint64_t before[DAEMONS];

	for (int i = 0; i < DAEMONS; i++)
		before[i] = sim.daemons[i].state->next;
	sim.now += schedules_random(schedules_random(10) == 0 ? 8000 : 400);
	if (schedules_random(6) == 0)
		sim_fault();
	delayed_deliver();
	hosts_record_ready();
	for (int i = 0; i < DAEMONS; i++)
		daemon_step(&sim.daemons[i]);
	sim.longest_log = MAX(sim.longest_log, sim.config_log->len);
	check_groups();
	check_states(before);
}

static bool
run_seed(uint64_t seed)
{
	sim_init(seed);
	for (int i = 0; i < STEPS && sim.violation == NULL; i++)
		sim_step();
	if (sim.violation != NULL)
		printf("\nseed %" PRIu64 " at %" PRIu64 " ms: %s\n", seed,
		    sim.now, sim.violation);
	sim_clear();
	return (sim.violation == NULL);
}

static uint64_t first_seed = 1, seeds = SEEDS;

static void
test_schedules(void)
{
	unsigned failed = 0;

	for (uint64_t s = first_seed; s < first_seed + seeds; s++)
		failed += run_seed(s) ? 0 : 1;
	printf("\n%" PRIu64 " schedules of %d steps: %" PRIu64
	       " dispatches, %" PRIu64 " claims granted, longest log %" PRIu64
	       ", %u with a violation\n",
	    seeds, STEPS, sim.dispatched, sim.granted, sim.longest_log, failed);
	CU_ASSERT_EQUAL(failed, 0);
	/* Schedules that dispatch and grant little would prove nothing. */
	CU_ASSERT(sim.dispatched > seeds * 10);
	CU_ASSERT(sim.granted > seeds * 2);
}

int
main(int argc, char **argv)
{
	unsigned failures;

	if (argc > 1)
		first_seed = strtoull(argv[1], NULL, 10);
	if (argc > 2)
		seeds = strtoull(argv[2], NULL, 10);
	CU_initialize_registry();
	CU_add_test(CU_add_suite("schedules", NULL, NULL), "random faults",
	    test_schedules);
	CU_basic_set_mode(CU_BRM_VERBOSE);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return (failures == 0 ? 0 : 1);
}
