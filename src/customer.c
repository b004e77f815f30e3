/* A customer at this daemon: limits, retry budgets and statistics. */
#include <glib.h>
#include <string.h>

#include "customer.h"

/**
 * customer_create() - allocate a customer with one reference.
 * @name: name of the customer
 */
struct customer *
customer_create(const char *name)
{
	struct customer *customer;

	customer = g_new0(struct customer, 1);
	atomic_init(&customer->references, 1);
	customer->name = g_strdup(name);
	for (size_t i = 0; i < CUSTOMER_BUCKETS; i++)
		retry_budget_init(&customer->retry_budgets[i]);
	return (customer);
}

/**
 * customer_ref() - take a reference.
 * @customer: the customer
 */
struct customer *
customer_ref(struct customer *customer)
{
	atomic_fetch_add(&customer->references, 1);
	return (customer);
}

/**
 * customer_unref() - drop a reference; the last one frees the customer.
 * @customer: the customer
 */
void
customer_unref(struct customer *customer)
{
	if (atomic_fetch_sub(&customer->references, 1) != 1)
		return;
	g_free(customer->name);
	g_free(customer);
}

/**
 * customer_cleanup() - drop the reference in a variable that leaves scope.
 * @customer: the variable, may hold NULL
 */
void
customer_cleanup(struct customer **customer)
{
	if (*customer != NULL)
		customer_unref(*customer);
}

/**
 * customer_update() - apply class, weight and limits from the configuration.
 * @customer: the customer
 * @res: resource that declares the customer
 * @daemons: number of daemons that share its limits, at least 1
 */
void
customer_update(struct customer *customer, const struct resource *res,
    unsigned daemons)
{
	atomic_store(&customer->batch,
	    strcmp(resource_string(res, "class", "interactive"), "batch") == 0);
	atomic_store(&customer->weight,
	    (unsigned)resource_int(res, "weight", 1));
	limit_set(&customer->limit, resource_number(res, "rate", 0),
	    (double)resource_int(res, "burst", 1),
	    (unsigned)resource_int(res, "concurrency", 0), daemons);
}

/**
 * customer_retry_budget() - get the retry budget for a deployment or service.
 * @customer: the customer
 * @service: name of the deployment or service
 */
struct retry_budget *
customer_retry_budget(struct customer *customer, const char *service)
{
	return (
	    &customer->retry_budgets[g_str_hash(service) % CUSTOMER_BUCKETS]);
}

/**
 * customer_flow() - get the customer's flow in the queue of a deployment.
 * @customer: the customer
 * @deployment: name of the deployment
 */
struct fair_flow *
customer_flow(struct customer *customer, const char *deployment)
{
	return (&customer->flows[g_str_hash(deployment) % CUSTOMER_BUCKETS]);
}
