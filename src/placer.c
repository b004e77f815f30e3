/* The placer: one daemon at a time keeps the replicas of all services. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "placer.h"

/* How often the placer looks while groups change, and otherwise. */
#define LOOK_BUSY_MS 150
#define LOOK_CALM_MS 300
/* After a change, so that a burst of them is looked at once; and at least so
 * many times what a look takes, so that looking leaves room for the rest. */
#define LOOK_SOON_MS 10
#define LOOK_SOON_TIMES 4
/* A look that takes longer is said: nothing else runs meanwhile. */
#define LOOK_SLOW_US 50000
/* How long a suspicion keeps its replica under question. */
#define SUSPECT_MS 3000
/* How long the head of a replica that is dissolved gets nothing new. */
#define AVOID_DOOMED_MS 2500
/* A look this late means that this process stood still. */
#define PAUSE_MS 1000

/* Whether a suspicion still counts. */
static bool
suspect_at(uint64_t suspect_ms, uint64_t now_ms)
{
	return (suspect_ms != 0 && now_ms - suspect_ms < SUSPECT_MS);
}

/*
 * Asks members directly while a replica is suspect, or a member has no entry
 * or left an order unanswered.
 */
static void
replica_ask(struct placer *k, struct replica *r, uint64_t now_ms)
{
	bool suspect = suspect_at(r->suspect_ms, now_ms);

	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];
		bool unlisted = m->liveness == MEMBER_LAPSED ||
		    m->liveness == MEMBER_SILENT;

		if (m->liveness != MEMBER_DEAD &&
		    (suspect || unlisted || suspect_at(m->suspect_ms, now_ms)))
			placer_ask_member(k, r, i);
	}
}

/* Says why the hosts of a group are free, and what that rests on. */
static void
replica_log_end(const struct replica *r, enum replica_proof proof,
    uint64_t now_ms)
{
	const struct replica_member *head = &r->members[0];

	event_log(LOG_NOTICE, "group_dissolved",
	    "group=%s epoch=%lld model=%s reason=%s ms=%llu proof=%s head=%s "
	    "head_state=%s told_ms_ago=%llu",
	    r->name, (long long)r->epoch, r->model, r->dissolve_reason,
	    (unsigned long long)(now_ms - r->dissolving_ms),
	    replica_proof_name(proof), head->id, group_state_name(head->state),
	    (unsigned long long)(now_ms - MIN(head->last_report_ms, now_ms)));
	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];

		if (m->unanswered_ms != 0)
			event_log(LOG_NOTICE, "order_in_doubt",
			    "group=%s member=%s rank=%u order=%s ms_ago=%llu",
			    r->name, m->id, i,
			    order_kind_name(m->unanswered_order),
			    (unsigned long long)(now_ms - m->unanswered_ms));
	}
}

/* The head of a group that ends is out of it, unless it can't be reached. */
static void
replica_note_out(struct placer *k, const struct replica *r,
    enum replica_proof proof)
{
	struct endpoint *head =
	    fleet_find(&k->registry->fleet, r->members[0].id);

	if (head != NULL && proof != PROOF_MEMBERS_LEFT &&
	    proof != PROOF_STALLED)
		head->excluded_epoch = MAX(head->excluded_epoch, r->epoch);
}

/* Ends a replica: its hosts are free from now on. */
static void
replica_end(struct placer *k, struct replica *r, uint64_t now_ms)
{
	for (unsigned i = 0; i < r->n; i++) {
		struct endpoint *ep =
		    fleet_find(&k->registry->fleet, r->members[i].id);

		/* A dead host is no spare until its entry says otherwise. */
		if (ep != NULL && r->members[i].liveness >= MEMBER_SILENT)
			ep->unfit_until_ms = now_ms + SUSPECT_MS;
	}
	g_hash_table_replace(k->dissolved, g_strdup(r->name),
	    g_memdup2(&now_ms, sizeof now_ms));
	placer_record_replica(k, r, true);
	TAILQ_REMOVE(&k->replicas, r, entry);
	replica_free(r);
}

/**
 * placer_announce_dissolve() - a replica is about to be dissolved.
 * @k: the placer
 * @r: the replica
 * @now_ms: loop time
 *
 * Has all daemons avoid its head.
 */
void
placer_announce_dissolve(struct placer *k, struct replica *r, uint64_t now_ms)
{
	struct endpoint *head =
	    fleet_find(&k->registry->fleet, r->members[0].id);

	event_log(LOG_NOTICE, "group_doomed",
	    "group=%s epoch=%lld model=%s reason=%s", r->name,
	    (long long)r->epoch, r->model, r->dissolve_reason);
	if (head == NULL)
		return;
	head->warned_ms = now_ms;
	head->cooldown_until_ms =
	    MAX(head->cooldown_until_ms, now_ms + AVOID_DOOMED_MS);
	mesh_send_now(k->mesh);
}

/* Looks at one replica and takes its next steps. */
static void
replica_look(struct placer *k, struct replica *r, uint64_t now_ms)
{
	bool was_open = r->opened, was_doomed = r->dissolve_reason != NULL;
	struct replica_step step;

	for (unsigned i = 0; i < r->n; i++)
		replica_member_refresh(r, &r->members[i],
		    fleet_find(&k->registry->fleet, r->members[i].id), now_ms);
	replica_ask(k, r, now_ms);
	for (unsigned turn = 0; turn < r->n; turn++) {
		replica_next_step(r, now_ms, k->stall_ms, &step);
		if (step.action == REPLICA_DISSOLVED) {
			replica_log_end(r, step.proof, now_ms);
			replica_note_out(k, r, step.proof);
			replica_end(k, r, now_ms);
			return;
		}
		if (step.action != REPLICA_ORDER || !placer_call_allowed(k))
			break;
		placer_order_member(k, r, step.member, step.order);
	}
	if (!was_open && r->opened)
		event_log(LOG_NOTICE, "group_serves",
		    "group=%s epoch=%lld model=%s ms=%llu", r->name,
		    (long long)r->epoch, r->model,
		    (unsigned long long)(now_ms - r->known_ms));
	if (!was_doomed && r->dissolve_reason != NULL)
		placer_announce_dissolve(k, r, now_ms);
	if (replica_can_settle(r, now_ms)) {
		r->settled = true;
		placer_record_replica(k, r, false);
	}
}

/* Whether any replica is changing, or should be. */
static bool
placer_changing(const struct placer *k)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (!r->opened || r->dissolve_reason != NULL ||
		    r->suspect_ms != 0)
			return (true);
	}
	return (k->pending->len > 0 || k->unfinished);
}

/* Looks at all replicas and at what could be formed. */
static void
placer_holder_pass(struct placer *k, uint64_t now_ms)
{
	uint64_t began = clock_now_us();
	struct replica *r, *next;

	for (r = TAILQ_FIRST(&k->replicas); r != NULL; r = next) {
		next = TAILQ_NEXT(r, entry);
		replica_look(k, r, now_ms);
	}
	placer_adopt_groups(k, now_ms);
	placer_form_replicas(k, now_ms);
	placer_flush_records(k);
	k->pass_us = clock_now_us() - began;
	if (k->pass_us >= LOOK_SLOW_US)
		event_log(LOG_NOTICE, "look_slow", "us=%llu calls=%u hosts=%u",
		    (unsigned long long)k->pass_us, k->n_calls, k->n_hosts);
}

/**
 * placer_run_pass() - look at everything once.
 * @k: the placer
 */
void
placer_run_pass(struct placer *k)
{
	uint64_t now = clock_loop_ms(k->loop);

	if (k->state == PLACER_HOLDING && now - k->last_pass_ms > PAUSE_MS)
		k->verified_ms = 0;
	k->last_pass_ms = now;
	k->mesh->self.store_ok = k->registry->endpoints.synced &&
	    k->registry->endpoints.failures == 0;
	if (mesh_lease_superseded(k->mesh))
		placer_step_down(k, "taken_over");
	placer_lease_poll(k, now);
	if (k->state != PLACER_HOLDING || k->registry->catalog == NULL)
		return;
	if (placer_changing(k) && !placer_lease_verified(k, now))
		return;
	placer_holder_pass(k, now);
}

static void
on_timer(uv_timer_t *timer)
{
	struct placer *k = timer->data;
	bool busy;

	placer_run_pass(k);
	busy = k->state == PLACER_HOLDING && placer_changing(k);
	if (busy)
		topic_follower_poll(&k->registry->endpoints);
	uv_timer_start(timer, on_timer, busy ? LOOK_BUSY_MS : LOOK_CALM_MS, 0);
}

static void
on_soon(uv_timer_t *timer)
{
	placer_run_pass(timer->data);
}

/**
 * placer_schedule_pass() - look before the time, something changed.
 * @k: the placer
 */
void
placer_schedule_pass(struct placer *k)
{
	if (k->state != PLACER_HOLDING || !placer_changing(k) ||
	    uv_is_active((uv_handle_t *)&k->wakeup))
		return;
	uv_timer_start(&k->wakeup, on_soon,
	    MAX(LOOK_SOON_MS, k->pass_us * LOOK_SOON_TIMES / 1000), 0);
}

/**
 * placer_suspect() - an endpoint's streams fell silent.
 * @k: the placer
 * @ep: the endpoint
 */
void
placer_suspect(struct placer *k, const struct endpoint *ep)
{
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (strcmp(r->members[0].id, ep->report.id) == 0)
			r->suspect_ms = clock_loop_ms(k->loop);
	}
}

/**
 * placer_start() - begin to look.
 * @k: the placer; store, dir, mesh, orders and name are filled in
 * @loop: the event loop
 */
void
placer_start(struct placer *k, uv_loop_t *loop)
{
	k->loop = loop;
	k->pending = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(k->pending, store_record_clear);
	k->load_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	k->copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    placer_copy_free);
	k->warming =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	k->usage = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    service_usage_free);
	k->dissolved =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	k->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	TAILQ_INIT(&k->replicas);
	uv_timer_init(loop, &k->timer);
	k->timer.data = k;
	uv_timer_init(loop, &k->wakeup);
	k->wakeup.data = k;
	uv_timer_start(&k->timer, on_timer, LOOK_BUSY_MS, 0);
}

/**
 * placer_stop() - stop placing, for another daemon to take over.
 * @k: the placer
 */
void
placer_stop(struct placer *k)
{
	if (k->state == PLACER_HOLDING)
		placer_step_down(k, "leaving");
	k->state = PLACER_IDLE;
	uv_timer_stop(&k->timer);
	uv_timer_stop(&k->wakeup);
}
