/* Group downtime and stranded accelerators of one failure domain, live. */
#include <inttypes.h>
#include <string.h>

#include "group.h"
#include "place.h"
#include "resource.h"
#include "usage.h"

static void
usage_free(void *arg)
{
	struct usage *u = arg;

	g_free(u->deployment);
	g_free(u->policy);
	g_free(u);
}

/**
 * usage_create() - begin with nothing counted.
 */
GHashTable *
usage_create(void)
{
	return (
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, usage_free));
}

/* The counts of a deployment under its present policy. */
static struct usage *
usage_of(GHashTable *table, const struct usage_input *in,
    const struct resource *deployment)
{
	const char *name = resource_string(deployment, "placement", "");
	struct resource *placement =
	    state_resource(in->state, "placement", name);
	const char *policy =
	    resource_string(placement, "policy", PLACE_POLICY_DEFAULT);
	char *key = g_strconcat(deployment->name, "/", policy, NULL);
	struct usage *u = g_hash_table_lookup(table, key);

	if (u != NULL) {
		g_free(key);
		return (u);
	}
	u = g_new0(struct usage, 1);
	u->deployment = g_strdup(deployment->name);
	u->policy = g_strdup(policy);
	g_hash_table_insert(table, key, u);
	return (u);
}

/* Whether every host of the group says now that it is ready in it. */
static bool
group_whole(const struct usage_input *in, const struct group *group)
{
	struct host *host;

	for (guint i = 0; i < group->hosts->len; i++) {
		host = inventory_find(in->inv, group->hosts->pdata[i]);
		if (host == NULL ||
		    !evidence_ready_in(&host->evidence, group->epoch) ||
		    !evidence_fresh(&host->evidence, in->now, in->evidence_ms))
			return (false);
	}
	return (true);
}

/* Accelerators of the group's hosts that are known. */
static uint64_t
group_accelerators(const struct usage_input *in, const struct group *group)
{
	struct host *host;
	uint64_t n = 0;

	for (guint i = 0; i < group->hosts->len; i++) {
		host = inventory_find(in->inv, group->hosts->pdata[i]);
		if (host != NULL)
			n += (uint64_t)host->accelerators;
	}
	return (n);
}

static void
count_deployment(GHashTable *table, const struct usage_input *in,
    const struct resource *deployment)
{
	struct usage *u = usage_of(table, in, deployment);
	json_t *replicas = json_object_get(deployment->spec, "replicas");
	json_int_t wanted =
	    json_integer_value(json_object_get(replicas, in->domain));
	json_int_t whole = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, in->state->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct group *group = value;

		if (strcmp(group->domain, in->domain) != 0 ||
		    strcmp(group->deployment, deployment->name) != 0)
			continue;
		if (group_whole(in, group))
			whole++;
		else
			u->stranded_ms +=
			    in->elapsed_ms * group_accelerators(in, group);
	}
	if (wanted > whole)
		u->downtime_ms += in->elapsed_ms * (uint64_t)(wanted - whole);
}

/**
 * usage_count() - add the time that has passed.
 * @table: the counts
 * @in: what to look at
 */
void
usage_count(GHashTable *table, const struct usage_input *in)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, in->state->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct resource *res = value;

		if (resource_exists(res) &&
		    strcmp(res->type, "deployment") == 0)
			count_deployment(table, in, res);
	}
}

/**
 * usage_print() - append the counts to the metrics page.
 * @table: the counts
 * @out: the page
 */
void
usage_print(GHashTable *table, GString *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct usage *u = value;

		g_string_append_printf(out,
		    "banklift_group_downtime_ms{deployment=\"%s\","
		    "policy=\"%s\"} %" PRIu64
		    "\nbanklift_stranded_accelerator_ms{deployment=\"%s\","
		    "policy=\"%s\"} %" PRIu64 "\n",
		    u->deployment, u->policy, u->downtime_ms, u->deployment,
		    u->policy, u->stranded_ms);
	}
}
