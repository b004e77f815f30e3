/* The table of placement policies and what several of them share. */
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
 * place_policy_find() - the policy of a name, or NULL.
 * @name: as operators name it
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
 * place_plan() - what a policy would change now.
 * @policy: the policy
 * @view: what it looks at
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
 * place_hosts_lost() - how many hosts a group has lost.
 * @view: the view
 * @group: index of the group
 * @lost_ms: set to how long the latest loss has lasted
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
 * place_fabric_reusable() - how many hosts of a fabric domain can be used now.
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
 * place_shards_held() - how many distinct shards the usable hosts of a fabric
 * domain hold.
 * @view: the view
 * @fabric: number of the fabric domain
 */
int
place_shards_held(const struct place_view *view, int fabric)
{
	uint64_t held = 0;

	for (int i = 0; i < view->n_hosts; i++) {
		const struct place_host *h = &view->hosts[i];

		if (h->fabric == fabric && h->reusable &&
		    h->shard != PLACE_NO_SHARD && h->shard < view->size)
			held |= UINT64_C(1) << h->shard;
	}
	return (__builtin_popcountll(held));
}

/**
 * place_add_dissolve() - add the end of a group to a plan.
 * @actions: the plan
 * @group: index of the group
 */
void
place_add_dissolve(GArray *actions, int group)
{
	struct place_action action = { .kind = PLACE_DISSOLVE, .group = group };

	g_array_append_val(actions, action);
}

/* Whether an action of the plan uses the host already. */
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

/* A usable host of the fabric domain that holds the shard, or any. */
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
 * Hosts that hold a shard get its rank; the others fill up.
 *
 * Return: false when the fabric domain has too few usable hosts.
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
 * place_groups_missing() - how many groups are still to be formed after a plan.
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
