/*
 * A customer's limits. The rate is kept by the generic cell rate algorithm,
 * whose whole state is one time, so that threads share it by one atomic.
 */
#include "limit.h"

/* When to come back if only concurrency is short; requests end in a while. */
#define CONCURRENCY_RETRY_US 1000000

/**
 * limit_set() - set the limits from the customer's, by this daemon's share.
 * @limit: the limits
 * @rate: requests a second over all daemons; 0 for unlimited
 * @burst: requests at once over all daemons
 * @concurrency: requests in progress over all daemons; 0 for unlimited
 * @daemons: how many daemons share it, at least 1
 *
 * Every daemon rounds its share of concurrency and burst up to one, so that
 * a small customer is served at each entry host.
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

/* Takes one request off the rate, or says how long to wait. */
static bool
limit_take_rate(struct limit *limit, uint64_t now_us, uint64_t *wait_us)
{
	uint64_t interval = atomic_load(&limit->interval_us);
	uint64_t burst = atomic_load(&limit->burst_us);
	uint64_t next = atomic_load(&limit->next_us);
	uint64_t from;

	/* Without a rate there is no time that another thread may be ahead. */
	if (interval == 0)
		return (true);
	do {
		from = next > now_us ? next : now_us;
		if (from - now_us > burst) {
			*wait_us = from - now_us - burst;
			return (false);
		}
	} while (!atomic_compare_exchange_weak(&limit->next_us, &next,
	    from + interval));
	return (true);
}

/**
 * limit_admit() - admit one request, or say when to come back.
 * @limit: the limits
 * @now_us: monotonic microseconds
 * @wait_us: set when refused
 *
 * Return: whether it is admitted; then limit_release() is owed.
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
 * limit_release() - an admitted request has ended.
 * @limit: the limits
 */
void
limit_release(struct limit *limit)
{
	atomic_fetch_sub(&limit->inflight, 1);
}
