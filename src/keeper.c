/* The placer: one daemon at a time keeps the replicas of all services. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "keeper.h"

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
replica_ask(struct keeper *k, struct replica *r, uint64_t now_ms)
{
	bool suspect = suspect_at(r->suspect_ms, now_ms);

	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];
		bool unlisted =
		    m->life == MEMBER_LAPSED || m->life == MEMBER_SILENT;

		if (m->life != MEMBER_DEAD &&
		    (suspect || unlisted || suspect_at(m->suspect_ms, now_ms)))
			keeper_ask(k, r, i);
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
	    r->name, (long long)r->epoch, r->model, r->doomed,
	    (unsigned long long)(now_ms - r->doomed_ms),
	    replica_proof_name(proof), head->id, group_state_name(head->state),
	    (unsigned long long)(now_ms - MIN(head->told_ms, now_ms)));
	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];

		if (m->doubt_ms != 0)
			event_log(LOG_NOTICE, "order_in_doubt",
			    "group=%s member=%s rank=%u order=%s ms_ago=%llu",
			    r->name, m->id, i, order_kind_name(m->doubt),
			    (unsigned long long)(now_ms - m->doubt_ms));
	}
}

/* The head of a group that ends is out of it, unless it can't be reached. */
static void
replica_note_out(struct keeper *k, const struct replica *r,
    enum replica_proof proof)
{
	struct endpoint *head =
	    fleet_find(&k->registry->fleet, r->members[0].id);

	if (head != NULL && proof != PROOF_MEMBERS && proof != PROOF_STALLED)
		head->excluded_epoch = MAX(head->excluded_epoch, r->epoch);
}

/* Ends a replica: its hosts are free from now on. */
static void
replica_end(struct keeper *k, struct replica *r, uint64_t now_ms)
{
	for (unsigned i = 0; i < r->n; i++) {
		struct endpoint *ep =
		    fleet_find(&k->registry->fleet, r->members[i].id);

		/* A dead host is no spare until its entry says otherwise. */
		if (ep != NULL && r->members[i].life >= MEMBER_SILENT)
			ep->unfit_until_ms = now_ms + SUSPECT_MS;
	}
	g_hash_table_replace(k->ended, g_strdup(r->name),
	    g_memdup2(&now_ms, sizeof now_ms));
	keeper_record_replica(k, r, true);
	TAILQ_REMOVE(&k->replicas, r, entry);
	replica_free(r);
}

/**
 * keeper_doomed() - a replica is about to be dissolved.
 * @k: the keeper
 * @r: the replica
 * @now_ms: loop time
 *
 * Has all daemons avoid its head.
 */
void
keeper_doomed(struct keeper *k, struct replica *r, uint64_t now_ms)
{
	struct endpoint *head =
	    fleet_find(&k->registry->fleet, r->members[0].id);

	event_log(LOG_NOTICE, "group_doomed",
	    "group=%s epoch=%lld model=%s reason=%s", r->name,
	    (long long)r->epoch, r->model, r->doomed);
	if (head == NULL)
		return;
	head->warned_ms = now_ms;
	head->cooldown_until_ms =
	    MAX(head->cooldown_until_ms, now_ms + AVOID_DOOMED_MS);
	mesh_tell_now(k->mesh);
}

/* Looks at one replica and takes its next steps. */
static void
replica_look(struct keeper *k, struct replica *r, uint64_t now_ms)
{
	bool was_open = r->opened, was_doomed = r->doomed != NULL;
	struct replica_step step;

	for (unsigned i = 0; i < r->n; i++)
		replica_member_look(r, &r->members[i],
		    fleet_find(&k->registry->fleet, r->members[i].id), now_ms);
	replica_ask(k, r, now_ms);
	for (unsigned turn = 0; turn < r->n; turn++) {
		replica_next(r, now_ms, k->stall_ms, &step);
		if (step.act == REPLICA_GONE) {
			replica_log_end(r, step.proof, now_ms);
			replica_note_out(k, r, step.proof);
			replica_end(k, r, now_ms);
			return;
		}
		if (step.act != REPLICA_ORDER || !keeper_calls_free(k))
			break;
		keeper_order(k, r, step.member, step.order);
	}
	if (!was_open && r->opened)
		event_log(LOG_NOTICE, "group_serves",
		    "group=%s epoch=%lld model=%s ms=%llu", r->name,
		    (long long)r->epoch, r->model,
		    (unsigned long long)(now_ms - r->made_ms));
	if (!was_doomed && r->doomed != NULL)
		keeper_doomed(k, r, now_ms);
	if (replica_settles(r, now_ms)) {
		r->settled = true;
		keeper_record_replica(k, r, false);
	}
}

/* Whether any replica is changing, or should be. */
static bool
keeper_busy(const struct keeper *k)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (!r->opened || r->doomed != NULL || r->suspect_ms != 0)
			return (true);
	}
	return (k->records->len > 0 || k->more);
}

/* Looks at all replicas and at what could be formed. */
static void
keeper_look_holding(struct keeper *k, uint64_t now_ms)
{
	uint64_t began = clock_now_us();
	struct replica *r, *next;

	for (r = TAILQ_FIRST(&k->replicas); r != NULL; r = next) {
		next = TAILQ_NEXT(r, entry);
		replica_look(k, r, now_ms);
	}
	keeper_adopt(k, now_ms);
	keeper_place(k, now_ms);
	keeper_write(k);
	k->look_us = clock_now_us() - began;
	if (k->look_us >= LOOK_SLOW_US)
		event_log(LOG_NOTICE, "look_slow", "us=%llu calls=%u hosts=%u",
		    (unsigned long long)k->look_us, k->calls, k->hosts);
}

/**
 * keeper_look() - look at everything once.
 * @k: the keeper
 */
void
keeper_look(struct keeper *k)
{
	uint64_t now = clock_loop_ms(k->loop);

	if (k->state == KEEPER_HOLDING && now - k->last_ms > PAUSE_MS)
		k->verified_ms = 0;
	k->last_ms = now;
	k->mesh->self.store_ok = k->registry->endpoints.synced &&
	    k->registry->endpoints.failures == 0;
	if (mesh_lease_outdone(k->mesh))
		keeper_lose(k, "taken_over");
	keeper_lease_look(k, now);
	if (k->state != KEEPER_HOLDING || k->registry->catalog == NULL)
		return;
	if (keeper_busy(k) && !keeper_verified(k, now))
		return;
	keeper_look_holding(k, now);
}

static void
on_timer(uv_timer_t *timer)
{
	struct keeper *k = timer->data;
	bool busy;

	keeper_look(k);
	busy = k->state == KEEPER_HOLDING && keeper_busy(k);
	if (busy)
		topic_follower_poll(&k->registry->endpoints);
	uv_timer_start(timer, on_timer, busy ? LOOK_BUSY_MS : LOOK_CALM_MS, 0);
}

static void
on_soon(uv_timer_t *timer)
{
	keeper_look(timer->data);
}

/**
 * keeper_look_soon() - look before the time, something changed.
 * @k: the keeper
 */
void
keeper_look_soon(struct keeper *k)
{
	if (k->state != KEEPER_HOLDING || !keeper_busy(k) ||
	    uv_is_active((uv_handle_t *)&k->soon))
		return;
	uv_timer_start(&k->soon, on_soon,
	    MAX(LOOK_SOON_MS, k->look_us * LOOK_SOON_TIMES / 1000), 0);
}

/**
 * keeper_suspect() - an endpoint's streams fell silent.
 * @k: the keeper
 * @ep: the endpoint
 */
void
keeper_suspect(struct keeper *k, const struct endpoint *ep)
{
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (strcmp(r->members[0].id, ep->report.id) == 0)
			r->suspect_ms = clock_loop_ms(k->loop);
	}
}

/**
 * keeper_open() - begin to look.
 * @k: the keeper; store, dir, mesh, orders and name are filled in
 * @loop: the event loop
 */
void
keeper_open(struct keeper *k, uv_loop_t *loop)
{
	k->loop = loop;
	k->records = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(k->records, store_record_clear);
	k->loads = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	k->staging = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    keeper_stage_free);
	k->warming =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	k->usage = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    service_usage_free);
	k->ended =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	k->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	TAILQ_INIT(&k->replicas);
	uv_timer_init(loop, &k->timer);
	k->timer.data = k;
	uv_timer_init(loop, &k->soon);
	k->soon.data = k;
	uv_timer_start(&k->timer, on_timer, LOOK_BUSY_MS, 0);
}

/**
 * keeper_stop() - stop placing, for another daemon to take over.
 * @k: the keeper
 */
void
keeper_stop(struct keeper *k)
{
	if (k->state == KEEPER_HOLDING)
		keeper_lose(k, "leaving");
	k->state = KEEPER_IDLE;
	uv_timer_stop(&k->timer);
	uv_timer_stop(&k->soon);
}
