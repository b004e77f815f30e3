/* Evidence of endpoints from the exchanges in progress, for other daemons. */
#include <string.h>

#include "clock.h"
#include "fwd-exchange.h"

/* Sums over all daemons older than this are not used, as after a pause of this
 * process. */
#define SUMS_MAX_AGE_MS 2000
/* Evidence is collected every 100 ms; if that is this late, the process was
 * stopped. */
#define PAUSE_MS 400

/* Whether this process was just stopped: events that have queued up since are
 * not read yet, or late for that reason. */
static bool
was_paused(const struct fwd *fwd, uint64_t now_ms)
{
	return (now_ms < fwd->grace_until_ms ||
	    (fwd->collected_ms != 0 &&
		now_ms - MIN(fwd->collected_ms, now_ms) > PAUSE_MS));
}

/* Records how long the first event of a send is overdue. */
static void
record_send_overdue(const struct fwd_send *send, uint64_t now_ms)
{
	if (send->in_backlog && !send->path_doubted && !send->found_silent)
		fwd_evidence_add_overdue(&send->endpoint->evidence,
		    fwd_send_lateness_ms(send, now_ms), send->basis.sent_ms);
}

/* Records how long the first events of requests in progress are overdue. */
static void
record_overdue(struct fwd *fwd, uint64_t now_ms)
{
	const struct fwd_exchange *ex;
	const struct fwd_send *send;
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &fwd->registry->fleet.endpoints, entry)
		fwd_evidence_reset_overdue(&ep->evidence, now_ms);
	if (was_paused(fwd, now_ms))
		return;
	TAILQ_FOREACH(ex, &fwd->exchanges, entry) {
		TAILQ_FOREACH(send, &ex->active, entry)
			record_send_overdue(send, now_ms);
	}
}

/**
 * fwd_evidence_fill() - fill in rows from the evidence of endpoints.
 * @registry: the endpoints
 * @table: replaced by a row for each endpoint with evidence to report
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
		bool reported =
		    known != NULL && known->values[EVIDENCE_SEVERITY] > 0;

		if (!ep->gone &&
		    fwd_evidence_row(&ep->evidence, reported, now_ms, &row))
			sum_table_add(table, &row);
	}
}

/**
 * fwd_evidence_collect() - fill in what this daemon observed of endpoints.
 * @fwd: the proxy
 * @table: replaced by a row for each endpoint with evidence to report
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
 * fwd_send_note_first() - learn from a first event.
 * @send: the send, to an endpoint with a model
 * @now_ms: loop time
 */
void
fwd_send_note_first(const struct fwd_send *send, uint64_t now_ms)
{
	const struct fwd_exchange *ex = send->exchange;
	double error =
	    (double)(now_ms - send->basis.sent_ms) - send->basis.expected_ms;

	if (!ex->fwd->set.endpoint_evidence || was_paused(ex->fwd, now_ms))
		return;
	fwd_estimate_add_load_error(fwd_exchange_estimate(ex),
	    (double)send->basis.running / MAX(ex->engine->slots, 1), error);
	fwd_evidence_add(&send->endpoint->evidence,
	    fwd_send_lateness_ms(send, now_ms), now_ms);
}

/**
 * fwd_send_note_overdue() - learn from a send that ends before its first event.
 * @send: the send
 * @now_ms: loop time
 */
void
fwd_send_note_overdue(const struct fwd_send *send, uint64_t now_ms)
{
	const struct fwd *fwd = send->exchange->fwd;
	double overdue = fwd_send_lateness_ms(send, now_ms);

	if (fwd->set.endpoint_evidence && !was_paused(fwd, now_ms) &&
	    send->reached && !send->not_run && !send->path_doubted &&
	    overdue > 0)
		fwd_evidence_add(&send->endpoint->evidence, overdue, now_ms);
}

/**
 * fwd_send_lateness_ms() - by how much a first event is or was overdue.
 * @send: the send, to an endpoint with a model
 * @now_ms: loop time
 *
 * The expected time is the one before its correction by evidence. Otherwise the
 * correction would hide the lateness that it is due to, and come and go.
 *
 * Return: milliseconds; negative before the event is due.
 */
double
fwd_send_lateness_ms(const struct fwd_send *send, uint64_t now_ms)
{
	const struct fwd_send_basis *basis = &send->basis;

	return ((double)(now_ms - MIN(basis->sent_ms, now_ms)) -
	    (basis->expected_ms - basis->correction_ms));
}
