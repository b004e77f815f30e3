/* Evidence of endpoints from the exchanges in progress, for other daemons. */
#include <string.h>

#include "clock.h"
#include "fwd-exchange.h"

/* Sums over all daemons older than this are not used, as after a pause of this
 * process. */
#define SUMS_MAX_AGE_MS 2000

/* Records how long the first events of requests in progress are overdue. */
static void
record_overdue(struct fwd *fwd, uint64_t now_ms)
{
	const struct fwd_exchange *ex;
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &fwd->registry->fleet.endpoints, entry)
		fwd_evidence_reset_overdue(&ep->evidence, now_ms);
	TAILQ_FOREACH(ex, &fwd->exchanges, entry) {
		if (ex->endpoint != NULL && ex->in_backlog)
			fwd_evidence_add_overdue(&ex->endpoint->evidence,
			    fwd_exchange_lateness_ms(ex, now_ms));
	}
}

/**
 * fwd_evidence_fill() - fill in rows from the evidence of endpoints.
 * @registry: the endpoints
 * @table: filled in with a row for each endpoint with something to tell
 * @now_ms: loop time
 */
void
fwd_evidence_fill(const struct registry *registry, struct sum_table *table,
    uint64_t now_ms)
{
	const struct sum_table *total = &registry->sums.total[SUM_EVIDENCE];
	const struct endpoint *ep;

	table->n = 0;
	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry) {
		struct sum_row row = { .key = ep->id_hash };
		const struct sum_row *known = sum_table_get(total, row.key);
		bool asked =
		    known != NULL && known->values[EVIDENCE_SEVERITY] > 0;

		if (!ep->gone &&
		    fwd_evidence_row(&ep->evidence, asked, now_ms, &row))
			sum_table_add(table, &row);
	}
}

/**
 * fwd_evidence_collect() - fill in what this daemon observed of endpoints.
 * @fwd: the proxy
 * @table: filled in with a row for each endpoint with something to tell
 * @now_ms: loop time
 */
void
fwd_evidence_collect(struct fwd *fwd, struct sum_table *table, uint64_t now_ms)
{
	table->n = 0;
	if (!fwd->set.endpoint_evidence)
		return;
	record_overdue(fwd, now_ms);
	fwd_evidence_fill(fwd->registry, table, now_ms);
	fwd->collected_ms = now_ms;
}

/**
 * fwd_evidence_known() - evidence by which estimates are to be corrected.
 * @fwd: the proxy
 * @now_ms: loop time
 *
 * Return: the sums over all daemons; NULL if estimates are not corrected.
 */
const struct sum_table *
fwd_evidence_known(const struct fwd *fwd, uint64_t now_ms)
{
	if (!fwd->set.endpoint_evidence || fwd->collected_ms == 0 ||
	    now_ms - MIN(fwd->collected_ms, now_ms) > SUMS_MAX_AGE_MS)
		return (NULL);
	return (&fwd->registry->sums.total[SUM_EVIDENCE]);
}

/**
 * fwd_exchange_lateness_ms() - by how much a first event is or was overdue.
 * @ex: the exchange, sent to an endpoint with a model
 * @now_ms: loop time; negative values are returned before it is due
 *
 * Compared with the estimate before its correction: a lateness that remains
 * would otherwise be corrected in every second round only.
 */
double
fwd_exchange_lateness_ms(const struct fwd_exchange *ex, uint64_t now_ms)
{
	return ((double)(now_ms - MIN(ex->sent_ms, now_ms)) -
	    (ex->expected_ms - ex->correction_ms));
}
