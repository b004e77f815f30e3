/* Reasons why a request may not be sent to another endpoint. */
#include "fwd-obstacle.h"

static const char *const names[OBSTACLES] = {
	[OBSTACLE_NONE] = "none",
	[OBSTACLE_CLIENT_LEFT] = "caller_left",
	[OBSTACLE_MAY_HAVE_RUN] = "may_have_run",
	[OBSTACLE_ATTEMPTS] = "attempts",
	[OBSTACLE_SENDS] = "sends",
	[OBSTACLE_DEADLINE] = "deadline",
	[OBSTACLE_SUSPECTED] = "work_suspected",
	[OBSTACLE_BUDGET] = "retry_budget",
	[OBSTACLE_NO_ENDPOINT] = "no_endpoint",
	[OBSTACLE_NO_CONNECTION] = "no_connection",
	[OBSTACLE_NOT_RESUMABLE] = "not_resumable",
};

/**
 * fwd_obstacle_name() - name of an obstacle, for logs.
 * @obstacle: the obstacle
 */
const char *
fwd_obstacle_name(enum fwd_obstacle obstacle)
{
	return (names[obstacle]);
}

/**
 * fwd_obstacle_passes() - whether an obstacle may pass before the deadline, so
 *	that a response that was begun waits for it.
 * @obstacle: the obstacle
 */
bool
fwd_obstacle_passes(enum fwd_obstacle obstacle)
{
	return (obstacle == OBSTACLE_SUSPECTED || obstacle == OBSTACLE_BUDGET);
}
