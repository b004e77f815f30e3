/*
 * Policy "weighted": for each group that has lost hosts, compares the cost of
 * waiting for these hosts with that of dissolving the group, by downtime and
 * stranded host time. Costs are in ms x replicas; the weight of the
 * deployment's placement sets how much either counts.
 */
#include "place-common.h"

/*
 * Network pauses and restarts end within this time. An outage that exceeds it
 * is a long one, so waiting any longer does not pay off.
 */
#define SHORT_OUTAGE_MS 10000
/* Waiting pays off only while it costs less than this share of the repair. */
#define WAIT_COST_PERCENT 25
/* Cost of forming a group again from hosts that have kept their shards. */
#define REFORM_MS 8000

/* Whether some fabric domain has the hosts to replace the group now. */
static bool
replacement_available(const struct place_view *view, int g, int lost)
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
 * Whether it pays off to dissolve a group that cannot be replaced. This
 * releases the surviving hosts; but if the lost hosts return with their shards,
 * the group is down, and its hosts are in use, for the time to form it again.
 */
static bool
release_pays_off(const struct place_view *view, int lost, uint64_t lost_ms)
{
	double w = view->downtime_weight;
	double held = (double)(view->size - lost) / view->size;

	return ((1 - w) * held * (double)lost_ms > REFORM_MS);
}

/* Whether it costs less to dissolve the group now than to continue to wait. */
static bool
group_should_end(const struct place_view *view, int g)
{
	uint64_t lost_ms, wait_max_ms;
	int lost = place_hosts_lost(view, g, &lost_ms);

	if (lost == 0)
		return (false);
	if (!replacement_available(view, g, lost))
		return (lost == view->size ||
		    release_pays_off(view, lost, lost_ms));
	wait_max_ms = view->load_ms * WAIT_COST_PERCENT / 100;
	return (lost_ms >= MIN(wait_max_ms, SHORT_OUTAGE_MS));
}

static void
weighted_plan(const struct place_view *view, GArray *actions)
{
	for (int g = 0; g < view->n_groups; g++) {
		if (group_should_end(view, g))
			place_add_dissolve(actions, g);
	}
	place_shrink(view, actions);
	place_fill_with_loads(view, actions);
}

const struct place_policy place_weighted = {
	.name = "weighted",
	.plan = weighted_plan,
};
