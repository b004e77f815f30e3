/*
 * Limits on rate and concurrency. The rate is limited by the generic cell rate
 * algorithm, whose state is a single time, so that threads share it through
 * one atomic.
 */
#include "limit.h"

/* Time to retry after at the concurrency limit; requests end meanwhile. */
#define CONCURRENCY_RETRY_US 1000000

/**
 * limit_set() - set this daemon's share of limits over all daemons.
 * @limit: the limit
 * @rate: requests per second over all daemons; 0 for no limit
 * @burst: requests in a burst over all daemons
 * @concurrency: requests in progress over all daemons; 0 for no limit
 * @daemons: number of daemons that share the limits, at least 1
 *
 * A daemon's share of the burst is at least one and that of the concurrency is
 * rounded up, so that a customer with small limits is served at each entry
 * host.
 */
void
limit_set(struct limit *limit, double rate, double burst, unsigned concurrency,
    unsigned daemons)
{
	uint64_t interval = 0;
	double share = burst / daemons;

	if (rate > 0)
		interval = (uint64_t)(1e6 * daemons / rate);
	if (share < 1)
		share = 1;
	atomic_store(&limit->interval_us, interval);
	atomic_store(&limit->burst_us,
	    (uint64_t)((share - 1) * (double)interval));
	if (concurrency > 0)
		concurrency = (concurrency + daemons - 1) / daemons;
	atomic_store(&limit->concurrency, concurrency);
}

/* Counts one request against the rate, or sets @wait_us if it is exceeded. */
static bool
limit_take_rate(struct limit *limit, uint64_t now_us, uint64_t *wait_us)
{
	uint64_t interval = atomic_load(&limit->interval_us);
	uint64_t burst = atomic_load(&limit->burst_us);
	uint64_t next = atomic_load(&limit->next_us);
	uint64_t start;

	/*
	 * With no rate, @next_us must not be compared: it may be ahead of
	 * this thread's clock where another thread has read a later time.
	 */
	if (interval == 0)
		return (true);
	do {
		start = next > now_us ? next : now_us;
		if (start - now_us > burst) {
			*wait_us = start - now_us - burst;
			return (false);
		}
	} while (!atomic_compare_exchange_weak(&limit->next_us, &next,
	    start + interval));
	return (true);
}

/**
 * limit_admit() - admit one request if the limits allow it.
 * @limit: the limit
 * @now_us: monotonic time, in us
 * @wait_us: set if the request is refused: time after which to retry
 *
 * Return: whether the request is admitted; if so, the caller must call
 * limit_release().
 */
bool
limit_admit(struct limit *limit, uint64_t now_us, uint64_t *wait_us)
{
	unsigned concurrency = atomic_load(&limit->concurrency);
	unsigned inflight = atomic_fetch_add(&limit->inflight, 1);

	if (concurrency > 0 && inflight >= concurrency) {
		atomic_fetch_sub(&limit->inflight, 1);
		*wait_us = CONCURRENCY_RETRY_US;
		return (false);
	}
	if (!limit_take_rate(limit, now_us, wait_us)) {
		atomic_fetch_sub(&limit->inflight, 1);
		return (false);
	}
	return (true);
}

/**
 * limit_release() - note that an admitted request has ended.
 * @limit: the limit
 */
void
limit_release(struct limit *limit)
{
	atomic_fetch_sub(&limit->inflight, 1);
}
