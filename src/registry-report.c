/* Reports of endpoints about themselves. */
#include <string.h>

#include "registry-report.h"

static const char *const state_names[] = { "none", "joining", "ready", "open",
	"closing", "broken" };

/**
 * group_state_name() - name of a group state, for logs.
 * @state: the state
 */
const char *
group_state_name(enum group_state state)
{
	return (state_names[state]);
}

/**
 * endpoint_report_clear() - free the members of a report and zero it.
 * @report: the report
 */
void
endpoint_report_clear(struct endpoint_report *report)
{
	g_free(report->id);
	g_free(report->service);
	g_free(report->domain);
	g_free(report->fabric);
	g_free(report->model);
	g_free(report->group);
	if (report->staged != NULL)
		g_ptr_array_free(report->staged, TRUE);
	memset(report, 0, sizeof *report);
}

/**
 * incarnation_compare() - compare the incarnations that two reports are from.
 * @known: the newest report that was accepted
 * @next: a report that was written later
 *
 * The start times decide. They are compared with each other only, so no clock
 * but that of the endpoint's host matters. If one report has no start time, a
 * lower count of orders shows a restart. If neither has one, the endpoint runs
 * older software, which takes a new id at each start: a lower count is then a
 * late write of the same incarnation.
 *
 * Return: which incarnation @next is from, relative to that of @known.
 */
enum incarnation
incarnation_compare(const struct endpoint_report *known,
    const struct endpoint_report *next)
{
	if (known->started_ms == next->started_ms)
		return (INCARNATION_SAME);
	if (known->started_ms != 0 && next->started_ms != 0)
		return (known->started_ms < next->started_ms ?
			INCARNATION_NEWER :
			INCARNATION_OLDER);
	return (next->sequence < known->sequence ? INCARNATION_NEWER :
						   INCARNATION_SAME);
}

static bool
staged_same(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return (false);
	for (guint i = 0; i < a->len; i++) {
		if (strcmp(a->pdata[i], b->pdata[i]) != 0)
			return (false);
	}
	return (true);
}

/* Whether an endpoint has become cold again, or is no longer cold. */
static bool
cold_differs(const struct endpoint_report *old,
    const struct endpoint_report *report)
{
	return ((old->cold_ms > 0) != (report->cold_ms > 0) ||
	    report->cold_ms > old->cold_ms);
}

/**
 * endpoint_report_differs() - whether a report is more than a heartbeat.
 * @old: the report before
 * @report: the report
 */
bool
endpoint_report_differs(const struct endpoint_report *old,
    const struct endpoint_report *report)
{
	return (incarnation_compare(old, report) != INCARNATION_SAME ||
	    old->draining != report->draining || cold_differs(old, report) ||
	    old->state != report->state || old->epoch != report->epoch ||
	    old->rank != report->rank || old->slots != report->slots ||
	    g_strcmp0(old->domain, report->domain) != 0 ||
	    g_strcmp0(old->group, report->group) != 0 ||
	    g_strcmp0(old->model, report->model) != 0 ||
	    !staged_same(old->staged, report->staged));
}

/**
 * endpoint_report_serves() - whether an endpoint with this report may be sent
 * requests, or was until lately.
 * @report: the report
 * @grouped: the service's endpoints form groups, of which only heads serve
 */
bool
endpoint_report_serves(const struct endpoint_report *report, bool grouped)
{
	return (!grouped ||
	    (report->group != NULL && report->rank == 0 &&
		report->state >= GROUP_OPEN));
}
