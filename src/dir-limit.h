/* The requests a second that an endpoint takes from all daemons together. Pure.
 */
#ifndef BL_DIR_LIMIT_H
#define BL_DIR_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_limit - what one incarnation of an endpoint takes.
 * @holds: it names a limit
 * @per_s: requests a second, from all daemons together
 * @said_ms: loop time as of which that, or that it names none, is known; 0 for
 *	never
 */
struct endpoint_limit {
	bool holds;
	double per_s;
	uint64_t said_ms;
};

double endpoint_limit_read(double, const struct endpoint_limit *);
bool endpoint_limit_name(struct endpoint_limit *, double, uint64_t);
bool endpoint_limit_lift(struct endpoint_limit *, uint64_t);
bool endpoint_limit_outlived(const struct endpoint_limit *, uint64_t);

#endif
