/* How many requests may be sent once more, over all daemons. Pure. */
#ifndef BL_FWD_BUDGET_H
#define BL_FWD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Slots of the sliding window. */
#define FWD_BUDGET_BUCKETS 20
/* Kept back, since windows slide and the daemons' shares are estimates. */
#define FWD_BUDGET_MARGIN 0.8

/**
 * struct fwd_budget_rule - the bound that all daemons keep together.
 * @ratio: repeats for each request
 * @slack: repeats beyond that, for all daemons together
 * @window_ms: span in which they are counted
 */
struct fwd_budget_rule {
	double ratio;
	double slack;
	uint64_t window_ms;
};

/**
 * struct fwd_budget - one service's requests and repeats at this daemon.
 * @requests: in each slot
 * @retries: in each slot
 * @bucket: number of the newest slot since the start of the clock
 */
struct fwd_budget {
	unsigned requests[FWD_BUDGET_BUCKETS];
	unsigned retries[FWD_BUDGET_BUCKETS];
	uint64_t bucket;
};

/**
 * struct fwd_daemon_peak - how many daemons share a bound, on the safe side.
 * @peak: most that were seen in the current span of time and the one before
 * @window: number of the current one since the start of the clock
 */
struct fwd_daemon_peak {
	unsigned peak[2];
	uint64_t window;
};

unsigned fwd_daemon_peak_update(struct fwd_daemon_peak *, unsigned, uint64_t,
    uint64_t);
void fwd_budget_request(struct fwd_budget *, const struct fwd_budget_rule *,
    uint64_t);
bool fwd_budget_take(struct fwd_budget *, const struct fwd_budget_rule *,
    unsigned, uint64_t);

#endif
