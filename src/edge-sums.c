/* What this daemon itself counts, for the sums over all daemons. */
#include "edge.h"
#include "fwd-exchange.h"

/* Whether a part that is switched on reads the sums of demand. */
static bool
demand_used(const struct edge *e)
{
	const struct fwd_setting *set = &e->fwd.set;

	return (set->overload_levels || set->retry_schedule ||
	    set->balance_spread || set->balance_domains ||
	    e->placer.placement_demand);
}

/**
 * edge_collect_sums() - fill in what this daemon itself counted.
 * @arg: the struct edge
 * @own: the tables, by kind; those that no part uses stay empty
 * @now_ms: loop time
 */
void
edge_collect_sums(void *arg, struct sum_table *own, uint64_t now_ms)
{
	struct edge *e = arg;

	own[SUM_DEMAND].n = 0;
	own[SUM_CUSTOMERS].n = 0;
	if (demand_used(e))
		fwd_count_fill(&e->fwd, &own[SUM_DEMAND], now_ms);
	if (e->fwd.set.customer_shares)
		fwd_demand_fill_customers(&e->fwd.customers,
		    &own[SUM_CUSTOMERS], now_ms);
	fwd_evidence_collect(&e->fwd, &own[SUM_EVIDENCE], now_ms);
}
