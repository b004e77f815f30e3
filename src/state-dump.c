/* The state as JSON: for snapshots, for peers that catch up, for a digest. */
#include <xxhash.h>

#include "error.h"
#include "group.h"
#include "lease.h"
#include "resource.h"
#include "state.h"

/* Dumps a table's values in the order of their keys. */
static json_t *
dump_table(GHashTable *table, json_t *(*dump)(const void *))
{
	g_autoptr(GPtrArray) keys = state_sorted_keys(table);
	json_t *array = json_array();

	for (guint i = 0; i < keys->len; i++)
		json_array_append_new(array,
		    dump(g_hash_table_lookup(table, keys->pdata[i])));
	return (array);
}

static json_t *
dump_resource(const void *value)
{
	return (resource_dump(value));
}

static json_t *
dump_group(const void *value)
{
	return (group_dump(value));
}

static json_t *
dump_lease(const void *value)
{
	return (lease_dump(value));
}

/**
 * state_dump() - the whole state as JSON; the same state, the same JSON.
 * @state: the state
 */
json_t *
state_dump(const struct state *state)
{
	return (
	    json_pack("{s:I, s:o, s:o, s:o}", "next", (json_int_t)state->next,
		"resources", dump_table(state->resources, dump_resource),
		"groups", dump_table(state->groups, dump_group), "leases",
		dump_table(state->leases, dump_lease)));
}

/**
 * state_digest() - a hash of the whole state; equal on all daemons at equal
 * offsets.
 * @state: the state
 */
uint64_t
state_digest(const struct state *state)
{
	json_auto_t *dump = state_dump(state);
	g_autofree char *text = NULL;

	text = json_dumps(dump, JSON_COMPACT | JSON_SORT_KEYS);
	return (XXH64(text, strlen(text), 0));
}

static bool
load_resource(struct state *state, json_t *item)
{
	const char *type, *name;
	struct resource *res;
	json_int_t version;
	json_t *spec;

	if (json_unpack(item, "{s:s, s:s, s:I, s:o}", "type", &type, "name",
		&name, "version", &version, "spec", &spec) != 0)
		return (false);
	res = resource_create(type, name, (uint64_t)version,
	    json_is_null(spec) ? NULL : spec);
	g_hash_table_replace(state->resources, res->key, res);
	return (true);
}

static bool
load_group(struct state *state, json_t *item)
{
	struct group *group;
	json_t *epoch;

	epoch = json_object_get(item, "epoch");
	group = group_create(item, (uint64_t)json_integer_value(epoch));
	if (group == NULL)
		return (false);
	g_hash_table_replace(state->groups, group->name, group);
	for (guint i = 0; i < group->hosts->len; i++)
		g_hash_table_insert(state->host_groups, group->hosts->pdata[i],
		    group);
	return (true);
}

static bool
load_lease(struct state *state, json_t *item)
{
	const char *domain, *holder;
	json_int_t term, renewed;
	struct lease *lease;

	if (json_unpack(item, "{s:s, s:s, s:I, s:I}", "domain", &domain,
		"holder", &holder, "term", &term, "renewed", &renewed) != 0)
		return (false);
	lease = lease_create(domain, holder, (uint64_t)term, (uint64_t)renewed);
	g_hash_table_replace(state->leases, lease->domain, lease);
	return (true);
}

/* Loads each item of an array; false at the first that does not fit. */
static bool
load_array(struct state *state, json_t *dump, const char *name,
    bool (*load)(struct state *, json_t *))
{
	json_t *array, *item;
	size_t i;

	array = json_object_get(dump, name);
	if (!json_is_array(array))
		return (false);
	json_array_foreach(array, i, item) {
		if (!load(state, item))
			return (false);
	}
	return (true);
}

/**
 * state_load() - make a state from a dump.
 * @dump: what state_dump() gave
 * @error: ERROR_BAD_FIELD
 */
struct state *
state_load(json_t *dump, GError **error)
{
	struct state *state = state_create();
	json_t *next;

	next = json_object_get(dump, "next");
	if (json_integer_value(next) > 0 &&
	    load_array(state, dump, "resources", load_resource) &&
	    load_array(state, dump, "groups", load_group) &&
	    load_array(state, dump, "leases", load_lease)) {
		state->next = (uint64_t)json_integer_value(next);
		return (state);
	}
	state_free(state);
	error_set(error, ERROR_BAD_FIELD, "state: malformed dump");
	return (NULL);
}
