/* Shares of customers in capacity that is short. Pure. */
#ifndef BL_OVERLOAD_SHARE_H
#define BL_OVERLOAD_SHARE_H

#include <stdint.h>

#include "sum-table.h"

/**
 * struct overload_customer - what a customer asks.
 * @key: see fwd_customer_key(); 0 for those without a row, as one
 * @asked_per_s: first attempts per second at all daemons
 */
struct overload_customer {
	uint32_t key;
	double asked_per_s;
};

/**
 * struct overload_share - what the customers of a service ask; zeroed at the
 *	start.
 * @n: number of @customers
 * @customers: those with a row of their own, and the rest as one
 * @total_per_s: sum of what they ask
 */
struct overload_share {
	unsigned n;
	struct overload_customer customers[SUM_ROWS_MAX + 1];
	double total_per_s;
};

void overload_share_add(struct overload_share *, uint32_t, double);
void overload_share_finish(struct overload_share *, double);
double overload_share_limit(const struct overload_share *, double);
double overload_share_fraction(const struct overload_share *, uint32_t, double);

#endif
