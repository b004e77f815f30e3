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

#include "claim-index.h"
#include "group.h"
#include "http-batch.h"
#include "lease-elector.h"
#include "lease.h"
#include "orders.h"
#include "plan.h"
#include "publish.h"
#include "view.h"

#define DAEMONS 3
#define HOSTS 8
#define IDS 6
#define STEPS 400
#define SEEDS 200
#define EVIDENCE_MS 2500
#define DEAD_MS 5000
#define DELAYED_MAX 64

/* The actual state of a host. */
struct real_host {
	bool alive;
	bool checks_fence;
	uint64_t epoch;
	uint64_t fence;
	uint64_t ready_ms;
	/* When it was last ready at @ready_epoch, to check the evidence. */
	uint64_t ready_epoch;
	uint64_t ready_seen_ms;
};

/* A simulated daemon. */
struct sim_daemon {
	char name[8];
	bool paused;
	bool log_cut;
	bool host_cut[HOSTS];
	struct state *state;
	struct lease_elector elector;
	struct inventory inv;
	struct view_tables tables;
	struct view *view;
	struct claim_index claims;
	char *token[IDS];
	uint64_t claim_offset[IDS];
};

/* An append or an order that takes effect later. */
struct delayed {
	uint64_t at_ms;
	json_t *config;
	json_t *claim;
	int host;
	bool join;
	uint64_t epoch;
};

static struct sim_daemon daemons[DAEMONS];
static struct real_host hosts[HOSTS];
static GPtrArray *config_log, *claim_log;
static struct delayed delayed[DELAYED_MAX];
static int n_delayed;
static unsigned runs[IDS];
static uint64_t now, rng, dispatched, granted, longest_log;
static const char *violation;

static const struct lease_times times = { 2000, 6000, 10000 };

/* A random number below a limit. */
static uint64_t
random_below(uint64_t below)
{
	rng = route_mix(rng);
	return (rng % below);
}

/* Notes the first violation of an invariant. */
static void
record_violation(const char *what)
{
	if (violation == NULL)
		violation = what;
}

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

	rng = seed;
	now = 100000;
	n_delayed = 0;
	violation = NULL;
	memset(runs, 0, sizeof runs);
	config_log =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	claim_log = g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	g_ptr_array_add(config_log,
	    json_pack("{s:s, s:s, s:s, s:s, s:i, s:{s:s, s:s, s:i, s:{s:i}}}",
		"kind", "change", "op", "put", "type", "deployment", "name",
		"d", "base", 0, "spec", "model", "m", "pool", "lm",
		"hosts_per_replica", 2, "replicas", "a", 3));
	for (int i = 0; i < HOSTS; i++)
		hosts[i] = (struct real_host){ .alive = true,
			.checks_fence = random_below(2) == 0 };
	for (int i = 0; i < DAEMONS; i++) {
		struct sim_daemon *d = &daemons[i];

		memset(d, 0, sizeof *d);
		snprintf(d->name, sizeof d->name, "d%d#1", i);
		d->state = state_create();
		lease_elector_init(&d->elector, now);
		inventory_init(&d->inv);
		inventory_update(&d->inv, list, now);
		view_tables_init(&d->tables);
		claim_index_init(&d->claims);
	}
}

static void
sim_clear(void)
{
	for (int i = 0; i < n_delayed; i++) {
		json_decref(delayed[i].config);
		json_decref(delayed[i].claim);
	}
	for (int i = 0; i < DAEMONS; i++) {
		struct sim_daemon *d = &daemons[i];

		state_free(d->state);
		inventory_destroy(&d->inv);
		if (d->view != NULL)
			view_free(d->view);
		view_tables_destroy(&d->tables);
		claim_index_destroy(&d->claims);
		for (int k = 0; k < IDS; k++)
			g_free(d->token[k]);
	}
	g_ptr_array_unref(config_log);
	g_ptr_array_unref(claim_log);
}

static struct delayed *
delayed_add(uint64_t in_ms)
{
	struct delayed *l;

	if (n_delayed == DELAYED_MAX)
		return (NULL);
	l = &delayed[n_delayed++];
	*l = (struct delayed){ .at_ms = now + in_ms, .host = -1 };
	return (l);
}

/*
 * Appends to a log; the answer may be lost, and the append may take effect
 * late. Returns the offset, or 0 without an answer.
 */
static uint64_t
sim_append(struct sim_daemon *d, GPtrArray *log, json_t *record)
{
	uint64_t fate = random_below(20);
	struct delayed *l;

	if (d->log_cut)
		return (0);
	if (fate == 0 && (l = delayed_add(random_below(30000))) != NULL) {
		*(log == config_log ? &l->config : &l->claim) =
		    json_incref(record);
		return (0);
	}
	g_ptr_array_add(log, json_incref(record));
	return (fate == 1 ? 0 : log->len);
}

/* Carries out an order at a host. */
static void
host_order(int i, bool join, uint64_t epoch)
{
	struct real_host *h = &hosts[i];

	if (!h->alive || (h->checks_fence && epoch < h->fence))
		return;
	if (epoch > h->fence)
		h->fence = epoch;
	if (join && h->epoch != epoch) {
		h->epoch = epoch;
		h->ready_ms = now + 500;
	} else if (!join) {
		h->epoch = 0;
	}
}

/* Applies the delayed appends and orders that are due. */
static void
delayed_deliver(void)
{
	for (int i = 0; i < n_delayed;) {
		struct delayed l = delayed[i];

		if (l.at_ms > now) {
			i++;
			continue;
		}
		delayed[i] = delayed[--n_delayed];
		if (l.config != NULL)
			g_ptr_array_add(config_log, l.config);
		if (l.claim != NULL)
			g_ptr_array_add(claim_log, l.claim);
		if (l.host >= 0)
			host_order(l.host, l.join, l.epoch);
	}
}

/* Records for each host that is ready now at which epoch it is. */
static void
hosts_record_ready(void)
{
	for (int i = 0; i < HOSTS; i++) {
		struct real_host *h = &hosts[i];

		if (h->alive && h->epoch != 0 && now >= h->ready_ms) {
			h->ready_epoch = h->epoch;
			h->ready_seen_ms = now;
		}
	}
}

static void
daemon_read(struct sim_daemon *d)
{
	uint64_t before = d->state->next;

	if (d->log_cut)
		return;
	while (d->state->next <= config_log->len && random_below(16) != 0)
		state_apply(d->state, d->state->next,
		    config_log->pdata[d->state->next - 1], NULL);
	while (d->claims.next <= claim_log->len)
		claim_index_apply(&d->claims, d->claims.next,
		    claim_log->pdata[d->claims.next - 1]);
	if (d->state->next == before)
		return;
	if (d->view != NULL)
		view_free(d->view);
	d->view = view_build(&d->tables, d->state, &d->inv, "a", DAEMONS);
}

static void
daemon_probe(struct sim_daemon *d)
{
	static const char *const states[] = { "idle", "loading", "ready" };

	for (int i = 0; i < HOSTS; i++) {
		g_autofree char *name = g_strdup_printf("h%d", i);
		struct host *host = inventory_find(&d->inv, name);
		struct real_host *h = &hosts[i];
		json_auto_t *answer = NULL;

		if (!h->alive || d->host_cut[i] || random_below(8) == 0)
			continue;
		answer = json_pack("{s:s, s:I}", "state",
		    states[h->epoch == 0      ? 0 :
			    now < h->ready_ms ? 1 :
						2],
		    "epoch", (json_int_t)h->epoch);
		evidence_parse(&host->evidence, answer, now);
		if (h->epoch != 0)
			host->last_in_group_ms = now;
	}
	publish_evidence(d->state, &d->inv, &d->tables, EVIDENCE_MS);
}

static void
daemon_lease(struct sim_daemon *d)
{
	struct lease *lease = state_lease(d->state, "a");
	json_auto_t *record = NULL;
	enum lease_step step;
	uint64_t offset, term = lease != NULL ? lease->term : 0;

	step = lease_elector_step(&d->elector, &times, lease, d->name,
	    random_below(1000), now);
	if (step == LEASE_WAIT)
		return;
	record = json_pack("{s:s, s:s, s:s, s:I, s:I}", "kind",
	    step == LEASE_TAKE ? "lease" : "renew", "domain", "a", "holder",
	    d->name, "base", (json_int_t)term, "term", (json_int_t)term);
	offset = sim_append(d, config_log, record);
	lease_elector_note_sent(&d->elector, now, offset);
}

/* Sends the orders that are due; some arrive late, some are lost. */
static void
daemon_orders(struct sim_daemon *d)
{
	struct order_limits lim = { "a", now, EVIDENCE_MS, HOSTS };
	struct http_batch *batch = http_batch_create();
	struct http_call *call;

	orders_fill(batch, d->state, &d->inv, &lim);
	TAILQ_FOREACH(call, http_batch_calls(batch), entry) {
		struct host *host = call->arg;
		int i = atoi(host->name + 1);
		bool join = g_str_has_suffix(call->url, "join");
		json_t *epoch = json_object_get(call->body, "epoch");
		uint64_t e = (uint64_t)json_integer_value(epoch);
		uint64_t fate = random_below(12);
		struct delayed *l;

		if (d->host_cut[i] || fate == 0)
			continue;
		if (fate == 1 &&
		    (l = delayed_add(random_below(20000))) != NULL) {
			l->host = i;
			l->join = join;
			l->epoch = e;
		} else {
			host_order(i, join, e);
		}
	}
	http_batch_free(batch);
}

static void
daemon_control(struct sim_daemon *d)
{
	struct plan_input in = { d->state, &d->inv, "a",
		{ now, EVIDENCE_MS, DEAD_MS, 1000, HOSTS } };
	g_autoptr(GPtrArray) records = NULL;

	daemon_lease(d);
	if (!lease_elector_holds(&d->elector, now))
		return;
	records = plan_changes(&in);
	for (guint i = 0; i < records->len; i++)
		sim_append(d, config_log, records->pdata[i]);
	daemon_orders(d);
}

/* Whether a host was ready at the epoch at most EVIDENCE_MS ago. */
static bool
was_ready(const char *name, uint64_t epoch)
{
	const struct real_host *h = &hosts[atoi(name + 1)];

	return (
	    h->ready_epoch == epoch && now < h->ready_seen_ms + EVIDENCE_MS);
}

/* Checks the hosts of each target to which this daemon may send requests. */
static void
daemon_dispatch(struct sim_daemon *d)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->tables.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct target *t = value;
		struct group *group = state_group(d->state, t->name);

		if (!target_valid(t, now) || group == NULL)
			continue;
		dispatched++;
		for (guint i = 0; i < group->hosts->len; i++) {
			if (!was_ready(group->hosts->pdata[i], t->epoch))
				record_violation(
				    "a target was valid though a "
				    "host of its group was not ready");
		}
	}
}

/* Claims a request id, or runs it once the claim was read back and granted. */
static void
daemon_claim(struct sim_daemon *d, int id)
{
	g_autofree char *name = g_strdup_printf("id%d", id);
	json_auto_t *record = NULL;
	const struct claim *claim;

	if (d->token[id] == NULL) {
		d->token[id] = g_strdup_printf("%s-%" PRIu64, d->name,
		    random_below(1u << 30));
		record = json_pack("{s:[o]}", "ops",
		    claim_op_dump(CLAIM_OP_CLAIM, name, d->token[id], 1, 0,
			NULL));
		d->claim_offset[id] = sim_append(d, claim_log, record);
		return;
	}
	if (d->claim_offset[id] == 0 || d->claim_offset[id] >= d->claims.next) {
		/* The claim's outcome is unknown: may release it and retry. */
		if (random_below(4) == 0) {
			record = json_pack("{s:[o]}", "ops",
			    claim_op_dump(CLAIM_OP_RELEASE, name, d->token[id],
				0, 0, NULL));
			sim_append(d, claim_log, record);
			g_clear_pointer(&d->token[id], g_free);
		}
		return;
	}
	if (claim_index_verdict(&d->claims, name, d->token[id], 1, &claim) ==
	    CLAIM_GRANTED) {
		runs[id]++;
		granted++;
	}
	if (runs[id] > 1)
		record_violation("a request id ran twice");
	g_clear_pointer(&d->token[id], g_free);
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

		g_hash_table_iter_init(&iter, daemons[i].tables.targets);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			struct target *t = value;
			struct group *g =
			    state_group(daemons[i].state, t->name);

			if (g == NULL || !target_valid(t, now))
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
		if (daemons[i].state->next < before[i])
			record_violation("a daemon's log offset decreased");
		if (i > 0 && daemons[i].state->next == daemons[0].state->next &&
		    random_below(16) == 0 &&
		    state_digest(daemons[i].state) !=
			state_digest(daemons[0].state))
			record_violation(
			    "states differ at the same log offset");
	}
}

static void
sim_fault(void)
{
	struct sim_daemon *d = &daemons[random_below(DAEMONS)];
	struct real_host *h = &hosts[random_below(HOSTS)];

	switch (random_below(8)) {
	case 0:
		d->paused = !d->paused;
		break;
	case 1:
		d->log_cut = !d->log_cut;
		break;
	case 2:
		d->host_cut[random_below(HOSTS)] ^= true;
		break;
	case 3:
		/* A restart: the host loses its group and its fence. */
		h->alive = true;
		h->epoch = 0;
		h->fence = 0;
		break;
	case 4:
		h->alive = random_below(2) == 0;
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
		before[i] = daemons[i].state->next;
	now += random_below(random_below(10) == 0 ? 8000 : 400);
	if (random_below(6) == 0)
		sim_fault();
	delayed_deliver();
	hosts_record_ready();
	for (int i = 0; i < DAEMONS; i++) {
		struct sim_daemon *d = &daemons[i];

		if (d->paused)
			continue;
		daemon_read(d);
		/* Without a probe it acts on old evidence, as after a pause. */
		if (random_below(3) != 0)
			daemon_probe(d);
		daemon_control(d);
		daemon_dispatch(d);
		daemon_claim(d, (int)random_below(IDS));
	}
	longest_log = MAX(longest_log, config_log->len);
	check_groups();
	check_states(before);
}

static bool
run_seed(uint64_t seed)
{
	sim_init(seed);
	for (int i = 0; i < STEPS && violation == NULL; i++)
		sim_step();
	if (violation != NULL)
		printf("\nseed %" PRIu64 " at %" PRIu64 " ms: %s\n", seed, now,
		    violation);
	sim_clear();
	return (violation == NULL);
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
	    seeds, STEPS, dispatched, granted, longest_log, failed);
	CU_ASSERT_EQUAL(failed, 0);
	/* Schedules that dispatch and grant little would prove nothing. */
	CU_ASSERT(dispatched > seeds * 10);
	CU_ASSERT(granted > seeds * 2);
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
