/* Builds a placement policy's view from the live state. */
#include <string.h>

#include "group.h"
#include "place-live.h"

/* lost_ms of a host that leaves or was never listed; it does not come back. */
#define LOST_FOR_GOOD_MS 3600000

static int
fabric_number(struct place_live *live, const char *fabric)
{
	guint index;

	if (!g_ptr_array_find_with_equal_func(live->fabrics, fabric,
		g_str_equal, &index)) {
		index = live->fabrics->len;
		g_ptr_array_add(live->fabrics, g_strdup(fabric));
	}
	return ((int)index);
}

static int
group_index(struct place_live *live, const struct group *group)
{
	for (guint i = 0; group != NULL && i < live->groups->len; i++) {
		if (strcmp(g_array_index(live->groups, struct place_group, i)
			       .name,
			group->name) == 0)
			return ((int)i);
	}
	return (PLACE_NO_GROUP);
}

static void
add_groups(struct place_live *live, const struct state *state,
    const struct resource *deployment, const char *domain)
{
	g_autoptr(GPtrArray) names = state_sorted_keys(state->groups);

	for (guint i = 0; i < names->len; i++) {
		struct group *group = state_group(state, names->pdata[i]);
		struct place_group out = { .name = group->name };

		if (strcmp(group->domain, domain) != 0 ||
		    strcmp(group->deployment, deployment->name) != 0)
			continue;
		out.fabric = fabric_number(live, group->fabric);
		out.intact = true;
		g_array_append_val(live->groups, out);
	}
}

/* Fills in what the evidence tells about a host. */
static void
host_set_evidence(struct place_host *out, const struct host *host,
    const struct group *group, uint32_t model_hash, int size,
    const struct place_live_limits *t)
{
	const struct evidence *ev = &host->evidence;
	uint64_t age = t->now > ev->as_of_ms ? t->now - ev->as_of_ms : 0;

	out->alive = ev->as_of_ms != 0 && age < t->dead_ms;
	out->lost_ms = out->alive ? 0 : age;
	if (host_leaving(host)) {
		out->alive = false;
		out->lost_ms = LOST_FOR_GOOD_MS;
	}
	out->reusable = out->alive && group == NULL && !host->unlisted &&
	    evidence_fresh(ev, t->now, t->evidence_ms) && evidence_idle(ev) &&
	    t->now >= host->last_in_group_ms + t->evidence_ms;
	out->shard = ev->model_hash == model_hash && ev->shards == size ?
	    ev->shard :
	    PLACE_NO_SHARD;
}

static void
add_hosts(struct place_live *live, const struct state *state,
    struct inventory *inv, const struct resource *deployment,
    const char *domain, const struct place_live_limits *t)
{
	const char *pool = resource_string(deployment, "pool", "");
	uint32_t model_hash =
	    evidence_model_hash(resource_string(deployment, "model", ""));
	struct host *host;

	TAILQ_FOREACH(host, &inv->hosts, entry) {
		struct group *group = state_host_group(state, host->name);
		struct place_host out = { .name = host->name };

		if (host->kind != HOST_ENGINE ||
		    strcmp(host->domain, domain) != 0)
			continue;
		if (group != NULL)
			host->last_in_group_ms = t->now;
		out.group = group_index(live, group);
		if (strcmp(host->pool, pool) != 0 &&
		    out.group == PLACE_NO_GROUP)
			continue;
		out.fabric = fabric_number(live, host->fabric);
		host_set_evidence(&out, host, group, model_hash,
		    live->view.size, t);
		if (out.group != PLACE_NO_GROUP && !out.alive)
			g_array_index(live->groups, struct place_group,
			    out.group)
			    .intact = false;
		g_array_append_val(live->hosts, out);
	}
}

/* Adds those hosts of groups that were never in the host list, as lost. */
static void
add_unknown_hosts(struct place_live *live, const struct state *state,
    struct inventory *inv)
{
	for (guint g = 0; g < live->groups->len; g++) {
		struct place_group *pg =
		    &g_array_index(live->groups, struct place_group, g);
		struct group *group = state_group(state, pg->name);

		for (guint i = 0; i < group->hosts->len; i++) {
			struct place_host out = { .name =
						      group->hosts->pdata[i],
				.fabric = pg->fabric,
				.group = (int)g,
				.lost_ms = LOST_FOR_GOOD_MS,
				.shard = PLACE_NO_SHARD };

			if (inventory_find(inv, out.name) != NULL)
				continue;
			pg->intact = false;
			g_array_append_val(live->hosts, out);
		}
	}
}

/**
 * place_live_make() - build the view of one deployment.
 * @live: filled in; free with place_live_clear()
 * @state: the configuration, locked
 * @inv: the hosts, locked
 * @deployment: the deployment
 * @domain: the failure domain
 * @t: current time and limits
 */
void
place_live_make(struct place_live *live, const struct state *state,
    struct inventory *inv, const struct resource *deployment,
    const char *domain, const struct place_live_limits *t)
{
	const char *name = resource_string(deployment, "placement", "");
	struct resource *placement = state_resource(state, "placement", name);
	json_t *replicas;

	memset(live, 0, sizeof *live);
	live->hosts = g_array_new(FALSE, TRUE, sizeof(struct place_host));
	live->groups = g_array_new(FALSE, TRUE, sizeof(struct place_group));
	live->fabrics = g_ptr_array_new_with_free_func(g_free);
	replicas = json_object_get(deployment->spec, "replicas");
	live->view.wanted =
	    (int)json_integer_value(json_object_get(replicas, domain));
	live->view.size = (int)resource_int(deployment, "hosts_per_replica", 1);
	live->view.spares = (int)resource_int(placement, "spares", 1);
	live->view.downtime_weight =
	    resource_number(placement, "downtime_weight", 0.5);
	live->view.load_ms = t->load_ms;
	live->view.loads_free = t->loads_free;
	add_groups(live, state, deployment, domain);
	add_hosts(live, state, inv, deployment, domain, t);
	add_unknown_hosts(live, state, inv);
	live->view.hosts = (struct place_host *)live->hosts->data;
	live->view.n_hosts = (int)live->hosts->len;
	live->view.groups = (struct place_group *)live->groups->data;
	live->view.n_groups = (int)live->groups->len;
	live->view.n_fabrics = (int)live->fabrics->len;
}

/**
 * place_live_clear() - free the data of a view; for use with CLEANUP().
 * @live: the view
 */
void
place_live_clear(struct place_live *live)
{
	g_array_unref(live->hosts);
	g_array_unref(live->groups);
	g_ptr_array_unref(live->fabrics);
}
