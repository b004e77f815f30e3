/* The table of routing policies, and functions that several of them use. */
#include <string.h>

#include "route.h"

/* The load in an older report is replaced by the mean over all reports. */
#define REPORT_MAX_AGE_MS 2000
/* Work units per request, so that integers hold fractions of a request. */
#define WORK_UNIT 256

static const struct route_policy *const policy_table[] = {
	&route_prefix_affinity,
	&route_least_work,
	&route_round_robin,
	&route_least_inflight,
	NULL,
};

/**
 * route_policy_find() - find a policy by name.
 * @name: name in the configuration
 *
 * Return: the policy, or NULL if there is none of that name.
 */
const struct route_policy *
route_policy_find(const char *name)
{
	for (size_t i = 0; policy_table[i] != NULL; i++) {
		if (strcmp(policy_table[i]->name, name) == 0)
			return (policy_table[i]);
	}
	return (NULL);
}

/**
 * route_policy_at() - get a policy by its index in the table.
 * @index: index from 0, at most the number of policies; 0 is the default policy
 *
 * Return: the policy, or NULL after the last one.
 */
const struct route_policy *
route_policy_at(size_t index)
{
	return (policy_table[index]);
}

/**
 * route_mix() - hash a 64-bit key with the finalizer of splitmix64.
 * @x: the key
 */
uint64_t
route_mix(uint64_t x)
{
	x += 0x9e3779b97f4a7c15ULL;
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
	x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
	return (x ^ (x >> 31));
}

/* Requests of other daemons that the endpoint had when it reported. */
static uint32_t
peer_requests_reported(const struct route_candidate *c)
{
	if (c->reported_load <= c->inflight_at_report)
		return (0);
	return (c->reported_load - c->inflight_at_report);
}

/**
 * route_mean_peer_work() - mean work of other daemons at an endpoint.
 * @c: the candidates
 * @n: number of candidates
 *
 * Return: work units.
 */
uint32_t
route_mean_peer_work(const struct route_candidate *c, size_t n)
{
	uint64_t sum = 0;

	if (n == 0)
		return (0);
	for (size_t i = 0; i < n; i++)
		sum += peer_requests_reported(&c[i]);
	return ((uint32_t)(sum * WORK_UNIT / n));
}

/**
 * route_expected_work() - work at an endpoint if it is sent one more request.
 * @c: the candidate
 * @mean_peer_work: result of route_mean_peer_work() for all candidates
 * @daemons: number of daemons that send to the candidates, at least 1
 *
 * This daemon's own requests are counted exactly. The work of other daemons is
 * known from the load report only; the older the report, the closer to the mean
 * it is assumed to be. All daemons read the same reports, so each counts only
 * its share of the reported work: if each counted all of it, they would all
 * send to the same endpoint until the next report. The work at a straggler is
 * weighted by its slowness.
 *
 * Return: work units.
 */
uint32_t
route_expected_work(const struct route_candidate *c, uint32_t mean_peer_work,
    uint32_t daemons)
{
	uint32_t age, peer_work, work;

	age = c->report_age_ms < REPORT_MAX_AGE_MS ? c->report_age_ms :
						     REPORT_MAX_AGE_MS;
	peer_work = (uint32_t)(((uint64_t)peer_requests_reported(c) *
				       WORK_UNIT * (REPORT_MAX_AGE_MS - age) +
				   (uint64_t)mean_peer_work * age) /
	    REPORT_MAX_AGE_MS);
	work = (c->inflight + 1) * WORK_UNIT + peer_work / daemons;
	return ((uint32_t)((uint64_t)work * c->slow_percent / 100));
}
