/*
 * Shares of customers in capacity that is short: max-min fairness. Pure.
 *
 * Each customer has as much as it asks, up to a limit that is the same for all
 * and uses up the capacity. So one that asks for more than its share pays for
 * its own excess first, also where its clients return immediately, since that
 * counts as asking for more.
 */
#include <stdlib.h>

#include "overload-share.h"

/* Key of the customers that have no row of their own, as one. */
#define KEY_REST 0

static void
share_append(struct overload_share *share, uint32_t key, double asked_per_s)
{
	struct overload_customer *customer = &share->customers[share->n++];

	customer->key = key;
	customer->asked_per_s = asked_per_s;
	share->total_per_s += asked_per_s;
}

/**
 * overload_share_add() - add a customer.
 * @share: the customers
 * @key: its key
 * @asked_per_s: first attempts per second at all daemons
 *
 * Beyond SUM_ROWS_MAX customers, further ones belong to the rest.
 */
void
overload_share_add(struct overload_share *share, uint32_t key,
    double asked_per_s)
{
	if (share->n < SUM_ROWS_MAX && asked_per_s > 0)
		share_append(share, key, asked_per_s);
}

/* Orders customers by what they ask, the smallest first. */
static int
customer_compare(const void *a, const void *b)
{
	const struct overload_customer *x = a, *y = b;

	if (x->asked_per_s != y->asked_per_s)
		return (x->asked_per_s < y->asked_per_s ? -1 : 1);
	return (x->key < y->key ? -1 : x->key > y->key);
}

/**
 * overload_share_finish() - add the customers without a row, after all others.
 * @share: the customers
 * @total_per_s: first attempts per second of all customers
 */
void
overload_share_finish(struct overload_share *share, double total_per_s)
{
	double rest = total_per_s - share->total_per_s;

	if (rest > 0)
		share_append(share, KEY_REST, rest);
	qsort(share->customers, share->n, sizeof share->customers[0],
	    customer_compare);
}

/**
 * overload_share_limit() - most that a customer can have.
 * @share: the customers
 * @refused: part of what all customers ask that is refused, 0 to 1
 *
 * Return: requests per second; customers that ask for less have all of it.
 */
double
overload_share_limit(const struct overload_share *share, double refused)
{
	double left = share->total_per_s * (1 - refused);
	double limit = 0;

	for (unsigned i = 0; i < share->n; i++) {
		limit = left / (share->n - i);
		if (share->customers[i].asked_per_s >= limit)
			break;
		left -= share->customers[i].asked_per_s;
	}
	return (limit);
}

/* What a customer asks; what the rest asks if the customer is not known. */
static double
share_asked(const struct overload_share *share, uint32_t key)
{
	double rest = 0;

	for (unsigned i = 0; i < share->n; i++) {
		if (share->customers[i].key == key)
			return (share->customers[i].asked_per_s);
		if (share->customers[i].key == KEY_REST)
			rest = share->customers[i].asked_per_s;
	}
	return (rest);
}

/**
 * overload_share_fraction() - fraction of a customer's requests to refuse.
 * @share: the customers
 * @key: key of the customer
 * @refused: part of what all customers ask that is refused, 0 to 1
 */
double
overload_share_fraction(const struct overload_share *share, uint32_t key,
    double refused)
{
	double asked = share_asked(share, key);
	double limit;

	if (share->n == 0)
		return (refused);
	limit = overload_share_limit(share, refused);
	return (asked > limit ? 1 - limit / asked : 0);
}
