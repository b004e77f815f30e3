/* A customer at this daemon: limits, retry budgets and counts. */
#ifndef BL_CUSTOMER_H
#define BL_CUSTOMER_H

#include <stdatomic.h>

#include "fair-queue.h"
#include "limit.h"
#include "resource.h"
#include "retry-budget.h"
#include "series.h"

/* Services are spread over these slots; two in one slot share it. */
#define CUSTOMER_BUCKETS 64

/**
 * struct customer - one customer.
 * @references: freed when it drops to 0
 * @name: its name
 * @batch: whether it is of class batch rather than interactive
 * @limit: its limits at this daemon
 * @weight: share when replicas are short
 * @retry_budgets: retry budgets by hash of the service's name
 * @flows: places in the queues of deployments, likewise
 * @series: its counts
 */
struct customer {
	atomic_uint references;
	char *name;
	atomic_bool batch;
	struct limit limit;
	atomic_uint weight;
	struct retry_budget retry_budgets[CUSTOMER_BUCKETS];
	struct fair_flow flows[CUSTOMER_BUCKETS];
	struct series series;
};

struct customer *customer_create(const char *);
struct customer *customer_ref(struct customer *);
void customer_unref(struct customer *);
void customer_cleanup(struct customer **);
void customer_update(struct customer *, const struct resource *, unsigned);
struct retry_budget *customer_retry_budget(struct customer *, const char *);
struct fair_flow *customer_flow(struct customer *, const char *);

#endif
