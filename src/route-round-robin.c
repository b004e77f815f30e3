/* Round robin: each candidate in turn. A baseline to compare policies with. */
#include "route.h"

static int
round_robin_choose(const struct route_request *req,
    const struct route_candidate *c, size_t n)
{
	return ((int)(req->sequence % n));
}

const struct route_policy route_round_robin = {
	.name = "round-robin",
	.choose = round_robin_choose,
};
