/*
 * Spreads requests over endpoints whose known loads are outdated. Pure.
 *
 * Many daemons that see the same outdated loads would all choose the same
 * endpoint. The requests that they send meanwhile are assumed to be divided so
 * that all endpoints that get any have the same cost in the end (water
 * filling). If each daemon draws endpoints in proportion to the requests that
 * they are given in this way, they are indeed divided so.
 */
#include <math.h>

#include "fwd-spread.h"

/* Halvings of the range of the common cost; the remaining error is far below
 * one request. */
#define FILL_STEPS 30

/* Cost of an option that is given @requests. */
static double
cost_of(const struct fwd_spread_option *option, double requests)
{
	return (option->cost + option->slope * requests);
}

/* Requests that an option is given at a common cost; at least those that it was
 * given before. */
static double
requests_at(const struct fwd_spread_option *option, double cost)
{
	double n = (cost - option->cost) / option->slope;

	return (fmax(fmin(n, option->room), option->given));
}

/* Requests that all options are given at a common cost, beyond those before. */
static double
sum_at(const struct fwd_spread_option *options, unsigned n, double cost)
{
	double sum = 0;

	for (unsigned i = 0; i < n; i++)
		sum += requests_at(&options[i], cost) - options[i].given;
	return (sum);
}

/**
 * fwd_spread_fill() - divide requests so that costs are equal.
 * @options: the endpoints; their slopes are above 0
 * @n: number of @options
 * @requests: number of requests, beyond those already expected
 *
 * Sets what each endpoint is expected to get. What exceeds the room of all is
 * not divided.
 */
void
fwd_spread_fill(struct fwd_spread_option *options, unsigned n, double requests)
{
	double low = INFINITY, high = -INFINITY, middle;

	for (unsigned i = 0; i < n; i++) {
		options[i].given = options[i].expected;
		low = fmin(low, options[i].cost);
		high = fmax(high,
		    cost_of(&options[i],
			fmin(options[i].room, options[i].given + requests)));
	}
	for (unsigned step = 0; step < FILL_STEPS; step++) {
		middle = (low + high) / 2;
		if (sum_at(options, n, middle) < requests)
			low = middle;
		else
			high = middle;
	}
	for (unsigned i = 0; i < n; i++)
		options[i].expected = requests_at(&options[i], high);
}

/**
 * fwd_spread_draw() - draw an endpoint in proportion to the last fill.
 * @options: the endpoints
 * @n: number of @options
 * @requests: number of requests that were divided
 * @draw: random number
 *
 * Return: index of the endpoint, or @n if the draw falls on requests that
 * exceed the room of all.
 */
unsigned
fwd_spread_draw(const struct fwd_spread_option *options, unsigned n,
    double requests, uint32_t draw)
{
	double left = requests * draw / ((double)UINT32_MAX + 1);

	for (unsigned i = 0; i < n; i++) {
		left -= options[i].expected - options[i].given;
		if (left < 0)
			return (i);
	}
	return (n);
}
