/* The state that the records of the configuration log result in. */
#include <string.h>

#include "group.h"
#include "lease.h"
#include "resource.h"
#include "state.h"

/**
 * state_create() - create the state before the first record.
 */
struct state *
state_create(void)
{
	struct state *state;

	state = g_new0(struct state, 1);
	state->next = 1;
	state->resources = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    (GDestroyNotify)resource_free);
	state->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    (GDestroyNotify)group_free);
	state->leases = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    (GDestroyNotify)lease_free);
	state->host_groups = g_hash_table_new(g_str_hash, g_str_equal);
	return (state);
}

/**
 * state_free() - free a state.
 * @state: the state
 */
void
state_free(struct state *state)
{
	g_hash_table_unref(state->host_groups);
	g_hash_table_unref(state->leases);
	g_hash_table_unref(state->groups);
	g_hash_table_unref(state->resources);
	g_free(state);
}

/**
 * state_cleanup() - free a state; for CLEANUP().
 * @state: the variable, which may hold NULL
 */
void
state_cleanup(struct state **state)
{
	if (*state != NULL)
		state_free(*state);
}

/**
 * state_resource() - look up a resource, also a deleted one.
 * @state: the state
 * @type: its type
 * @name: its name
 */
struct resource *
state_resource(const struct state *state, const char *type, const char *name)
{
	g_autofree char *key = resource_key(type, name);

	return (g_hash_table_lookup(state->resources, key));
}

/**
 * state_group() - look up a live group.
 * @state: the state
 * @name: its name
 */
struct group *
state_group(const struct state *state, const char *name)
{
	return (g_hash_table_lookup(state->groups, name));
}

/**
 * state_host_group() - the live group that a host belongs to, or NULL.
 * @state: the state
 * @host: name of the host
 */
struct group *
state_host_group(const struct state *state, const char *host)
{
	return (g_hash_table_lookup(state->host_groups, host));
}

/**
 * state_lease() - the newest lease of a failure domain, or NULL.
 * @state: the state
 * @domain: the failure domain
 */
struct lease *
state_lease(const struct state *state, const char *domain)
{
	return (g_hash_table_lookup(state->leases, domain));
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return (strcmp(*(const char *const *)a, *(const char *const *)b));
}

/**
 * state_sorted_keys() - sorted keys of a table.
 * @table: a table with string keys
 *
 * Return: an array of the keys, which remain owned by the table
 */
GPtrArray *
state_sorted_keys(GHashTable *table)
{
	GPtrArray *keys;
	GHashTableIter iter;
	gpointer key;

	keys = g_ptr_array_sized_new(g_hash_table_size(table));
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_ptr_array_add(keys, key);
	g_ptr_array_sort(keys, compare_keys);
	return (keys);
}
