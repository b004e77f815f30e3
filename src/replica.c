/* Replicas: groups of hosts that serve one model, and their life cycle. */
#include <string.h>

#include "replica.h"

/**
 * replica_create() - allocate a replica without members.
 * @name: name of the group, never reused
 * @service: name of the service that its hosts belong to
 * @model: name of the model
 * @epoch: number of the group; each new group has a higher one
 *
 * Return: the replica, which is freed by replica_free().
 */
struct replica *
replica_create(const char *name, const char *service, const char *model,
    int64_t epoch)
{
	struct replica *r = g_new0(struct replica, 1);

	r->name = g_strdup(name);
	r->service = g_strdup(service);
	r->model = g_strdup(model);
	r->epoch = epoch;
	return (r);
}

/**
 * replica_free() - free a replica.
 * @r: the replica; it is in no list
 */
void
replica_free(struct replica *r)
{
	for (unsigned i = 0; i < r->n; i++)
		g_free(r->members[i].id);
	g_free(r->name);
	g_free(r->service);
	g_free(r->model);
	g_free(r);
}

/**
 * replica_add_member() - append a member.
 * @r: the replica; the first member is its head
 * @id: id of the host's incarnation
 * @address: address that takes its orders
 *
 * Members beyond REPLICA_SIZE_MAX are ignored.
 */
void
replica_add_member(struct replica *r, const char *id,
    const struct sockaddr_in *address)
{
	struct replica_member *m;

	if (r->n == REPLICA_SIZE_MAX)
		return;
	m = &r->members[r->n++];
	m->id = g_strdup(id);
	m->address = *address;
}

/**
 * replica_donate() - begin to dissolve a replica whose hosts another needs.
 * @r: the replica
 * @now_ms: loop time
 */
void
replica_donate(struct replica *r, uint64_t now_ms)
{
	r->dissolve_reason = "donates";
	r->dissolving_ms = now_ms;
	r->drain_ms = REPLICA_DONOR_DRAIN_MS;
	r->donor = true;
}

/**
 * replica_retire() - begin to dissolve a surplus replica.
 * @r: the replica; its hosts serve more requests in replicas of other models
 * @now_ms: loop time
 */
void
replica_retire(struct replica *r, uint64_t now_ms)
{
	replica_donate(r, now_ms);
	r->dissolve_reason = "surplus";
	r->drain_ms = REPLICA_SURPLUS_DRAIN_MS;
}

/**
 * replica_active() - whether a replica serves or is being formed.
 * @r: the replica
 */
bool
replica_active(const struct replica *r)
{
	return (r->dissolve_reason == NULL);
}

/**
 * replica_ends_soon() - whether the hosts of a replica will be free soon.
 * @r: the replica
 * @now_ms: loop time
 *
 * If the head can't be reached, the other members leave one by one without
 * waiting for it.
 */
bool
replica_ends_soon(const struct replica *r, uint64_t now_ms)
{
	if (r->dissolve_reason == NULL)
		return (false);
	if (r->members[0].liveness == MEMBER_SILENT)
		return (true);
	return (
	    now_ms - r->dissolving_ms + REPLICA_ENDS_SOON_MS >= r->drain_ms);
}

/*
 * Whether a member is known to have been in the group. Just after a replica is
 * taken over or has settled, what was read of its members may be out of date.
 */
static bool
member_was_in_group(const struct replica *r, const struct replica_member *m,
    uint64_t now_ms)
{
	return (r->opened ||
	    (r->settled && m->last_report_ms != 0 &&
		now_ms - MAX(r->known_ms, r->settled_ms) >=
		    REPLICA_REPORT_LAG_MS));
}

/**
 * replica_check() - check whether a replica must be dissolved.
 * @r: the replica
 * @now_ms: loop time
 *
 * Return: the reason, as it is logged, or NULL.
 */
const char *
replica_check(const struct replica *r, uint64_t now_ms)
{
	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];

		if (m->liveness == MEMBER_DEAD)
			return ("member_dead");
		if (m->liveness == MEMBER_SILENT)
			return ("member_silent");
		/* Requests go to the head only, so any other member may lose
		 * its connection to the store as long as it answers. */
		if (m->liveness == MEMBER_LAPSED && i == 0)
			return ("head_lapsed");
		if (m->liveness == MEMBER_DRAINING)
			return ("member_drains");
		if (m->in_newer_group)
			return ("member_elsewhere");
		if (m->join_fenced && !m->in_group)
			return ("join_fenced");
		/* A complete group loses a member only by a stray order. */
		if (!m->in_group && member_was_in_group(r, m, now_ms))
			return ("member_left");
	}
	if (r->members[0].in_group && r->members[0].state == GROUP_BROKEN)
		return ("head_broken");
	if (!r->opened && now_ms - r->known_ms > REPLICA_FORM_TIMEOUT_MS)
		return ("not_formed");
	return (NULL);
}

/**
 * replica_proof_name() - get the name of a proof for the log.
 * @proof: the proof
 */
const char *
replica_proof_name(enum replica_proof proof)
{
	static const char *const names[] = { "unasked", "left", "members",
		"elsewhere", "dead", "stalled" };

	return (names[proof]);
}

/**
 * replica_step_order() - set a step to an order to a member.
 * @step: the step
 * @member: rank of the member
 * @order: which order
 */
void
replica_step_order(struct replica_step *step, unsigned member,
    enum order_kind order)
{
	step->action = REPLICA_ORDER;
	step->member = member;
	step->order = order;
}

/**
 * replica_order_due() - whether an order may be sent to a member, for the first
 * time or again.
 * @m: the member
 * @order: which order
 * @now_ms: loop time
 * @retry_ms: time after which it is sent again, in ms
 */
bool
replica_order_due(const struct replica_member *m, enum order_kind order,
    uint64_t now_ms, uint64_t retry_ms)
{
	if (m->order_pending)
		return (false);
	return (m->ordered_ms == 0 || m->last_order != order ||
	    now_ms - m->ordered_ms >= retry_ms);
}

/* Whether a member itself has reported that it is loaded for this group. */
static bool
member_ready(const struct replica *r, const struct replica_member *m)
{
	return (m->in_group && (!m->unverified || r->settled) &&
	    (m->state == GROUP_READY || m->state == GROUP_OPEN));
}

/*
 * Whether an order to join is due. A member whose only report came from an
 * answer that does not name its incarnation is ordered to join as well: the
 * order names it, so accepting it verifies the member.
 */
static bool
member_join_due(const struct replica *r, const struct replica_member *m,
    uint64_t now_ms)
{
	if (r->settled)
		return (false);
	if (!m->in_group)
		return (replica_order_due(m, ORDER_JOIN, now_ms,
		    REPLICA_JOIN_RETRY_MS));
	return (m->unverified &&
	    replica_order_due(m, ORDER_JOIN, now_ms, REPLICA_ORDER_RETRY_MS));
}

/* The next step to form a group: all members join, and the head opens once
 * every member itself has reported that it is ready and the record says that
 * it may open. */
static void
step_form(struct replica *r, uint64_t now_ms, struct replica_step *step)
{
	bool all = true;

	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];

		if (!member_ready(r, m))
			all = false;
		if (member_join_due(r, m, now_ms)) {
			replica_step_order(step, i, ORDER_JOIN);
			return;
		}
	}
	if (!all)
		return;
	if (r->members[0].state == GROUP_OPEN)
		r->opened = true;
	else if (r->settled &&
	    replica_order_due(&r->members[0], ORDER_OPEN, now_ms,
		REPLICA_ORDER_RETRY_MS)) {
		r->open_ordered = true;
		replica_step_order(step, 0, ORDER_OPEN);
	}
}

/*
 * Whether nothing irreversible was done yet to dissolve a replica. A group that
 * was cut off and is reached again, complete, continues to serve.
 */
static bool
replica_can_recover(const struct replica *r)
{
	for (unsigned i = 0; i < r->n; i++) {
		if (r->members[i].left || r->members[i].in_newer_group)
			return (false);
	}
	return (!r->head_closed && r->member_left_ms == 0 && !r->adopted &&
	    !r->donor);
}

/**
 * replica_next_step() - determine the next step for a replica.
 * @r: the replica; it is marked as opened, or as being dissolved, where that
 *	is found
 * @now_ms: loop time
 * @stall_ms: time after which the platform breaks a group that makes no
 *	progress, in ms
 * @step: set to the step
 */
void
replica_next_step(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	memset(step, 0, sizeof *step);
	const char *reason = replica_check(r, now_ms);

	if (r->dissolve_reason == NULL && reason != NULL) {
		r->dissolving_ms = now_ms;
		r->drain_ms = strcmp(reason, "member_drains") == 0 ?
		    REPLICA_LEAVE_DRAIN_MS :
		    0;
	}
	if (r->dissolve_reason == NULL || replica_can_recover(r))
		r->dissolve_reason = reason;
	if (r->dissolve_reason != NULL)
		replica_dissolve_step(r, now_ms, stall_ms, step);
	else if (r->recorded)
		step_form(r, now_ms, step);
}
