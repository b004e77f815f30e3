/* Groups that serve without a record: they are closed before any reuse. */
#include <string.h>

#include "event-log.h"
#include "placer.h"

/* Entries read this long after a group's end are newer than its end. */
#define ENTRY_NEWER_MS 1500

/* Whether a group has a record. */
static bool
group_known(const struct placer *k, const char *name)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		if (strcmp(r->name, name) == 0)
			return (true);
	}
	return (false);
}

/* Whether an entry may date from before its group was dissolved here. */
static bool
entry_old(const struct placer *k, const struct endpoint *ep)
{
	const uint64_t *ended =
	    g_hash_table_lookup(k->dissolved, ep->report.group);

	return (ended != NULL && ep->seen_ms < *ended + ENTRY_NEWER_MS);
}

/* A replica, to be dissolved, of all that report a head's group. */
static void
adopt_head(struct placer *k, const struct endpoint *head, uint64_t now_ms)
{
	struct replica *r =
	    replica_create(head->report.group, head->report.service,
		head->report.model != NULL ? head->report.model : "-",
		head->report.epoch);
	const struct endpoint *ep;

	replica_add_member(r, head->report.id, &head->report.address);
	TAILQ_FOREACH(ep, &k->registry->fleet.endpoints, entry) {
		if (ep != head && g_strcmp0(ep->report.group, r->name) == 0 &&
		    ep->report.epoch == r->epoch)
			replica_add_member(r, ep->report.id,
			    &ep->report.address);
	}
	replica_inherit(r, now_ms);
	r->adopted = true;
	r->dissolve_reason = "no_record";
	r->dissolving_ms = now_ms;
	event_log(LOG_NOTICE, "group_adopted",
	    "group=%s epoch=%lld head=%s state=%s hosts=%u", r->name,
	    (long long)r->epoch, head->report.id,
	    group_state_name(head->report.state), r->n);
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
}

/**
 * placer_is_active_head() - whether an endpoint is the head of a group that
 * serves, or would once an order to open comes late, as far as is known.
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
 * placer_adopt_groups() - find heads of groups without a record.
 * @k: the placer
 * @now_ms: loop time
 *
 * Such a group was dissolved while its head could not be reached. Its hosts
 * are free only once it has been closed.
 */
void
placer_adopt_groups(struct placer *k, uint64_t now_ms)
{
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &k->registry->fleet.endpoints, entry) {
		if (ep->lapsed_ms == 0 && placer_is_active_head(ep) &&
		    !group_known(k, ep->report.group) && !entry_old(k, ep))
			adopt_head(k, ep, now_ms);
	}
}
