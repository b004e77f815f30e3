/* What is known of one member of a replica. Pure. */
#include "replica.h"

/* Silence to direct questions after which a member is dead, though its entry
 * still stands; its entry lapses only after three missed beats. */
#define MEMBER_SILENT_MS 500

/**
 * replica_member_set_report() - take in what a member says of its group.
 * @r: the replica
 * @m: the member
 * @report: its report
 * @now_ms: loop time of the report
 */
void
replica_member_set_report(const struct replica *r, struct replica_member *m,
    const struct endpoint_report *report, uint64_t now_ms)
{
	m->last_report_ms = now_ms;
	m->in_group =
	    g_strcmp0(report->group, r->name) == 0 && report->epoch == r->epoch;
	m->in_newer_group =
	    !m->in_group && report->group != NULL && report->epoch > r->epoch;
	m->state = m->in_group ? report->state : GROUP_NONE;
	m->was_in_newer_group = m->was_in_newer_group || m->in_newer_group;
}

/**
 * replica_member_set_answer() - take in what was answered to a question to a
 * member.
 * @r: the replica
 * @m: the member
 * @report: the report; it doesn't say whose it is
 * @now_ms: loop time of the report
 */
void
replica_member_set_answer(const struct replica *r, struct replica_member *m,
    const struct endpoint_report *report, uint64_t now_ms)
{
	replica_member_set_report(r, m, report, now_ms);
	m->unverified = !m->joined;
	m->silent_since_ms = 0;
}

/**
 * replica_member_released() - whether a member can't come back into its group,
 * whatever orders are still on their way to it.
 * @m: the member
 */
bool
replica_member_released(const struct replica_member *m)
{
	return (m->liveness == MEMBER_DEAD || m->in_newer_group ||
	    m->was_in_newer_group ||
	    (m->left && m->left_ms >= m->late_join_until_ms));
}

/* Takes in the entry of a member, which is under its own id. */
static void
member_entry(const struct replica *r, struct replica_member *m,
    const struct endpoint *ep)
{
	replica_member_set_report(r, m, &ep->report, ep->seen_ms);
	m->unverified = false;
	m->joined = m->joined || m->in_group;
}

/* Whether the entry of a member stands. */
static bool
entry_stands(const struct endpoint *ep)
{
	return (ep != NULL && ep->lapsed_ms == 0 && !ep->gone);
}

/**
 * replica_member_refresh() - bring a member up to what is known of its host.
 * @r: the replica
 * @m: the member
 * @ep: its endpoint; NULL once its entry is gone and nobody holds it
 * @now_ms: loop time
 *
 * Without an entry, its group is what it last reported: one that was cut from
 * the store is still a member.
 */
void
replica_member_refresh(const struct replica *r, struct replica_member *m,
    const struct endpoint *ep, uint64_t now_ms)
{
	if (m->address_reused || m->liveness == MEMBER_DEAD) {
		m->liveness = MEMBER_DEAD;
		return;
	}
	if (!entry_stands(ep))
		m->liveness = MEMBER_LAPSED;
	else
		m->liveness = ep->draining ? MEMBER_DRAINING : MEMBER_ALIVE;
	if (m->silent_since_ms != 0 &&
	    now_ms - m->silent_since_ms >= MEMBER_SILENT_MS)
		m->liveness = MEMBER_SILENT;
	if (ep != NULL && ep->seen_ms >= m->last_report_ms)
		member_entry(r, m, ep);
}
