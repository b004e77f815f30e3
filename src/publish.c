/*
 * Turns the evidence of hosts into the validity of targets. A group's target
 * is valid only while every one of its hosts has lately said, itself, that it
 * is ready in this group at this epoch.
 */
#include "group.h"
#include "publish.h"

/*
 * Whether every host of a group said that it is in it and ready. seen_ms is set
 * to the oldest of their evidence, contradicted_ms to the newest that says
 * otherwise, 0 for none.
 */
static bool
group_whole(struct inventory *inv, const struct group *group, uint64_t *seen_ms,
    uint64_t *contradicted_ms)
{
	bool whole = true;

	*seen_ms = UINT64_MAX;
	*contradicted_ms = 0;
	for (guint i = 0; i < group->hosts->len; i++) {
		struct host *host = inventory_find(inv, group->hosts->pdata[i]);
		const struct evidence *ev;

		if (host == NULL) {
			whole = false;
			continue;
		}
		ev = &host->evidence;
		*seen_ms = MIN(*seen_ms, ev->as_of_ms);
		if (evidence_ready_in(ev, group->epoch))
			continue;
		whole = false;
		*contradicted_ms = MAX(*contradicted_ms, ev->as_of_ms);
	}
	return (whole);
}

static void
publish_group(struct inventory *inv, struct view_tables *tables,
    const struct group *group, uint64_t limit)
{
	uint64_t seen_ms, contradicted_ms;
	struct target *target;
	struct host *leader;

	target = g_hash_table_lookup(tables->targets, &group->epoch);
	if (target == NULL)
		return;
	if (group_whole(inv, group, &seen_ms, &contradicted_ms))
		target_update_evidence(target, seen_ms, true, limit);
	else if (contradicted_ms > 0)
		target_update_evidence(target, contradicted_ms, false, limit);
	leader = inventory_find(inv, group->hosts->pdata[0]);
	if (leader != NULL &&
	    leader->evidence.as_of_ms > atomic_load(&target->report_ms))
		target_update_load(target, leader->evidence.as_of_ms,
		    leader->evidence.load);
}

static void
publish_endpoint(struct view_tables *tables, const struct host *host,
    uint64_t limit)
{
	const struct evidence *ev = &host->evidence;
	struct target *target;

	target = g_hash_table_lookup(tables->targets, &host->name_hash);
	if (target == NULL || ev->as_of_ms == 0)
		return;
	target_update_evidence(target, ev->as_of_ms, ev->state == HOST_READY,
	    limit);
	if (ev->as_of_ms > atomic_load(&target->report_ms))
		target_update_load(target, ev->as_of_ms, ev->load);
}

/**
 * publish_evidence() - bring the targets up to date.
 * @state: the configuration, locked
 * @inv: the hosts, locked
 * @tables: the targets, locked
 * @limit_ms: age at which evidence lapses
 */
void
publish_evidence(const struct state *state, struct inventory *inv,
    struct view_tables *tables, uint64_t limit_ms)
{
	GHashTableIter iter;
	struct host *host;
	gpointer value;

	g_hash_table_iter_init(&iter, state->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		publish_group(inv, tables, value, limit_ms);
	TAILQ_FOREACH(host, &inv->hosts, entry) {
		if (host->kind == HOST_SERVICE)
			publish_endpoint(tables, host, limit_ms);
	}
}
