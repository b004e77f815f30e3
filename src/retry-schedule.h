/* Time after which a refused client is told to return. Pure. */
#ifndef BL_RETRY_SCHEDULE_H
#define BL_RETRY_SCHEDULE_H

#include <stdint.h>

/**
 * struct retry_input - what is known of the capacity and of the clients that
 *	are to return.
 * @asked_per_s: first attempts per second at all daemons
 * @served_per_s: requests per second that can be served in time
 * @due_higher: clients of higher priorities that were told to return and are
 *	not due yet
 * @due_same: likewise of the same priority
 * @due: likewise of all priorities
 * @capacity_ms: time until the first slot is free, or, where there is no
 *	replica, until the first one serves
 * @objective_ms: latency objective of the next attempt
 * @left_ms: time that the client has left for the request
 * @draw: random number
 */
struct retry_input {
	double asked_per_s;
	double served_per_s;
	double due_higher;
	double due_same;
	double due;
	double capacity_ms;
	double objective_ms;
	double left_ms;
	uint32_t draw;
};

int64_t retry_schedule_ms(const struct retry_input *);

#endif
