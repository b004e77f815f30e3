/* The placer: one daemon at a time keeps the replicas of all services. */
#include <string.h>

#include "event-log.h"
#include "keeper.h"

/* How often the placer looks while groups change, and otherwise. */
#define LOOK_BUSY_MS 150
#define LOOK_CALM_MS 300
/* After a change, so that a burst of them is looked at once. */
#define LOOK_SOON_MS 10
/* An order that has no answer after this is given again. */
#define ORDER_TIMEOUT_MS 800
/* A host that does not answer a question in this time is silent. */
#define ASK_TIMEOUT_MS 250
/* Between two questions to one host. */
#define ASK_AGAIN_MS 300
/* How long a suspicion keeps its replica under question. */
#define SUSPECT_MS 3000
/* How long the head of a replica that is dissolved gets nothing new. */
#define AVOID_DOOMED_MS 2500
/* A look this late means that this process stood still. */
#define PAUSE_MS 1000

/* An order or question on its way to a member. */
struct keeper_call {
	struct keeper *keeper;
	int64_t term;
	char *group;
	char *id;
	enum order_kind order;
	uint64_t sent_ms;
};

static struct replica *
replica_find(struct keeper *k, const char *name)
{
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (strcmp(r->name, name) == 0)
			return (r);
	}
	return (NULL);
}

/* The member that a call went to, if it is still the placer's. */
static struct replica_member *
call_member(const struct keeper_call *call, struct replica **replica)
{
	struct keeper *k = call->keeper;
	struct replica *r = NULL;

	if (k->state == KEEPER_HOLDING && k->term == call->term)
		r = replica_find(k, call->group);
	*replica = r;
	for (unsigned i = 0; r != NULL && i < r->n; i++) {
		if (strcmp(r->members[i].id, call->id) == 0)
			return (&r->members[i]);
	}
	return (NULL);
}

static void
call_free(struct keeper_call *call)
{
	g_free(call->group);
	g_free(call->id);
	g_free(call);
}

static struct keeper_call *
call_new(struct keeper *k, const struct replica *r, unsigned member)
{
	struct keeper_call *call = g_new0(struct keeper_call, 1);

	call->keeper = k;
	call->term = k->term;
	call->group = g_strdup(r->name);
	call->id = g_strdup(r->members[member].id);
	call->sent_ms = uv_now(k->loop);
	return (call);
}

/* What an answered order tells of the member. */
static void
member_learn(struct replica *r, struct replica_member *m, enum order_kind order,
    enum order_result result)
{
	bool done = result == ORDER_TAKEN || result == ORDER_UNFIT;

	if (done && order == ORDER_LEAVE)
		m->left = true;
	if (done && m == &r->members[0] &&
	    (order == ORDER_CLOSE || order == ORDER_CANCEL))
		r->head_closed = true;
}

static void
on_ordered(void *arg, enum order_result result)
{
	struct keeper_call *call = arg;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);

	event_log(result == ORDER_TAKEN ? LOG_INFO : LOG_NOTICE, "order_ended",
	    "group=%s member=%s order=%s result=%s ms=%llu term=%lld",
	    call->group, call->id, order_kind_name(call->order),
	    order_result_name(result),
	    (unsigned long long)(uv_now(call->keeper->loop) - call->sent_ms),
	    (long long)call->term);
	if (m != NULL) {
		m->busy = false;
		if (result == ORDER_UNKNOWN)
			m->suspect_ms = uv_now(call->keeper->loop);
		member_learn(r, m, call->order, result);
		if (result == ORDER_OTHER)
			m->life = MEMBER_DEAD;
		if (result == ORDER_FENCED && call->order != ORDER_JOIN)
			keeper_lose(call->keeper, "fenced");
		else if (result == ORDER_FENCED)
			r->doomed = "join_fenced";
	}
	dir_follow_hurry(&call->keeper->dir->endpoints);
	keeper_look_soon(call->keeper);
	call_free(call);
}

/* Connections for calls to a host: its endpoint's, or ones for its address. */
static struct net_pool *
member_pool(struct keeper *k, const struct replica_member *m)
{
	struct endpoint *ep = fleet_find(&k->dir->fleet, m->id);
	struct net_pool *pool;
	gint64 key;

	if (ep != NULL)
		return (&ep->pool);
	key = (gint64)m->address.sin_addr.s_addr << 16 | m->address.sin_port;
	pool = g_hash_table_lookup(k->pools, &key);
	if (pool == NULL) {
		pool = g_new0(struct net_pool, 1);
		net_pool_init(pool, k->loop, &m->address);
		g_hash_table_insert(k->pools, g_memdup2(&key, sizeof key),
		    pool);
	}
	return (pool);
}

/* Gives an order; the lease was checked just before. */
static void
member_order(struct keeper *k, struct replica *r, unsigned index,
    enum order_kind kind)
{
	struct replica_member *m = &r->members[index];
	g_autoptr(GPtrArray) ids = g_ptr_array_new();
	struct keeper_call *call = call_new(k, r, index);
	struct order order = { .kind = kind,
		.fence = k->term,
		.group = r->name,
		.epoch = r->epoch,
		.members = ids };

	for (unsigned i = 0; i < r->n; i++)
		g_ptr_array_add(ids, r->members[i].id);
	if (kind == ORDER_JOIN)
		order.model = r->model;
	call->order = kind;
	m->order = kind;
	m->ordered_ms = uv_now(k->loop);
	m->busy = k->orders->send(member_pool(k, m), m->id, &order,
	    ORDER_TIMEOUT_MS, on_ordered, call);
	if (!m->busy)
		call_free(call);
}

static void
on_reported(void *arg, enum order_answer answer, struct endpoint_report *report)
{
	struct keeper_call *call = arg;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);
	uint64_t now = uv_now(call->keeper->loop);

	if (m != NULL) {
		m->asking = false;
		if (answer == ANSWER_REPORT)
			replica_member_report(r, m, report, now);
		if (answer == ANSWER_REPORT)
			m->silent_ms = 0;
		else if (m->silent_ms == 0)
			m->silent_ms = call->sent_ms;
		m->absent = answer == ANSWER_ABSENT;
		if (answer != ANSWER_REPORT)
			event_log(LOG_INFO, "member_silent",
			    "group=%s member=%s absent=%d silent_ms=%llu",
			    call->group, call->id, answer == ANSWER_ABSENT,
			    (unsigned long long)(now - m->silent_ms));
	}
	call_free(call);
}

static void
member_ask(struct keeper *k, struct replica *r, unsigned index)
{
	struct replica_member *m = &r->members[index];
	uint64_t now = uv_now(k->loop);
	struct keeper_call *call;

	if (m->asking || (m->asked_ms != 0 && now - m->asked_ms < ASK_AGAIN_MS))
		return;
	call = call_new(k, r, index);
	m->asked_ms = now;
	m->asking = k->orders->ask(member_pool(k, m), m->id, ASK_TIMEOUT_MS,
	    on_reported, call);
	if (!m->asking)
		call_free(call);
}

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
			member_ask(k, r, i);
	}
}

/* Ends a replica: its hosts are free from now on. */
static void
replica_end(struct keeper *k, struct replica *r, uint64_t now_ms)
{
	event_log(LOG_NOTICE, "group_dissolved",
	    "group=%s epoch=%lld model=%s reason=%s ms=%llu", r->name,
	    (long long)r->epoch, r->model, r->doomed,
	    (unsigned long long)(now_ms - r->doomed_ms));
	for (unsigned i = 0; i < r->n; i++) {
		struct endpoint *ep =
		    fleet_find(&k->dir->fleet, r->members[i].id);

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
	struct endpoint *head = fleet_find(&k->dir->fleet, r->members[0].id);

	event_log(LOG_NOTICE, "group_doomed",
	    "group=%s epoch=%lld model=%s reason=%s", r->name,
	    (long long)r->epoch, r->model, r->doomed);
	if (head == NULL)
		return;
	head->warned_ms = now_ms;
	head->rest_until_ms =
	    MAX(head->rest_until_ms, now_ms + AVOID_DOOMED_MS);
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
		    fleet_find(&k->dir->fleet, r->members[i].id), now_ms);
	replica_ask(k, r, now_ms);
	for (unsigned turn = 0; turn < r->n; turn++) {
		replica_next(r, now_ms, k->stall_ms, &step);
		if (step.act == REPLICA_GONE) {
			replica_end(k, r, now_ms);
			return;
		}
		if (step.act != REPLICA_ORDER)
			break;
		member_order(k, r, step.member, step.order);
	}
	if (!was_open && r->opened)
		event_log(LOG_NOTICE, "group_serves",
		    "group=%s epoch=%lld model=%s ms=%llu", r->name,
		    (long long)r->epoch, r->model,
		    (unsigned long long)(now_ms - r->made_ms));
	if (!was_doomed && r->doomed != NULL)
		keeper_doomed(k, r, now_ms);
}

static void
stage_free(void *data)
{
	struct keeper_stage *stage = data;

	g_free(stage->model);
	g_free(stage);
}

static void
on_prepared(void *arg, enum order_result result)
{
	struct keeper_call *call = arg;

	event_log(result == ORDER_TAKEN ? LOG_INFO : LOG_NOTICE, "order_ended",
	    "member=%s order=%s result=%s term=%lld", call->id,
	    call->order == ORDER_STAGE ? "stage" : "warm",
	    order_result_name(result), (long long)call->term);
	/* One that does not fit meets a copy that is being made already. */
	if (call->order == ORDER_STAGE && result != ORDER_TAKEN &&
	    result != ORDER_UNKNOWN && result != ORDER_UNFIT)
		g_hash_table_remove(call->keeper->staging, call->id);
	call_free(call);
}

/* Gives an order to a host that is in no replica. */
static void
host_order(struct keeper *k, const char *id, const struct order *order)
{
	struct endpoint *ep = fleet_find(&k->dir->fleet, id);
	struct keeper_call *call = g_new0(struct keeper_call, 1);

	call->keeper = k;
	call->term = k->term;
	call->id = g_strdup(id);
	call->order = order->kind;
	if (ep == NULL ||
	    !k->orders->send(&ep->pool, id, order, ORDER_TIMEOUT_MS,
		on_prepared, call))
		call_free(call);
}

/**
 * keeper_order_stage() - have a host copy a model beside its work.
 * @k: the keeper
 * @id: the host
 * @model: the model
 */
void
keeper_order_stage(struct keeper *k, const char *id, const char *model)
{
	const struct order order = { .kind = ORDER_STAGE,
		.fence = k->term,
		.model = model };

	host_order(k, id, &order);
}

/**
 * keeper_order_warm() - have an idle host take a model into memory.
 * @k: the keeper
 * @id: the host
 * @model: the model
 * @epoch: above those of all groups so far
 *
 * It joins a group of its own that is never opened, so it serves nothing and
 * needs no record; the next join replaces it.
 */
void
keeper_order_warm(struct keeper *k, const char *id, const char *model,
    int64_t epoch)
{
	g_autofree char *group = g_strdup_printf("w%lld", (long long)epoch);
	g_autoptr(GPtrArray) members = g_ptr_array_new();
	const struct order order = { .kind = ORDER_JOIN,
		.fence = k->term,
		.group = group,
		.epoch = epoch,
		.model = model,
		.members = members };

	g_ptr_array_add(members, (gpointer)id);
	host_order(k, id, &order);
}

/* Whether any replica is changing. */
static bool
keeper_busy(const struct keeper *k)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (!r->opened || r->doomed != NULL || r->suspect_ms != 0)
			return (true);
	}
	return (k->records->len > 0);
}

/**
 * keeper_look() - look at everything once.
 * @k: the keeper
 */
void
keeper_look(struct keeper *k)
{
	uint64_t now = uv_now(k->loop);
	struct replica *r, *next;

	if (k->state == KEEPER_HOLDING && now - k->last_ms > PAUSE_MS)
		k->verified_ms = 0;
	k->last_ms = now;
	k->mesh->self.store_ok =
	    k->dir->endpoints.synced && k->dir->endpoints.failures == 0;
	keeper_lease_look(k, now);
	if (k->state != KEEPER_HOLDING || k->dir->catalog == NULL)
		return;
	if (keeper_busy(k) && !keeper_verified(k, now))
		return;
	for (r = TAILQ_FIRST(&k->replicas); r != NULL; r = next) {
		next = TAILQ_NEXT(r, entry);
		replica_look(k, r, now);
	}
	keeper_adopt(k, now);
	keeper_place(k, now);
	keeper_write(k);
}

static void
on_timer(uv_timer_t *timer)
{
	struct keeper *k = timer->data;
	bool busy;

	keeper_look(k);
	busy = k->state == KEEPER_HOLDING && keeper_busy(k);
	if (busy)
		dir_follow_hurry(&k->dir->endpoints);
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
	uv_timer_start(&k->soon, on_soon, LOOK_SOON_MS, 0);
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
			r->suspect_ms = uv_now(k->loop);
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
	k->staging =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, stage_free);
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
