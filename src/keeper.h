/* The placer: one daemon at a time keeps the replicas of all services. */
#ifndef BL_KEEPER_H
#define BL_KEEPER_H

#include "keeper-usage.h"
#include "mesh.h"
#include "replica.h"

/**
 * enum keeper_state - this daemon's part in placement.
 * @KEEPER_IDLE: another daemon places, or none does yet
 * @KEEPER_READING: reads the records to take the lease
 * @KEEPER_TAKING: writes its lease, if nothing was written since
 * @KEEPER_HOLDING: it places
 */
enum keeper_state {
	KEEPER_IDLE,
	KEEPER_READING,
	KEEPER_TAKING,
	KEEPER_HOLDING,
};

/**
 * struct keeper_stage - a copy of a model being made on a host.
 * @model: the model
 * @started_ms: of the host's incarnation that makes it
 * @until_ms: when it should be there; counted as lost after that
 * @asked_ms: when the host was last told
 * @asking: an order is on its way
 * @known: the host said that it makes the copy
 */
struct keeper_stage {
	char *model;
	int64_t started_ms;
	uint64_t until_ms;
	uint64_t asked_ms;
	bool asking;
	bool known;
};

/**
 * struct keeper - the placer's state.
 * @loop: the event loop
 * @store: the store
 * @registry: what is known of the deployment
 * @mesh: the other daemons
 * @orders: the adapter's calls to hosts
 * @name: of this daemon
 * @stall_ms: after which the platform breaks a group that stands still
 * @timer: the next look
 * @soon: a look before that, after something that was waited for
 * @state: this daemon's part
 * @term: of the lease held or last seen; the fencing token of orders
 * @end: where the records end, as far as this daemon knows
 * @writing: an append or a check is on its way
 * @verified_ms: loop time as of which nobody else had the lease
 * @records: writes that wait, of struct store_record
 * @replicas: by their records
 * @served: requests have come since the deployment began, by its record
 * @groups: made under this lease so far
 * @loads: loop times of the loads begun lately
 * @hosts: endpoints known at the last look
 * @grew_ms: loop time at which they last became more
 * @staging: host id to struct keeper_stage
 * @warming: host id to when it should have a model in memory
 * @usage: service name to struct service_usage, since the lease was taken
 * @ended: names of groups dissolved by this daemon to when
 * @pools: connections to hosts whose entries lapsed, by address
 * @preparing: it is this daemon's turn to take the lease; it reads all entries
 * @calls: orders and questions on their way
 * @more: the last look left steps of placement for the next
 * @look_us: time that the last look took
 * @alone_ms: since when no placer has been heard; 0 while one is
 * @last_ms: loop time of the last look
 * @after: last key of the page before, while reading
 */
struct keeper {
	uv_loop_t *loop;
	struct store *store;
	struct registry *registry;
	struct mesh *mesh;
	const struct order_ops *orders;
	const char *name;
	uint64_t stall_ms;
	uv_timer_t timer;
	uv_timer_t soon;
	enum keeper_state state;
	int64_t term;
	uint64_t end;
	bool writing;
	uint64_t verified_ms;
	GArray *records;
	struct replica_list replicas;
	bool served;
	unsigned groups;
	GArray *loads;
	unsigned hosts;
	uint64_t grew_ms;
	GHashTable *staging;
	GHashTable *warming;
	GHashTable *usage;
	GHashTable *ended;
	GHashTable *pools;
	bool preparing;
	unsigned calls;
	bool more;
	uint64_t look_us;
	uint64_t alone_ms;
	uint64_t last_ms;
	char *after;
};

void keeper_open(struct keeper *, uv_loop_t *);
void keeper_stop(struct keeper *);
void keeper_suspect(struct keeper *, const struct endpoint *);
void keeper_look(struct keeper *);
void keeper_look_soon(struct keeper *);

void keeper_doomed(struct keeper *, struct replica *, uint64_t);
bool keeper_calls_free(const struct keeper *);

/* keeper-call.c: orders and questions to hosts. */
void keeper_order(struct keeper *, struct replica *, unsigned, enum order_kind);
void keeper_ask(struct keeper *, struct replica *, unsigned);
bool keeper_order_stage(struct keeper *, const char *, const char *);
void keeper_order_warm(struct keeper *, const char *, const char *, int64_t);
bool keeper_sole(const char *);

/* keeper-lease.c: taking, checking and losing the lease. */
void keeper_lease_look(struct keeper *, uint64_t);
void keeper_lose(struct keeper *, const char *);
bool keeper_verified(struct keeper *, uint64_t);
void keeper_write(struct keeper *);
void keeper_record_replica(struct keeper *, const struct replica *, bool);
void keeper_record_served(struct keeper *);
void keeper_record_bound(struct keeper *, const char *, unsigned);

/* keeper-record.c: records of replicas and of the lease as bytes. */
guint8 *keeper_encode_replica(const struct replica *, size_t *);
struct replica *keeper_decode_replica(const char *, const void *, size_t);
guint8 *keeper_encode_lease(const char *, int64_t, size_t *);
int64_t keeper_decode_lease(const void *, size_t);

/* keeper-adopt.c: groups that serve without a record. */
void keeper_adopt(struct keeper *, uint64_t);
bool keeper_heads(const struct endpoint *);

/* keeper-stage.c: copies that are being made, and loads that may begin. */
void keeper_stage_free(void *);
void keeper_stage_look(struct keeper *, uint64_t);
void keeper_stage_begin(struct keeper *, const char *,
    const struct model_profile *, uint64_t);
void keeper_stage_answered(struct keeper *, const char *, enum order_result);
const char *keeper_staging(const struct keeper *, const char *);
unsigned keeper_loads_free(struct keeper *, const struct engine_profile *,
    uint64_t);

/* keeper-place.c: forming new replicas. */
void keeper_place(struct keeper *, uint64_t);
struct service_usage *keeper_usage(struct keeper *, const char *);

#endif
