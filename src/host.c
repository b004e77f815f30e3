/* One host of the platform's host list, with the evidence about it. */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "host.h"

static void
set_string(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value);
}

/**
 * host_update() - take what the host list says now.
 * @host: the host
 * @item: its entry in the host list
 *
 * Return: false, with @host untouched, when the entry is malformed.
 */
bool
host_update(struct host *host, json_t *item)
{
	const char *url, *domain, *fabric = "", *pool, *kind, *state;
	int accelerators = 0;

	if (json_unpack(item, "{s:s, s:s, s?s, s:s, s:s, s:s, s?i}", "url",
		&url, "domain", &domain, "fabric", &fabric, "pool", &pool,
		"kind", &kind, "state", &state, "accelerators",
		&accelerators) != 0)
		return (false);
	set_string(&host->url, url);
	set_string(&host->domain, domain);
	set_string(&host->fabric, fabric);
	set_string(&host->pool, pool);
	host->kind = strcmp(kind, "engine") == 0 ? HOST_ENGINE : HOST_SERVICE;
	host->accelerators = accelerators;
	host->listed_leaving = strcmp(state, "live") != 0;
	host->unlisted = false;
	return (true);
}

/**
 * host_create() - make a host from an entry of the host list.
 * @item: the entry
 * @now: monotonic milliseconds; the host may have been in a group until now
 *
 * Return: the host, or NULL when the entry is malformed.
 */
struct host *
host_create(json_t *item, uint64_t now)
{
	const char *name;
	struct host *host;

	name = json_string_value(json_object_get(item, "name"));
	if (name == NULL)
		return (NULL);
	host = g_new0(struct host, 1);
	if (!host_update(host, item)) {
		g_free(host);
		return (NULL);
	}
	host->name = g_strdup(name);
	host->name_hash = XXH64(name, strlen(name), 0);
	host->last_in_group_ms = now;
	return (host);
}

/**
 * host_free() - free a host.
 * @host: the host
 */
void
host_free(struct host *host)
{
	g_free(host->name);
	g_free(host->url);
	g_free(host->domain);
	g_free(host->fabric);
	g_free(host->pool);
	g_free(host);
}

/**
 * host_leaving() - whether the host is to get no new work.
 * @host: the host
 *
 * The host list lags, so the first source to say it counts. A host that is
 * missing from the list is not said to leave: the list may be an older one,
 * and a host that is really gone stops answering.
 */
bool
host_leaving(const struct host *host)
{
	return (host->listed_leaving || host->evidence.state == HOST_LEAVING);
}
