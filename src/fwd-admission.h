/* Admission control: send, queue or refuse a request. Pure. */
#ifndef BL_FWD_ADMISSION_H
#define BL_FWD_ADMISSION_H

#include "fwd-choose.h"

/**
 * enum fwd_admission_verdict - decision on a request.
 * @ADMIT_SEND: send it to the chosen endpoint
 * @ADMIT_QUEUE: queue it; a slot is expected to become free in time
 * @ADMIT_REFUSE: it can't be served in time; refuse it with a time to retry
 */
enum fwd_admission_verdict {
	ADMIT_SEND,
	ADMIT_QUEUE,
	ADMIT_REFUSE,
};

/**
 * struct fwd_admission - input of the decision on a request without an
 *	endpoint.
 * @criteria: what it requires of an endpoint
 * @choice: the endpoint chosen for it, if any
 * @first_ms: expected time to the first event of a request of usual size at
 *	that endpoint
 * @objective_ms: latency objective of the route, counted from the arrival
 * @waited_ms: time since it arrived
 * @left_ms: time until its deadline
 * @resubmitted: the client resubmitted it after a refusal, so its objective has
 *	passed
 * @sends: number of times it was sent
 * @started: it may have run
 * @begun: part of its response was passed on
 * @duration_ms: average time for which a request of its kind occupies a slot
 * @ahead: requests queued before it for the same slots, at all daemons;
 *	permits of rate limits are this daemon's own, so @criteria has the
 *	number for those
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
	bool begun;
	double duration_ms;
	double ahead;
	uint32_t draw;
};

enum fwd_admission_verdict fwd_admission_decide(const struct fwd_admission *);
int64_t fwd_admission_retry_ms(const struct fwd_admission *);

#endif
