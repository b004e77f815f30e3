/*
 * The placer: forms and dissolves the replicas of all services. One daemon at
 * a time is the placer, by a lease in the store.
 */
#ifndef BL_KEEPER_H
#define BL_KEEPER_H

#include "keeper-usage.h"
#include "mesh.h"
#include "replica.h"

/**
 * enum keeper_state - state of this daemon's placer.
 * @KEEPER_IDLE: another daemon is the placer, or none is yet
 * @KEEPER_READING: the records are being read before the lease is taken
 * @KEEPER_TAKING: the lease is being written, on the condition that nothing was
 *	written since the records were read
 * @KEEPER_HOLDING: this daemon holds the lease and is the placer
 */
enum keeper_state {
	KEEPER_IDLE,
	KEEPER_READING,
	KEEPER_TAKING,
	KEEPER_HOLDING,
};

/**
 * struct keeper_stage - a copy of a model that is being made on a host.
 * @model: name of the model
 * @started_ms: start time of the host's incarnation that makes the copy
 * @until_ms: loop time at which the copy counts as lost, in ms
 * @asked_ms: loop time at which the order was last sent, in ms
 * @asking: an order is in flight
 * @known: the host has acknowledged the order
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
 * struct keeper - the placer of this daemon.
 * @loop: the event loop
 * @store: the store
 * @dir: directory of services and endpoints
 * @mesh: the other daemons
 * @orders: the adapter's calls to hosts
 * @name: name of this daemon
 * @stall_ms: time after which the platform breaks a group that makes no
 *	progress, in ms
 * @timer: starts the next periodic pass
 * @soon: starts an early pass after a change
 * @state: state of the placer
 * @term: term of the lease held or last seen; the fencing token of orders
 * @end: end offset of the placement topic, as far as this daemon knows
 * @writing: an append or a read of the store is in flight
 * @verified_ms: loop time as of which no other daemon had taken the lease, in
 *	ms; 0 when this has to be checked anew
 * @records: records to be written, of struct store_record
 * @replicas: all replicas that have a record or wait for one, and adopted ones
 * @served: requests have arrived since the deployment began, by its record
 * @groups: number of epochs issued under this lease
 * @loads: loop times at which recent loads from the weight store started, in ms
 * @hosts: number of endpoints known in the last pass
 * @grew_ms: loop time at which that number last grew, in ms
 * @staging: maps a host id to its struct keeper_stage
 * @warming: maps a host id to the loop time by which it should have a model in
 *	memory, in ms
 * @usage: maps a service name to its struct service_usage, since the lease was
 *	taken
 * @ended: maps the name of a group that this daemon dissolved to the loop time
 *	of that, in ms
 * @pools: connections to hosts whose entries have lapsed, by address
 * @preparing: it is this daemon's turn to take the lease; it reads all entries
 *	from the store before
 * @calls: number of orders and queries in flight
 * @more: the last pass left placement steps to the next
 * @look_us: duration of the last pass, in us
 * @alone_ms: loop time since which no placer has been heard, in ms; 0 while one
 *	is
 * @last_ms: loop time of the last pass, in ms
 * @after: last key of the previous page, while the records are being read
 */
struct keeper {
	uv_loop_t *loop;
	struct store *store;
	struct dir *dir;
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

/* keeper-call.c: orders and queries to hosts. */
void keeper_order(struct keeper *, struct replica *, unsigned, enum order_kind);
void keeper_ask(struct keeper *, struct replica *, unsigned);
bool keeper_order_stage(struct keeper *, const char *, const char *);
void keeper_order_warm(struct keeper *, const char *, const char *, int64_t);
bool keeper_sole(const char *);

/* keeper-lease.c: taking, verifying and losing the lease. */
void keeper_lease_look(struct keeper *, uint64_t);
void keeper_lose(struct keeper *, const char *);
bool keeper_verified(struct keeper *, uint64_t);
void keeper_write(struct keeper *);
void keeper_record_replica(struct keeper *, const struct replica *, bool);
void keeper_record_served(struct keeper *);
void keeper_record_bound(struct keeper *, const char *, unsigned);

/* keeper-record.c: encoding of the records of replicas and of the lease. */
guint8 *keeper_encode_replica(const struct replica *, size_t *);
struct replica *keeper_decode_replica(const char *, const void *, size_t);
guint8 *keeper_encode_lease(const char *, int64_t, size_t *);
int64_t keeper_decode_lease(const void *, size_t);

/* keeper-adopt.c: groups that serve but have no record. */
void keeper_adopt(struct keeper *, uint64_t);
bool keeper_heads(const struct endpoint *);

/* keeper-stage.c: copies that are being made, and loads that may start. */
void keeper_stage_free(void *);
void keeper_stage_look(struct keeper *, uint64_t);
void keeper_stage_begin(struct keeper *, const char *,
    const struct model_profile *, uint64_t);
void keeper_stage_answered(struct keeper *, const char *, enum order_result);
const char *keeper_staging(const struct keeper *, const char *);
unsigned keeper_loads_free(struct keeper *, const struct engine_profile *,
    uint64_t);

/* keeper-place.c: forming of replicas. */
void keeper_place(struct keeper *, uint64_t);
struct service_usage *keeper_usage(struct keeper *, const char *);

#endif
