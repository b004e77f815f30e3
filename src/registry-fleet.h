/* The endpoints and the replicas that they form, as last reported. */
#ifndef BL_REGISTRY_FLEET_H
#define BL_REGISTRY_FLEET_H

#include "registry-catalog.h"
#include "registry-limit.h"
#include "registry-backoff.h"
#include "fwd-backlog.h"
#include "net-conn.h"

/**
 * enum group_state - what an endpoint says of its group.
 * @GROUP_NONE: it is in none
 * @GROUP_JOINING: it is loading
 * @GROUP_READY: it is loaded; a head may be opened
 * @GROUP_OPEN: a head that serves
 * @GROUP_CLOSING: a head that ends its work
 * @GROUP_BROKEN: a head that lost a member
 */
enum group_state {
	GROUP_NONE,
	GROUP_JOINING,
	GROUP_READY,
	GROUP_OPEN,
	GROUP_CLOSING,
	GROUP_BROKEN,
};

/**
 * struct endpoint_report - what an endpoint says of itself.
 * @id: of its incarnation
 * @service: its service
 * @address: where it listens
 * @domain: its failure domain
 * @fabric: its fabric domain
 * @slots: requests at once
 * @draining: it is leaving
 * @staged: models with a copy on its host
 * @model: the model it serves, or NULL
 * @group: its group's name, or NULL
 * @epoch: of the group
 * @rank: its place in the group; 0 is the head
 * @state: of the group
 * @sequence: orders accepted since its start
 * @started_ms: time of day of its start, in ms; 0 where it does not say
 * @pace: above 1 when slow; 0 when not known
 */
struct endpoint_report {
	char *id;
	char *service;
	struct sockaddr_in address;
	char *domain;
	char *fabric;
	unsigned slots;
	bool draining;
	GPtrArray *staged;
	char *model;
	char *group;
	int64_t epoch;
	int rank;
	enum group_state state;
	int64_t sequence;
	int64_t started_ms;
	double pace;
};

/**
 * enum incarnation - whose report came, against the one that is known.
 * @INCARNATION_SAME: the one that is known
 * @INCARNATION_NEWER: one that started later under the same id
 * @INCARNATION_OLDER: one that had ended before
 */
enum incarnation {
	INCARNATION_SAME,
	INCARNATION_NEWER,
	INCARNATION_OLDER,
};

/**
 * struct endpoint - one incarnation of an endpoint.
 * @report: what it last said
 * @id_hash: short name of it among daemons
 * @offset: of the record that said so
 * @seen_ms: loop time of that record
 * @lapsed_ms: when its entry was found removed; 0 while it stands
 * @may_return: it lapsed while the store was away
 * @gone: no more work goes there
 * @draining: it said so once, by its entry, a report or an answer
 * @unreadable_ms: since when its entry can't be read; 0 while it can
 * @refs: exchanges that hold it
 * @pool: connections
 * @inflight: own requests there
 * @pending: own prompt tokens sent there without a first event yet
 * @backlog: own prompt tokens sent there and not read yet
 * @peer_inflight: other daemons' requests there
 * @peer_pending: other daemons' prompt tokens without a first event yet
 * @cell_inflight: the part of @peer_inflight of daemons that report to this one
 * @cell_pending: the same of @peer_pending
 * @loaded_model: model of its last group since its start, or NULL; it joins one
 *of that model in a fraction of a second, also after it has left
 * @failures: failures in a row
 * @backoff: the rest that it asked this daemon for
 * @limit: the requests a second that it takes from all daemons together
 * @cooldown_until_ms: no work before then; a guess of this daemon or another
 * @unfit_until_ms: not to be placed before then; it did not answer
 * @excluded_epoch: it serves in no group up to this epoch, and can't come back
 *into one, whatever its entry still says
 * @warned_ms: when this daemon found it silent or closed it; others are told
 * @avoided_ms: when another daemon last warned of it
 * @heard_ms: loop time of its last byte in any exchange
 * @peer_heard_ms: the same, of other daemons' exchanges
 * @slowness: moving ratio of observed to expected event gaps
 * @error_rate: moving share of answers that were server failures
 * @entry_bytes: its entry as it stands in the store, while it may be sent
 *	requests; for daemons that start
 * @entry: in the fleet
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
	uint64_t unreadable_ms;
	int refs;
	struct net_pool pool;
	unsigned inflight;
	double pending;
	struct fwd_backlog backlog;
	unsigned peer_inflight;
	double peer_pending;
	unsigned cell_inflight;
	double cell_pending;
	char *loaded_model;
	unsigned failures;
	struct endpoint_backoff backoff;
	struct endpoint_limit limit;
	uint64_t cooldown_until_ms;
	uint64_t unfit_until_ms;
	int64_t excluded_epoch;
	uint64_t warned_ms;
	uint64_t avoided_ms;
	uint64_t heard_ms;
	uint64_t peer_heard_ms;
	double slowness;
	double error_rate;
	GBytes *entry_bytes;
	TAILQ_ENTRY(endpoint) entry;
};

TAILQ_HEAD(endpoint_list, endpoint);

/**
 * struct fleet - all endpoints.
 * @loop: the event loop
 * @source: own address of connections to endpoints; any where it is 0
 * @by_id: id to struct endpoint
 * @by_id_hash: short name to struct endpoint
 * @endpoints: all, also those that are gone but still held
 */
struct fleet {
	uv_loop_t *loop;
	struct sockaddr_in source;
	GHashTable *by_id;
	GHashTable *by_id_hash;
	struct endpoint_list endpoints;
};

void endpoint_report_clear(struct endpoint_report *);
const char *group_state_name(enum group_state);
void fleet_init(struct fleet *, uv_loop_t *);
void fleet_clear(struct fleet *);
struct endpoint *fleet_update(struct fleet *, struct endpoint_report *,
    uint64_t, uint64_t);
bool fleet_report_differs(const struct fleet *, const struct endpoint_report *);
bool endpoint_report_serves(const struct endpoint_report *, bool);
bool fleet_serving_differs(const struct fleet *, const struct endpoint_report *,
    bool);
enum incarnation incarnation_compare(const struct endpoint_report *,
    const struct endpoint_report *);
void fleet_mark_unreadable(struct fleet *, const char *, uint64_t, uint64_t);
void fleet_lapse(struct fleet *, const char *, uint64_t, bool);
struct endpoint *fleet_find(const struct fleet *, const char *);
struct endpoint *fleet_find_by_hash(const struct fleet *, uint32_t);
void endpoint_mark_gone(struct endpoint *);
void fleet_sweep(struct fleet *, uint64_t, bool);
void endpoint_set_entry(struct endpoint *, bool, const void *, size_t);
bool endpoint_accepts(const struct endpoint *, uint64_t);
bool endpoint_usable(const struct endpoint *, uint64_t);

#endif
