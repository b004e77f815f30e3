/* A replica: the record of a group of hosts, and what to do next for it. */
#include <string.h>

#include "replica.h"

/**
 * replica_create() - make a replica without members.
 * @name: unique for ever
 * @service: of its hosts
 * @model: what it serves
 * @epoch: grows with each group
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
 * replica_free() - free a replica that is in no list.
 * @r: the replica
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
 * @r: the replica
 * @id: the host
 * @address: where it takes orders
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
 * replica_donate() - dissolve a replica so that its hosts can join another.
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
 * replica_retire() - dissolve a replica that others serve more with.
 * @r: the replica
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
 * replica_inherit() - take over a replica that another placer made.
 * @r: the replica, by its record
 * @now_ms: loop time
 *
 * Unless it had settled, orders that the other gave may be carried out yet.
 */
void
replica_inherit(struct replica *r, uint64_t now_ms)
{
	r->known_ms = now_ms;
	r->recorded = true;
	/* The placer before may have told it to. */
	r->open_ordered = true;
	for (unsigned i = 0; i < r->n && !r->settled; i++)
		r->members[i].late_join_until_ms =
		    now_ms + REPLICA_LEASE_FRESH_MS + REPLICA_LATE_ORDER_MS;
}

/**
 * replica_can_settle() - whether a replica has settled just now.
 * @r: the replica
 * @now_ms: loop time
 */
bool
replica_can_settle(const struct replica *r, uint64_t now_ms)
{
	if (r->settled || !r->opened || r->dissolve_reason != NULL)
		return (false);
	for (unsigned i = 0; i < r->n; i++) {
		if (r->members[i].late_join_until_ms > now_ms)
			return (false);
	}
	return (true);
}

/**
 * replica_active() - whether a replica serves or is to serve.
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
 * Hosts whose head can't be reached leave it one by one, without a wait.
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
 * Whether it is known by now that a member has been in the group. What is read
 * when a replica is taken over may lag.
 */
static bool
member_known(const struct replica *r, const struct replica_member *m,
    uint64_t now_ms)
{
	return (r->opened ||
	    (r->settled && m->last_report_ms != 0 &&
		now_ms - r->known_ms >= REPLICA_REPORT_LAG_MS));
}

/**
 * replica_check() - whether a replica must be dissolved.
 * @r: the replica
 * @now_ms: loop time
 *
 * Return: why, or NULL.
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
		/* Requests reach the head only, so any other member may be cut
		 * from the store as long as it answers. */
		if (m->liveness == MEMBER_LAPSED && i == 0)
			return ("head_lapsed");
		if (m->liveness == MEMBER_DRAINING)
			return ("member_drains");
		if (m->in_newer_group)
			return ("member_elsewhere");
		if (m->join_fenced && !m->in_group)
			return ("join_fenced");
		/* A whole group loses a member only by a stray order. */
		if (!m->in_group && member_known(r, m, now_ms))
			return ("member_left");
	}
	if (r->members[0].in_group && r->members[0].state == GROUP_BROKEN)
		return ("head_broken");
	if (!r->opened && now_ms - r->known_ms > REPLICA_FORM_TIMEOUT_MS)
		return ("not_formed");
	return (NULL);
}

/**
 * replica_proof_name() - name of a proof, for logs.
 * @proof: the proof
 */
const char *
replica_proof_name(enum replica_proof proof)
{
	static const char *const names[] = { "unasked", "left", "members",
		"elsewhere", "dead", "stalled" };

	return (names[proof]);
}

static void
step_gone(struct replica_step *step, enum replica_proof proof)
{
	step->action = REPLICA_DISSOLVED;
	step->proof = proof;
}

static void
step_order(struct replica_step *step, unsigned member, enum order_kind order)
{
	step->action = REPLICA_ORDER;
	step->member = member;
	step->order = order;
}

/* Whether an order may be given, again or for the first time. */
static bool
member_due(const struct replica_member *m, enum order_kind order,
    uint64_t now_ms, uint64_t again_ms)
{
	if (m->order_pending)
		return (false);
	return (m->ordered_ms == 0 || m->last_order != order ||
	    now_ms - m->ordered_ms >= again_ms);
}

/* Whether a member has reported itself loaded for this group. */
static bool
member_ready(const struct replica *r, const struct replica_member *m)
{
	return (m->in_group && (!m->unverified || r->settled) &&
	    (m->state == GROUP_READY || m->state == GROUP_OPEN));
}

/* Whether an order to join is due. One that is answered proves a member that
 * is known by an answer without a name only. */
static bool
member_join_due(const struct replica *r, const struct replica_member *m,
    uint64_t now_ms)
{
	if (r->settled)
		return (false);
	if (!m->in_group)
		return (
		    member_due(m, ORDER_JOIN, now_ms, REPLICA_JOIN_RETRY_MS));
	return (m->unverified &&
	    member_due(m, ORDER_JOIN, now_ms, REPLICA_ORDER_RETRY_MS));
}

/* Joins, then, once every member itself says that it is ready, opens. */
static void
next_forming(struct replica *r, uint64_t now_ms, struct replica_step *step)
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
	else if (member_due(&r->members[0], ORDER_OPEN, now_ms,
		     REPLICA_ORDER_RETRY_MS)) {
		r->open_ordered = true;
		step_order(step, 0, ORDER_OPEN);
	}
}

/*
 * Whether a member that has left must do so again: it was taken back, or it
 * left before the last order to join could still be carried out.
 */
static bool
member_leaves_again(const struct replica_member *m, uint64_t now_ms)
{
	return ((m->in_group &&
		    m->last_report_ms >= m->left_ms + REPLICA_REPORT_LAG_MS) ||
	    now_ms >= m->late_join_until_ms);
}

/*
 * The next order that takes a member out of the group for good. It leaves; if
 * an order to join may still take it back, that is waited for, and it leaves
 * again.
 */
static bool
member_out_step(struct replica *r, unsigned i, uint64_t now_ms,
    struct replica_step *step)
{
	struct replica_member *m = &r->members[i];

	if (m->left && member_leaves_again(m, now_ms))
		m->left = false;
	if (m->left ||
	    !member_due(m, ORDER_LEAVE, now_ms, REPLICA_ORDER_RETRY_MS))
		return (false);
	step_order(step, i, ORDER_LEAVE);
	return (true);
}

/*
 * The head can't be reached, so it can't be closed, and others may still reach
 * it; it may even be opened yet, by an order that it carries out late. So each
 * member leaves by itself, and is free once it has said so. One that can't be
 * reached either is kept until the head must be broken: it stands still from
 * the loss of a member on or, if it opens later, from then.
 */
static void
next_split(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	bool all = true;

	for (unsigned i = 1; i < r->n; i++) {
		struct replica_member *m = &r->members[i];
		bool out = replica_member_released(m);

		if (r->member_left_ms == 0 && (out || m->left))
			r->member_left_ms = now_ms;
		all = all && out;
		if (!out && m->liveness != MEMBER_SILENT &&
		    member_out_step(r, i, now_ms, step))
			return;
	}
	if (r->member_left_ms == 0)
		return;
	if (all)
		step_gone(step, PROOF_MEMBERS_LEFT);
	else if (now_ms - r->member_left_ms >= stall_ms + REPLICA_LATE_ORDER_MS)
		step_gone(step, PROOF_STALLED);
}

/*
 * Closes the head, then has it leave: only then can no late order open it
 * again, and only then may its members join another group. A late order to
 * join would take it back, so it is out only once there can be none.
 */
static void
next_doomed(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	struct replica_member *head = &r->members[0];
	bool gentle = now_ms - r->dissolving_ms < r->drain_ms;
	enum order_kind close = gentle ? ORDER_CLOSE : ORDER_CANCEL;

	/* One that nobody told to open can't serve: its hosts are free, and the
	 * epochs of newer groups keep late joins of it out. */
	if (!r->open_ordered) {
		step_gone(step, PROOF_NEVER_OPENED);
		return;
	}
	if (head->in_newer_group) {
		step_gone(step, PROOF_HEAD_IN_NEWER_GROUP);
		return;
	}
	if (head->liveness == MEMBER_DEAD) {
		step_gone(step, PROOF_HEAD_DEAD);
		return;
	}
	if (replica_member_released(head)) {
		step_gone(step, PROOF_HEAD_LEFT);
		return;
	}
	if (head->liveness == MEMBER_SILENT) {
		next_split(r, now_ms, stall_ms, step);
		return;
	}
	r->member_left_ms = 0;
	if (head->left) {
		member_out_step(r, 0, now_ms, step);
		return;
	}
	if (gentle && now_ms - r->dissolving_ms < REPLICA_CLOSE_NOTICE_MS)
		return;
	if (!r->head_closed) {
		if (member_due(head, close, now_ms, REPLICA_ORDER_RETRY_MS))
			step_order(step, 0, close);
		return;
	}
	/* A gentle close runs on until the head says that it is done. */
	if (gentle && head->in_group &&
	    (head->state == GROUP_OPEN || head->state == GROUP_CLOSING))
		return;
	member_out_step(r, 0, now_ms, step);
}

/*
 * Whether nothing was done yet to dissolve it: what was cut off whole and
 * comes back whole goes on.
 */
static bool
replica_undone(const struct replica *r)
{
	for (unsigned i = 0; i < r->n; i++) {
		if (r->members[i].left || r->members[i].in_newer_group)
			return (false);
	}
	return (!r->head_closed && r->member_left_ms == 0 && !r->adopted &&
	    !r->donor);
}

/**
 * replica_next_step() - the next step for a replica.
 * @r: the replica; notes that it has opened or is doomed
 * @now_ms: loop time
 * @stall_ms: after which the platform breaks a group that stands still
 * @step: filled in
 */
void
replica_next_step(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
    struct replica_step *step)
{
	memset(step, 0, sizeof *step);
	const char *judged = replica_check(r, now_ms);

	if (r->dissolve_reason == NULL && judged != NULL) {
		r->dissolving_ms = now_ms;
		r->drain_ms = strcmp(judged, "member_drains") == 0 ?
		    REPLICA_LEAVE_DRAIN_MS :
		    0;
	}
	if (r->dissolve_reason == NULL || replica_undone(r))
		r->dissolve_reason = judged;
	if (r->dissolve_reason != NULL)
		next_doomed(r, now_ms, stall_ms, step);
	else if (r->recorded)
		next_forming(r, now_ms, step);
}
