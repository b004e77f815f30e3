/* Whether the placer itself reaches hosts, so that silence tells of a member.
 * Pure functions. */
#include <glib.h>

#include "replica-reach.h"

static void
reach_restore(struct replica_reach *reach, uint64_t now_ms)
{
	reach->lost = false;
	reach->restored_ms = now_ms;
}

/**
 * replica_reach_note() - note how many of a sample of hosts answered.
 * @reach: the state
 * @asked: number of hosts that were asked
 * @answered: number of these that answered
 * @asked_ms: loop time at which they were asked
 *
 * Return: whether hosts are reached that were not, or no longer.
 */
bool
replica_reach_note(struct replica_reach *reach, unsigned asked,
    unsigned answered, uint64_t asked_ms)
{
	bool was_lost = reach->lost;

	if (asked == 0 || answered * 2 < asked) {
		reach->lost = true;
		return (!was_lost);
	}
	if (was_lost)
		reach_restore(reach, asked_ms);
	reach->proved_ms = asked_ms;
	return (was_lost);
}

/**
 * replica_reach_clear() - note that no member is silent any more.
 * @reach: the state
 * @now_ms: loop time
 *
 * Return: whether hosts were not reached before.
 */
bool
replica_reach_clear(struct replica_reach *reach, uint64_t now_ms)
{
	if (!reach->lost)
		return (false);
	reach_restore(reach, now_ms);
	return (true);
}

/**
 * replica_reach_tells() - whether and since when the silence of a member tells
 *	of the member, and not of the placer's path to all hosts.
 * @reach: the state
 * @silent_ms: loop time at which the first query without an answer was sent
 * @unanswered_ms: the same of the last one
 * @since_ms: set to the loop time from which on the silence counts
 *
 * What was asked while hosts were not reached doesn't count, so the member has
 * to be asked again after that.
 */
bool
replica_reach_tells(const struct replica_reach *reach, uint64_t silent_ms,
    uint64_t unanswered_ms, uint64_t *since_ms)
{
	*since_ms = MAX(silent_ms, reach->restored_ms);
	return (!reach->lost && reach->proved_ms >= silent_ms &&
	    unanswered_ms >= *since_ms);
}
