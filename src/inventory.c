/* The hosts of the platform's host list, with the evidence about each. */
#include "event-log.h"
#include "inventory.h"

/**
 * inventory_init() - initialize an empty inventory.
 * @inv: the inventory
 */
void
inventory_init(struct inventory *inv)
{
	g_mutex_init(&inv->lock);
	TAILQ_INIT(&inv->hosts);
	inv->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	inv->listed_ms = 0;
}

/**
 * inventory_destroy() - free all hosts and the lock.
 * @inv: the inventory
 */
void
inventory_destroy(struct inventory *inv)
{
	struct host *host;

	while ((host = TAILQ_FIRST(&inv->hosts)) != NULL) {
		TAILQ_REMOVE(&inv->hosts, host, entry);
		host_free(host);
	}
	g_hash_table_unref(inv->by_name);
	g_mutex_clear(&inv->lock);
}

/**
 * inventory_find() - look up a host by its name.
 * @inv: the inventory, locked
 * @name: name of the host
 *
 * Return: the host, or NULL.
 */
struct host *
inventory_find(struct inventory *inv, const char *name)
{
	return (g_hash_table_lookup(inv->by_name, name));
}

/*
 * Adds or updates one host. Returns whether it is new or whether it began or
 * stopped leaving.
 */
static bool
inventory_put(struct inventory *inv, json_t *item, uint64_t now)
{
	const char *name = json_string_value(json_object_get(item, "name"));
	struct host *host;
	bool leaving;

	host = name != NULL ? inventory_find(inv, name) : NULL;
	if (host != NULL) {
		leaving = host_leaving(host);
		host_update(host, item);
		return (leaving != host_leaving(host));
	}
	host = host_create(item, now);
	if (host == NULL) {
		event_log(LOG_WARNING, "host_list_entry_malformed", " ");
		return (false);
	}
	TAILQ_INSERT_TAIL(&inv->hosts, host, entry);
	g_hash_table_insert(inv->by_name, host->name, host);
	return (true);
}

/**
 * inventory_update() - apply a new host list.
 * @inv: the inventory
 * @list: array of entries
 * @now: monotonic time, in ms
 *
 * Hosts that are no longer listed are kept and marked as unlisted, since a
 * group may still name them.
 *
 * Return: whether this is the first list, or a host was added, disappeared, or
 * began or stopped leaving.
 */
bool
inventory_update(struct inventory *inv, json_t *list, uint64_t now)
{
	g_autoptr(GHashTable) listed = NULL;
	struct host *host;
	bool changed;
	json_t *item;
	size_t i;

	listed = g_hash_table_new(g_str_hash, g_str_equal);
	g_mutex_lock(&inv->lock);
	changed = inv->listed_ms == 0;
	inv->listed_ms = now;
	json_array_foreach(list, i, item) {
		const char *name =
		    json_string_value(json_object_get(item, "name"));

		if (name != NULL)
			g_hash_table_add(listed, (char *)name);
		changed = inventory_put(inv, item, now) || changed;
	}
	TAILQ_FOREACH(host, &inv->hosts, entry) {
		if (host->unlisted || g_hash_table_contains(listed, host->name))
			continue;
		host->unlisted = true;
		changed = true;
	}
	g_mutex_unlock(&inv->lock);
	return (changed);
}
