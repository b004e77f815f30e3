/* Scripted tests of priorities, demand and levels. */
#include <string.h>

#include "fwd-priority.h"
#include "script.h"

static void
reset(void)
{
}

/* A number after "name=", which may be negative. */
static int
signed_number(const char *rest, const char *name, int fallback)
{
	g_autofree char *word = script_word(rest, name);

	return (word != NULL ? (int)g_ascii_strtoll(word, NULL, 10) : fallback);
}

/* priority route=N [customer=N]: priority of a request */
static void
exec_priority(const char *rest, GString *out)
{
	struct catalog_route route = { 0 };
	struct catalog_customer customer = { 0 };

	route.priority = signed_number(rest, "route", 0);
	customer.priority = signed_number(rest, "customer", -1);
	g_string_append_printf(out, "%d\n", fwd_priority(&route, &customer));
}

/* Adds routes to the service, with the priorities of a list. */
static void
add_routes(struct catalog *catalog, const char *list, bool public)
{
	g_auto(GStrv) words = g_strsplit(list, ",", -1);

	for (char **w = words; *w != NULL; w++) {
		struct catalog_route *route = catalog_add_route(catalog);
		struct catalog_split split = { g_strdup("s"), 1 };

		route->priority = (int)g_ascii_strtoll(*w, NULL, 10);
		route->public = public;
		g_array_append_val(route->splits, split);
	}
}

/* Adds customers with the priorities of a list. */
static void
add_customers(struct catalog *catalog, const char *list)
{
	g_auto(GStrv) words = g_strsplit(list != NULL ? list : "", ",", -1);

	for (char **w = words; *w != NULL; w++)
		catalog_add_customer(catalog, *w)->priority =
		    (int)g_ascii_strtoll(*w, NULL, 10);
}

/*
 * service routes=N,... [customers=N,...] [public=1]: whether its requests
 * differ in priority
 */
static void
exec_service(const char *rest, GString *out)
{
	g_autofree char *routes = script_word(rest, "routes");
	g_autofree char *customers = script_word(rest, "customers");
	struct catalog *catalog = catalog_create();
	const struct catalog_service *service =
	    catalog_add_service(catalog, "s");
	unsigned invalid;

	catalog->requires_key = customers != NULL;
	add_routes(catalog, routes, script_number(rest, "public", 0) != 0);
	add_customers(catalog, customers);
	invalid = fwd_priority_prepare(catalog);
	g_string_append_printf(out, "%s, %u invalid\n",
	    fwd_priority_differs(service) ? "differ" : "same", invalid);
	catalog_unref(catalog);
}

static const struct script_command commands[] = {
	{ "priority", exec_priority },
	{ "service", exec_service },
	{ NULL, NULL },
};

int
main(void)
{
	return (script_main("overload", commands, reset));
}
