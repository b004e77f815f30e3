/* Bounds on all daemons together: retries, and idle connections. Pure. */
#ifndef BL_FWD_BUDGET_H
#define BL_FWD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Buckets of the sliding window. */
#define FWD_BUDGET_BUCKETS 20
/* Part of the bound that is used: windows slide and the daemons' shares are
 * estimates, so using all of it might exceed it. */
#define FWD_BUDGET_MARGIN 0.8

/**
 * struct fwd_budget_rule - bound on retries that all daemons keep together.
 * @ratio: retries allowed per request
 * @slack: retries allowed beyond that, for all daemons together
 * @window_ms: length of the sliding window in which both are counted, in ms
 */
struct fwd_budget_rule {
	double ratio;
	double slack;
	uint64_t window_ms;
};

/**
 * struct fwd_budget - one service's requests and retries at this daemon.
 * @requests: requests in each bucket
 * @retries: retries in each bucket
 * @bucket: number of the newest bucket, counted from the clock's zero
 */
struct fwd_budget {
	unsigned requests[FWD_BUDGET_BUCKETS];
	unsigned retries[FWD_BUDGET_BUCKETS];
	uint64_t bucket;
};

/**
 * struct fwd_budget_share - this daemon's share of a bound on all daemons.
 * @daemons: number of daemons that share the slack
 * @draw: the fraction of a retry, from 0 to below 1, that is rounded up to a
 *	whole one here
 */
struct fwd_budget_share {
	unsigned daemons;
	double draw;
};

/**
 * struct fwd_daemon_peak - highest number of daemons seen alive in recent time.
 * @peak: the highest number in the current window and in the one before
 * @window: number of the current window, counted from the clock's zero
 */
struct fwd_daemon_peak {
	unsigned peak[2];
	uint64_t window;
};

unsigned fwd_daemon_peak_update(struct fwd_daemon_peak *, unsigned, uint64_t,
    uint64_t);
void fwd_budget_request(struct fwd_budget *, const struct fwd_budget_rule *,
    uint64_t);
double fwd_budget_draw(uint32_t, uint64_t);
unsigned fwd_idle_share(unsigned, unsigned, uint32_t, uint32_t);
bool fwd_budget_take(struct fwd_budget *, const struct fwd_budget_rule *,
    const struct fwd_budget_share *, uint64_t);

#endif
