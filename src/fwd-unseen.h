/* Requests that other daemons sent and this one does not know of yet. Pure. */
#ifndef BL_FWD_UNSEEN_H
#define BL_FWD_UNSEEN_H

#include <stdint.h>

/**
 * struct fwd_rate - moving average of requests per second.
 * @per_s: requests per second as of @at_ms
 * @at_ms: loop time of the last request
 */
struct fwd_rate {
	double per_s;
	uint64_t at_ms;
};

/**
 * struct fwd_unseen - what happened at endpoints since their loads were
 *	measured.
 * @age_ms: time since then
 * @requests: estimated number of requests that other daemons sent meanwhile to
 *	the endpoints of a model or plain service; 0 if that is not considered
 * @duration_ms: mean time for which a request occupies a slot; 0 if not known
 */
struct fwd_unseen {
	double age_ms;
	double requests;
	double duration_ms;
};

void fwd_rate_add(struct fwd_rate *, uint64_t);
double fwd_rate_per_s(const struct fwd_rate *, uint64_t);
double fwd_unseen_age(uint64_t, uint64_t);
double fwd_unseen_requests(double, unsigned, double);
double fwd_unseen_ended(const struct fwd_unseen *);
double fwd_unseen_stayed(const struct fwd_unseen *);

#endif
