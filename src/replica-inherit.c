/* Replicas that are taken over from another placer, and what their records say
 * of orders that may still be carried out. Pure functions. */
#include "replica.h"

/**
 * replica_inherit() - take over a replica that another placer formed.
 * @r: the replica, decoded from its record or built from reports
 * @now_ms: loop time
 *
 * Unless it has settled, orders to join that the other placer sent may still
 * be carried out; so may its order to open, in any case.
 */
void
replica_inherit(struct replica *r, uint64_t now_ms)
{
	const uint64_t late_until_ms =
	    now_ms + REPLICA_LEASE_FRESH_MS + REPLICA_LATE_ORDER_MS;

	r->known_ms = now_ms;
	r->recorded = true;
	/* The previous placer may have ordered the head to open. */
	r->open_ordered = true;
	if (r->n > 0)
		r->members[0].late_open_until_ms = late_until_ms;
	for (unsigned i = 0; i < r->n && !r->settled; i++)
		r->members[i].late_join_until_ms = late_until_ms;
}

/**
 * replica_can_settle() - whether a replica can be recorded as settled.
 * @r: the replica
 * @now_ms: loop time
 *
 * Return: true where it has not settled yet, has served, is not being
 * dissolved, and no order to join it can be carried out any more.
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
 * replica_adopt() - take over a group that has no record, to dissolve it.
 * @r: the replica, built from reports
 * @now_ms: loop time
 * @kept: whoever removed its record kept it while late orders could make the
 *	head serve again after it has left, see step_without_head()
 *
 * The head may serve, so it is closed and leaves. A group is removed with its
 * record only when the head can't serve in it again, or can't be reached and
 * can't serve again once it has left. So this leave is for good.
 */
void
replica_adopt(struct replica *r, uint64_t now_ms, bool kept)
{
	replica_inherit(r, now_ms);
	r->adopted = true;
	r->dissolve_reason = "no_record";
	r->dissolving_ms = now_ms;
	for (unsigned i = 0; kept && i < r->n; i++) {
		r->members[i].late_join_until_ms = 0;
		r->members[i].late_open_until_ms = 0;
	}
}
