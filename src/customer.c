/* A customer at this daemon: limits, retry budgets and counts. */
#include <glib.h>
#include <string.h>

#include "customer.h"

/**
 * customer_create() - make a customer with one reference.
 * @name: its name
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
 * customer_unref() - give a reference back.
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
 * customer_cleanup() - clean-up attribute for a customer.
 * @customer: the variable
 */
void
customer_cleanup(struct customer **customer)
{
	if (*customer != NULL)
		customer_unref(*customer);
}

/**
 * customer_update() - take the customer's declaration.
 * @customer: the customer
 * @res: its resource
 * @daemons: how many daemons share its limits
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
 * customer_retry_budget() - the retry budget toward a deployment or service.
 * @customer: the customer
 * @service: its name
 */
struct retry_budget *
customer_retry_budget(struct customer *customer, const char *service)
{
	return (
	    &customer->retry_budgets[g_str_hash(service) % CUSTOMER_BUCKETS]);
}

/**
 * customer_flow() - the customer's place in the queue of a deployment.
 * @customer: the customer
 * @deployment: its name
 */
struct fair_flow *
customer_flow(struct customer *customer, const char *deployment)
{
	return (&customer->flows[g_str_hash(deployment) % CUSTOMER_BUCKETS]);
}
