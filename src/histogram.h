/* A log-linear histogram of atomic counters. */
#ifndef BL_HISTOGRAM_H
#define BL_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

/* Each power of two is divided into 2^3 buckets. */
#define HISTOGRAM_SUB_BITS 3
#define HISTOGRAM_BUCKETS (40 << HISTOGRAM_SUB_BITS)

/**
 * struct histogram - counts of values in buckets of 12.5 percent width.
 * @counts: number of values per bucket
 * @total: number of all values
 * @sum: sum of all values
 */
struct histogram {
	_Atomic uint64_t counts[HISTOGRAM_BUCKETS];
	_Atomic uint64_t total;
	_Atomic uint64_t sum;
};

void histogram_add(struct histogram *, uint64_t);
uint64_t histogram_percentile(struct histogram *, double);

#endif
