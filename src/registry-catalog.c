/* Configuration of the edge: routes, services, customers and limits. */
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
 * catalog_create() - create an empty catalog with one reference.
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
 * catalog_ref() - add a reference to a catalog.
 * @catalog: the catalog
 *
 * Return: @catalog.
 */
struct catalog *
catalog_ref(struct catalog *catalog)
{
	catalog->refs++;
	return (catalog);
}

/**
 * catalog_unref() - drop a reference; the last one frees the catalog.
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
 * catalog_add_route() - append an empty route.
 * @catalog: the catalog
 *
 * Return: the route, for the caller to fill in.
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
 * catalog_add_service() - add a service, or replace the one of that name.
 * @catalog: the catalog
 * @name: the service's name
 *
 * Return: the service, for the caller to fill in.
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
 * catalog_add_engine() - add an empty engine profile to a service.
 * @service: the service, which has none yet
 *
 * Return: the profile, for the caller to fill in.
 */
struct engine_profile *
catalog_add_engine(struct catalog_service *service)
{
	service->engine = g_new0(struct engine_profile, 1);
	service->engine->models = g_ptr_array_new_with_free_func(model_free);
	return (service->engine);
}

/**
 * catalog_add_customer() - add a customer without a priority of its own.
 * @catalog: the catalog
 * @name: the customer's name
 *
 * Return: the customer, for the caller to fill in.
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
 * catalog_sort_routes() - sort the routes by prefix, longest first, as
 * catalog_find_route() needs them.
 * @catalog: the catalog
 */
void
catalog_sort_routes(struct catalog *catalog)
{
	g_ptr_array_sort(catalog->routes, route_compare);
}

/* Whether a Host header names a route's host; its port is ignored. */
static bool
host_matches(const char *host, const char *wanted)
{
	size_t length = strlen(wanted);

	return (strncasecmp(host, wanted, length) == 0 &&
	    (host[length] == '\0' || host[length] == ':'));
}

/**
 * catalog_find_route() - find the route of a request.
 * @catalog: the catalog
 * @host: Host header of the request
 * @path: path of the request
 *
 * Return: the matching route with the longest prefix, or NULL.
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
 * catalog_find_service() - find a service by its name.
 * @catalog: the catalog
 * @name: the service's name
 *
 * Return: the service, or NULL.
 */
const struct catalog_service *
catalog_find_service(const struct catalog *catalog, const char *name)
{
	return (g_hash_table_lookup(catalog->services, name));
}

/**
 * catalog_pick_service() - pick one of a route's services at random, by weight.
 * @route: the route
 * @draw: a random number
 *
 * Return: the service's name, or NULL if all weights are 0 or there is no
 * split.
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
 * engine_find_model() - find a model by its name.
 * @engine: the engine profile
 * @name: the model's name
 *
 * Return: the model, or NULL.
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
