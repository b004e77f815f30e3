/* Capacity of the endpoints of a service and model. Pure. */
#ifndef BL_OVERLOAD_CAPACITY_H
#define BL_OVERLOAD_CAPACITY_H

#include "fwd-choose.h"

/**
 * struct overload_capacity - capacity of the usable endpoints.
 * @running: requests there
 * @in_time: largest number of requests there with which first events are
 *	expected in time
 * @slots: slots there
 */
struct overload_capacity {
	double running;
	double in_time;
	double slots;
};

void overload_capacity_measure(const struct fleet *,
    const struct fwd_criteria *, double, double, struct overload_capacity *);

#endif
