/* Logs why hosts are in no replica, one line for each change. */
#ifndef BL_PLACER_IDLE_H
#define BL_PLACER_IDLE_H

#include "planner.h"

/**
 * struct idle_log - the uses last logged for the hosts of a service.
 * @logged: maps a host id to the use last logged for it
 */
struct idle_log {
	GHashTable *logged;
};

void idle_log_init(struct idle_log *);
void idle_log_clear(struct idle_log *);
const char *idle_reason(const struct planner_view *,
    const struct planner_host *);
void idle_log_update(struct idle_log *, const struct planner_view *);

#endif
