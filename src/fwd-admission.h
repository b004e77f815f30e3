/* Whether a request is sent, waits for a place or is refused. Pure. */
#ifndef BL_FWD_ADMISSION_H
#define BL_FWD_ADMISSION_H

#include "fwd-choose.h"

/**
 * enum fwd_admission_verdict - what becomes of a request now.
 * @ADMIT_SEND: it goes to the endpoint chosen
 * @ADMIT_QUEUE: a place that it can have in time is expected
 * @ADMIT_REFUSE: it can't be served in time; it is told when to come back
 */
enum fwd_admission_verdict {
	ADMIT_SEND,
	ADMIT_QUEUE,
	ADMIT_REFUSE,
};

/**
 * struct fwd_admission - a request that has no endpoint, and what is known of
 *it.
 * @criteria: what it needs
 * @choice: the endpoint found for it, if any
 * @first_ms: when the first event of a request of usual size is expected there
 * @objective_ms: when its answer has its full worth
 * @waited_ms: since it arrived
 * @left_ms: until its deadline
 * @resubmitted: it was refused before, so its objective has passed
 * @sends: times it was sent
 * @started: it may have run, or part of its answer was given
 * @duration_ms: how long requests of its kind hold a place
 * @ahead: requests that wait before it for the same places, at all daemons;
 *	turns at limits are this daemon's own, and go by @criteria
 * @draw: random number
 */
struct fwd_admission {
	const struct fwd_criteria *criteria;
	const struct fwd_choice *choice;
	double first_ms;
	double objective_ms;
	double waited_ms;
	double left_ms;
	bool resubmitted;
	unsigned sends;
	bool started;
	double duration_ms;
	double ahead;
	uint32_t draw;
};

enum fwd_admission_verdict fwd_admission_decide(const struct fwd_admission *);
int64_t fwd_admission_retry_ms(const struct fwd_admission *);

#endif
