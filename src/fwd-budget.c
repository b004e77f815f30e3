/* How many requests may be sent once more, over all daemons. Pure. */
#include <glib.h>

#include "fwd-budget.h"

/* Brings the window up to now. */
static unsigned
budget_advance(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    uint64_t now_ms)
{
	uint64_t slot = now_ms * FWD_BUDGET_BUCKETS / rule->window_ms;

	if (slot > b->bucket + FWD_BUDGET_BUCKETS)
		b->bucket = slot - FWD_BUDGET_BUCKETS;
	while (b->bucket < slot) {
		b->bucket++;
		b->requests[b->bucket % FWD_BUDGET_BUCKETS] = 0;
		b->retries[b->bucket % FWD_BUDGET_BUCKETS] = 0;
	}
	return ((unsigned)(slot % FWD_BUDGET_BUCKETS));
}

/**
 * fwd_budget_request() - count a request's first sending.
 * @b: the budget
 * @rule: the bound
 * @now_ms: steady time
 */
void
fwd_budget_request(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    uint64_t now_ms)
{
	b->requests[budget_advance(b, rule, now_ms)]++;
}

/**
 * fwd_budget_take() - ask to send a request once more.
 * @b: the budget
 * @rule: the bound
 * @daemons: that share the slack
 * @now_ms: steady time
 *
 * Return: whether it may be sent; it is counted then.
 */
bool
fwd_budget_take(struct fwd_budget *b, const struct fwd_budget_rule *rule,
    unsigned daemons, uint64_t now_ms)
{
	unsigned at = budget_advance(b, rule, now_ms);
	unsigned requests = 0, repeats = 0;
	double most;

	for (unsigned i = 0; i < FWD_BUDGET_BUCKETS; i++) {
		requests += b->requests[i];
		repeats += b->retries[i];
	}
	most = FWD_BUDGET_MARGIN *
	    (rule->ratio * requests +
		rule->slack / (daemons > 0 ? daemons : 1));
	if (repeats + 1 > most)
		return (false);
	b->retries[at]++;
	return (true);
}

/**
 * fwd_daemon_peak_update() - take in how many daemons are known to live.
 * @s: the sharers
 * @daemons: that live, this one included
 * @span_ms: of the bound that they share
 * @now_ms: steady time
 *
 * A daemon that is cut off, or has lost its relay, knows of few; the others
 * still take their shares. So the most of the last one to two spans count.
 *
 * Return: daemons among which the bound is to be shared.
 */
unsigned
fwd_daemon_peak_update(struct fwd_daemon_peak *s, unsigned daemons,
    uint64_t span_ms, uint64_t now_ms)
{
	uint64_t span = now_ms / MAX(span_ms, 1);

	if (span != s->window) {
		s->peak[1] = span == s->window + 1 ? s->peak[0] : 0;
		s->peak[0] = 0;
		s->window = span;
	}
	s->peak[0] = MAX(s->peak[0], daemons);
	return (MAX(s->peak[0], s->peak[1]));
}
