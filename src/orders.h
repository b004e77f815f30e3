/* Orders to engines to join or leave a group. */
#ifndef BL_ORDERS_H
#define BL_ORDERS_H

#include "http-batch.h"
#include "inventory.h"
#include "state.h"

/**
 * struct order_limits - what orders are decided by.
 * @domain: failure domain of the hosts
 * @now: monotonic time, in ms
 * @evidence_ms: age at which evidence expires
 * @load_parallel: concurrent weight loads allowed in the failure domain
 */
struct order_limits {
	const char *domain;
	uint64_t now;
	uint64_t evidence_ms;
	int load_parallel;
};

int orders_loads_free(struct inventory *, const struct order_limits *);
void orders_fill(struct http_batch *, const struct state *, struct inventory *,
    const struct order_limits *);

#endif
