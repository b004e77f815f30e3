/* Whether a request may still be sent while its daemon drains. Pure. */
#ifndef BL_FWD_DRAIN_ADMIT_H
#define BL_FWD_DRAIN_ADMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Time to retry for a request that this daemon can't serve before it ends; the
 * other daemons can at once. */
#define FWD_DRAIN_RETRY_MS 100

/**
 * struct fwd_drain_window - times of a graceful shutdown.
 * @estimate_until_ms: loop time until which a request is sent if others like it
 *	ended in time; later only its deadline counts
 * @end_ms: loop time at which the daemon ends what is left; 0 if it doesn't
 *	drain
 */
struct fwd_drain_window {
	uint64_t estimate_until_ms;
	uint64_t end_ms;
};

/**
 * struct fwd_drain_request - a request that is to be sent while its daemon
 *	drains.
 * @now_ms: loop time
 * @deadline_ms: loop time at which the request gets its final response in any
 *	case
 * @usual_ms: time within which nearly all others like it end; infinite if
 *	nothing tells that it is like others
 */
struct fwd_drain_request {
	uint64_t now_ms;
	uint64_t deadline_ms;
	double usual_ms;
};

bool fwd_drain_admits(const struct fwd_drain_window *,
    const struct fwd_drain_request *);

#endif
