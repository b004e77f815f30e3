/*
 * Weighted choice: for each broken group, weigh waiting for the lost hosts
 * against ending the group, by downtime and stranded time. Costs are in
 * replica-milliseconds; the deployment's weight says what either is worth.
 */
#include "place-common.h"

/*
 * Pauses and restarts of a network end within this time; what lasts longer
 * goes on for long, so waiting on is no use then.
 */
#define PAUSE_MS 10000
/* Waiting pays only while it has cost less than this share of the repair. */
#define PATIENCE_PERCENT 25
/* What it costs a group to form again from hosts that kept their shards. */
#define REJOIN_MS 8000

/* Whether some fabric domain could hold the group's successor now. */
static bool
successor_ready(const struct place_view *view, int g, int lost)
{
	int fabric = view->groups[g].fabric;

	if (place_fabric_reusable(view, fabric) >= lost)
		return (true);
	for (int f = 0; f < view->n_fabrics; f++) {
		if (f != fabric && place_fabric_reusable(view, f) >= view->size)
			return (true);
	}
	return (false);
}

/*
 * Nothing can take the group's place. Ending it gives the survivors back; if
 * the lost hosts return with what they held, the group is down, and its hosts
 * are held, for the time that it takes to form again.
 */
static bool
worth_releasing(const struct place_view *view, int lost, uint64_t lost_ms)
{
	double w = view->downtime_weight;
	double held = (double)(view->size - lost) / view->size;

	return ((1 - w) * held * (double)lost_ms > REJOIN_MS);
}

/* Whether it costs less to end the group now than to wait on. */
static bool
group_worth_ending(const struct place_view *view, int g)
{
	uint64_t lost_ms, patience;
	int lost = place_hosts_lost(view, g, &lost_ms);

	if (lost == 0)
		return (false);
	if (!successor_ready(view, g, lost))
		return (
		    lost == view->size || worth_releasing(view, lost, lost_ms));
	patience = view->load_ms * PATIENCE_PERCENT / 100;
	return (lost_ms >= MIN(patience, PAUSE_MS));
}

static void
weighted_plan(const struct place_view *view, GArray *actions)
{
	for (int g = 0; g < view->n_groups; g++) {
		if (group_worth_ending(view, g))
			place_add_dissolve(actions, g);
	}
	place_shrink(view, actions);
	place_fill_with_loads(view, actions);
}

const struct place_policy place_weighted = {
	.name = "weighted",
	.plan = weighted_plan,
};
