/* Bounds on all daemons together: retries, and idle connections. Pure. */
#include <glib.h>
#include <limits.h>
#include <xxhash.h>

#include "fwd-budget.h"

/* A daemon keeps its draw for this long: several windows, so that few windows
 * have two draws. */
#define DRAW_MS 120000
/* Part of the connections that an endpoint takes that may be idle. */
#define IDLE_SHARE 0.5

/* Advances the window to @now_ms. Returns the index of the current bucket. */
static unsigned
budget_advance(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    uint64_t now_ms)
{
	uint64_t bucket = now_ms * FWD_BUDGET_BUCKETS / rule->window_ms;

	if (bucket > b->bucket + FWD_BUDGET_BUCKETS)
		b->bucket = bucket - FWD_BUDGET_BUCKETS;
	while (b->bucket < bucket) {
		b->bucket++;
		b->requests[b->bucket % FWD_BUDGET_BUCKETS] = 0;
		b->retries[b->bucket % FWD_BUDGET_BUCKETS] = 0;
	}
	return ((unsigned)(bucket % FWD_BUDGET_BUCKETS));
}

/**
 * fwd_budget_request() - count a request.
 * @b: the budget
 * @rule: the bound
 * @now_ms: monotonic time
 */
void
fwd_budget_request(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    uint64_t now_ms)
{
	b->requests[budget_advance(b, rule, now_ms)]++;
}

/**
 * fwd_budget_draw() - the fraction of a retry that a daemon rounds up.
 * @name_hash: hash of the daemon's name
 * @now_ms: monotonic time
 *
 * It is uniform over the daemons and changes now and then, at another time for
 * each.
 */
double
fwd_budget_draw(uint32_t name_hash, uint64_t now_ms)
{
	uint64_t epoch = (now_ms + name_hash % DRAW_MS) / DRAW_MS;

	return (XXH32(&epoch, sizeof epoch, name_hash) / (UINT32_MAX + 1.0));
}

/**
 * fwd_budget_take() - take a retry from the budget.
 * @b: the budget
 * @rule: the bound
 * @share: this daemon's share
 * @now_ms: monotonic time
 *
 * A share need not be a whole number of retries, and with many daemons it is
 * below one. Rounded up at as many daemons as the fraction says, all together
 * have the sum of their shares.
 *
 * Return: true if the budget allows the retry; it is counted then.
 */
bool
fwd_budget_take(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    const struct fwd_budget_share *share, uint64_t now_ms)
{
	unsigned at = budget_advance(b, rule, now_ms);
	unsigned requests = 0, retries = 0;
	double allowed;

	for (unsigned i = 0; i < FWD_BUDGET_BUCKETS; i++) {
		requests += b->requests[i];
		retries += b->retries[i];
	}
	allowed = FWD_BUDGET_MARGIN *
	    (rule->ratio * requests + rule->slack / MAX(share->daemons, 1));
	if (retries + 1 > allowed + share->draw)
		return (false);
	b->retries[at]++;
	return (true);
}

/**
 * fwd_idle_share() - idle connections to an endpoint that this daemon may keep.
 * @max: connections that the endpoint takes from all daemons; 0 for any number
 * @daemons: number of daemons
 * @name_hash: hash of this daemon's name
 * @id_hash: hash of the endpoint's id
 *
 * All together keep a part of @max at most, so that there is room for
 * connections in use. Where that is less than one each, some daemons keep one.
 */
unsigned
fwd_idle_share(unsigned max, unsigned daemons, uint32_t name_hash,
    uint32_t id_hash)
{
	double draw =
	    XXH32(&id_hash, sizeof id_hash, name_hash) / (UINT32_MAX + 1.0);

	if (max == 0)
		return (UINT_MAX);
	return ((unsigned)(IDLE_SHARE * max / MAX(daemons, 1) + draw));
}

/**
 * fwd_daemon_peak_update() - update the peak with the daemons that are alive
 * now.
 * @p: the peak
 * @daemons: number of daemons known to be alive, this one included
 * @window_ms: window of the bound that the daemons share, in ms
 * @now_ms: monotonic time
 *
 * A daemon that is partitioned, or has lost its relay, knows only few others,
 * but those that it doesn't see still use their shares. So the highest number
 * of the last one to two windows counts.
 *
 * Return: number of daemons to share the bound among.
 */
unsigned
fwd_daemon_peak_update(struct fwd_daemon_peak *p, unsigned daemons,
    uint64_t window_ms, uint64_t now_ms)
{
	uint64_t window = now_ms / MAX(window_ms, 1);

	if (window != p->window) {
		p->peak[1] = window == p->window + 1 ? p->peak[0] : 0;
		p->peak[0] = 0;
		p->window = window;
	}
	p->peak[0] = MAX(p->peak[0], daemons);
	return (MAX(p->peak[0], p->peak[1]));
}
