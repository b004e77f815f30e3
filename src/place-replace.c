/*
 * Keep the survivors and replace the lost host: a broken group stays, and
 * holds its hosts, until its fabric domain has a free host for each lost one.
 */
#include "place-common.h"

static void
replace_plan(const struct place_view *view, GArray *actions)
{
	uint64_t lost_ms;

	for (int g = 0; g < view->n_groups; g++) {
		int lost = place_hosts_lost(view, g, &lost_ms);

		if (lost > 0 && lost < view->size &&
		    place_fabric_reusable(view, view->groups[g].fabric) >= lost)
			place_add_dissolve(actions, g);
	}
	place_shrink(view, actions);
	place_fill(view, 0, true, actions);
}

const struct place_policy place_replace = {
	.name = "replace",
	.plan = replace_plan,
};
