/*
 * Routing policies: which endpoint a request is sent to. Policies keep no state
 * and read no clock.
 */
#ifndef BL_ROUTE_H
#define BL_ROUTE_H

#include <stddef.h>
#include <stdint.h>

/* In place of a candidate's index: no candidate. */
#define ROUTE_NONE (-1)

/**
 * struct route_candidate - one endpoint that a request may be sent to.
 * @key: identifies it at all daemons, see struct target
 * @inflight: requests of this daemon that it has now
 * @inflight_at_report: @inflight when its last load report was received
 * @reported_load: requests of all daemons, according to that report
 * @report_age_ms: age of that report
 * @slow_percent: factor by which its work is weighted, in percent: 100, or
 *	more for a straggler
 */
struct route_candidate {
	uint64_t key;
	uint32_t inflight;
	uint32_t inflight_at_report;
	uint32_t reported_load;
	uint32_t report_age_ms;
	uint32_t slow_percent;
};

/**
 * struct route_request - a request as routing policies see it.
 * @prefix: hash of the prompt's prefix, 0 if it has none
 * @sequence: number of choices made before for its deployment or service
 * @random: random number; passed in, so that test scripts are reproducible
 * @daemons: number of daemons that send to these endpoints, at least 1
 */
struct route_request {
	uint64_t prefix;
	uint64_t sequence;
	uint64_t random;
	uint32_t daemons;
};

/**
 * struct route_policy - a routing policy.
 * @name: name in the configuration
 * @choose: returns the index of the chosen candidate; there is at least one
 */
struct route_policy {
	const char *name;
	int (*choose)(const struct route_request *,
	    const struct route_candidate *, size_t);
};

extern const struct route_policy route_round_robin;
extern const struct route_policy route_least_inflight;
extern const struct route_policy route_least_work;
extern const struct route_policy route_prefix_affinity;

const struct route_policy *route_policy_find(const char *);
const struct route_policy *route_policy_at(size_t);
uint32_t route_expected_work(const struct route_candidate *, uint32_t,
    uint32_t);
uint32_t route_mean_peer_work(const struct route_candidate *, size_t);
uint64_t route_mix(uint64_t);

#endif
