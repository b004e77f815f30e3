/* Evidence of an endpoint: how late its first events are. Pure. */
#include <sys/param.h>

#include <math.h>
#include <string.h>

#include "fwd-evidence.h"

/* Time constant with which the weight of a first event decays. */
#define DECAY_MS 700.0
/* Evidence fades within this time after the newest first event. An endpoint
 * that is avoided has no new events, so this bounds the time until it is used
 * again: the sums add up to 600 ms. If it ended abruptly, all daemons would
 * return at the same time to an endpoint that is still slow. */
#define FADE_MS 450.0
/* If a request is sent within this time after the newest first event, evidence
 * counts in full until it has its own first event: otherwise all requests would
 * follow it meanwhile. */
#define HOLD_MS 1000
/* Overdue times are recorded every 100 ms; older ones are not used. */
#define OVERDUE_MAX_AGE_MS 500
/* Bounds of the lateness of one first event. */
#define LATENESS_MIN_MS (-200.0)
#define LATENESS_MAX_MS 4000.0
/* Lateness from which on a daemon reports an endpoint that no other reports. */
#define REPORT_MIN_MS 20.0
/* Lateness up to this may be an error of the estimate. Corrections by less
 * would outweigh differences in load, which are 1 ms a request, and overload
 * the other endpoints. */
#define NOISE_MS 40.0
/* Weight of assumed events in time in the mean that is compared with NOISE_MS:
 * one late event alone is often the effect of its own prompt. */
#define PRIOR_WEIGHT 3.0
/* Below this weight the mean lateness counts in part. */
#define FULL_WEIGHT 1.5
/* Sums stay below the limit on values in datagrams. */
#define VALUE_MAX 1e9
#define THOUSANDTHS 1000.0
#define SQUARES_UNIT 100.0

/* Milliseconds since @then_ms, or 0 if that is later. */
static double
elapsed_ms(uint64_t then_ms, uint64_t now_ms)
{
	return (now_ms > then_ms ? (double)(now_ms - then_ms) : 0);
}

/* Whether the first request that is sent to an endpoint again is going to tell
 * whether it is still late. */
static bool
is_awaited(const struct fwd_evidence *ev)
{
	return (ev->awaited_ms != 0 &&
	    elapsed_ms(ev->event_ms, ev->awaited_ms) <= HOLD_MS);
}

/* Part of the weight of events that is left at a later time. */
static double
decay(const struct fwd_evidence *ev, uint64_t now_ms)
{
	if (elapsed_ms(ev->event_ms, now_ms) >= FADE_MS)
		return (0);
	return (exp(-elapsed_ms(ev->at_ms, now_ms) / DECAY_MS));
}

/* Part of the evidence that still counts if there were no newer events. */
static double
fade(const struct fwd_evidence *ev, uint64_t now_ms)
{
	return (fmax(1 - elapsed_ms(ev->event_ms, now_ms) / FADE_MS, 0));
}

/**
 * fwd_evidence_add() - add a first event.
 * @ev: evidence of its endpoint
 * @lateness_ms: how much later than expected it came; negative if earlier
 * @now_ms: loop time
 */
void
fwd_evidence_add(struct fwd_evidence *ev, double lateness_ms, uint64_t now_ms)
{
	double left = decay(ev, now_ms);
	double late = fmin(fmax(lateness_ms, LATENESS_MIN_MS), LATENESS_MAX_MS);

	ev->awaited_ms = 0;
	ev->weight = ev->weight * left + 1;
	ev->late_ms = ev->late_ms * left + late;
	ev->at_ms = now_ms;
	ev->event_ms = now_ms;
}

/**
 * fwd_evidence_reset_overdue() - begin to record overdue times anew.
 * @ev: evidence of an endpoint
 * @now_ms: loop time
 */
void
fwd_evidence_reset_overdue(struct fwd_evidence *ev, uint64_t now_ms)
{
	ev->overdue_ms = 0;
	ev->squares = 0;
	ev->awaited_ms = 0;
	ev->checked_ms = now_ms;
}

/**
 * fwd_evidence_await() - note that a request was sent.
 * @ev: evidence of its endpoint
 * @sent_ms: loop time at which it was sent
 */
void
fwd_evidence_await(struct fwd_evidence *ev, uint64_t sent_ms)
{
	if (ev->awaited_ms == 0 || sent_ms < ev->awaited_ms)
		ev->awaited_ms = sent_ms;
}

/**
 * fwd_evidence_add_overdue() - add a request without a first event.
 * @ev: evidence of its endpoint
 * @overdue_ms: how long the event has been overdue; ignored if it is not
 * @sent_ms: loop time at which the request was sent
 */
void
fwd_evidence_add_overdue(struct fwd_evidence *ev, double overdue_ms,
    uint64_t sent_ms)
{
	double overdue = fmin(fmax(overdue_ms, 0), LATENESS_MAX_MS);

	fwd_evidence_await(ev, sent_ms);
	ev->overdue_ms += overdue;
	ev->squares += overdue * overdue;
}

static uint32_t
row_value(double value)
{
	return ((uint32_t)fmin(fmax(round(value), 0), VALUE_MAX));
}

/**
 * fwd_evidence_row() - evidence as a row to be added to that of other daemons.
 * @ev: evidence of an endpoint
 * @reported: other daemons report it as late, so first events in time count too
 * @now_ms: loop time
 * @row: its values are filled in
 *
 * Return: whether there is evidence to report.
 */
bool
fwd_evidence_row(const struct fwd_evidence *ev, bool reported, uint64_t now_ms,
    struct sum_row *row)
{
	uint64_t aged = is_awaited(ev) ? ev->event_ms : now_ms;
	double left = decay(ev, aged) * fade(ev, aged);
	double weight = ev->weight * left;
	double late = fmax(ev->late_ms * left, 0);
	bool checked = elapsed_ms(ev->checked_ms, now_ms) <= OVERDUE_MAX_AGE_MS;
	double overdue = checked ? ev->overdue_ms : 0;
	double squares = checked ? ev->squares : 0;

	/* Less has no severity. Otherwise rows that daemons report only since
	 * another does would cause each other to be reported. */
	if (late <= REPORT_MIN_MS * weight)
		late = 0;
	if (squares <= REPORT_MIN_MS * overdue)
		overdue = squares = 0;
	memset(row->values, 0, sizeof row->values);
	if (late + overdue <= 0 && !(reported && weight > 0))
		return (false);
	row->values[EVIDENCE_OVERDUE] = row_value(overdue);
	row->values[EVIDENCE_SEVERITY] =
	    row_value(late + row->values[EVIDENCE_OVERDUE]);
	row->values[EVIDENCE_WEIGHT] = row_value(weight * THOUSANDTHS);
	row->values[EVIDENCE_SQUARES] = row_value(squares / SQUARES_UNIT);
	return (true);
}

/**
 * fwd_evidence_lateness_ms() - mean lateness of recent first events.
 * @row: evidence of an endpoint, of one or more daemons
 *
 * Return: the mean; 0 if it may be noise.
 */
double
fwd_evidence_lateness_ms(const struct sum_row *row)
{
	const uint32_t *values = row->values;
	double weight = values[EVIDENCE_WEIGHT] / THOUSANDTHS;
	double late =
	    (double)values[EVIDENCE_SEVERITY] - values[EVIDENCE_OVERDUE];

	if (late <= NOISE_MS * (weight + PRIOR_WEIGHT))
		return (0);
	return (fmin(late / fmax(weight, FULL_WEIGHT), LATENESS_MAX_MS));
}

/**
 * fwd_evidence_overdue_ms() - how long first events have been overdue.
 * @row: evidence of an endpoint, of one or more daemons
 *
 * Return: a mean in which each request counts as much as it is overdue; 0 if it
 * may be noise.
 */
double
fwd_evidence_overdue_ms(const struct sum_row *row)
{
	const uint32_t *values = row->values;

	double squares = values[EVIDENCE_SQUARES] * SQUARES_UNIT;

	if (squares <= NOISE_MS * values[EVIDENCE_OVERDUE])
		return (0);
	return (
	    fmin(squares / fmax(values[EVIDENCE_OVERDUE], 1), LATENESS_MAX_MS));
}
