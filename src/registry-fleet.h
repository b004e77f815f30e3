/* The endpoints and the replicas that they form, as last reported. */
#ifndef BL_REGISTRY_FLEET_H
#define BL_REGISTRY_FLEET_H

#include "registry-catalog.h"
#include "registry-limit.h"
#include "registry-backoff.h"
#include "registry-report.h"
#include "fwd-backlog.h"
#include "fwd-evidence.h"
#include "net-conn.h"

/**
 * struct endpoint - one incarnation of an endpoint.
 * @report: its newest report
 * @id_hash: hash of its id, by which daemons refer to it among each other
 * @offset: store offset of the entry that @report came from, or of its removal
 * @seen_ms: loop time at which that entry was read
 * @lapsed_ms: when its entry was found removed; 0 while there is one
 * @may_return: its entry lapsed during a store outage and may be written again
 * @gone: no more requests are sent to it
 * @draining: it has reported that it is draining, in its entry, to a query or
 *	in a response
 * @evacuated: the operator has evacuated its failure domain
 * @unreadable_ms: since when its entry can't be read; 0 while it can
 * @refs: exchanges that reference it
 * @pool: connections to it
 * @inflight: this daemon's requests at it
 * @pending: prompt tokens of this daemon's requests without a first event
 * @backlog: prefill backlog of the prompts that this daemon sent
 * @evidence: how late first events of this daemon's requests are
 * @peer_inflight: other daemons' requests at it
 * @peer_pending: prompt tokens of other daemons' requests without a first event
 * @cell_inflight: the part of @peer_inflight from daemons that report to this
 *	one
 * @cell_pending: the part of @peer_pending from daemons that report to this one
 * @loaded_model: model of its last group since its start, or NULL; it joins
 *	another group of that model in a fraction of a second, also after it
 *	has left the last one
 * @failures: consecutive failures
 * @backoff: the backoff that it asked this daemon for
 * @limit: rate limit that it names for all daemons together
 * @cooldown_until_ms: not to be chosen before then, as this daemon or another
 *	suspects that it does not serve
 * @silent_until_ms: end of the cooldown that began when this daemon found it
 *	silent; 0 once it was heard of
 * @unfit_until_ms: not to be put into a group before then, as it did not answer
 * @excluded_epoch: it serves in no group up to this epoch, and can't come back
 *	into one, whatever its entry still says
 * @warned_ms: when this daemon found it silent or, as the placer, began to
 *	dissolve its group; peers are warned
 * @avoided_ms: when a peer last warned of it
 * @heard_ms: loop time of the last byte from it in any exchange
 * @peer_heard_ms: the same of other daemons' exchanges
 * @slowness: moving average of the ratio of observed to expected event gaps
 * @error_rate: moving average of the share of responses that are server
 *	failures, as of @error_ms
 * @error_ms: loop time of the newest of them
 * @entry_bytes: its entry as encoded in the store, while it may be sent
 *	requests; passed to daemons that start
 * @entry: link in the fleet's list
 */
struct endpoint {
	struct endpoint_report report;
	uint32_t id_hash;
	uint64_t offset;
	uint64_t seen_ms;
	uint64_t lapsed_ms;
	bool may_return;
	bool gone;
	bool draining;
	bool evacuated;
	uint64_t unreadable_ms;
	int refs;
	struct net_pool pool;
	unsigned inflight;
	double pending;
	struct fwd_backlog backlog;
	struct fwd_evidence evidence;
	unsigned peer_inflight;
	double peer_pending;
	unsigned cell_inflight;
	double cell_pending;
	char *loaded_model;
	unsigned failures;
	struct endpoint_backoff backoff;
	struct endpoint_limit limit;
	uint64_t cooldown_until_ms;
	uint64_t silent_until_ms;
	uint64_t unfit_until_ms;
	int64_t excluded_epoch;
	uint64_t warned_ms;
	uint64_t avoided_ms;
	uint64_t heard_ms;
	uint64_t peer_heard_ms;
	double slowness;
	double error_rate;
	uint64_t error_ms;
	GBytes *entry_bytes;
	TAILQ_ENTRY(endpoint) entry;
};

TAILQ_HEAD(endpoint_list, endpoint);

/**
 * struct fleet - all known endpoints.
 * @loop: the event loop
 * @source: source address of connections to endpoints; 0 for any
 * @tunnels: choice of gateways to endpoints that are not reached directly; NULL
 *	for none
 * @by_id: id to struct endpoint
 * @by_id_hash: hash of the id to struct endpoint
 * @by_address: address to struct endpoint, the newest at that address
 * @endpoints: all endpoints, also those that are gone but still referenced
 */
struct fleet {
	uv_loop_t *loop;
	struct sockaddr_in source;
	struct net_tunnels *tunnels;
	GHashTable *by_id;
	GHashTable *by_id_hash;
	GHashTable *by_address;
	struct endpoint_list endpoints;
};

void fleet_init(struct fleet *, uv_loop_t *);
void fleet_clear(struct fleet *);
struct endpoint *fleet_update(struct fleet *, struct endpoint_report *,
    uint64_t, uint64_t);
bool fleet_report_differs(const struct fleet *, const struct endpoint_report *);
bool fleet_serving_differs(const struct fleet *, const struct endpoint_report *,
    bool);
void fleet_mark_unreadable(struct fleet *, const char *, uint64_t, uint64_t);
void fleet_lapse(struct fleet *, const char *, uint64_t, uint64_t, bool);
struct endpoint *fleet_find(const struct fleet *, const char *);
struct endpoint *fleet_find_by_hash(const struct fleet *, uint32_t);
struct endpoint *fleet_find_by_address(const struct fleet *,
    const struct sockaddr_in *);
bool endpoint_expected(const struct endpoint *);
void endpoint_mark_gone(struct endpoint *);
void fleet_sweep(struct fleet *, uint64_t, bool);
void endpoint_set_entry(struct endpoint *, bool, const void *, size_t);
bool endpoint_accepts(const struct endpoint *, uint64_t);
bool endpoint_suspected(const struct endpoint *);
bool endpoint_usable(const struct endpoint *, uint64_t);
double endpoint_error_rate(const struct endpoint *, uint64_t);
void endpoint_count_outcome(struct endpoint *, bool, uint64_t);

#endif
