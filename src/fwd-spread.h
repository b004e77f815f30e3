/* Spreads requests over endpoints whose known loads are outdated. Pure. */
#ifndef BL_FWD_SPREAD_H
#define BL_FWD_SPREAD_H

#include <stdint.h>

/**
 * struct fwd_spread_option - an endpoint that a request may be sent to.
 * @cost: its cost at the known load
 * @slope: added to the cost by each further request
 * @room: number of further requests that it has slots for
 * @given: requests that it was given before the last fill
 * @expected: requests that it was given in all
 */
struct fwd_spread_option {
	double cost;
	double slope;
	double room;
	double given;
	double expected;
};

void fwd_spread_fill(struct fwd_spread_option *, unsigned, double);
unsigned fwd_spread_draw(const struct fwd_spread_option *, unsigned, double,
    uint32_t);

#endif
