/* Orders and questions to hosts, and what their answers tell. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "placer.h"

/* An order that has no answer after this is given again. */
#define ORDER_TIMEOUT_MS 800
/* A host that does not answer a question in this time is silent. */
#define ASK_TIMEOUT_MS 250
/* Orders and questions on their way at once: a fleet of hundreds of hosts is
 * told in some tens of round trips, and no turn of the loop gets long. */
#define CALLS_MOST 64
/* Groups of one host that only holds a model. */
#define SOLE_PREFIX "w"
/* Between two questions to one host. */
#define ASK_AGAIN_MS 300

/* An order or question on its way to a member. */
struct placer_call {
	struct placer *placer;
	int64_t term;
	char *group;
	char *id;
	enum order_kind order;
	uint64_t sent_ms;
};

static struct replica *
replica_find(struct placer *k, const char *name)
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
call_member(const struct placer_call *call, struct replica **replica)
{
	struct placer *k = call->placer;
	struct replica *r = NULL;

	if (k->state == PLACER_HOLDING && k->term == call->term)
		r = replica_find(k, call->group);
	*replica = r;
	for (unsigned i = 0; r != NULL && i < r->n; i++) {
		if (strcmp(r->members[i].id, call->id) == 0)
			return (&r->members[i]);
	}
	return (NULL);
}

static void
call_free(struct placer_call *call)
{
	call->placer->n_calls--;
	g_free(call->group);
	g_free(call->id);
	g_free(call);
}

/**
 * placer_call_allowed() - whether one more order or question may go out now.
 * @k: the placer
 */
bool
placer_call_allowed(const struct placer *k)
{
	return (k->n_calls < CALLS_MOST);
}

static struct placer_call *
call_new(struct placer *k, const struct replica *r, unsigned member)
{
	struct placer_call *call = g_new0(struct placer_call, 1);

	call->placer = k;
	k->n_calls++;
	call->term = k->term;
	call->group = g_strdup(r->name);
	call->id = g_strdup(r->members[member].id);
	call->sent_ms = clock_loop_ms(k->loop);
	return (call);
}

/*
 * Another incarnation answered in the place of a host, so that host has ended,
 * though its entry may stand for three beats more: no group is formed with it.
 */
static void
host_ended(struct placer *k, const char *id)
{
	struct endpoint *ep = fleet_find(&k->registry->fleet, id);

	if (ep != NULL)
		endpoint_mark_gone(ep);
}

/* What the end of an order to join tells of the member. */
static void
member_learn_join(struct replica_member *m, enum order_result result,
    uint64_t now_ms)
{
	if (result == ORDER_UNKNOWN)
		m->late_join_until_ms = now_ms + REPLICA_LATE_ORDER_MS;
	if (result == ORDER_FENCED)
		m->join_fenced = true;
	if (result != ORDER_ACCEPTED)
		return;
	m->joined = true;
	m->unverified = false;
}

/* What the end of an order tells of the member. */
static void
member_learn(struct replica *r, struct replica_member *m, enum order_kind order,
    enum order_result result, uint64_t now_ms)
{
	bool done = result == ORDER_ACCEPTED || result == ORDER_BAD_STATE;

	if (order == ORDER_JOIN)
		member_learn_join(m, result, now_ms);

	if (done && order == ORDER_LEAVE) {
		m->left = true;
		m->left_ms = now_ms;
	}
	if (done && m == &r->members[0] &&
	    (order == ORDER_CLOSE || order == ORDER_CANCEL))
		r->head_closed = true;
}

/* An order ended without an answer: the member is asked what it holds. */
static void
member_doubt(struct replica_member *m, enum order_kind order, uint64_t now_ms)
{
	m->suspect_ms = now_ms;
	m->unanswered_ms = now_ms;
	m->unanswered_order = order;
}

static void
on_ordered(void *arg, enum order_result result)
{
	struct placer_call *call = arg;
	struct placer *k = call->placer;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);

	event_log(result == ORDER_ACCEPTED ? LOG_INFO : LOG_NOTICE,
	    "order_ended",
	    "group=%s member=%s order=%s result=%s ms=%llu term=%lld",
	    call->group, call->id, order_kind_name(call->order),
	    order_result_name(result),
	    (unsigned long long)(clock_loop_ms(k->loop) - call->sent_ms),
	    (long long)call->term);
	if (result == ORDER_ADDRESS_REUSED)
		host_ended(k, call->id);
	if (m != NULL) {
		m->order_pending = false;
		if (result == ORDER_UNKNOWN)
			member_doubt(m, call->order, clock_loop_ms(k->loop));
		member_learn(r, m, call->order, result, clock_loop_ms(k->loop));
		if (result == ORDER_ADDRESS_REUSED)
			m->liveness = MEMBER_DEAD;
		if (result == ORDER_FENCED && call->order != ORDER_JOIN)
			placer_step_down(k, "fenced");
	}
	topic_follower_poll(&k->registry->endpoints);
	placer_schedule_pass(k);
	call_free(call);
}

/**
 * placer_is_warm_group() - whether a group is one of a single host, never
 * opened.
 * @name: of the group
 */
bool
placer_is_warm_group(const char *name)
{
	return (g_str_has_prefix(name, SOLE_PREFIX));
}

/* Connections for calls to a host: its endpoint's, or ones for its address. */
static struct net_pool *
member_pool(struct placer *k, const struct replica_member *m)
{
	struct endpoint *ep = fleet_find(&k->registry->fleet, m->id);
	struct net_pool *pool;
	gint64 key;

	if (ep != NULL)
		return (&ep->pool);
	key = (gint64)m->address.sin_addr.s_addr << 16 | m->address.sin_port;
	pool = g_hash_table_lookup(k->pools, &key);
	if (pool == NULL) {
		pool = g_new0(struct net_pool, 1);
		net_pool_init(pool, k->loop, &m->address);
		pool->source = k->registry->fleet.source;
		g_hash_table_insert(k->pools, g_memdup2(&key, sizeof key),
		    pool);
	}
	return (pool);
}

/**
 * placer_order_member() - give an order to a member.
 * @k: the placer; its lease was checked just before
 * @r: the replica
 * @index: of the member
 * @kind: which
 */
void
placer_order_member(struct placer *k, struct replica *r, unsigned index,
    enum order_kind kind)
{
	struct replica_member *m = &r->members[index];
	g_autoptr(GPtrArray) ids = g_ptr_array_new();
	struct placer_call *call = call_new(k, r, index);
	struct order order = { .kind = kind,
		.fence = k->term,
		.group = r->name,
		.epoch = r->epoch };

	for (unsigned i = 0; i < r->n; i++)
		g_ptr_array_add(ids, r->members[i].id);
	if (kind == ORDER_JOIN) {
		order.model = r->model;
		order.members = ids;
	}
	call->order = kind;
	m->last_order = kind;
	m->ordered_ms = clock_loop_ms(k->loop);
	/* A placer that ends leaves no line on the orders' ends. */
	event_log(LOG_INFO, "order_given",
	    "group=%s member=%s rank=%u order=%s epoch=%lld term=%lld", r->name,
	    m->id, index, order_kind_name(kind), (long long)r->epoch,
	    (long long)k->term);
	m->order_pending = k->orders->send(member_pool(k, m), m->id, &order,
	    ORDER_TIMEOUT_MS, on_ordered, call);
	if (!m->order_pending)
		call_free(call);
}

/* A member says something else of its group than was known of it. */
static void
member_log_told(const struct replica *r, const struct replica_member *m,
    const struct replica_member *was, const struct endpoint_report *report)
{
	if (m->in_group == was->in_group && m->state == was->state &&
	    m->in_newer_group == was->in_newer_group)
		return;
	event_log(LOG_INFO, "member_told",
	    "group=%s member=%s here=%d state=%s said_group=%s said_epoch=%lld "
	    "sequence=%lld started_ms=%lld",
	    r->name, m->id, m->in_group, group_state_name(m->state),
	    report->group != NULL ? report->group : "-",
	    (long long)report->epoch, (long long)report->sequence,
	    (long long)report->started_ms);
}

/* Takes in what a member says of itself when it is asked. */
static void
member_take(struct replica *r, struct replica_member *m,
    const struct endpoint_report *report, uint64_t now_ms)
{
	struct replica_member was = *m;

	replica_member_set_answer(r, m, report, now_ms);
	member_log_told(r, m, &was, report);
}

static void
on_reported(void *arg, enum order_report_status answer,
    struct endpoint_report *report)
{
	struct placer_call *call = arg;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);
	uint64_t now = clock_loop_ms(call->placer->loop);

	if (answer == ORDER_REPORT_ADDRESS_REUSED)
		host_ended(call->placer, call->id);
	if (m != NULL) {
		m->ask_pending = false;
		if (answer == ORDER_REPORT_OK)
			member_take(r, m, report, now);
		else if (m->silent_since_ms == 0)
			m->silent_since_ms = call->sent_ms;
		m->address_reused = answer == ORDER_REPORT_ADDRESS_REUSED;
		if (answer != ORDER_REPORT_OK)
			event_log(LOG_INFO, "member_silent",
			    "group=%s member=%s absent=%d silent_ms=%llu",
			    call->group, call->id,
			    answer == ORDER_REPORT_ADDRESS_REUSED,
			    (unsigned long long)(now - m->silent_since_ms));
	}
	call_free(call);
}

/**
 * placer_ask_member() - ask a member directly, unless it was asked just now.
 * @k: the placer
 * @r: the replica
 * @index: of the member
 */
void
placer_ask_member(struct placer *k, struct replica *r, unsigned index)
{
	struct replica_member *m = &r->members[index];
	uint64_t now = clock_loop_ms(k->loop);
	struct placer_call *call;

	if (m->ask_pending || !placer_call_allowed(k) ||
	    (m->asked_ms != 0 && now - m->asked_ms < ASK_AGAIN_MS))
		return;
	call = call_new(k, r, index);
	m->asked_ms = now;
	m->ask_pending = k->orders->ask(member_pool(k, m), m->id,
	    ASK_TIMEOUT_MS, on_reported, call);
	if (!m->ask_pending)
		call_free(call);
}

static void
on_prepared(void *arg, enum order_result result)
{
	struct placer_call *call = arg;

	event_log(result == ORDER_ACCEPTED ? LOG_INFO : LOG_NOTICE,
	    "order_ended", "member=%s order=%s result=%s term=%lld", call->id,
	    call->order == ORDER_STAGE ? "stage" : "warm",
	    order_result_name(result), (long long)call->term);
	if (result == ORDER_ADDRESS_REUSED)
		host_ended(call->placer, call->id);
	if (call->order == ORDER_STAGE)
		placer_copy_answered(call->placer, call->id, result);
	call_free(call);
}

/* Gives an order to a host by itself; false where none was sent. */
static bool
host_order(struct placer *k, const char *id, const struct order *order)
{
	struct endpoint *ep = fleet_find(&k->registry->fleet, id);
	struct placer_call *call = g_new0(struct placer_call, 1);

	call->placer = k;
	k->n_calls++;
	call->term = k->term;
	call->id = g_strdup(id);
	call->order = order->kind;
	if (ep != NULL &&
	    k->orders->send(&ep->pool, id, order, ORDER_TIMEOUT_MS, on_prepared,
		call))
		return (true);
	call_free(call);
	return (false);
}

/**
 * placer_order_stage() - have a host copy a model beside its work.
 * @k: the placer
 * @id: the host
 * @model: the model
 *
 * Return: false where nothing was sent.
 */
bool
placer_order_stage(struct placer *k, const char *id, const char *model)
{
	const struct order order = { .kind = ORDER_STAGE,
		.fence = k->term,
		.model = model };

	return (host_order(k, id, &order));
}

/**
 * placer_order_warm() - have an idle host take a model into memory.
 * @k: the placer
 * @id: the host
 * @model: the model
 * @epoch: above those of all groups so far
 *
 * It joins a group of its own that is never opened, so it serves nothing and
 * needs no record; the next join replaces it.
 */
void
placer_order_warm(struct placer *k, const char *id, const char *model,
    int64_t epoch)
{
	g_autofree char *group =
	    g_strdup_printf(SOLE_PREFIX "%lld", (long long)epoch);
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
