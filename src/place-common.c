/* Steps that several placement policies take. */
#include "place-common.h"

/* Whether the plan dissolves the group already. */
static bool
group_dissolved(const GArray *actions, int group)
{
	for (guint i = 0; i < actions->len; i++) {
		const struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_DISSOLVE && a->group == group)
			return (true);
	}
	return (false);
}

/**
 * place_shrink() - dissolve groups beyond the wanted count, broken ones first.
 * @view: the view
 * @actions: the plan
 */
void
place_shrink(const struct place_view *view, GArray *actions)
{
	for (int pass = 0; pass < 2; pass++) {
		for (int g = view->n_groups - 1; g >= 0; g--) {
			if (place_groups_missing(view, actions) >= 0)
				return;
			if (group_dissolved(actions, g))
				continue;
			if (pass == 0 && view->groups[g].intact)
				continue;
			place_add_dissolve(actions, g);
		}
	}
}

/* Usable hosts of a fabric domain that the plan has not taken yet. */
static int
fabric_left(const struct place_view *view, int fabric, const GArray *actions)
{
	int n = place_fabric_reusable(view, fabric);

	for (guint i = 0; i < actions->len; i++) {
		const struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind != PLACE_FORM)
			continue;
		if (view->hosts[g_array_index(a->hosts, int, 0)].fabric ==
		    fabric)
			n -= view->size;
	}
	return (n);
}

/*
 * The fabric domain for the next group: the one whose hosts hold the most
 * shards, or with the most usable hosts; -1 when none has enough.
 */
static int
best_fabric(const struct place_view *view, int reserve, bool prefer_cached,
    const GArray *actions)
{
	int best = -1, best_score = -1;

	for (int f = 0; f < view->n_fabrics; f++) {
		int left = fabric_left(view, f, actions);
		int score = left;

		if (left < view->size + reserve)
			continue;
		if (prefer_cached)
			score += place_shards_held(view, f) * view->n_hosts;
		if (score > best_score) {
			best = f;
			best_score = score;
		}
	}
	return (best);
}

/**
 * place_fill() - form groups until the wanted count stands or hosts run out.
 * @view: the view
 * @reserve: free hosts to leave in each fabric domain
 * @prefer_cached: take the fabric domain whose hosts hold the most shards;
 *	otherwise the one with the most usable hosts
 * @actions: the plan
 */
void
place_fill(const struct place_view *view, int reserve, bool prefer_cached,
    GArray *actions)
{
	int fabric;

	while (place_groups_missing(view, actions) > 0) {
		fabric = best_fabric(view, reserve, prefer_cached, actions);
		if (fabric < 0 || !place_add_form(view, fabric, actions))
			return;
	}
}

/* Shards that the newest group of a plan has to load. */
static int
loads_of_newest(const struct place_view *view, const GArray *actions)
{
	const struct place_action *a =
	    &g_array_index(actions, struct place_action, actions->len - 1);
	int n = 0;

	for (int r = 0; r < view->size; r++)
		n += view->hosts[g_array_index(a->hosts, int, r)].shard != r;
	return (n);
}

/**
 * place_fill_with_loads() - as place_fill(), but only groups whose loads can
 * begin now: hosts that would only wait for the weight store are not held.
 * @view: the view
 * @actions: the plan
 */
void
place_fill_with_loads(const struct place_view *view, GArray *actions)
{
	int fabric, loads_free = view->loads_free;

	while (loads_free > 0 && place_groups_missing(view, actions) > 0) {
		fabric = best_fabric(view, 0, true, actions);
		if (fabric < 0 || !place_add_form(view, fabric, actions))
			return;
		loads_free -= loads_of_newest(view, actions);
	}
}
