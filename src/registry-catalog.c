/* The configuration in force: routes, services, customers and limits. */
#include <string.h>
#include <strings.h>

#include "registry-catalog.h"

static void
split_clear(void *data)
{
	struct catalog_split *split = data;

	g_free(split->service);
}

static void
route_free(void *data)
{
	struct catalog_route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_free(route->splits, TRUE);
	g_free(route);
}

static void
model_free(void *data)
{
	struct model_profile *model = data;

	g_free(model->name);
	g_free(model);
}

static void
service_free(void *data)
{
	struct catalog_service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	if (service->engine != NULL) {
		g_ptr_array_free(service->engine->models, TRUE);
		g_free(service->engine);
	}
	g_free(service);
}

static void
customer_free(void *data)
{
	struct catalog_customer *customer = data;

	g_free(customer->name);
	g_free(customer);
}

/**
 * catalog_create() - make an empty catalog with one holder.
 */
struct catalog *
catalog_create(void)
{
	struct catalog *catalog = g_new0(struct catalog, 1);

	catalog->refs = 1;
	catalog->routes = g_ptr_array_new_with_free_func(route_free);
	catalog->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	catalog->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	catalog->customers = g_ptr_array_new_with_free_func(customer_free);
	return (catalog);
}

/**
 * catalog_ref() - hold a catalog.
 * @catalog: the catalog
 */
struct catalog *
catalog_ref(struct catalog *catalog)
{
	catalog->refs++;
	return (catalog);
}

/**
 * catalog_unref() - let go of a catalog.
 * @catalog: the catalog, or NULL
 */
void
catalog_unref(struct catalog *catalog)
{
	if (catalog == NULL || --catalog->refs > 0)
		return;
	g_ptr_array_free(catalog->routes, TRUE);
	g_hash_table_destroy(catalog->services);
	g_hash_table_destroy(catalog->keys);
	g_ptr_array_free(catalog->customers, TRUE);
	g_free(catalog);
}

/**
 * catalog_add_route() - append a route to fill in.
 * @catalog: the catalog
 */
struct catalog_route *
catalog_add_route(struct catalog *catalog)
{
	struct catalog_route *route = g_new0(struct catalog_route, 1);

	route->splits = g_array_new(FALSE, TRUE, sizeof(struct catalog_split));
	g_array_set_clear_func(route->splits, split_clear);
	g_ptr_array_add(catalog->routes, route);
	return (route);
}

/**
 * catalog_add_service() - add a service to fill in.
 * @catalog: the catalog
 * @name: its name
 */
struct catalog_service *
catalog_add_service(struct catalog *catalog, const char *name)
{
	struct catalog_service *service = g_new0(struct catalog_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(catalog->services, service->name, service);
	return (service);
}

/**
 * catalog_add_engine() - give a service an engine profile to fill in.
 * @service: the service
 */
struct engine_profile *
catalog_add_engine(struct catalog_service *service)
{
	service->engine = g_new0(struct engine_profile, 1);
	service->engine->models = g_ptr_array_new_with_free_func(model_free);
	return (service->engine);
}

/**
 * catalog_add_customer() - add a customer.
 * @catalog: the catalog
 * @name: its name
 */
struct catalog_customer *
catalog_add_customer(struct catalog *catalog, const char *name)
{
	struct catalog_customer *customer = g_new0(struct catalog_customer, 1);

	customer->name = g_strdup(name);
	customer->priority = -1;
	g_ptr_array_add(catalog->customers, customer);
	return (customer);
}

static int
route_compare(const void *a, const void *b)
{
	const struct catalog_route *const *x = a;
	const struct catalog_route *const *y = b;
	size_t m = strlen((*x)->prefix), n = strlen((*y)->prefix);

	return (m < n ? 1 : m > n ? -1 : 0);
}

/**
 * catalog_sort_routes() - put the routes into the order of their search.
 * @catalog: the catalog
 */
void
catalog_sort_routes(struct catalog *catalog)
{
	g_ptr_array_sort(catalog->routes, route_compare);
}

/* Whether a Host header names a route's host; a port is passed over. */
static bool
host_matches(const char *host, const char *wanted)
{
	size_t length = strlen(wanted);

	return (strncasecmp(host, wanted, length) == 0 &&
	    (host[length] == '\0' || host[length] == ':'));
}

/**
 * catalog_find_route() - the route of a request.
 * @catalog: the catalog
 * @host: its Host header
 * @path: its path
 *
 * Return: the route with the longest prefix, or NULL.
 */
const struct catalog_route *
catalog_find_route(const struct catalog *catalog, const char *host,
    const char *path)
{
	for (guint i = 0; i < catalog->routes->len; i++) {
		const struct catalog_route *route = catalog->routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix) &&
		    host_matches(host, route->host))
			return (route);
	}
	return (NULL);
}

/**
 * catalog_find_service() - a service by its name.
 * @catalog: the catalog
 * @name: the name
 */
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, const char *name)
{
	return (g_hash_table_lookup(catalog->services, name));
}

/**
 * catalog_pick_service() - a route's service, by the weights of its splits.
 * @route: the route
 * @draw: a random number
 *
 * Return: the name, or NULL where the route has no split.
 */
const char *
catalog_pick_service(const struct catalog_route *route, uint64_t draw)
{
	uint64_t sum = 0;

	for (guint i = 0; i < route->splits->len; i++)
		sum += g_array_index(route->splits, struct catalog_split, i)
			   .weight;
	if (sum == 0)
		return (NULL);
	draw %= sum;
	for (guint i = 0; i < route->splits->len; i++) {
		const struct catalog_split *split =
		    &g_array_index(route->splits, struct catalog_split, i);

		if (draw < split->weight)
			return (split->service);
		draw -= split->weight;
	}
	return (NULL);
}

/**
 * engine_find_model() - a model by its name.
 * @engine: the profile
 * @name: the name
 */
const struct model_profile *
engine_find_model(const struct engine_profile *engine, const char *name)
{
	for (guint i = 0; i < engine->models->len; i++) {
		const struct model_profile *model = engine->models->pdata[i];

		if (strcmp(model->name, name) == 0)
			return (model);
	}
	return (NULL);
}
