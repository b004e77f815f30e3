/* Plans changes of group membership as records for the log. */
#include <string.h>

#include "cleanup.h"
#include "group.h"
#include "lease.h"
#include "plan.h"
#include "resource.h"

/* A plan that is being made. */
struct plan {
	const struct plan_input *in;
	uint64_t term;
	GPtrArray *records;
};

static void
plan_dissolve(struct plan *plan, const struct group *group)
{
	g_ptr_array_add(plan->records,
	    json_pack("{s:s, s:s, s:I, s:s, s:I}", "kind", "dissolve", "domain",
		plan->in->domain, "term", (json_int_t)plan->term, "name",
		group->name, "base", (json_int_t)group->epoch));
}

/* Whether a group of the state or of the plan so far has the name. */
static bool
name_used(const struct plan *plan, const char *name)
{
	json_t *other;

	if (state_group(plan->in->state, name) != NULL)
		return (true);
	for (guint i = 0; i < plan->records->len; i++) {
		other = json_object_get(plan->records->pdata[i], "name");
		if (strcmp(json_string_value(other), name) == 0)
			return (true);
	}
	return (false);
}

/*
 * A name for a new group, with the lowest number that is not in use; free with
 * g_free().
 */
static char *
unused_name(const struct plan *plan, const char *deployment)
{
	char *name;

	for (int n = 0;; n++) {
		name = g_strdup_printf("%s/%s/%d", deployment, plan->in->domain,
		    n);
		if (!name_used(plan, name))
			return (name);
		g_free(name);
	}
}

static void
plan_form(struct plan *plan, const struct place_live *live, const GArray *ranks,
    const char *deployment)
{
	g_autofree char *name = unused_name(plan, deployment);
	const struct place_host *host = NULL;
	json_t *hosts = json_array();
	const char *fabric;

	for (guint i = 0; i < ranks->len; i++) {
		host = &live->view.hosts[g_array_index(ranks, int, i)];
		json_array_append_new(hosts, json_string(host->name));
	}
	fabric = live->fabrics->pdata[host != NULL ? host->fabric : 0];
	g_ptr_array_add(plan->records,
	    json_pack("{s:s, s:s, s:I, s:s, s:s, s:s, s:o}", "kind", "form",
		"domain", plan->in->domain, "term", (json_int_t)plan->term,
		"name", name, "deployment", deployment, "fabric", fabric,
		"hosts", hosts));
}

/* Adds the changes of one deployment, by its placement policy. */
static void
plan_deployment(struct plan *plan, const struct resource *deployment)
{
	const struct state *state = plan->in->state;
	const char *name = resource_string(deployment, "placement", "");
	struct resource *placement = state_resource(state, "placement", name);
	CLEANUP(place_live_clear) struct place_live live;
	const struct place_policy *policy;
	g_autoptr(GArray) actions = NULL;

	place_live_make(&live, state, plan->in->inv, deployment,
	    plan->in->domain, &plan->in->limits);
	policy = place_policy_find(
	    resource_string(placement, "policy", PLACE_POLICY_DEFAULT));
	actions = place_plan(policy, &live.view);
	for (guint i = 0; i < actions->len; i++) {
		struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_DISSOLVE)
			plan_dissolve(plan,
			    state_group(state,
				live.view.groups[a->group].name));
		else
			plan_form(plan, &live, a->hosts, deployment->name);
	}
}

/* Dissolves the groups whose deployment was deleted. */
static void
plan_dissolve_orphans(struct plan *plan)
{
	const struct state *state = plan->in->state;
	struct resource *deployment;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct group *group = value;

		deployment =
		    state_resource(state, "deployment", group->deployment);
		if (strcmp(group->domain, plan->in->domain) == 0 &&
		    !resource_exists(deployment))
			plan_dissolve(plan, group);
	}
}

static void
record_free(void *record)
{
	json_decref(record);
}

/**
 * plan_changes() - the changes of group membership that are due.
 * @in: input of the plan
 *
 * Return: records (json_t *) under the newest lease of the failure domain, in
 * the order in which they are to be written; none if there is no lease. Free
 * with g_ptr_array_unref().
 */
GPtrArray *
plan_changes(const struct plan_input *in)
{
	struct lease *lease = state_lease(in->state, in->domain);
	struct plan plan = { .in = in };
	g_autoptr(GPtrArray) keys = NULL;
	struct resource *res;

	plan.records = g_ptr_array_new_with_free_func(record_free);
	if (lease == NULL)
		return (plan.records);
	plan.term = lease->term;
	keys = state_sorted_keys(in->state->resources);
	for (guint i = 0; i < keys->len; i++) {
		res = g_hash_table_lookup(in->state->resources, keys->pdata[i]);
		if (resource_exists(res) &&
		    strcmp(res->type, "deployment") == 0)
			plan_deployment(&plan, res);
	}
	plan_dissolve_orphans(&plan);
	return (plan.records);
}
