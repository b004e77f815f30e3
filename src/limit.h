/* Limits at this daemon on a customer's or target's requests. */
#ifndef BL_LIMIT_H
#define BL_LIMIT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct limit - this daemon's share of a limit on rate and concurrency.
 * @interval_us: time between requests at the limited rate; 0 for no limit
 * @burst_us: how far @next_us may be ahead of the clock
 * @concurrency: most requests in progress; 0 for no limit
 * @next_us: theoretical arrival time of the next request, in monotonic time
 *	(generic cell rate algorithm)
 * @inflight: requests in progress
 */
struct limit {
	_Atomic uint64_t interval_us;
	_Atomic uint64_t burst_us;
	atomic_uint concurrency;
	_Atomic uint64_t next_us;
	atomic_uint inflight;
};

void limit_set(struct limit *, double, double, unsigned, unsigned);
bool limit_admit(struct limit *, uint64_t, uint64_t *);
void limit_release(struct limit *);

#endif
