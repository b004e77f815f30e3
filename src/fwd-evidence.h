/* Evidence of an endpoint: how late its first events are. Pure. */
#ifndef BL_FWD_EVIDENCE_H
#define BL_FWD_EVIDENCE_H

#include "sum-table.h"

/**
 * enum evidence_value - values of a row of evidence.
 * @EVIDENCE_SEVERITY: @EVIDENCE_OVERDUE plus the sum of weight times lateness
 *	of recent first events, in ms; the lateness of a daemon whose first
 *	events were early on average counts as 0
 * @EVIDENCE_WEIGHT: sum of the weights of these events, in thousandths
 * @EVIDENCE_OVERDUE: sum, over the requests without a first event, of how long
 *	it has been overdue, in ms
 * @EVIDENCE_SQUARES: sum of the squares of these times, in 100 ms²
 * @EVIDENCE_VALUES: number of values
 *
 * All can be added over daemons. The two sums of overdue times yield a mean in
 * which the longest count most, in place of a maximum.
 */
enum evidence_value {
	EVIDENCE_SEVERITY,
	EVIDENCE_WEIGHT,
	EVIDENCE_OVERDUE,
	EVIDENCE_SQUARES,
	EVIDENCE_VALUES,
};

/**
 * struct fwd_evidence - what this daemon observed of an endpoint.
 * @weight: recent first events, each of weight 1 when it arrives
 * @late_ms: sum of weight times lateness of these
 * @at_ms: loop time as of which both hold
 * @event_ms: loop time of the newest of these events
 * @overdue_ms: sum of the overdue times of requests without a first event
 * @squares: sum of their squares, in ms²
 * @checked_ms: loop time as of which both hold
 * @awaited_ms: loop time at which the oldest request without a first event was
 *	sent; 0 without one
 */
struct fwd_evidence {
	double weight;
	double late_ms;
	uint64_t at_ms;
	uint64_t event_ms;
	double overdue_ms;
	double squares;
	uint64_t checked_ms;
	uint64_t awaited_ms;
};

void fwd_evidence_add(struct fwd_evidence *, double, uint64_t);
void fwd_evidence_reset_overdue(struct fwd_evidence *, uint64_t);
void fwd_evidence_await(struct fwd_evidence *, uint64_t);
void fwd_evidence_add_overdue(struct fwd_evidence *, double, uint64_t);
bool fwd_evidence_row(const struct fwd_evidence *, bool, uint64_t,
    struct sum_row *);
double fwd_evidence_lateness_ms(const struct sum_row *);
double fwd_evidence_overdue_ms(const struct sum_row *);

#endif
