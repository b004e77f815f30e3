/* Priorities of requests. Pure. */
#include "fwd-priority.h"

/* A customer's priority where it has none of its own. */
#define PRIORITY_NONE (-1)

/**
 * fwd_priority_normalize() - bring a priority into the valid range.
 * @priority: the priority as configured
 *
 * Return: the priority; the lowest for values that are not valid.
 */
int
fwd_priority_normalize(int priority)
{
	return (priority >= 0 && priority <= FWD_PRIORITY_LOWEST ?
		priority :
		FWD_PRIORITY_LOWEST);
}

/**
 * fwd_priority() - priority of a request.
 * @route: its route
 * @customer: the customer that sent it, or NULL
 *
 * Return: the customer's priority if it has one, else the route's; 0 is the
 * highest.
 */
int
fwd_priority(const struct catalog_route *route,
    const struct catalog_customer *customer)
{
	if (customer != NULL && customer->priority != PRIORITY_NONE)
		return (fwd_priority_normalize(customer->priority));
	return (fwd_priority_normalize(route->priority));
}

/**
 * fwd_priority_rank() - rank of a request in the queue.
 * @priority: its priority
 * @resubmitted: it was refused before
 *
 * Return: a number that is lower for requests that go first: by priority, and
 * resubmitted ones before first attempts, since their clients don't return
 * again.
 */
int
fwd_priority_rank(int priority, bool resubmitted)
{
	return (2 * priority + (resubmitted ? 0 : 1));
}

/* Set of the priorities that requests of a route can have, as bits. */
static uint16_t
route_priorities(const struct catalog *catalog,
    const struct catalog_route *route)
{
	uint16_t set = 0;

	if (!catalog->requires_key || route->public)
		return ((uint16_t)(1u << fwd_priority(route, NULL)));
	for (guint i = 0; i < catalog->customers->len; i++)
		set |= (uint16_t)(1u
		    << fwd_priority(route, catalog->customers->pdata[i]));
	return (set);
}

/* Adds a route's priorities to the services that it is split among. */
static void
route_note_priorities(const struct catalog *catalog,
    const struct catalog_route *route)
{
	uint16_t set = route_priorities(catalog, route);

	for (guint i = 0; i < route->splits->len; i++) {
		const char *name =
		    g_array_index(route->splits, struct catalog_split, i)
			.service;
		struct catalog_service *service =
		    g_hash_table_lookup(catalog->services, name);

		if (service != NULL)
			service->priorities |= set;
	}
}

/**
 * fwd_priority_prepare() - compute the priorities that requests of each service
 *	can have.
 * @catalog: a catalog that is not in force yet
 *
 * Return: number of configured priorities that are not valid.
 */
unsigned
fwd_priority_prepare(const struct catalog *catalog)
{
	unsigned invalid = 0;

	for (guint i = 0; i < catalog->customers->len; i++) {
		const struct catalog_customer *customer =
		    catalog->customers->pdata[i];

		invalid += customer->priority != PRIORITY_NONE &&
		    fwd_priority_normalize(customer->priority) !=
			customer->priority;
	}
	for (guint i = 0; i < catalog->routes->len; i++) {
		const struct catalog_route *route = catalog->routes->pdata[i];

		invalid +=
		    fwd_priority_normalize(route->priority) != route->priority;
		route_note_priorities(catalog, route);
	}
	return (invalid);
}

/**
 * fwd_priority_differs() - whether requests of a service differ in priority.
 * @service: the service, or NULL
 */
bool
fwd_priority_differs(const struct catalog_service *service)
{
	return (service != NULL &&
	    (service->priorities & (service->priorities - 1)) != 0);
}
