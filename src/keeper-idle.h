/* Logs why hosts are in no replica, one line for each change. */
#ifndef BL_KEEPER_IDLE_H
#define BL_KEEPER_IDLE_H

#include "replica-form.h"

/**
 * struct idle_watch - the uses last logged for the hosts of a service.
 * @said: maps a host id to the use last logged for it
 */
struct idle_watch {
	GHashTable *said;
};

void idle_watch_init(struct idle_watch *);
void idle_watch_clear(struct idle_watch *);
const char *idle_reason(const struct form_view *, const struct form_host *);
void idle_watch_look(struct idle_watch *, const struct form_view *);

#endif
