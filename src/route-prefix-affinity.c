/*
 * Prefix affinity with bounded load: requests with the same prompt prefix go to
 * the same endpoint, chosen by rendezvous hashing, while its expected work is
 * within a bound over the mean; beyond that they go to the endpoint with the
 * next highest score.
 */
#include "route.h"

/* Endpoints with more than this share of the mean work are skipped. */
#define WORK_BOUND_PERCENT 130

static int
prefix_affinity_choose(const struct route_request *req,
    const struct route_candidate *c, size_t n)
{
	uint32_t mean_peer_work, work;
	uint64_t sum = 0, bound, score, best_score = 0;
	int best = ROUTE_NONE;

	if (req->prefix == 0 || n == 0)
		return (route_least_work.choose(req, c, n));
	mean_peer_work = route_mean_peer_work(c, n);
	for (size_t i = 0; i < n; i++)
		sum += route_expected_work(&c[i], mean_peer_work, req->daemons);
	bound = sum * WORK_BOUND_PERCENT / 100 / n;
	for (size_t i = 0; i < n; i++) {
		work = route_expected_work(&c[i], mean_peer_work, req->daemons);
		if (work > bound)
			continue;
		score = route_mix(req->prefix ^ c[i].key);
		if (best == ROUTE_NONE || score > best_score) {
			best = (int)i;
			best_score = score;
		}
	}
	if (best == ROUTE_NONE)
		return (route_least_work.choose(req, c, n));
	return (best);
}

const struct route_policy route_prefix_affinity = {
	.name = "prefix-affinity",
	.choose = prefix_affinity_choose,
};
