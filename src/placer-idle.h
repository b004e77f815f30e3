/* Why hosts are in no replica: one line of the log for each change. */
#ifndef BL_PLACER_IDLE_H
#define BL_PLACER_IDLE_H

#include "planner.h"

/**
 * struct idle_log - what was last said of the idle hosts of a service.
 * @logged: host id to the reason last logged
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
