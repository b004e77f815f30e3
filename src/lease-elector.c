/*
 * Decides when a daemon takes and renews a control lease. A holder counts from
 * the moment before it sent a renewal, a successor from the moment after it
 * read that renewal. So the holder stops first whatever the delay of the log,
 * by the difference of the wait and hold times. Replay voids the records of an
 * older term in any case.
 */
#include <string.h>

#include "lease-elector.h"
#include "lease.h"

/**
 * lease_elector_init() - initialize an elector before any lease was read.
 * @e: the elector
 * @now: monotonic time, in ms
 *
 * An unknown holder may have renewed the lease just now, so the wait counts
 * from @now.
 */
void
lease_elector_init(struct lease_elector *e, uint64_t now)
{
	memset(e, 0, sizeof *e);
	e->seen_ms = now;
}

/* Notes the newest renewal by replay. */
static void
elector_observe(struct lease_elector *e, const struct lease_times *t,
    const struct lease *lease, bool mine, uint64_t now)
{
	if (lease->renewed != e->seen_renewed || lease->term != e->seen_term) {
		e->seen_renewed = lease->renewed;
		e->seen_term = lease->term;
		e->seen_ms = now;
	}
	if (!mine) {
		e->hold_until_ms = 0;
		return;
	}
	if (e->sent_offset != 0 && lease->renewed >= e->sent_offset)
		e->hold_until_ms = e->sent_ms + t->hold;
}

/**
 * lease_elector_step() - what to do about the lease now.
 * @e: the elector
 * @t: times of the lease
 * @lease: the newest lease by replay, or NULL if none was ever taken
 * @me: holder name of this daemon, with its incarnation
 * @delay: extra delay of this daemon, in ms, so that contenders do not collide
 * @now: monotonic time, in ms
 */
enum lease_step
lease_elector_step(struct lease_elector *e, const struct lease_times *t,
    const struct lease *lease, const char *me, uint64_t delay, uint64_t now)
{
	bool mine, vacant;

	vacant = lease == NULL || lease->holder[0] == '\0';
	mine = !vacant && strcmp(lease->holder, me) == 0;
	if (lease != NULL)
		elector_observe(e, t, lease, mine, now);
	if (mine)
		return (
		    now >= e->sent_ms + t->renew ? LEASE_RENEW : LEASE_WAIT);
	if (vacant && now >= e->seen_ms + delay)
		return (LEASE_TAKE);
	if (now >= e->seen_ms + t->wait + delay)
		return (LEASE_TAKE);
	return (LEASE_WAIT);
}

/**
 * lease_elector_note_sent() - note that a lease record was sent.
 * @e: the elector
 * @sent_ms: monotonic time just before the append was sent, in ms
 * @offset: offset of the record; 0 if the answer was lost, in which case the
 *	lease is not extended
 */
void
lease_elector_note_sent(struct lease_elector *e, uint64_t sent_ms,
    uint64_t offset)
{
	e->sent_ms = sent_ms;
	e->sent_offset = offset;
}

/**
 * lease_elector_holds() - whether this daemon holds the lease now.
 * @e: the elector
 * @now: monotonic time, in ms; read just before acting on the lease
 */
bool
lease_elector_holds(const struct lease_elector *e, uint64_t now)
{
	return (now < e->hold_until_ms);
}
