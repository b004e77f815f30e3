/* Reasons why a request may not be sent to another endpoint. */
#ifndef BL_FWD_OBSTACLE_H
#define BL_FWD_OBSTACLE_H

#include <stdbool.h>

/**
 * enum fwd_obstacle - why a request may not be sent to another endpoint.
 * @OBSTACLE_NONE: it may be
 * @OBSTACLE_CLIENT_LEFT: its client has left
 * @OBSTACLE_MAY_HAVE_RUN: it may run only once and may have run
 * @OBSTACLE_ATTEMPTS: it ran on as many endpoints as its route allows
 * @OBSTACLE_SENDS: it was sent as often as a request may be
 * @OBSTACLE_DEADLINE: too little time is left
 * @OBSTACLE_SUSPECTED: it is suspected of crashing endpoints
 * @OBSTACLE_BUDGET: the retry budget is used up
 * @OBSTACLE_NO_ENDPOINT: no other endpoint has a free slot
 * @OBSTACLE_NO_CONNECTION: no connection could be started
 * @OBSTACLE_NOT_RESUMABLE: its response was begun and is no stream
 * @OBSTACLES: number of obstacles
 */
enum fwd_obstacle {
	OBSTACLE_NONE,
	OBSTACLE_CLIENT_LEFT,
	OBSTACLE_MAY_HAVE_RUN,
	OBSTACLE_ATTEMPTS,
	OBSTACLE_SENDS,
	OBSTACLE_DEADLINE,
	OBSTACLE_SUSPECTED,
	OBSTACLE_BUDGET,
	OBSTACLE_NO_ENDPOINT,
	OBSTACLE_NO_CONNECTION,
	OBSTACLE_NOT_RESUMABLE,
	OBSTACLES,
};

const char *fwd_obstacle_name(enum fwd_obstacle);
bool fwd_obstacle_passes(enum fwd_obstacle);

#endif
