/* What this daemon itself counts, for the sums over all daemons. */
#include "edge.h"
#include "fwd-exchange.h"

/**
 * edge_collect_sums() - fill in what this daemon itself counted.
 * @arg: the struct edge
 * @own: the tables, by kind
 * @now_ms: loop time
 */
void
edge_collect_sums(void *arg, struct sum_table *own, uint64_t now_ms)
{
	struct edge *e = arg;

	fwd_count_fill(&e->fwd, &own[SUM_DEMAND], now_ms);
	fwd_evidence_collect(&e->fwd, &own[SUM_EVIDENCE], now_ms);
	fwd_demand_fill_customers(&e->fwd.customers, &own[SUM_CUSTOMERS],
	    now_ms);
}
