/* Priorities of requests. Pure. */
#ifndef BL_FWD_PRIORITY_H
#define BL_FWD_PRIORITY_H

#include "registry-catalog.h"

/* The lowest priority, and the number of priorities; 0 is the highest. */
#define FWD_PRIORITY_LOWEST 9
#define FWD_PRIORITIES (FWD_PRIORITY_LOWEST + 1)

int fwd_priority_normalize(int);
int fwd_priority(const struct catalog_route *, const struct catalog_customer *);
unsigned fwd_priority_prepare(const struct catalog *);
int fwd_priority_rank(int, bool);
bool fwd_priority_differs(const struct catalog_service *);

#endif
