/* Controls the groups of this failure domain while it holds the lease. */
#ifndef BL_CONTROLLER_H
#define BL_CONTROLLER_H

#include <stdbool.h>

struct server;

void *controller_run(void *);
bool controller_holds_lease(struct server *);

#endif
