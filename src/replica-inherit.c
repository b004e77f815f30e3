/* Replicas that are taken over from another placer, and what their records say
 * of orders that may still be carried out. Pure functions. */
#include "replica.h"

/* Whether the record of a replica says that orders to join are in doubt. */
static bool
record_has_doubts(const struct replica *r)
{
	for (unsigned i = 0; i < r->n; i++) {
		if (r->members[i].join_in_doubt)
			return (true);
	}
	return (false);
}

/**
 * replica_inherit() - take over a replica that another placer formed.
 * @r: the replica, decoded from its record or built from reports
 * @now_ms: loop time
 * @trusted: its record was written by the previous placer, which orders no head
 *	to open before the record says that the replica has settled
 *
 * Orders that the other placer sent may still be carried out: to join, those
 * that the record doesn't exclude; to open, unless the replica has not settled.
 * The previous placer may go on for REPLICA_LEASE_FRESH_MS, but it can't write
 * records any more, so it can't open a replica that has not settled.
 *
 * A placer of a former version writes no term. Nothing is known then of the
 * orders to a replica that has not settled, whatever a record says that an
 * earlier placer wrote.
 */
void
replica_inherit(struct replica *r, uint64_t now_ms, bool trusted)
{
	const uint64_t late_until_ms = now_ms + REPLICA_FORMER_ORDER_MS;

	r->known_ms = now_ms;
	r->recorded = true;
	if (!trusted && record_has_doubts(r))
		r->settled = false;
	r->open_ordered = r->settled || !trusted;
	if (r->n > 0 && r->open_ordered)
		r->members[0].late_open_until_ms = late_until_ms;
	for (unsigned i = 0; i < r->n; i++) {
		if (!r->settled || r->members[i].join_in_doubt)
			r->members[i].late_join_until_ms = late_until_ms;
	}
}

/**
 * replica_record_outdated() - whether the record of a replica that was just
 * taken over must be written again.
 * @r: the replica
 *
 * Return: true where the record can be trusted and excludes orders that would
 * otherwise have to be assumed. It is written again under the new term, so that
 * the next placer can trust it too.
 */
bool
replica_record_outdated(const struct replica *r)
{
	return (!r->open_ordered || (r->settled && record_has_doubts(r)));
}

/* Whether all members themselves have reported this group. */
static bool
members_joined(const struct replica *r)
{
	for (unsigned i = 0; i < r->n; i++) {
		const struct replica_member *m = &r->members[i];

		if (!m->in_group || m->unverified)
			return (false);
	}
	return (true);
}

/* Updates which orders to join are in doubt; returns whether one no longer
 * is. */
static bool
members_update_doubts(struct replica *r, uint64_t now_ms)
{
	bool ended = false;

	for (unsigned i = 0; i < r->n; i++) {
		struct replica_member *m = &r->members[i];
		bool in_doubt = m->late_join_until_ms > now_ms ||
		    (m->order_pending && m->last_order == ORDER_JOIN);

		ended = ended || (m->join_in_doubt && !in_doubt);
		m->join_in_doubt = in_doubt;
	}
	return (ended);
}

/**
 * replica_settle() - settle a replica once all its members are in the group.
 * @r: the replica; it is not @recorded any more if its head may open only with
 *	the new record
 * @now_ms: loop time
 *
 * The record says that the head may have been ordered to open, before it is. So
 * if another placer takes over, the hosts of a replica without that record are
 * free at once, and those of the others need wait only for orders to join that
 * had no answer.
 *
 * Return: true where the record has to be written.
 */
bool
replica_settle(struct replica *r, uint64_t now_ms)
{
	if (r->dissolve_reason != NULL || !r->recorded)
		return (false);
	if (r->settled)
		return (
		    record_has_doubts(r) && members_update_doubts(r, now_ms));
	if (!members_joined(r))
		return (false);
	members_update_doubts(r, now_ms);
	r->settled = true;
	r->settled_ms = now_ms;
	r->recorded = r->opened;
	return (true);
}

/**
 * replica_adopt() - take over a group that has no record, to dissolve it.
 * @r: the replica, built from reports
 * @now_ms: loop time
 * @kept: the placer that removed its record had kept it while late orders could
 *	make the head serve again after it has left, see step_without_head()
 *
 * The head may serve, so it is closed and leaves. A group is removed with its
 * record only when the head can't serve in it again, or can't be reached and
 * can't serve again once it has left. So this leave is for good.
 */
void
replica_adopt(struct replica *r, uint64_t now_ms, bool kept)
{
	replica_inherit(r, now_ms, false);
	r->adopted = true;
	r->dissolve_reason = "no_record";
	r->dissolving_ms = now_ms;
	for (unsigned i = 0; kept && i < r->n; i++) {
		r->members[i].late_join_until_ms = 0;
		r->members[i].late_open_until_ms = 0;
	}
}
