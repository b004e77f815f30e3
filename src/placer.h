/*
 * The placer: forms and dissolves the replicas of all services. One daemon at
 * a time is the placer, by a lease in the store.
 */
#ifndef BL_PLACER_H
#define BL_PLACER_H

#include "mesh.h"
#include "placer-left-heads.h"
#include "placer-usage.h"
#include "replica.h"

/* Keys of the placer's records in the store. */
#define PLACER_LEASE_KEY "lease"
#define PLACER_GROUP_PREFIX "group/"
#define PLACER_SERVED_KEY "served"
#define PLACER_BOUND_PREFIX "bound/"

/**
 * enum placer_state - state of this daemon's placer.
 * @PLACER_IDLE: another daemon is the placer, or none is yet
 * @PLACER_READING: the records are being read before the lease is taken
 * @PLACER_TAKING: the lease is being written, on the condition that nothing was
 *	written since the records were read
 * @PLACER_HOLDING: this daemon holds the lease and is the placer
 */
enum placer_state {
	PLACER_IDLE,
	PLACER_READING,
	PLACER_TAKING,
	PLACER_HOLDING,
};

/**
 * struct placer_copy - a copy of a model that is being made on a host.
 * @model: name of the model
 * @started_ms: start time of the host's incarnation that makes the copy
 * @deadline_ms: loop time at which the copy counts as lost, in ms
 * @ordered_ms: loop time at which the order was last sent, in ms
 * @order_pending: an order is in flight
 * @acknowledged: the host has acknowledged the order
 */
struct placer_copy {
	char *model;
	int64_t started_ms;
	uint64_t deadline_ms;
	uint64_t ordered_ms;
	bool order_pending;
	bool acknowledged;
};

/**
 * struct placer - the placer of this daemon.
 * @loop: the event loop
 * @store: the store
 * @registry: registry of endpoints and configuration
 * @mesh: the other daemons
 * @orders: the adapter's calls to hosts
 * @name: name of this daemon
 * @stall_ms: time after which the platform breaks a group that makes no
 *	progress, in ms
 * @placement_demand: place replicas by the demand for each model
 * @timer: starts the next periodic pass
 * @wakeup: starts an early pass after a change
 * @order_timer: sends the orders that waited for others to end
 * @state: state of the placer
 * @term: term of the lease held or last seen; the fencing token of orders
 * @end_offset: end offset of the placement topic, as far as this daemon knows
 * @store_busy: an append or a read of the store is in flight
 * @verified_ms: loop time as of which no other daemon had taken the lease, in
 *	ms; 0 when this has to be checked again
 * @pending: records to be written, of struct store_record
 * @replicas: all replicas that have a record or wait for one, and adopted ones
 * @lease_term: term in the record of the lease before this one
 * @taken_ms: loop time at which the lease was taken, in ms
 * @records_kept: all placers whose orders may still be carried out have kept
 *	the record of a group while its head could serve again after it has left
 * @record_ignored: a record of a replica that was read is malformed
 * @served: requests have arrived since the deployment began, by its record
 * @epochs_issued: number of epochs issued under this lease
 * @load_starts: loop times at which recent loads from the weight store started,
 *	in ms
 * @n_hosts: number of endpoints known in the last pass
 * @grew_ms: loop time at which that number last grew, in ms
 * @copies: maps a host id to its struct placer_copy
 * @warming: maps a host id to the loop time by which it should have a model in
 *	memory, in ms
 * @usage: maps a service name to its struct service_usage, since the lease was
 *	taken
 * @dissolved: maps the name of a group that this daemon dissolved to the loop
 *	time of that, in ms
 * @left_heads: heads whose groups were dissolved without them
 * @pools: connections to hosts that the fleet no longer has, by address
 * @preparing: it is this daemon's turn to take the lease; it first reads all
 *	entries from the store
 * @n_calls: number of orders and queries in flight
 * @orders_waiting: an order was due while no more were allowed in flight
 * @unfinished: the last pass left placement steps to the next
 * @pass_us: duration of the last pass, in us
 * @no_placer_ms: loop time since which no placer has been heard, in ms; 0 while
 *	one is
 * @last_pass_ms: loop time of the last pass, in ms
 * @reach: whether this daemon reaches hosts, since it began to ask
 * @sampling: a sample of hosts is being asked
 * @sampled_ms: loop time at which a sample was last asked; 0 for never
 * @read_after: last key of the previous page, while the records are being read
 */
struct placer {
	uv_loop_t *loop;
	struct store *store;
	struct registry *registry;
	struct mesh *mesh;
	const struct order_ops *orders;
	const char *name;
	uint64_t stall_ms;
	bool placement_demand;
	uv_timer_t timer;
	uv_timer_t wakeup;
	uv_timer_t order_timer;
	enum placer_state state;
	int64_t term;
	uint64_t end_offset;
	bool store_busy;
	uint64_t verified_ms;
	GArray *pending;
	struct replica_list replicas;
	int64_t lease_term;
	uint64_t taken_ms;
	bool records_kept;
	bool record_ignored;
	bool served;
	unsigned epochs_issued;
	GArray *load_starts;
	unsigned n_hosts;
	uint64_t grew_ms;
	GHashTable *copies;
	GHashTable *warming;
	GHashTable *usage;
	GHashTable *dissolved;
	struct left_heads left_heads;
	GHashTable *pools;
	bool preparing;
	unsigned n_calls;
	bool orders_waiting;
	bool unfinished;
	uint64_t pass_us;
	uint64_t no_placer_ms;
	uint64_t last_pass_ms;
	struct replica_reach reach;
	bool sampling;
	uint64_t sampled_ms;
	char *read_after;
};

void placer_start(struct placer *, uv_loop_t *);
void placer_stop(struct placer *);
void placer_suspect(struct placer *, const struct endpoint *);
void placer_run_pass(struct placer *);
void placer_schedule_pass(struct placer *);
void placer_schedule_orders(struct placer *);

void placer_announce_dissolve(struct placer *, struct replica *, uint64_t);
bool placer_call_allowed(const struct placer *);

/* placer-call.c: orders and queries to hosts. */
void placer_order_member(struct placer *, struct replica *, unsigned,
    enum order_kind);
void placer_query_member(struct placer *, struct replica *, unsigned);
bool placer_order_stage(struct placer *, const char *, const char *);
void placer_order_warm(struct placer *, const char *, const char *, int64_t);
bool placer_is_warm_group(const char *);

/* placer-reach.c: whether this daemon itself reaches hosts. */
void placer_check_reach(struct placer *, uint64_t);

/* placer-lease.c: taking, verifying and losing the lease. */
void placer_lease_poll(struct placer *, uint64_t);
void placer_step_down(struct placer *, const char *);
bool placer_lease_verified(struct placer *, uint64_t);

/* placer-write.c: writing of the placer's records to the store. */
void placer_flush_records(struct placer *);
void placer_record_replica(struct placer *, const struct replica *, bool);
void placer_record_served(struct placer *);
void placer_record_lease(struct placer *);
void placer_record_bound(struct placer *, const char *, unsigned);

/* placer-load.c: loading of the records of the previous placer. */
void placer_load_record(struct placer *, const struct store_record *);
void placer_inherit_replicas(struct placer *);
void placer_update_records_kept(struct placer *, uint64_t);

/* placer-record.c: encoding of the records of replicas and of the lease. */
guint8 *placer_encode_replica(const struct replica *, int64_t, size_t *);
struct replica *placer_decode_replica(const char *, const void *, size_t);
guint8 *placer_encode_lease(const char *, int64_t, bool, size_t *);
int64_t placer_decode_lease(const void *, size_t, bool *);

/* placer-adopt.c: groups that serve but have no record. */
void placer_adopt_groups(struct placer *, uint64_t);
bool placer_is_active_head(const struct endpoint *);

/* placer-copies.c: copies that are being made, and loads that may start. */
void placer_copy_free(void *);
void placer_copies_update(struct placer *, uint64_t);
void placer_copy_start(struct placer *, const char *,
    const struct model_profile *, uint64_t);
void placer_copy_note_result(struct placer *, const char *, enum order_result);
const char *placer_copying(const struct placer *, const char *);
bool placer_join_allowed(struct placer *, const struct replica *,
    const struct replica_member *, uint64_t);
void placer_join_note(struct placer *, const struct replica *,
    const struct replica_member *, uint64_t);
unsigned placer_loads_available(struct placer *, const struct engine_profile *,
    uint64_t);

/* placer-form.c: forming of replicas. */
void placer_form_replicas(struct placer *, uint64_t);

/* placer-view.c: the planner's view of a service. */
void placer_build_view(struct placer *, const struct catalog_service *,
    struct planner_view *, uint64_t);
struct service_usage *placer_usage(struct placer *, const char *);

#endif
