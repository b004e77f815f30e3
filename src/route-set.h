/* What one deployment or service can send requests to, at one moment. */
#ifndef BL_ROUTE_SET_H
#define BL_ROUTE_SET_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "admission.h"
#include "resource.h"
#include "route.h"
#include "target.h"

#define ROUTE_SPLIT_MAX 8

/**
 * struct route_split - one policy's share of the requests.
 * @policy: the policy
 * @cumulative_percent: requests whose draw of 0 to 99 is below this use it
 */
struct route_split {
	const struct route_policy *policy;
	unsigned cumulative_percent;
};

/**
 * struct route_set - immutable but for its counters.
 * @name: name of the deployment or service
 * @domain: failure domain of this daemon, which is preferred
 * @targets: struct target, with a reference each
 * @split: shares of the policies
 * @n_split: how many
 * @idempotent_methods: names (char *), NULL for the usual ones
 * @timeout_ms: deadline of a request that names none, 0 for the daemon's
 * @admission: where requests wait for their slot, or NULL; a reference
 * @daemons: daemons that send to the targets, at least 1
 * @sequence: count of choices
 * @median_us: median latency over the targets
 */
struct route_set {
	char *name;
	char *domain;
	GPtrArray *targets;
	struct route_split split[ROUTE_SPLIT_MAX];
	size_t n_split;
	GPtrArray *idempotent_methods;
	int64_t timeout_ms;
	struct admission *admission;
	uint32_t daemons;
	_Atomic uint64_t sequence;
	_Atomic uint64_t median_us;
};

struct route_set *route_set_create(const struct resource *,
    const struct resource *, const char *, unsigned);
void route_set_free(struct route_set *);
void route_set_update_median(struct route_set *);
struct target *route_set_choose(struct route_set *, struct route_request *,
    const GPtrArray *, uint64_t, const struct route_policy **);
bool route_set_has_remote(const struct route_set *, const GPtrArray *);
bool route_set_is_idempotent(const struct route_set *, const char *);

#endif
