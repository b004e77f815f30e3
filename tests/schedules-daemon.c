/* Daemons of the schedules: the decision code, on simulated answers. */
#include <inttypes.h>
#include <string.h>

#include "http-batch.h"
#include "orders.h"
#include "plan.h"
#include "publish.h"
#include "schedules.h"

static void
daemon_read(struct sim_daemon *d)
{
	uint64_t before = d->state->next;

	if (d->log_cut)
		return;
	while (
	    d->state->next <= sim.config_log->len && schedules_random(16) != 0)
		state_apply(d->state, d->state->next,
		    sim.config_log->pdata[d->state->next - 1], NULL);
	while (d->claims.next <= sim.claim_log->len)
		claim_index_apply(&d->claims, d->claims.next,
		    sim.claim_log->pdata[d->claims.next - 1]);
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
		struct real_host *h = &sim.hosts[i];
		json_auto_t *answer = NULL;

		if (!h->alive || d->host_cut[i] || schedules_random(8) == 0)
			continue;
		answer = json_pack("{s:s, s:I}", "state",
		    states[h->epoch == 0	  ? 0 :
			    sim.now < h->ready_ms ? 1 :
						    2],
		    "epoch", (json_int_t)h->epoch);
		evidence_parse(&host->evidence, answer, sim.now);
		if (h->epoch != 0)
			host->last_in_group_ms = sim.now;
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

	step = lease_elector_step(&d->elector, &schedules_times, lease, d->name,
	    schedules_random(1000), sim.now);
	if (step == LEASE_WAIT)
		return;
	record = json_pack("{s:s, s:s, s:s, s:I, s:I}", "kind",
	    step == LEASE_TAKE ? "lease" : "renew", "domain", "a", "holder",
	    d->name, "base", (json_int_t)term, "term", (json_int_t)term);
	offset = sim_append(d, sim.config_log, record);
	lease_elector_note_sent(&d->elector, sim.now, offset);
}

/* Sends the orders that are due; some arrive late, some are lost. */
static void
daemon_orders(struct sim_daemon *d)
{
	struct order_limits lim = { "a", sim.now, EVIDENCE_MS, HOSTS };
	struct http_batch *batch = http_batch_create();
	struct http_call *call;

	orders_fill(batch, d->state, &d->inv, &lim);
	TAILQ_FOREACH(call, http_batch_calls(batch), entry) {
		struct host *host = call->arg;
		int i = atoi(host->name + 1);
		bool join = g_str_has_suffix(call->url, "join");
		json_t *epoch = json_object_get(call->body, "epoch");
		uint64_t e = (uint64_t)json_integer_value(epoch);
		uint64_t fate = schedules_random(12);
		struct delayed *l;

		if (d->host_cut[i] || fate == 0)
			continue;
		if (fate == 1 &&
		    (l = delayed_add(schedules_random(20000))) != NULL) {
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
		{ sim.now, EVIDENCE_MS, DEAD_MS, 1000, HOSTS } };
	g_autoptr(GPtrArray) records = NULL;

	daemon_lease(d);
	if (!lease_elector_holds(&d->elector, sim.now))
		return;
	records = plan_changes(&in);
	for (guint i = 0; i < records->len; i++)
		sim_append(d, sim.config_log, records->pdata[i]);
	daemon_orders(d);
}

/* Whether a host was ready at the epoch at most EVIDENCE_MS ago. */
static bool
was_ready(const char *name, uint64_t epoch)
{
	const struct real_host *h = &sim.hosts[atoi(name + 1)];

	return (h->ready_epoch == epoch &&
	    sim.now < h->ready_seen_ms + EVIDENCE_MS);
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

		if (!target_valid(t, sim.now) || group == NULL)
			continue;
		sim.dispatched++;
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
		    schedules_random(1u << 30));
		record = json_pack("{s:[o]}", "ops",
		    claim_op_dump(CLAIM_OP_CLAIM, name, d->token[id], 1, 0,
			NULL));
		d->claim_offset[id] = sim_append(d, sim.claim_log, record);
		return;
	}
	if (d->claim_offset[id] == 0 || d->claim_offset[id] >= d->claims.next) {
		/* The claim's outcome is unknown: may release it and retry. */
		if (schedules_random(4) == 0) {
			record = json_pack("{s:[o]}", "ops",
			    claim_op_dump(CLAIM_OP_RELEASE, name, d->token[id],
				0, 0, NULL));
			sim_append(d, sim.claim_log, record);
			g_clear_pointer(&d->token[id], g_free);
		}
		return;
	}
	if (claim_index_verdict(&d->claims, name, d->token[id], 1, &claim) ==
	    CLAIM_GRANTED) {
		sim.runs[id]++;
		sim.granted++;
	}
	if (sim.runs[id] > 1)
		record_violation("a request id ran twice");
	g_clear_pointer(&d->token[id], g_free);
}

/* Runs one step of a daemon. */
void
daemon_step(struct sim_daemon *d)
{
	if (d->paused)
		return;
	daemon_read(d);
	/* Without a probe it acts on old evidence, as after a pause. */
	if (schedules_random(3) != 0)
		daemon_probe(d);
	daemon_control(d);
	daemon_dispatch(d);
	daemon_claim(d, (int)schedules_random(IDS));
}
