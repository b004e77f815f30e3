/* A customer at this daemon: limits, retry budgets and statistics. */
#ifndef BL_CUSTOMER_H
#define BL_CUSTOMER_H

#include <stdatomic.h>

#include "fair-queue.h"
#include "limit.h"
#include "resource.h"
#include "retry-budget.h"
#include "series.h"

/*
 * Retry budgets and flows are kept by hash of the service's name; services in
 * one bucket share them.
 */
#define CUSTOMER_BUCKETS 64

/**
 * struct customer - a customer's state at this daemon.
 * @references: reference count; the struct is freed when it drops to 0
 * @name: name of the customer
 * @batch: its requests are of class batch, otherwise interactive
 * @limit: this daemon's share of its limits
 * @weight: relative share of slots when requests are queued
 * @retry_budgets: retry budgets, by hash of the service's name
 * @flows: flows in the queues of deployments, by hash of the deployment's name
 * @series: counters and histograms of its requests
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
