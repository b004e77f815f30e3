/* This daemon's sends, from which those of other daemons are estimated. */
#include "clock.h"
#include "fwd-exchange.h"

/**
 * fwd_sends_count() - count a send.
 * @send: the send
 */
void
fwd_sends_count(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	fwd_rate_add(&fwd_exchange_estimate(ex)->sends, now);
	fwd_stats_count_send(&ex->fwd->stats, ex->service,
	    send->endpoint->report.domain, now);
}

/**
 * fwd_sends_fill_unseen() - what other daemons may have sent since the loads
 *	were measured.
 * @ex: the exchange
 * @now_ms: loop time
 * @unseen: filled in if requests are spread by it
 */
void
fwd_sends_fill_unseen(const struct fwd_exchange *ex, uint64_t now_ms,
    struct fwd_unseen *unseen)
{
	const struct fwd_estimate *estimate = fwd_exchange_estimate(ex);

	if (!ex->fwd->set.balance_spread)
		return;
	unseen->age_ms =
	    fwd_unseen_age(ex->fwd->registry->loads_as_of_ms, now_ms);
	unseen->duration_ms = estimate->duration_ms;
	unseen->requests =
	    fwd_unseen_requests(fwd_rate_per_s(&estimate->sends, now_ms),
		ex->fwd->daemons, unseen->age_ms);
}
