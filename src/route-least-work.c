/*
 * Least expected work, corrected for the age of load reports. Among the
 * candidates near the least, one is taken by chance, so that daemons that
 * read the same reports do not all choose the same endpoint.
 */
#include "route.h"

/* Candidates within this share above the least count as equal. */
#define NEAR_EQUAL_PERCENT 110
#define MAX_CANDIDATES 1024

static int
least_work_choose(const struct route_request *req,
    const struct route_candidate *c, size_t n)
{
	uint32_t work[MAX_CANDIDATES];
	uint32_t mean, least = UINT32_MAX, limit;
	size_t near = 0, pick;

	if (n > MAX_CANDIDATES)
		n = MAX_CANDIDATES;
	mean = route_mean_peer_work(c, n);
	for (size_t i = 0; i < n; i++) {
		work[i] = route_expected_work(&c[i], mean, req->daemons);
		if (work[i] < least)
			least = work[i];
	}
	limit = (uint32_t)((uint64_t)least * NEAR_EQUAL_PERCENT / 100);
	for (size_t i = 0; i < n; i++)
		near += work[i] <= limit;
	if (near == 0)
		return (0);
	pick = req->random % near;
	for (size_t i = 0; i < n; i++) {
		if (work[i] <= limit && pick-- == 0)
			return ((int)i);
	}
	return (0);
}

const struct route_policy route_least_work = {
	.name = "least-work",
	.choose = least_work_choose,
};
