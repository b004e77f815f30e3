/* Measures group downtime and stranded accelerators of a failure domain. */
#ifndef BL_USAGE_H
#define BL_USAGE_H

#include "inventory.h"
#include "state.h"

/**
 * struct usage - totals of one deployment under one placement policy.
 * @deployment: name of the deployment
 * @policy: name of the placement policy
 * @downtime_ms: missing replicas, times ms
 * @stranded_ms: accelerators of hosts in groups that are not intact, times ms
 */
struct usage {
	char *deployment;
	char *policy;
	uint64_t downtime_ms;
	uint64_t stranded_ms;
};

/**
 * struct usage_input - input of usage_count().
 * @state: the configuration; its lock is held
 * @inv: the hosts; the inventory's lock is held
 * @domain: the failure domain
 * @now: monotonic time, in ms
 * @evidence_ms: age at which evidence expires
 * @elapsed_ms: time since the previous call
 */
struct usage_input {
	const struct state *state;
	struct inventory *inv;
	const char *domain;
	uint64_t now;
	uint64_t evidence_ms;
	uint64_t elapsed_ms;
};

GHashTable *usage_create(void);
void usage_count(GHashTable *, const struct usage_input *);
void usage_print(GHashTable *, GString *);

#endif
