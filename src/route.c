/* The table of routing policies and what several of them share. */
#include <string.h>

#include "route.h"

/* Reports older than this say nothing beyond the mean of all reports. */
#define REPORT_USEFUL_MS 2000
/* One request counts as this much work, so that fractions survive. */
#define WORK_UNIT 256

static const struct route_policy *const policy_table[] = {
	&route_prefix_affinity,
	&route_least_work,
	&route_round_robin,
	&route_least_inflight,
	NULL,
};

/**
 * route_policy_find() - the policy of a name, or NULL.
 * @name: as operators name it
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
 * route_policy_at() - the policy at an index, or NULL after the last.
 * @index: from 0; 0 is the default policy
 */
const struct route_policy *
route_policy_at(size_t index)
{
	return (policy_table[index]);
}

/**
 * route_mix() - spread the bits of a key (the finalizer of splitmix64).
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

/* Work that others than this daemon had at the endpoint when it reported. */
static uint32_t
others_reported(const struct route_candidate *c)
{
	if (c->reported_load <= c->inflight_at_report)
		return (0);
	return (c->reported_load - c->inflight_at_report);
}

/**
 * route_mean_peer_work() - mean of the work of other daemons, in work units.
 * @c: the candidates
 * @n: how many
 */
uint32_t
route_mean_peer_work(const struct route_candidate *c, size_t n)
{
	uint64_t sum = 0;

	if (n == 0)
		return (0);
	for (size_t i = 0; i < n; i++)
		sum += others_reported(&c[i]);
	return ((uint32_t)(sum * WORK_UNIT / n));
}

/**
 * route_expected_work() - work that a new request would find, in work units.
 * @c: the candidate
 * @mean_others: what route_mean_peer_work() gave for all candidates
 * @daemons: daemons that send to the candidates, at least 1
 *
 * This daemon's own requests are counted exactly. What others have there is
 * known from the report only: the older it is, the more its figure gives way
 * to the mean. All daemons read the same reports, so each answers only for its
 * share of what they say; if each made up for the whole, they would all send
 * to the same endpoint until the next report. A slow endpoint's work weighs
 * more.
 */
uint32_t
route_expected_work(const struct route_candidate *c, uint32_t mean_others,
    uint32_t daemons)
{
	uint32_t age, others, work;

	age = c->report_age_ms < REPORT_USEFUL_MS ? c->report_age_ms :
						    REPORT_USEFUL_MS;
	others = (uint32_t)(((uint64_t)others_reported(c) * WORK_UNIT *
				    (REPORT_USEFUL_MS - age) +
				(uint64_t)mean_others * age) /
	    REPORT_USEFUL_MS);
	work = (c->inflight + 1) * WORK_UNIT + others / daemons;
	return ((uint32_t)((uint64_t)work * c->slow_percent / 100));
}
