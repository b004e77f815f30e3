/* Release at once: a broken group ends, and a new one forms anywhere. */
#include "place-common.h"

static void
reform_plan(const struct place_view *view, GArray *actions)
{
	uint64_t lost_ms;

	for (int g = 0; g < view->n_groups; g++) {
		if (place_hosts_lost(view, g, &lost_ms) > 0)
			place_add_dissolve(actions, g);
	}
	place_shrink(view, actions);
	place_fill(view, 0, false, actions);
}

const struct place_policy place_reform = {
	.name = "reform",
	.plan = reform_plan,
};
