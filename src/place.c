/* The table of placement policies, and functions on views and plans. */
#include <string.h>

#include "place.h"

static const struct place_policy *const policy_table[] = {
	&place_weighted,
	&place_replace,
	&place_reform,
	&place_spare,
	NULL,
};

/**
 * place_policy_find() - look up a placement policy by its name.
 * @name: name of the policy, as in a placement resource
 *
 * Return: the policy, or NULL.
 */
const struct place_policy *
place_policy_find(const char *name)
{
	for (size_t i = 0; policy_table[i] != NULL; i++) {
		if (strcmp(policy_table[i]->name, name) == 0)
			return (policy_table[i]);
	}
	return (NULL);
}

static void
action_clear(void *arg)
{
	struct place_action *action = arg;

	g_clear_pointer(&action->hosts, g_array_unref);
}

/**
 * place_plan() - the changes of group membership by a policy.
 * @policy: the policy
 * @view: input of the policy
 *
 * Return: array of struct place_action; free with g_array_unref().
 */
GArray *
place_plan(const struct place_policy *policy, const struct place_view *view)
{
	GArray *actions;

	actions = g_array_new(FALSE, TRUE, sizeof(struct place_action));
	g_array_set_clear_func(actions, action_clear);
	policy->plan(view, actions);
	return (actions);
}

/**
 * place_hosts_lost() - number of hosts that a group has lost.
 * @view: the view
 * @group: index of the group
 * @lost_ms: set to the time since the newest loss, in ms; UINT64_MAX without
 * one
 */
int
place_hosts_lost(const struct place_view *view, int group, uint64_t *lost_ms)
{
	int lost = 0;

	*lost_ms = UINT64_MAX;
	for (int i = 0; i < view->n_hosts; i++) {
		const struct place_host *h = &view->hosts[i];

		if (h->group != group || h->alive)
			continue;
		lost++;
		if (h->lost_ms < *lost_ms)
			*lost_ms = h->lost_ms;
	}
	return (lost);
}

/**
 * place_fabric_reusable() - number of reusable hosts of a fabric domain.
 * @view: the view
 * @fabric: number of the fabric domain
 */
int
place_fabric_reusable(const struct place_view *view, int fabric)
{
	int n = 0;

	for (int i = 0; i < view->n_hosts; i++) {
		if (view->hosts[i].fabric == fabric && view->hosts[i].reusable)
			n++;
	}
	return (n);
}

/**
 * place_shards_held() - number of distinct shards that the reusable hosts of a
 * fabric domain hold.
 * @view: the view
 * @fabric: number of the fabric domain
 */
int
place_shards_held(const struct place_view *view, int fabric)
{
	uint64_t held = 0;

	for (int i = 0; i < view->n_hosts; i++) {
		const struct place_host *h = &view->hosts[i];

		if (h->fabric == fabric && h->reusable && h->shard >= 0 &&
		    h->shard < view->size)
			held |= UINT64_C(1) << h->shard;
	}
	return (__builtin_popcountll(held));
}

/**
 * place_add_dissolve() - add the dissolution of a group to a plan.
 * @actions: the plan
 * @group: index of the group
 */
void
place_add_dissolve(GArray *actions, int group)
{
	struct place_action action = { .kind = PLACE_DISSOLVE, .group = group };

	g_array_append_val(actions, action);
}

/* Whether a group that the plan forms uses the host. */
static bool
host_taken(const GArray *actions, int host)
{
	for (guint i = 0; i < actions->len; i++) {
		const struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		for (guint k = 0; a->kind == PLACE_FORM && k < a->hosts->len;
		     k++) {
			if (g_array_index(a->hosts, int, k) == host)
				return (true);
		}
	}
	return (false);
}

/*
 * A reusable host of the fabric domain that is not in the plan and holds the
 * shard, or any such host for PLACE_NO_SHARD; -1 if there is none.
 */
static int
pick_host(const struct place_view *view, const GArray *actions,
    const int *ranks, int fabric, int shard)
{
	for (int i = 0; i < view->n_hosts; i++) {
		const struct place_host *h = &view->hosts[i];
		bool used = false;

		if (h->fabric != fabric || !h->reusable ||
		    host_taken(actions, i))
			continue;
		if (shard != PLACE_NO_SHARD && h->shard != shard)
			continue;
		for (int r = 0; r < view->size; r++)
			used = used || ranks[r] == i;
		if (!used)
			return (i);
	}
	return (-1);
}

/**
 * place_add_form() - add a new group in one fabric domain to a plan.
 * @view: the view
 * @fabric: number of the fabric domain
 * @actions: the plan
 *
 * A host that holds a shard gets the rank of that shard; other hosts fill the
 * remaining ranks.
 *
 * Return: false if the fabric domain has too few reusable hosts.
 */
bool
place_add_form(const struct place_view *view, int fabric, GArray *actions)
{
	struct place_action action = { .kind = PLACE_FORM };
	int *ranks;

	action.hosts =
	    g_array_sized_new(FALSE, FALSE, sizeof(int), (guint)view->size);
	g_array_set_size(action.hosts, (guint)view->size);
	ranks = (int *)action.hosts->data;
	for (int r = 0; r < view->size; r++)
		ranks[r] = -1;
	for (int r = 0; r < view->size; r++)
		ranks[r] = pick_host(view, actions, ranks, fabric, r);
	for (int r = 0; r < view->size; r++) {
		if (ranks[r] < 0)
			ranks[r] = pick_host(view, actions, ranks, fabric,
			    PLACE_NO_SHARD);
		if (ranks[r] < 0) {
			g_array_unref(action.hosts);
			return (false);
		}
	}
	g_array_append_val(actions, action);
	return (true);
}

/**
 * place_groups_missing() - number of groups that are missing after a plan;
 * negative if there are too many.
 * @view: the view
 * @actions: the plan
 */
int
place_groups_missing(const struct place_view *view, const GArray *actions)
{
	int n = view->n_groups;

	for (guint i = 0; i < actions->len; i++) {
		const struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		n += a->kind == PLACE_FORM ? 1 : -1;
	}
	return (view->wanted - n);
}
