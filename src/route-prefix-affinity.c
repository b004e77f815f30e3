/*
 * Prefix affinity with bounded load: the same prompt prefix goes to the same
 * endpoint by rendezvous hashing, as long as that endpoint's expected work
 * stays under a bound over the mean; past it the next in rank takes over.
 */
#include "route.h"

/* An endpoint may have this share of the mean work before it is passed by. */
#define BOUND_PERCENT 130

static int
prefix_affinity_choose(const struct route_request *req,
    const struct route_candidate *c, size_t n)
{
	uint32_t mean_others, work;
	uint64_t sum = 0, bound, rank, best_rank = 0;
	int best = ROUTE_NONE;

	if (req->prefix == 0 || n == 0)
		return (route_least_work.choose(req, c, n));
	mean_others = route_mean_peer_work(c, n);
	for (size_t i = 0; i < n; i++)
		sum += route_expected_work(&c[i], mean_others, req->daemons);
	bound = sum * BOUND_PERCENT / 100 / n;
	for (size_t i = 0; i < n; i++) {
		work = route_expected_work(&c[i], mean_others, req->daemons);
		if (work > bound)
			continue;
		rank = route_mix(req->prefix ^ c[i].key);
		if (best == ROUTE_NONE || rank > best_rank) {
			best = (int)i;
			best_rank = rank;
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
