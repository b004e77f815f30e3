/* The hosts of the platform's host list, with the evidence about each. */
#ifndef BL_INVENTORY_H
#define BL_INVENTORY_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "host.h"

/**
 * struct inventory - the hosts of the platform's host list.
 * @lock: guards all fields below, and each host
 * @hosts: the hosts
 * @by_name: maps a name to its struct host
 * @listed_ms: monotonic time of the last successful read of the host list, in
 *	ms; 0 for never
 */
struct inventory {
	GMutex lock;
	struct host_list hosts;
	GHashTable *by_name;
	uint64_t listed_ms;
};

void inventory_init(struct inventory *);
void inventory_destroy(struct inventory *);
bool inventory_update(struct inventory *, json_t *, uint64_t);
struct host *inventory_find(struct inventory *, const char *);

#endif
