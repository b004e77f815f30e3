/* The targets of one deployment or service in one view of the configuration. */
#ifndef BL_ROUTE_SET_H
#define BL_ROUTE_SET_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "admission.h"
#include "resource.h"
#include "route.h"
#include "target.h"

/* Most policies in a split. */
#define ROUTE_SPLIT_MAX 8

/**
 * struct route_split - share of one policy in the requests.
 * @policy: the policy
 * @cumulative_percent: its share and those of the policies before it; used for
 *	the requests that draw a number below it, from 0 to 99
 */
struct route_split {
	const struct route_policy *policy;
	unsigned cumulative_percent;
};

/**
 * struct route_set - targets of a deployment or service; in use by request
 * threads, it is immutable except for its counters.
 * @name: name of the deployment or service
 * @domain: failure domain of this daemon; its targets are preferred
 * @targets: the targets (struct target), each with a reference
 * @split: shares of the routing policies
 * @n_split: number of entries in @split
 * @idempotent_methods: names of methods (char *); NULL for the default ones
 * @timeout_ms: timeout of a request that sets none; 0 for the daemon's
 * @admission: admission control, with a reference; NULL if there is none
 * @daemons: number of daemons that send to the targets, at least 1
 * @sequence: number of choices made
 * @median_us: median latency of the targets; 0 if unknown
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
