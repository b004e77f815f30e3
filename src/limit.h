/* A customer's limits at this daemon: rate and concurrency. */
#ifndef BL_LIMIT_H
#define BL_LIMIT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct limit - the limits of one customer at this daemon.
 * @interval_us: microseconds per request at this daemon's share; 0 unlimited
 * @burst_us: how far ahead of the clock the customer may run
 * @concurrency: requests at once at this daemon's share; 0 unlimited
 * @next_us: theoretical arrival time (generic cell rate algorithm)
 * @inflight: requests now
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
