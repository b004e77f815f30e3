/* State of one member of a replica. Pure functions. */
#include "replica.h"

/* Time without an answer to queries after which a member counts as silent
 * although its entry is current: an entry lapses only after three missed
 * heartbeats. */
#define MEMBER_SILENT_MS 500

/**
 * replica_member_set_report() - update a member from a report.
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
 * replica_member_set_answer() - update a member from an answer to a query.
 * @r: the replica
 * @m: the member
 * @report: the report; it doesn't say which incarnation sent it
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
 * replica_member_set_unheard() - note a query that had no answer.
 * @m: the member
 * @sent_ms: loop time at which it was sent
 */
void
replica_member_set_unheard(struct replica_member *m, uint64_t sent_ms)
{
	if (m->silent_since_ms == 0)
		m->silent_since_ms = sent_ms;
	m->unheard_ms = sent_ms;
}

/* Whether a member can't rejoin its group: its incarnation has ended, or it has
 * seen a newer epoch and refuses to join an older group. */
static bool
member_fenced(const struct replica_member *m)
{
	return (m->liveness == MEMBER_DEAD || m->in_newer_group ||
	    m->was_in_newer_group);
}

/**
 * replica_member_released() - whether a member has left its group for good.
 * @m: the member
 *
 * Return: true where no order that may still be on its way to the member can
 * make it rejoin.
 */
bool
replica_member_released(const struct replica_member *m)
{
	return (member_fenced(m) ||
	    (m->left && m->left_after_ms >= m->late_join_until_ms));
}

/**
 * replica_member_queried() - whether it still matters what a member answers.
 * @r: the replica
 * @i: rank of the member
 *
 * Once the head of a group that is being dissolved has closed, the group can't
 * go on as it is, and its end depends on the head only. So the others are not
 * queried any more while the head can be reached.
 */
bool
replica_member_queried(const struct replica *r, unsigned i)
{
	return (i == 0 || r->dissolve_reason == NULL || !r->head_closed ||
	    r->members[0].liveness >= MEMBER_SILENT);
}

/**
 * replica_head_leaves_from() - loop time from which a head that leaves its
 * group can't serve in it again.
 * @head: the head
 *
 * To serve again, it must first carry out a late order to join and then a late
 * order to open. So it is enough that one of the two can't come any more. It
 * may still rejoin by a late order to join, as may a member; but the head of
 * the group that they are in then is not open, and they can be given a join of
 * a newer epoch.
 */
uint64_t
replica_head_leaves_from(const struct replica_member *head)
{
	return (MIN(head->late_join_until_ms, head->late_open_until_ms));
}

/**
 * replica_head_released() - whether a head can't serve in its group again.
 * @head: the head
 */
bool
replica_head_released(const struct replica_member *head)
{
	return (member_fenced(head) ||
	    (head->left &&
		head->left_after_ms >= replica_head_leaves_from(head)));
}

/* Updates a member from its entry, which is stored under its own id. */
static void
member_set_entry(const struct replica *r, struct replica_member *m,
    const struct endpoint *ep)
{
	replica_member_set_report(r, m, &ep->report, ep->seen_ms);
	m->unverified = false;
	m->joined = m->joined || m->in_group;
}

/* What the entry of a member tells of it. */
static enum member_liveness
entry_liveness(const struct endpoint *ep)
{
	if (ep == NULL || !endpoint_expected(ep))
		return (MEMBER_LAPSED);
	if (ep->draining)
		return (MEMBER_DRAINING);
	return (ep->lapsed_ms != 0 ? MEMBER_RETURNING : MEMBER_ALIVE);
}

/*
 * Whether a member counts as silent. While it is expected to serve, the placer
 * must have reached other hosts since its silence began. Once it is silent it
 * stays so until it answers.
 */
static bool
member_silent(const struct replica_member *m, bool expected,
    const struct replica_reach *reach, uint64_t now_ms)
{
	uint64_t since_ms = m->silent_since_ms;

	if (m->silent_since_ms == 0)
		return (false);
	if (expected && m->liveness != MEMBER_SILENT &&
	    !replica_reach_tells(reach, m->silent_since_ms, m->unheard_ms,
		&since_ms))
		return (false);
	return (now_ms - since_ms >= MEMBER_SILENT_MS);
}

/**
 * replica_member_refresh() - update a member from the endpoint of its host.
 * @r: the replica
 * @m: the member
 * @ep: its endpoint; NULL once its entry is gone and nothing references it
 * @reach: whether the placer reaches hosts
 * @now_ms: loop time
 *
 * Without an entry, the member keeps the group that it last reported: a host
 * that has lost its connection to the store is still a member.
 */
void
replica_member_refresh(const struct replica *r, struct replica_member *m,
    const struct endpoint *ep, const struct replica_reach *reach,
    uint64_t now_ms)
{
	enum member_liveness liveness = entry_liveness(ep);
	bool silent =
	    member_silent(m, liveness != MEMBER_LAPSED, reach, now_ms);

	if (m->address_reused || m->liveness == MEMBER_DEAD) {
		m->liveness = MEMBER_DEAD;
		return;
	}
	m->liveness = silent ? MEMBER_SILENT : liveness;
	if (ep != NULL && ep->seen_ms >= m->last_report_ms)
		member_set_entry(r, m, ep);
}
