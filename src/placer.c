/*
 * The placer: forms and dissolves the replicas of all services. One daemon at
 * a time is the placer, by a lease in the store. In regular passes it compares
 * the replicas with what hosts report and takes the steps that are due.
 */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "placer.h"

/* Time between two passes while replicas change, and otherwise. */
#define PASS_BUSY_MS 150
#define PASS_IDLE_MS 300
/*
 * Delay of an early pass after a change, so that a burst of changes takes one
 * pass. It is at least this many times as long as the last pass, so that passes
 * leave time for the other work of the event loop.
 */
#define WAKEUP_DELAY_MS 10
#define WAKEUP_PASS_FACTOR 4
/* Delay of orders that waited for others to end, so that several are sent at a
 * time. */
#define ORDER_DELAY_MS 3
/* A longer pass is logged: nothing else runs on the event loop meanwhile. */
#define PASS_SLOW_US 50000
/*
 * How long a replica or member stays suspect, and how long a host that was
 * silent or dead is not used after its replica was dissolved.
 */
#define SUSPECT_MS 3000
/* How long the head of a replica that is being dissolved gets no requests. */
#define AVOID_HEAD_MS 2500
/* A longer time between two passes means that this process was suspended. */
#define SUSPEND_MS 1000

/* Whether a suspicion is still in force. */
static bool
suspicion_active(uint64_t suspect_ms, uint64_t now_ms)
{
	return (suspect_ms != 0 && now_ms - suspect_ms < SUSPECT_MS);
}

/*
 * Queries all members while the replica is suspect, and otherwise those that
 * have no entry, did not answer a query or an order, as long as their answers
 * matter.
 */
static void
replica_query_members(struct placer *p, struct replica *r, uint64_t now_ms)
{
	bool suspect = suspicion_active(r->suspect_ms, now_ms);

	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];
		bool lapsed = m->liveness == MEMBER_LAPSED ||
		    m->liveness == MEMBER_RETURNING || m->silent_since_ms != 0;

		if (m->liveness != MEMBER_DEAD &&
		    replica_member_queried(r, i) &&
		    (suspect || lapsed ||
			suspicion_active(m->suspect_ms, now_ms)))
			placer_query_member(p, r, i);
	}
}

/* Logs that a group is dissolved, and why its hosts are free. */
static void
replica_log_dissolved(const struct replica *r, enum replica_proof proof,
    uint64_t now_ms)
{
	const struct replica_member *head = &r->members[0];

	event_log(LOG_NOTICE, "group_dissolved",
	    "group=%s epoch=%lld model=%s reason=%s ms=%llu proof=%s head=%s "
	    "head_state=%s reported_ms_ago=%llu",
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

/*
 * Excludes the head of a dissolved group from groups up to its epoch, unless
 * the proof also holds for a head that cannot be reached.
 */
static void
replica_exclude_head(struct placer *p, const struct replica *r,
    enum replica_proof proof)
{
	struct endpoint *head =
	    fleet_find(&p->registry->fleet, r->members[0].id);

	if (head != NULL && proof != PROOF_MEMBERS_LEFT &&
	    proof != PROOF_STALLED)
		head->excluded_epoch = MAX(head->excluded_epoch, r->epoch);
}

/* Removes a dissolved replica and its record: its hosts are free. */
static void
replica_remove(struct placer *p, struct replica *r, uint64_t now_ms)
{
	for (unsigned i = 0; i < r->n; i++) {
		struct endpoint *ep =
		    fleet_find(&p->registry->fleet, r->members[i].id);

		/* It did not answer or is dead; its entry may be current. */
		if (ep != NULL && r->members[i].liveness >= MEMBER_SILENT)
			ep->unfit_until_ms = now_ms + SUSPECT_MS;
	}
	g_hash_table_replace(p->dissolved, g_strdup(r->name),
	    g_memdup2(&now_ms, sizeof now_ms));
	placer_record_replica(p, r, true);
	TAILQ_REMOVE(&p->replicas, r, entry);
	replica_free(r);
}

/**
 * placer_announce_dissolve() - log that a replica is being dissolved, and have
 * all daemons avoid its head.
 * @p: the placer
 * @r: the replica
 * @now_ms: loop time, in ms
 */
void
placer_announce_dissolve(struct placer *p, struct replica *r, uint64_t now_ms)
{
	struct endpoint *head =
	    fleet_find(&p->registry->fleet, r->members[0].id);

	event_log(LOG_NOTICE, "group_doomed",
	    "group=%s epoch=%lld model=%s reason=%s", r->name,
	    (long long)r->epoch, r->model, r->dissolve_reason);
	if (head == NULL)
		return;
	endpoint_warn_of_head(head, now_ms, AVOID_HEAD_MS);
	mesh_send_now(p->mesh);
}

/* Updates one replica from what its members report and takes its next steps. */
static void
replica_update(struct placer *p, struct replica *r, uint64_t now_ms)
{
	bool was_open = r->opened, was_dissolving = r->dissolve_reason != NULL;
	struct replica_step step;

	for (unsigned i = 0; i < r->n; i++)
		replica_member_refresh(r, &r->members[i],
		    fleet_find(&p->registry->fleet, r->members[i].id),
		    &p->reach, now_ms);
	replica_query_members(p, r, now_ms);
	for (unsigned orders = 0; orders < r->n; orders++) {
		replica_next_step(r, now_ms, p->stall_ms, &step);
		left_heads_note(&p->left_heads, r, &p->registry->fleet, now_ms,
		    p->stall_ms);
		if (step.action == REPLICA_DISSOLVED) {
			replica_log_dissolved(r, step.proof, now_ms);
			replica_exclude_head(p, r, step.proof);
			replica_remove(p, r, now_ms);
			return;
		}
		if (step.action != REPLICA_ORDER)
			break;
		if (step.order == ORDER_JOIN &&
		    !placer_join_allowed(p, r, &r->members[step.member],
			now_ms))
			break;
		if (!placer_call_allowed(p)) {
			p->orders_waiting = true;
			break;
		}
		placer_order_member(p, r, step.member, step.order);
	}
	if (!was_open && r->opened)
		event_log(LOG_NOTICE, "group_serves",
		    "group=%s epoch=%lld model=%s ms=%llu", r->name,
		    (long long)r->epoch, r->model,
		    (unsigned long long)(now_ms - r->known_ms));
	if (!was_dissolving && r->dissolve_reason != NULL)
		placer_announce_dissolve(p, r, now_ms);
	if (replica_settle(r, now_ms))
		placer_record_replica(p, r, false);
}

/* Whether a replica is changing or suspect, or records or steps are left. */
static bool
placer_changing(const struct placer *p)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		if (!r->opened || r->dissolve_reason != NULL ||
		    r->suspect_ms != 0)
			return (true);
	}
	return (p->pending->len > 0 || p->unfinished);
}

/* Updates the replicas that are changing, as far as orders may be sent. */
static void
placer_send_waiting(struct placer *p, uint64_t now_ms)
{
	struct replica *r, *next;

	p->orders_waiting = false;
	for (r = TAILQ_FIRST(&p->replicas); r != NULL && !p->orders_waiting;
	     r = next) {
		next = TAILQ_NEXT(r, entry);
		if (!r->opened || r->dissolve_reason != NULL)
			replica_update(p, r, now_ms);
	}
}

/* Runs one pass over all replicas and services while the lease is held. */
static void
placer_holder_pass(struct placer *p, uint64_t now_ms)
{
	uint64_t began_us = clock_now_us();
	struct replica *r, *next;

	p->orders_waiting = false;
	for (r = TAILQ_FIRST(&p->replicas); r != NULL; r = next) {
		next = TAILQ_NEXT(r, entry);
		replica_update(p, r, now_ms);
	}
	placer_check_reach(p, now_ms);
	left_heads_update(&p->left_heads, &p->registry->fleet, now_ms);
	placer_update_records_kept(p, now_ms);
	placer_adopt_groups(p, now_ms);
	placer_form_replicas(p, now_ms);
	placer_flush_records(p);
	p->pass_us = clock_now_us() - began_us;
	if (p->pass_us >= PASS_SLOW_US)
		event_log(LOG_NOTICE, "look_slow", "us=%llu calls=%u hosts=%u",
		    (unsigned long long)p->pass_us, p->n_calls, p->n_hosts);
}

/**
 * placer_run_pass() - run one pass.
 * @p: the placer
 *
 * Takes the lease if it is this daemon's turn, and updates all replicas while
 * this daemon holds it.
 */
void
placer_run_pass(struct placer *p)
{
	uint64_t now = clock_loop_ms(p->loop);

	if (p->state == PLACER_HOLDING && now - p->last_pass_ms > SUSPEND_MS)
		p->verified_ms = 0;
	p->last_pass_ms = now;
	p->mesh->self.store_ok = p->registry->endpoints.synced &&
	    p->registry->endpoints.failures == 0;
	if (mesh_lease_superseded(p->mesh))
		placer_step_down(p, "taken_over");
	placer_lease_poll(p, now);
	if (p->state != PLACER_HOLDING || p->registry->catalog == NULL)
		return;
	if (placer_changing(p) && !placer_lease_verified(p, now))
		return;
	placer_holder_pass(p, now);
}

static void
on_timer(uv_timer_t *timer)
{
	struct placer *p = timer->data;
	bool busy;

	placer_run_pass(p);
	busy = p->state == PLACER_HOLDING && placer_changing(p);
	if (busy)
		topic_follower_poll(&p->registry->endpoints);
	uv_timer_start(timer, on_timer, busy ? PASS_BUSY_MS : PASS_IDLE_MS, 0);
}

static void
on_wakeup(uv_timer_t *timer)
{
	placer_run_pass(timer->data);
}

/**
 * placer_schedule_pass() - schedule an early pass after a change.
 * @p: the placer
 */
void
placer_schedule_pass(struct placer *p)
{
	if (p->state != PLACER_HOLDING || !placer_changing(p) ||
	    uv_is_active((uv_handle_t *)&p->wakeup))
		return;
	uv_timer_start(&p->wakeup, on_wakeup,
	    MAX(WAKEUP_DELAY_MS, p->pass_us * WAKEUP_PASS_FACTOR / 1000), 0);
}

static void
on_order_timer(uv_timer_t *timer)
{
	struct placer *p = timer->data;
	uint64_t now = clock_loop_ms(p->loop);

	if (p->state == PLACER_HOLDING && placer_lease_verified(p, now))
		placer_send_waiting(p, now);
}

/**
 * placer_schedule_orders() - schedule the orders that wait for others to end.
 * @p: the placer
 *
 * With thousands of hosts a pass takes long, and one pass for every few orders
 * would keep hosts waiting for seconds.
 */
void
placer_schedule_orders(struct placer *p)
{
	if (p->orders_waiting && !uv_is_active((uv_handle_t *)&p->order_timer))
		uv_timer_start(&p->order_timer, on_order_timer, ORDER_DELAY_MS,
		    0);
}

/**
 * placer_suspect() - mark the replica suspect whose head is an endpoint, since
 * the endpoint's streams have fallen silent.
 * @p: the placer
 * @ep: the endpoint
 */
void
placer_suspect(struct placer *p, const struct endpoint *ep)
{
	struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		if (strcmp(r->members[0].id, ep->report.id) == 0)
			r->suspect_ms = clock_loop_ms(p->loop);
	}
}

/**
 * placer_start() - initialize the placer and start its passes.
 * @p: the placer; @store, @registry, @mesh, @orders, @name and @stall_ms are
 * set
 * @loop: the event loop
 */
void
placer_start(struct placer *p, uv_loop_t *loop)
{
	p->loop = loop;
	p->pending = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(p->pending, store_record_clear);
	p->load_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	p->copies = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    placer_copy_free);
	p->warming =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->usage = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    service_usage_free);
	p->dissolved =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->pools =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	TAILQ_INIT(&p->replicas);
	left_heads_init(&p->left_heads);
	uv_timer_init(loop, &p->timer);
	p->timer.data = p;
	uv_timer_init(loop, &p->wakeup);
	p->wakeup.data = p;
	uv_timer_init(loop, &p->order_timer);
	p->order_timer.data = p;
	uv_timer_start(&p->timer, on_timer, PASS_BUSY_MS, 0);
}

/**
 * placer_stop() - stop the passes, so that another daemon can take over.
 * @p: the placer
 */
void
placer_stop(struct placer *p)
{
	if (p->state == PLACER_HOLDING)
		placer_step_down(p, "leaving");
	p->state = PLACER_IDLE;
	left_heads_clear(&p->left_heads);
	uv_timer_stop(&p->timer);
	uv_timer_stop(&p->wakeup);
	uv_timer_stop(&p->order_timer);
}
