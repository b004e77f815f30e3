/* Counts what happens to an exchange in the proxy's table of demand. */
#include "clock.h"
#include "fwd-exchange.h"

#define US_PER_MS 1000

/* Key of the exchange's row. */
static uint32_t
exchange_key(const struct fwd_exchange *ex)
{
	return (fwd_demand_key(ex->service,
	    ex->model != NULL ? ex->model->name : NULL, ex->priority));
}

/* Counts an event of an exchange that has a route and service. */
static void
exchange_count(struct fwd_exchange *ex, enum demand_value what)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	fwd_demand_count(&ex->fwd->demand, exchange_key(ex), what, now);
	if (ex->customer != NULL && ex->fwd->set.customer_shares &&
	    (what == DEMAND_ASKED || what == DEMAND_ADMITTED))
		fwd_demand_count(&ex->fwd->customers,
		    fwd_customer_key(ex->service, ex->customer->name), what,
		    now);
}

/**
 * fwd_count_asked() - count a request that has arrived.
 * @ex: the exchange, once it is resolved
 */
void
fwd_count_asked(struct fwd_exchange *ex)
{
	exchange_count(ex, ex->resubmitted ? DEMAND_RETURNED : DEMAND_ASKED);
	if (!ex->resubmitted)
		fwd_demand_add_tokens(&ex->fwd->demand, exchange_key(ex),
		    ex->prompt, ex->arrived_ms);
}

/**
 * fwd_count_sent() - count a send.
 * @ex: the exchange; only its first send counts
 */
void
fwd_count_sent(struct fwd_exchange *ex)
{
	if (ex->sends == 1)
		exchange_count(ex, DEMAND_ADMITTED);
}

/**
 * fwd_count_first() - note the time of the first event and count it if it is
 *	late.
 * @ex: the exchange, of whose response the first part is passed on
 */
void
fwd_count_first(struct fwd_exchange *ex)
{
	ex->first_us = clock_now_us();
	if (ex->first_us - ex->arrived_us >
	    (uint64_t)MAX(ex->route->objective_ms, 0) * US_PER_MS)
		exchange_count(ex, DEMAND_LATE);
}

/**
 * fwd_count_refused() - count a request that is refused for lack of capacity.
 * @ex: the exchange
 * @retry_ms: time after which its client is told to return
 *
 * A client returns once only, so it isn't expected again after its second
 * attempt.
 */
void
fwd_count_refused(struct fwd_exchange *ex, int64_t retry_ms)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	exchange_count(ex, DEMAND_REFUSED);
	if (!ex->resubmitted)
		fwd_demand_add_due(&ex->fwd->demand, exchange_key(ex),
		    now + (uint64_t)MAX(retry_ms, 0), now);
}

/**
 * fwd_count_fill() - fill in the sums of what this daemon is asked.
 * @fwd: the proxy
 * @table: replaced
 * @now_ms: loop time
 */
void
fwd_count_fill(struct fwd *fwd, struct sum_table *table, uint64_t now_ms)
{
	const struct fwd_exchange *ex;

	fwd_demand_clear_queued(&fwd->demand);
	TAILQ_FOREACH(ex, &fwd->queue, queue_entry)
		fwd_demand_add_queued(&fwd->demand, exchange_key(ex), now_ms);
	fwd_demand_fill(&fwd->demand, table, now_ms);
}
