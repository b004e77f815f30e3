/* A log-linear histogram of atomic counters. */
#include "histogram.h"

/* Buckets per power of two. */
#define SUB (1u << HISTOGRAM_SUB_BITS)

/* Returns the bucket of a value: its exponent and the HISTOGRAM_SUB_BITS bits
 * after the leading one. */
static unsigned
bucket_index(uint64_t value)
{
	unsigned exponent, index;

	if (value < SUB)
		return ((unsigned)value);
	exponent = 63u - (unsigned)__builtin_clzll(value);
	index = ((exponent - HISTOGRAM_SUB_BITS + 1) << HISTOGRAM_SUB_BITS) +
	    (unsigned)((value >> (exponent - HISTOGRAM_SUB_BITS)) & (SUB - 1));
	return (index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1);
}

/* Returns the highest value of a bucket. */
static uint64_t
bucket_max(unsigned index)
{
	unsigned shift;

	if (index < SUB)
		return (index);
	shift = (index >> HISTOGRAM_SUB_BITS) - 1;
	return (((uint64_t)(SUB + (index & (SUB - 1))) + 1) << shift) - 1;
}

/**
 * histogram_add() - count one value.
 * @h: the histogram
 * @value: the value, in the unit that the histogram is used with
 */
void
histogram_add(struct histogram *h, uint64_t value)
{
	atomic_fetch_add_explicit(&h->counts[bucket_index(value)], 1,
	    memory_order_relaxed);
	atomic_fetch_add_explicit(&h->total, 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&h->sum, value, memory_order_relaxed);
}

/**
 * histogram_percentile() - value that a fraction of all values does not exceed.
 * @h: the histogram
 * @quantile: the fraction, 0 to 1
 *
 * Return: upper bound of the bucket, or 0 for an empty histogram.
 */
uint64_t
histogram_percentile(struct histogram *h, double quantile)
{
	uint64_t total = atomic_load(&h->total);
	uint64_t rank, cumulative = 0;

	if (total == 0)
		return (0);
	rank = (uint64_t)((double)total * quantile);
	if (rank >= total)
		rank = total - 1;
	for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += atomic_load(&h->counts[i]);
		if (cumulative > rank)
			return (bucket_max(i));
	}
	return (bucket_max(HISTOGRAM_BUCKETS - 1));
}
