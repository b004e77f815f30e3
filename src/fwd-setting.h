/* Settings of the proxy. */
#ifndef BL_FWD_SETTING_H
#define BL_FWD_SETTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fwd-budget.h"

/**
 * struct fwd_setting - settings of the proxy.
 * @domain: failure domain of this daemon
 * @key_proof_ms: with @keys_fail_closed, an API key is accepted only if the
 *	configuration was verified to be the newest within this time
 * @keys_fail_closed: refuse known keys while the configuration is older than
 *	that; otherwise they are accepted according to the newest configuration
 *	that the daemon has
 * @deny_proof_ms: an unknown route or key is denied for good only if the
 *	configuration was verified within this time; otherwise the client is
 *	told to retry
 * @backoff_max_ms: upper bound on the backoff that an endpoint may ask for
 * @retry: bound on retries over all daemons
 * @held_max_bytes: upper bound on the bytes that are held for all clients
 * @overload_levels: refuse requests of low priority first when capacity is
 *	short
 * @customer_shares: share capacity that is short fairly among customers
 * @retry_schedule: tell refused clients to return when capacity is expected
 * @endpoint_evidence: correct expected latencies by what all daemons observe
 * @balance_spread: spread requests by what other daemons may have sent since
 *	the loads were measured
 * @balance_domains: prefer the own failure domain only while it has capacity
 * @released_fingerprints: requests that are never quarantined: fingerprints as
 *	they stand in log lines, separated by commas
 * @refused_fingerprints: requests that the operator has refused, in the same
 *	form
 */
struct fwd_setting {
	const char *domain;
	uint64_t key_proof_ms;
	bool keys_fail_closed;
	uint64_t deny_proof_ms;
	uint64_t backoff_max_ms;
	struct fwd_budget_rule retry;
	size_t held_max_bytes;
	bool overload_levels;
	bool customer_shares;
	bool retry_schedule;
	bool endpoint_evidence;
	bool balance_spread;
	bool balance_domains;
	const char *released_fingerprints;
	const char *refused_fingerprints;
};

#endif
