/* Builds a placement policy's view from the live state. */
#ifndef BL_PLACE_LIVE_H
#define BL_PLACE_LIVE_H

#include "inventory.h"
#include "place.h"
#include "resource.h"
#include "state.h"

/**
 * struct place_live_limits - current time and limits.
 * @now: monotonic time, in ms
 * @evidence_ms: age at which evidence expires
 * @dead_ms: age of its evidence at which a host counts as dead
 * @load_ms: time to load one shard from the weight store
 * @loads_free: number of loads that may start now
 */
struct place_live_limits {
	uint64_t now;
	uint64_t evidence_ms;
	uint64_t dead_ms;
	uint64_t load_ms;
	int loads_free;
};

/**
 * struct place_live - a view and the data that it points to.
 * @view: input of the placement policy
 * @hosts: array of struct place_host
 * @groups: array of struct place_group
 * @fabrics: names of the fabric domains, by number
 */
struct place_live {
	struct place_view view;
	GArray *hosts;
	GArray *groups;
	GPtrArray *fabrics;
};

void place_live_make(struct place_live *, const struct state *,
    struct inventory *, const struct resource *, const char *,
    const struct place_live_limits *);
void place_live_clear(struct place_live *);

#endif
