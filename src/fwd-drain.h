/* Whether a request may still be served before the daemon ends. Pure. */
#ifndef BL_FWD_DRAIN_H
#define BL_FWD_DRAIN_H

#include "fwd-expect.h"

/* Time to retry for a request that this daemon can't serve before it ends; the
 * other daemons can at once. */
#define FWD_DRAIN_RETRY_MS 100

/**
 * struct fwd_drain_request - a request that is to be sent while its daemon
 *	drains.
 * @now_ms: loop time
 * @deadline_ms: loop time at which the request gets its final response in any
 *	case
 * @longest_ms: time within which nearly all requests of its kind end
 */
struct fwd_drain_request {
	uint64_t now_ms;
	uint64_t deadline_ms;
	double longest_ms;
};

bool fwd_drain_allows(const struct fwd_drain_request *, uint64_t);

#endif
