/* Orders and queries to hosts, and the handling of their answers. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "net-address.h"
#include "placer.h"

/* An order without an answer within this time ends with ORDER_UNKNOWN. */
#define ORDER_TIMEOUT_MS 800
/* A query without an answer within this time counts as not answered. */
#define QUERY_TIMEOUT_MS 250
/*
 * Maximum number of orders and queries in flight: a fleet of hundreds of hosts
 * gets its orders within some tens of round trips, and no iteration of the
 * event loop takes long.
 */
#define CALLS_MAX 64
/* Name prefix of groups of one host that only keeps a model in memory. */
#define WARM_PREFIX "w"
/* Minimum time between two queries to one host. */
#define QUERY_INTERVAL_MS 300

/*
 * An order or query in flight. The group is NULL for an order to a host outside
 * a replica.
 */
struct placer_call {
	struct placer *placer;
	int64_t term;
	char *group;
	char *id;
	enum order_kind order;
	uint64_t sent_ms;
};

static struct replica *
replica_find(struct placer *p, const char *name)
{
	struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		if (strcmp(r->name, name) == 0)
			return (r);
	}
	return (NULL);
}

/*
 * Finds the member that a call went to. Returns NULL if the lease under which
 * the call was made is no longer held, or the replica is gone.
 */
static struct replica_member *
call_member(const struct placer_call *call, struct replica **replica)
{
	struct placer *p = call->placer;
	struct replica *r = NULL;

	if (p->state == PLACER_HOLDING && p->term == call->term)
		r = replica_find(p, call->group);
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
 * placer_call_allowed() - whether one more order or query may be sent now.
 * @p: the placer
 */
bool
placer_call_allowed(const struct placer *p)
{
	return (p->n_calls < CALLS_MAX);
}

static struct placer_call *
call_new(struct placer *p, const struct replica *r, unsigned member)
{
	struct placer_call *call = g_new0(struct placer_call, 1);

	call->placer = p;
	p->n_calls++;
	call->term = p->term;
	call->group = g_strdup(r->name);
	call->id = g_strdup(r->members[member].id);
	call->sent_ms = clock_loop_ms(p->loop);
	return (call);
}

/*
 * Marks a host as gone after another incarnation has answered at its address.
 * Its entry may last for three more heartbeats, and no group may be formed with
 * it meanwhile.
 */
static void
host_mark_gone(struct placer *p, const char *id)
{
	struct endpoint *ep = fleet_find(&p->registry->fleet, id);

	if (ep != NULL)
		endpoint_mark_gone(ep);
}

/* Updates a member from the result of an order to join. */
static void
member_set_join_result(struct replica_member *m, enum order_result result,
    uint64_t now_ms)
{
	if (result == ORDER_UNKNOWN)
		m->late_join_until_ms =
		    MAX(m->late_join_until_ms, now_ms + REPLICA_LATE_ORDER_MS);
	if (result == ORDER_FENCED)
		m->join_fenced = true;
	if (result != ORDER_ACCEPTED)
		return;
	m->joined = true;
	m->unverified = false;
}

/* Updates a member and its replica from the result of an order. */
static void
member_set_order_result(struct replica *r, struct replica_member *m,
    enum order_kind order, enum order_result result, uint64_t now_ms)
{
	bool done = result == ORDER_ACCEPTED || result == ORDER_BAD_STATE;

	if (order == ORDER_JOIN)
		member_set_join_result(m, result, now_ms);
	if (order == ORDER_OPEN && result == ORDER_UNKNOWN)
		m->late_open_until_ms =
		    MAX(m->late_open_until_ms, now_ms + REPLICA_LATE_ORDER_MS);
	if (done && order == ORDER_LEAVE) {
		m->left = true;
		m->left_ms = now_ms;
		/* A member has one order in flight at a time. */
		m->left_after_ms = m->ordered_ms;
	}
	if (done && m == &r->members[0] &&
	    (order == ORDER_CLOSE || order == ORDER_CANCEL))
		r->head_closed = true;
}

/* Marks a member that did not answer an order, so that it is queried. */
static void
member_set_unanswered(struct replica_member *m, enum order_kind order,
    uint64_t now_ms)
{
	m->suspect_ms = now_ms;
	m->unanswered_ms = now_ms;
	m->unanswered_order = order;
}

static void
on_order_done(void *arg, enum order_result result)
{
	struct placer_call *call = arg;
	struct placer *p = call->placer;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);

	event_log(result == ORDER_ACCEPTED ? LOG_INFO : LOG_NOTICE,
	    "order_ended",
	    "group=%s member=%s order=%s result=%s ms=%llu term=%lld",
	    call->group, call->id, order_kind_name(call->order),
	    order_result_name(result),
	    (unsigned long long)(clock_loop_ms(p->loop) - call->sent_ms),
	    (long long)call->term);
	if (result == ORDER_ADDRESS_REUSED)
		host_mark_gone(p, call->id);
	if (m != NULL) {
		m->order_pending = false;
		if (result == ORDER_UNKNOWN)
			member_set_unanswered(m, call->order,
			    clock_loop_ms(p->loop));
		member_set_order_result(r, m, call->order, result,
		    clock_loop_ms(p->loop));
		if (result == ORDER_ADDRESS_REUSED)
			m->liveness = MEMBER_DEAD;
		if (result == ORDER_FENCED && call->order != ORDER_JOIN)
			placer_step_down(p, "fenced");
	}
	topic_follower_poll(&p->registry->endpoints);
	placer_schedule_pass(p);
	call_free(call);
	placer_schedule_orders(p);
}

/**
 * placer_is_warm_group() - whether a group consists of one host that only keeps
 * a model in memory; such a group is never opened.
 * @name: name of the group
 */
bool
placer_is_warm_group(const char *name)
{
	return (g_str_has_prefix(name, WARM_PREFIX));
}

/*
 * Connections for calls to a member: those of its endpoint, or, if that is not
 * known, a pool for its address.
 */
static struct net_pool *
member_pool(struct placer *p, const struct replica_member *m)
{
	struct endpoint *ep = fleet_find(&p->registry->fleet, m->id);
	struct net_pool *pool;
	gint64 key;

	if (ep != NULL)
		return (&ep->pool);
	key = (gint64)net_address_key(&m->address);
	pool = g_hash_table_lookup(p->pools, &key);
	if (pool == NULL) {
		pool = g_new0(struct net_pool, 1);
		net_pool_init(pool, p->loop, &m->address);
		pool->source = p->registry->fleet.source;
		g_hash_table_insert(p->pools, g_memdup2(&key, sizeof key),
		    pool);
	}
	return (pool);
}

/**
 * placer_order_member() - send an order to a member.
 * @p: the placer; its lease was verified just before
 * @r: the replica
 * @index: index of the member
 * @kind: which order
 */
void
placer_order_member(struct placer *p, struct replica *r, unsigned index,
    enum order_kind kind)
{
	struct replica_member *m = &r->members[index];
	g_autoptr(GPtrArray) ids = g_ptr_array_new();
	struct placer_call *call = call_new(p, r, index);
	struct order order = { .kind = kind,
		.fence = p->term,
		.group = r->name,
		.epoch = r->epoch };

	for (unsigned i = 0; i < r->n; i++)
		g_ptr_array_add(ids, r->members[i].id);
	if (kind == ORDER_JOIN) {
		order.model = r->model;
		order.members = ids;
		placer_join_note(p, r, m, call->sent_ms);
	}
	call->order = kind;
	m->last_order = kind;
	m->ordered_ms = clock_loop_ms(p->loop);
	/* Logged now: the result is never logged if this daemon ends first. */
	event_log(LOG_INFO, "order_given",
	    "group=%s member=%s rank=%u order=%s epoch=%lld term=%lld", r->name,
	    m->id, index, order_kind_name(kind), (long long)r->epoch,
	    (long long)p->term);
	m->order_pending = p->orders->send(member_pool(p, m), m->id, &order,
	    ORDER_TIMEOUT_MS, on_order_done, call);
	if (!m->order_pending)
		call_free(call);
}

/* Logs a member's answer if it changes what was known of the member. */
static void
member_log_change(const struct replica *r, const struct replica_member *m,
    const struct replica_member *was, const struct endpoint_report *report)
{
	if (m->in_group == was->in_group && m->state == was->state &&
	    m->in_newer_group == was->in_newer_group)
		return;
	event_log(LOG_INFO, "member_told",
	    "group=%s member=%s here=%d state=%s reported_group=%s "
	    "reported_epoch=%lld sequence=%lld started_ms=%lld",
	    r->name, m->id, m->in_group, group_state_name(m->state),
	    report->group != NULL ? report->group : "-",
	    (long long)report->epoch, (long long)report->sequence,
	    (long long)report->started_ms);
}

/* Updates a member from its answer to a query. */
static void
member_set_report(struct replica *r, struct replica_member *m,
    const struct endpoint_report *report, uint64_t now_ms)
{
	struct replica_member was = *m;

	replica_member_set_answer(r, m, report, now_ms);
	member_log_change(r, m, &was, report);
}

static void
on_report(void *arg, enum order_report_status status,
    struct endpoint_report *report)
{
	struct placer_call *call = arg;
	struct replica *r;
	struct replica_member *m = call_member(call, &r);
	uint64_t now = clock_loop_ms(call->placer->loop);

	if (status == ORDER_REPORT_ADDRESS_REUSED)
		host_mark_gone(call->placer, call->id);
	if (m != NULL) {
		m->query_pending = false;
		if (status == ORDER_REPORT_OK)
			member_set_report(r, m, report, now);
		else
			replica_member_set_unheard(m, call->sent_ms);
		m->address_reused = status == ORDER_REPORT_ADDRESS_REUSED;
		if (status != ORDER_REPORT_OK)
			event_log(LOG_INFO, "member_silent",
			    "group=%s member=%s address_reused=%d "
			    "silent_ms=%llu",
			    call->group, call->id,
			    status == ORDER_REPORT_ADDRESS_REUSED,
			    (unsigned long long)(now - m->silent_since_ms));
		if (status != ORDER_REPORT_OK)
			placer_check_reach(call->placer, now);
	}
	call_free(call);
}

/**
 * placer_query_member() - query a member for its report, at most once per
 * QUERY_INTERVAL_MS.
 * @p: the placer
 * @r: the replica
 * @index: index of the member
 */
void
placer_query_member(struct placer *p, struct replica *r, unsigned index)
{
	struct replica_member *m = &r->members[index];
	uint64_t now = clock_loop_ms(p->loop);
	struct placer_call *call;

	if (m->query_pending || !placer_call_allowed(p) ||
	    (m->queried_ms != 0 && now - m->queried_ms < QUERY_INTERVAL_MS))
		return;
	call = call_new(p, r, index);
	m->queried_ms = now;
	m->query_pending = p->orders->query(member_pool(p, m), m->id,
	    QUERY_TIMEOUT_MS, on_report, call);
	if (!m->query_pending)
		call_free(call);
}

static void
on_host_order_done(void *arg, enum order_result result)
{
	struct placer_call *call = arg;

	event_log(result == ORDER_ACCEPTED ? LOG_INFO : LOG_NOTICE,
	    "order_ended", "member=%s order=%s result=%s term=%lld", call->id,
	    call->order == ORDER_STAGE ? "stage" : "warm",
	    order_result_name(result), (long long)call->term);
	if (result == ORDER_ADDRESS_REUSED)
		host_mark_gone(call->placer, call->id);
	if (call->order == ORDER_STAGE)
		placer_copy_note_result(call->placer, call->id, result);
	call_free(call);
}

/* Sends an order to a host outside a replica; returns whether it was sent. */
static bool
host_send_order(struct placer *p, const char *id, const struct order *order)
{
	struct endpoint *ep = fleet_find(&p->registry->fleet, id);
	struct placer_call *call = g_new0(struct placer_call, 1);

	call->placer = p;
	p->n_calls++;
	call->term = p->term;
	call->id = g_strdup(id);
	call->order = order->kind;
	if (ep != NULL &&
	    p->orders->send(&ep->pool, id, order, ORDER_TIMEOUT_MS,
		on_host_order_done, call))
		return (true);
	call_free(call);
	return (false);
}

/**
 * placer_order_stage() - order a host to copy a model beside its other work.
 * @p: the placer
 * @id: id of the host
 * @model: name of the model
 *
 * Return: whether the order was sent.
 */
bool
placer_order_stage(struct placer *p, const char *id, const char *model)
{
	const struct order order = { .kind = ORDER_STAGE,
		.fence = p->term,
		.model = model };

	return (host_send_order(p, id, &order));
}

/**
 * placer_order_warm() - order an idle host to load a model into memory.
 * @p: the placer
 * @id: id of the host
 * @model: name of the model
 * @epoch: an epoch above those of all groups so far
 *
 * The host joins a group of its own that is never opened. That group serves
 * nothing, so it needs no record; the next order to join replaces it.
 */
void
placer_order_warm(struct placer *p, const char *id, const char *model,
    int64_t epoch)
{
	g_autofree char *group =
	    g_strdup_printf(WARM_PREFIX "%lld", (long long)epoch);
	g_autoptr(GPtrArray) members = g_ptr_array_new();
	const struct order order = { .kind = ORDER_JOIN,
		.fence = p->term,
		.group = group,
		.epoch = epoch,
		.model = model,
		.members = members };

	g_ptr_array_add(members, (gpointer)id);
	host_send_order(p, id, &order);
}
