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

/* Sets a step to the removal of the replica. */
static void
step_remove(struct replica_step *step, enum replica_proof proof)
{
	step->action = REPLICA_DISSOLVED;
	step->proof = proof;
}

/* Sets a step to an order to a member. */
static void
step_order(struct replica_step *step, unsigned member, enum order_kind order)
{
	step->action = REPLICA_ORDER;
	step->member = member;
	step->order = order;
}

/* Whether an order may be sent to a member, for the first time or again. */
static bool
member_order_due(const struct replica_member *m, enum order_kind order,
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
		return (member_order_due(m, ORDER_JOIN, now_ms,
		    REPLICA_JOIN_RETRY_MS));
	return (m->unverified &&
	    member_order_due(m, ORDER_JOIN, now_ms, REPLICA_ORDER_RETRY_MS));
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
			step_order(step, i, ORDER_JOIN);
			return;
		}
	}
	if (!all)
		return;
	if (r->members[0].state == GROUP_OPEN)
		r->opened = true;
	else if (r->settled &&
	    member_order_due(&r->members[0], ORDER_OPEN, now_ms,
		REPLICA_ORDER_RETRY_MS)) {
		r->open_ordered = true;
		step_order(step, 0, ORDER_OPEN);
	}
}

/*
 * Whether a member that has left must leave again: an order to join made it
 * rejoin, or it left before the time from which on that is for good, and that
 * time has come.
 */
static bool
member_must_leave_again(const struct replica_member *m, uint64_t for_good_ms,
    uint64_t now_ms)
{
	return ((m->in_group &&
		    m->last_report_ms >= m->left_ms + REPLICA_REPORT_LAG_MS) ||
	    now_ms >= for_good_ms);
}

/*
 * Orders a member to leave the group for good. While late orders may still
 * undo that, waits until that is over and has it leave again. Returns whether
 * an order is due.
 */
static bool
step_leave(struct replica *r, unsigned i, uint64_t now_ms,
    struct replica_step *step)
{
	struct replica_member *m = &r->members[i];
	uint64_t for_good_ms =
	    i == 0 ? replica_head_leaves_from(m) : m->late_join_until_ms;

	if (m->left && member_must_leave_again(m, for_good_ms, now_ms))
		m->left = false;
	if (m->left ||
	    !member_order_due(m, ORDER_LEAVE, now_ms, REPLICA_ORDER_RETRY_MS))
		return (false);
	step_order(step, i, ORDER_LEAVE);
	return (true);
}

/*
 * The next step for a group whose head can't be reached. The head can't be
 * closed, clients may still reach it, and an order that it carries out late may
 * even open it. So each member is ordered to leave and is free once it has
 * answered that it left. A member that can't be reached either is kept until
 * the platform must have broken the group: the head makes no progress from the
 * loss of a member on or, if it opens later, from then on.
 *
 * The record is kept while late orders could make the head serve again after it
 * has left. So a head without a record is out for good once it has left, and
 * whoever adopts its group need not know which orders it was sent. This binds
 * no other host than the head.
 */
static void
step_without_head(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	bool all = true;

	for (unsigned i = 1; i < r->n; i++) {
		struct replica_member *m = &r->members[i];
		bool released = replica_member_released(m);

		if (r->member_left_ms == 0 && (released || m->left))
			r->member_left_ms = now_ms;
		all = all && released;
		if (!released && m->liveness != MEMBER_SILENT &&
		    step_leave(r, i, now_ms, step))
			return;
	}
	if (r->member_left_ms == 0 ||
	    now_ms < replica_head_leaves_from(&r->members[0]))
		return;
	if (all)
		step_remove(step, PROOF_MEMBERS_LEFT);
	else if (now_ms - r->member_left_ms >= stall_ms + REPLICA_LATE_ORDER_MS)
		step_remove(step, PROOF_STALLED);
}

/*
 * The next step to dissolve a group: the head is closed and then leaves. Only
 * then can no late order open it again, and only then may the members join
 * another group. A late order to join and a late order to open after it would
 * make the head serve again, so it is released only once one of the two can't
 * be carried out any more.
 */
static void
step_dissolve(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	struct replica_member *head = &r->members[0];
	bool graceful = now_ms - r->dissolving_ms < r->drain_ms;
	enum order_kind close = graceful ? ORDER_CLOSE : ORDER_CANCEL;

	/* A head that was never ordered to open can't serve, so the hosts are
	 * free at once; they refuse late orders to join this group because the
	 * epochs of newer groups are higher. */
	if (!r->open_ordered) {
		step_remove(step, PROOF_NEVER_OPENED);
		return;
	}
	if (head->in_newer_group) {
		step_remove(step, PROOF_HEAD_IN_NEWER_GROUP);
		return;
	}
	if (head->liveness == MEMBER_DEAD) {
		step_remove(step, PROOF_HEAD_DEAD);
		return;
	}
	if (replica_head_released(head)) {
		step_remove(step, PROOF_HEAD_LEFT);
		return;
	}
	if (head->liveness == MEMBER_SILENT) {
		step_without_head(r, now_ms, stall_ms, step);
		return;
	}
	r->member_left_ms = 0;
	if (head->left) {
		step_leave(r, 0, now_ms, step);
		return;
	}
	if (graceful && now_ms - r->dissolving_ms < REPLICA_CLOSE_NOTICE_MS)
		return;
	if (!r->head_closed) {
		if (member_order_due(head, close, now_ms,
			REPLICA_ORDER_RETRY_MS))
			step_order(step, 0, close);
		return;
	}
	/* A graceful close lasts until the head reports that it is done. */
	if (graceful && head->in_group &&
	    (head->state == GROUP_OPEN || head->state == GROUP_CLOSING))
		return;
	step_leave(r, 0, now_ms, step);
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
		step_dissolve(r, now_ms, stall_ms, step);
	else if (r->recorded)
		step_form(r, now_ms, step);
}
