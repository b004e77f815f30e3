/*
 * Derives the validity of targets from the evidence of their hosts. A group's
 * target is valid only while each of its hosts has itself reported lately that
 * it is ready in this group at this epoch.
 */
#include "group.h"
#include "publish.h"

/*
 * Whether every host of a group has reported that it is ready in the group.
 * as_of_ms is set to the time as of which their oldest evidence is known,
 * contradicted_ms to that of the newest evidence to the contrary, 0 for none.
 */
static bool
group_intact(struct inventory *inv, const struct group *group,
    uint64_t *as_of_ms, uint64_t *contradicted_ms)
{
	bool intact = true;

	*as_of_ms = UINT64_MAX;
	*contradicted_ms = 0;
	for (guint i = 0; i < group->hosts->len; i++) {
		struct host *host = inventory_find(inv, group->hosts->pdata[i]);
		const struct evidence *ev;

		if (host == NULL) {
			intact = false;
			continue;
		}
		ev = &host->evidence;
		*as_of_ms = MIN(*as_of_ms, ev->as_of_ms);
		if (evidence_ready_in(ev, group->epoch))
			continue;
		intact = false;
		*contradicted_ms = MAX(*contradicted_ms, ev->as_of_ms);
	}
	return (intact);
}

/* Updates the target of a group. */
static void
publish_group(struct inventory *inv, struct view_tables *tables,
    const struct group *group, uint64_t max_age_ms)
{
	uint64_t as_of_ms, contradicted_ms;
	struct target *target;
	struct host *leader;

	target = g_hash_table_lookup(tables->targets, &group->epoch);
	if (target == NULL)
		return;
	if (group_intact(inv, group, &as_of_ms, &contradicted_ms))
		target_update_evidence(target, as_of_ms, true, max_age_ms);
	else if (contradicted_ms > 0)
		target_update_evidence(target, contradicted_ms, false,
		    max_age_ms);
	leader = inventory_find(inv, group->hosts->pdata[0]);
	if (leader != NULL &&
	    leader->evidence.as_of_ms > atomic_load(&target->report_ms))
		target_update_load(target, leader->evidence.as_of_ms,
		    leader->evidence.load);
}

/* Updates the target of a service endpoint. */
static void
publish_endpoint(struct view_tables *tables, const struct host *host,
    uint64_t max_age_ms)
{
	const struct evidence *ev = &host->evidence;
	struct target *target;

	target = g_hash_table_lookup(tables->targets, &host->name_hash);
	if (target == NULL || ev->as_of_ms == 0)
		return;
	target_update_evidence(target, ev->as_of_ms, ev->state == HOST_READY,
	    max_age_ms);
	if (ev->as_of_ms > atomic_load(&target->report_ms))
		target_update_load(target, ev->as_of_ms, ev->load);
}

/**
 * publish_evidence() - update all targets from the evidence of hosts.
 * @state: the configuration, locked
 * @inv: the hosts, locked
 * @tables: the targets, locked
 * @max_age_ms: age at which evidence expires
 */
void
publish_evidence(const struct state *state, struct inventory *inv,
    struct view_tables *tables, uint64_t max_age_ms)
{
	GHashTableIter iter;
	struct host *host;
	gpointer value;

	g_hash_table_iter_init(&iter, state->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		publish_group(inv, tables, value, max_age_ms);
	TAILQ_FOREACH(host, &inv->hosts, entry) {
		if (host->kind == HOST_SERVICE)
			publish_endpoint(tables, host, max_age_ms);
	}
}
