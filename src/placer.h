/* The placer: one daemon at a time keeps the replicas of all services. */
#ifndef BL_PLACER_H
#define BL_PLACER_H

#include "placer-usage.h"
#include "mesh.h"
#include "replica.h"

/**
 * enum placer_state - this daemon's part in placement.
 * @PLACER_IDLE: another daemon places, or none does yet
 * @PLACER_READING: reads the records to take the lease
 * @PLACER_TAKING: writes its lease, if nothing was written since
 * @PLACER_HOLDING: it places
 */
enum placer_state {
	PLACER_IDLE,
	PLACER_READING,
	PLACER_TAKING,
	PLACER_HOLDING,
};

/**
 * struct placer_copy - a copy of a model being made on a host.
 * @model: the model
 * @started_ms: of the host's incarnation that makes it
 * @deadline_ms: when it should be there; counted as lost after that
 * @ordered_ms: when the host was last told
 * @order_pending: an order is on its way
 * @acknowledged: the host said that it makes the copy
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
 * struct placer - the placer's state.
 * @loop: the event loop
 * @store: the store
 * @registry: what is known of the deployment
 * @mesh: the other daemons
 * @orders: the adapter's calls to hosts
 * @name: of this daemon
 * @stall_ms: after which the platform breaks a group that stands still
 * @timer: the next look
 * @wakeup: a look before that, after something that was waited for
 * @state: this daemon's part
 * @term: of the lease held or last seen; the fencing token of orders
 * @end_offset: where the records end, as far as this daemon knows
 * @store_busy: an append or a check is on its way
 * @verified_ms: loop time as of which nobody else had the lease
 * @pending: writes that wait, of struct store_record
 * @replicas: by their records
 * @served: requests have come since the deployment began, by its record
 * @epochs_issued: made under this lease so far
 * @load_starts: loop times of the loads begun lately
 * @n_hosts: endpoints known at the last look
 * @grew_ms: loop time at which they last became more
 * @copies: host id to struct placer_copy
 * @warming: host id to when it should have a model in memory
 * @usage: service name to struct service_usage, since the lease was taken
 * @dissolved: names of groups dissolved by this daemon to when
 * @pools: connections to hosts whose entries lapsed, by address
 * @preparing: it is this daemon's turn to take the lease; it reads all entries
 * @n_calls: orders and questions on their way
 * @unfinished: the last look left steps of placement for the next
 * @pass_us: time that the last look took
 * @no_placer_ms: since when no placer has been heard; 0 while one is
 * @last_pass_ms: loop time of the last look
 * @read_after: last key of the page before, while reading
 */
struct placer {
	uv_loop_t *loop;
	struct store *store;
	struct registry *registry;
	struct mesh *mesh;
	const struct order_ops *orders;
	const char *name;
	uint64_t stall_ms;
	uv_timer_t timer;
	uv_timer_t wakeup;
	enum placer_state state;
	int64_t term;
	uint64_t end_offset;
	bool store_busy;
	uint64_t verified_ms;
	GArray *pending;
	struct replica_list replicas;
	bool served;
	unsigned epochs_issued;
	GArray *load_starts;
	unsigned n_hosts;
	uint64_t grew_ms;
	GHashTable *copies;
	GHashTable *warming;
	GHashTable *usage;
	GHashTable *dissolved;
	GHashTable *pools;
	bool preparing;
	unsigned n_calls;
	bool unfinished;
	uint64_t pass_us;
	uint64_t no_placer_ms;
	uint64_t last_pass_ms;
	char *read_after;
};

void placer_start(struct placer *, uv_loop_t *);
void placer_stop(struct placer *);
void placer_suspect(struct placer *, const struct endpoint *);
void placer_run_pass(struct placer *);
void placer_schedule_pass(struct placer *);

void placer_announce_dissolve(struct placer *, struct replica *, uint64_t);
bool placer_call_allowed(const struct placer *);

/* placer-call.c: orders and questions to hosts. */
void placer_order_member(struct placer *, struct replica *, unsigned,
    enum order_kind);
void placer_ask_member(struct placer *, struct replica *, unsigned);
bool placer_order_stage(struct placer *, const char *, const char *);
void placer_order_warm(struct placer *, const char *, const char *, int64_t);
bool placer_is_warm_group(const char *);

/* placer-lease.c: taking, checking and losing the lease. */
void placer_lease_poll(struct placer *, uint64_t);
void placer_step_down(struct placer *, const char *);
bool placer_lease_verified(struct placer *, uint64_t);
void placer_flush_records(struct placer *);
void placer_record_replica(struct placer *, const struct replica *, bool);
void placer_record_served(struct placer *);
void placer_record_bound(struct placer *, const char *, unsigned);

/* placer-record.c: records of replicas and of the lease as bytes. */
guint8 *placer_encode_replica(const struct replica *, size_t *);
struct replica *placer_decode_replica(const char *, const void *, size_t);
guint8 *placer_encode_lease(const char *, int64_t, size_t *);
int64_t placer_decode_lease(const void *, size_t);

/* placer-adopt.c: groups that serve without a record. */
void placer_adopt_groups(struct placer *, uint64_t);
bool placer_is_active_head(const struct endpoint *);

/* placer-stage.c: copies that are being made, and loads that may begin. */
void placer_copy_free(void *);
void placer_copies_update(struct placer *, uint64_t);
void placer_copy_start(struct placer *, const char *,
    const struct model_profile *, uint64_t);
void placer_copy_answered(struct placer *, const char *, enum order_result);
const char *placer_copying(const struct placer *, const char *);
unsigned placer_loads_available(struct placer *, const struct engine_profile *,
    uint64_t);

/* placer-form.c: forming new replicas. */
void placer_form_replicas(struct placer *, uint64_t);
struct service_usage *placer_usage(struct placer *, const char *);

#endif
