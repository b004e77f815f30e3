/* Why hosts are in no replica: one line of the log for each change. */
#ifndef BL_KEEPER_IDLE_H
#define BL_KEEPER_IDLE_H

#include "planner.h"

/**
 * struct idle_watch - what was last said of the idle hosts of a service.
 * @said: host id to the reason last logged
 */
struct idle_watch {
	GHashTable *said;
};

void idle_watch_init(struct idle_watch *);
void idle_watch_clear(struct idle_watch *);
const char *idle_reason(const struct planner_view *,
    const struct planner_host *);
void idle_watch_look(struct idle_watch *, const struct planner_view *);

#endif
