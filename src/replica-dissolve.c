/* How a replica is dissolved: its head closes and leaves, and then its hosts
 * are free. Pure functions. */
#include "replica.h"

/* Sets a step to the removal of the replica. */
static void
step_remove(struct replica_step *step, enum replica_proof proof)
{
	step->action = REPLICA_DISSOLVED;
	step->proof = proof;
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
	    !replica_order_due(m, ORDER_LEAVE, now_ms, REPLICA_ORDER_RETRY_MS))
		return (false);
	replica_step_order(step, i, ORDER_LEAVE);
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
 * has left. So a head without a record can't serve again once it has left, and
 * a placer that adopts its group need not know which orders it was sent. This
 * binds no other host than the head.
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

/**
 * replica_dissolve_step() - determine the next step to dissolve a group.
 * @r: the replica
 * @now_ms: loop time
 * @stall_ms: time after which the platform breaks a group that makes no
 *	progress, in ms
 * @step: set to the step
 *
 * The head is closed and then leaves. Only then can no late order open it
 * again, and only then may the members join another group. A late order to join
 * and a late order to open after it would make the head serve again, so it is
 * released only once one of the two can't be carried out any more.
 */
void
replica_dissolve_step(struct replica *r, uint64_t now_ms, uint64_t stall_ms,
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
		if (replica_order_due(head, close, now_ms,
			REPLICA_ORDER_RETRY_MS))
			replica_step_order(step, 0, close);
		return;
	}
	/* A graceful close lasts until the head reports that it is done. */
	if (graceful && head->in_group &&
	    (head->state == GROUP_OPEN || head->state == GROUP_CLOSING))
		return;
	step_leave(r, 0, now_ms, step);
}
