/*
 * Groups that serve but have no record: they are closed before their hosts are
 * used again.
 */
#include <string.h>

#include "event-log.h"
#include "placer.h"

/*
 * An entry that was read at least this long after a group was dissolved was
 * written after that.
 */
#define ENTRY_LAG_MS 1500

/* Whether a group has a record. */
static bool
group_has_record(const struct placer *p, const char *name)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		if (strcmp(r->name, name) == 0)
			return (true);
	}
	return (false);
}

/* Whether an entry may be older than the end of its group. */
static bool
entry_predates_dissolve(const struct placer *p, const struct endpoint *ep)
{
	const uint64_t *ended =
	    g_hash_table_lookup(p->dissolved, ep->report.group);

	return (ended != NULL && ep->seen_ms < *ended + ENTRY_LAG_MS);
}

/*
 * Adds a replica of all hosts that report the group of a head, to be dissolved.
 */
static void
adopt_group(struct placer *p, const struct endpoint *head, uint64_t now_ms)
{
	struct replica *r =
	    replica_create(head->report.group, head->report.service,
		head->report.model != NULL ? head->report.model : "-",
		head->report.epoch);
	const struct endpoint *ep;

	replica_add_member(r, head->report.id, &head->report.address);
	TAILQ_FOREACH(ep, &p->registry->fleet.endpoints, entry) {
		if (ep != head && g_strcmp0(ep->report.group, r->name) == 0 &&
		    ep->report.epoch == r->epoch)
			replica_add_member(r, ep->report.id,
			    &ep->report.address);
	}
	replica_adopt(r, now_ms,
	    p->records_kept || g_hash_table_contains(p->dissolved, r->name));
	event_log(LOG_NOTICE, "group_adopted",
	    "group=%s epoch=%lld head=%s state=%s hosts=%u", r->name,
	    (long long)r->epoch, head->report.id,
	    group_state_name(head->report.state), r->n);
	TAILQ_INSERT_TAIL(&p->replicas, r, entry);
}

/**
 * placer_is_active_head() - whether an endpoint is, as far as is known, the
 * head of a group that serves, or that would serve if an order to open arrived
 * late.
 * @ep: the endpoint
 */
bool
placer_is_active_head(const struct endpoint *ep)
{
	const struct endpoint_report *report = &ep->report;

	return (report->group != NULL && report->rank == 0 &&
	    report->state != GROUP_NONE && report->state != GROUP_BROKEN &&
	    !placer_is_warm_group(report->group) &&
	    report->epoch > ep->excluded_epoch);
}

/**
 * placer_adopt_groups() - adopt groups that serve but have no record.
 * @p: the placer
 * @now_ms: loop time, in ms
 *
 * Such a group was dissolved while its head could not be reached, or the entry
 * is older than its end. Its hosts are free only once it has been closed.
 */
void
placer_adopt_groups(struct placer *p, uint64_t now_ms)
{
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &p->registry->fleet.endpoints, entry) {
		if (ep->lapsed_ms == 0 && placer_is_active_head(ep) &&
		    !group_has_record(p, ep->report.group) &&
		    !entry_predates_dissolve(p, ep))
			adopt_group(p, ep, now_ms);
	}
}
