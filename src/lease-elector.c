/*
 * Keeping a control lease. A holder counts from the moment before it sent a
 * renewal, a successor from the moment after it read the renewal, so the
 * holder stops first whatever the log's delay, by the difference of @hold and
 * @wait. Replay makes the records of an older term void in any case.
 */
#include <string.h>

#include "lease-elector.h"
#include "lease.h"

/**
 * lease_elector_init() - begin; an unknown holder may have renewed just now.
 * @keeper: the keeper
 * @now: monotonic milliseconds
 */
void
lease_elector_init(struct lease_elector *keeper, uint64_t now)
{
	memset(keeper, 0, sizeof *keeper);
	keeper->seen_ms = now;
}

/* Takes note of a renewal that replay has reached. */
static void
keeper_observe(struct lease_elector *k, const struct lease_times *t,
    const struct lease *lease, bool mine, uint64_t now)
{
	if (lease->renewed != k->seen_renewed || lease->term != k->seen_term) {
		k->seen_renewed = lease->renewed;
		k->seen_term = lease->term;
		k->seen_ms = now;
	}
	if (!mine) {
		k->hold_until_ms = 0;
		return;
	}
	if (k->sent_offset != 0 && lease->renewed >= k->sent_offset)
		k->hold_until_ms = k->sent_ms + t->hold;
}

/**
 * lease_elector_step() - what to do about the lease now.
 * @k: the keeper
 * @t: the bounds
 * @lease: the newest lease by replay, or NULL when none was ever taken
 * @me: holder name of this daemon, with its incarnation
 * @delay: extra wait of this daemon, so that contenders do not collide
 * @now: monotonic milliseconds
 */
enum lease_step
lease_elector_step(struct lease_elector *k, const struct lease_times *t,
    const struct lease *lease, const char *me, uint64_t delay, uint64_t now)
{
	bool mine, vacant;

	vacant = lease == NULL || lease->holder[0] == '\0';
	mine = !vacant && strcmp(lease->holder, me) == 0;
	if (lease != NULL)
		keeper_observe(k, t, lease, mine, now);
	if (mine)
		return (
		    now >= k->sent_ms + t->renew ? LEASE_RENEW : LEASE_WAIT);
	if (vacant && now >= k->seen_ms + delay)
		return (LEASE_TAKE);
	if (now >= k->seen_ms + t->wait + delay)
		return (LEASE_TAKE);
	return (LEASE_WAIT);
}

/**
 * lease_elector_sent() - note that a lease record was appended.
 * @k: the keeper
 * @sent_ms: time just before the append was sent
 * @offset: its offset; 0 when the answer was lost, which extends nothing
 */
void
lease_elector_sent(struct lease_elector *k, uint64_t sent_ms, uint64_t offset)
{
	k->sent_ms = sent_ms;
	k->sent_offset = offset;
}

/**
 * lease_elector_holds() - whether this daemon may act on the lease now.
 * @k: the keeper
 * @now: monotonic milliseconds; read it just before acting
 */
bool
lease_elector_holds(const struct lease_elector *k, uint64_t now)
{
	return (now < k->hold_until_ms);
}
