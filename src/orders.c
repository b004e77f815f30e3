/*
 * Orders to engines. They are derived anew each time from the configuration
 * and the evidence about hosts, so an order that was lost, or that came from an
 * earlier lease holder, is repeated or undone. Each carries the group's epoch
 * as fencing token.
 */
#include <string.h>

#include "event-log.h"
#include "group.h"
#include "orders.h"
#include "resource.h"

/* Returns the position of a host in its group, or -1. */
static int
group_rank(const struct group *group, const char *host)
{
	for (guint i = 0; i < group->hosts->len; i++) {
		if (strcmp(group->hosts->pdata[i], host) == 0)
			return ((int)i);
	}
	return (-1);
}

/* Orders a host to join a group. */
static void
order_join(struct http_batch *batch, const struct state *state,
    struct host *host, const struct group *group)
{
	g_autofree char *url = g_strconcat(host->url, "/host/join", NULL);
	struct resource *deployment;
	json_t *hosts = json_array();

	deployment = state_resource(state, "deployment", group->deployment);
	for (guint i = 0; i < group->hosts->len; i++)
		json_array_append_new(hosts,
		    json_string(group->hosts->pdata[i]));
	http_batch_add(batch, url,
	    json_pack("{s:s, s:I, s:i, s:i, s:s, s:o}", "group", group->name,
		"epoch", (json_int_t)group->epoch, "rank",
		group_rank(group, host->name), "shards", (int)group->hosts->len,
		"model", resource_string(deployment, "model", ""), "hosts",
		hosts),
	    host);
	event_log(LOG_INFO, "order_join",
	    "host=%s group=%s epoch=%" G_GUINT64_FORMAT, host->name,
	    group->name, group->epoch);
}

/* Orders a host to leave the group that it reports. */
static void
order_leave(struct http_batch *batch, struct host *host)
{
	g_autofree char *url = g_strconcat(host->url, "/host/leave", NULL);
	uint64_t epoch = host->evidence.epoch;

	http_batch_add(batch, url,
	    json_pack("{s:I}", "epoch", (json_int_t)epoch), host);
	event_log(LOG_INFO, "order_leave", "host=%s epoch=%" G_GUINT64_FORMAT,
	    host->name, epoch);
}

/**
 * orders_loads_free() - number of weight loads that may start now.
 * @inv: the hosts, locked
 * @lim: failure domain, time and limits
 *
 * The loads in progress are counted by fresh evidence.
 */
int
orders_loads_free(struct inventory *inv, const struct order_limits *lim)
{
	struct host *host;
	int n = 0;

	TAILQ_FOREACH(host, &inv->hosts, entry) {
		if (strcmp(host->domain, lim->domain) == 0 &&
		    evidence_fresh(&host->evidence, lim->now,
			lim->evidence_ms) &&
		    host->evidence.state == HOST_LOADING)
			n++;
	}
	return (lim->load_parallel - n);
}

/* Whether evidence about an engine is fresh enough to decide on orders. */
static bool
host_has_evidence(const struct host *host, const struct order_limits *lim)
{
	return (host->kind == HOST_ENGINE &&
	    strcmp(host->domain, lim->domain) == 0 &&
	    evidence_fresh(&host->evidence, lim->now, lim->evidence_ms));
}

/* Returns how many hosts of a group have yet to join it. */
static int
joins_missing(struct inventory *inv, const struct group *group)
{
	struct host *host;
	int n = 0;

	for (guint i = 0; i < group->hosts->len; i++) {
		host = inventory_find(inv, group->hosts->pdata[i]);
		n += host == NULL || host->evidence.epoch != group->epoch;
	}
	return (n);
}

/* Whether a host that the configuration puts into a group is in none yet. */
static bool
join_due(const struct host *host, const struct group *group)
{
	return (group != NULL && host->evidence.epoch == 0);
}

/*
 * Chooses the host that joins next, from the group that lacks the fewest hosts:
 * loads from the weight store are limited, and this group is complete soonest.
 */
static struct host *
next_join(const struct state *state, struct inventory *inv,
    const struct order_limits *lim, GHashTable *ordered)
{
	struct host *host, *best = NULL;
	int best_missing = 0, missing;

	TAILQ_FOREACH(host, &inv->hosts, entry) {
		struct group *group = state_host_group(state, host->name);

		if (!host_has_evidence(host, lim) || !join_due(host, group) ||
		    g_hash_table_contains(ordered, host))
			continue;
		missing = joins_missing(inv, group);
		if (best == NULL || missing < best_missing) {
			best = host;
			best_missing = missing;
		}
	}
	return (best);
}

/**
 * orders_fill() - fill a batch with the orders that are due now.
 * @batch: the orders are added here
 * @state: the configuration, locked
 * @inv: the hosts, locked
 * @lim: failure domain, time and limits
 */
void
orders_fill(struct http_batch *batch, const struct state *state,
    struct inventory *inv, const struct order_limits *lim)
{
	int loads_free = orders_loads_free(inv, lim);
	g_autoptr(GHashTable) ordered = g_hash_table_new(NULL, NULL);
	struct group *group;
	struct host *host;

	TAILQ_FOREACH(host, &inv->hosts, entry) {
		group = state_host_group(state, host->name);
		/* A host must leave its group before it joins another. */
		if (host_has_evidence(host, lim) && host->evidence.epoch != 0 &&
		    (group == NULL || host->evidence.epoch != group->epoch))
			order_leave(batch, host);
	}
	while (loads_free-- > 0 &&
	    (host = next_join(state, inv, lim, ordered)) != NULL) {
		g_hash_table_add(ordered, host);
		order_join(batch, state, host,
		    state_host_group(state, host->name));
	}
}
