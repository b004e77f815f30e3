/*
 * Least in flight: chooses the endpoint with the fewest requests of this
 * daemon; the search starts at a random one, which breaks ties. A baseline to
 * compare policies with.
 */
#include "route.h"

static int
least_inflight_choose(const struct route_request *req,
    const struct route_candidate *c, size_t n)
{
	size_t start = req->random % n;
	size_t best = start;

	for (size_t k = 1; k < n; k++) {
		size_t i = start + k < n ? start + k : start + k - n;

		if (c[i].inflight < c[best].inflight)
			best = i;
	}
	return ((int)best);
}

const struct route_policy route_least_inflight = {
	.name = "least-inflight",
	.choose = least_inflight_choose,
};
