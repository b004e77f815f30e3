/* As replace, but each fabric domain keeps free hosts back for repairs. */
#include "place-common.h"

static void
spare_plan(const struct place_view *view, GArray *actions)
{
	uint64_t lost_ms;
	int repaired = 0;

	for (int g = 0; g < view->n_groups; g++) {
		int lost = place_hosts_lost(view, g, &lost_ms);

		if (lost > 0 && lost < view->size &&
		    place_fabric_reusable(view, view->groups[g].fabric) >=
			lost) {
			place_add_dissolve(actions, g);
			repaired++;
		}
	}
	place_shrink(view, actions);
	/* Between the end of a group and its repair the spares are in use. */
	if (repaired == 0 && view->n_groups > 0 &&
	    place_groups_missing(view, actions) > 0)
		place_fill(view, 0, true, actions);
	else
		place_fill(view, view->spares, true, actions);
}

const struct place_policy place_spare = {
	.name = "spare",
	.plan = spare_plan,
};
