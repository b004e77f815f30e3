/* Routing: which endpoint gets a request. Pure decisions. */
#ifndef BL_ROUTE_H
#define BL_ROUTE_H

#include <stddef.h>
#include <stdint.h>

#define ROUTE_NONE (-1)

/**
 * struct route_candidate - one endpoint that may take the request.
 * @key: stable hash of its name
 * @inflight: requests of this daemon at it now
 * @inflight_at_report: the same, when its last load report was received
 * @reported_load: requests that its last load report counted
 * @report_age_ms: age of that report
 * @slow_percent: its latency in percent of the deployment's median, >= 100
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
 * struct route_request - what a policy may look at.
 * @prefix: hash of the prompt's prefix, 0 when it has none
 * @sequence: count of the deployment's requests at this daemon
 * @random: a random number; the caller's, so that scripts can replay
 * @daemons: daemons that send to these endpoints, at least 1
 */
struct route_request {
	uint64_t prefix;
	uint64_t sequence;
	uint64_t random;
	uint32_t daemons;
};

/**
 * struct route_policy - a way to choose.
 * @name: as operators name it
 * @choose: index of the chosen candidate; never called with none
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
