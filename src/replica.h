/* Replicas: groups of hosts that serve one model, and their life cycle. */
#ifndef BL_REPLICA_H
#define BL_REPLICA_H

#include <sys/queue.h>

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "registry-fleet.h"
#include "order-ops.h"
#include "replica-reach.h"

/* Maximum number of hosts in a replica. */
#define REPLICA_SIZE_MAX 64

/* An order that had no answer or no visible effect is repeated after this
 * time; it is well above the time of an answer and well below that of a load.
 */
#define REPLICA_ORDER_RETRY_MS 1200
/* An accepted join appears in the host's report within this time; after that,
 * the order is repeated. */
#define REPLICA_JOIN_RETRY_MS 3000
/* A group that is not complete after this time is dissolved. It is twice the
 * longest load time while other loads run. */
#define REPLICA_FORM_TIMEOUT_MS 60000
/* Time for the group of a leaving member to finish its requests: the platform
 * keeps the member that long, plus a margin. */
#define REPLICA_LEAVE_DRAIN_MS 8000
/* Time for a replica to finish its requests when another replica needs its
 * hosts; it ends when the head reports that it is done. Most streams are
 * shorter than this. The others can continue on other replicas, and a missing
 * large replica costs more. */
#define REPLICA_DONOR_DRAIN_MS 2000
/* Time for a surplus replica to finish its requests: it is not missed, so its
 * streams end first. */
#define REPLICA_SURPLUS_DRAIN_MS 3000
/* An order that had no answer is carried out within this time, if at all:
 * endpoints have been observed to take 2 to 12 s. */
#define REPLICA_LATE_ORDER_MS 12500
/* Orders are sent only if the placer's lease was verified within this time, so
 * a placer that has lost the lease may still send orders for this long. */
#define REPLICA_LEASE_FRESH_MS 1500
/* Orders of the previous placer may be carried out for this long after another
 * has taken the lease. */
#define REPLICA_FORMER_ORDER_MS (REPLICA_LEASE_FRESH_MS + REPLICA_LATE_ORDER_MS)
/* A report that arrives at least this long after a change is newer than the
 * change: this is well above the lag of reports. */
#define REPLICA_REPORT_LAG_MS 1000
/* A replica that will be dissolved within this time counts as ending soon:
 * about the time that another replica takes to donate hosts instead. */
#define REPLICA_ENDS_SOON_MS REPLICA_DONOR_DRAIN_MS
/* Time between the notice that a head is about to close and the order to close
 * it: the notice takes this long to reach the other daemons. */
#define REPLICA_CLOSE_NOTICE_MS 150

/**
 * enum member_liveness - liveness of a member.
 * @MEMBER_ALIVE: its entry in the store is current
 * @MEMBER_RETURNING: its entry lapsed in an outage of the store and may be
 *	written again
 * @MEMBER_DRAINING: it has announced that it is leaving
 * @MEMBER_LAPSED: its entry is gone; it may still serve and answer
 * @MEMBER_SILENT: it does not answer queries either; it may still serve
 *	clients that can reach it
 * @MEMBER_DEAD: its incarnation has ended
 */
enum member_liveness {
	MEMBER_ALIVE,
	MEMBER_RETURNING,
	MEMBER_DRAINING,
	MEMBER_LAPSED,
	MEMBER_SILENT,
	MEMBER_DEAD,
};

/**
 * struct replica_member - one host of a group.
 * @id: id of the host's incarnation
 * @address: address that takes its orders
 * @liveness: its liveness
 * @in_group: it reports this group and epoch
 * @in_newer_group: it reports a group with a higher epoch
 * @state: state of the group as it reports it
 * @ordered_ms: loop time at which the last order was sent to it; 0 for never
 * @last_order: the last order sent to it
 * @order_pending: an order to it has not ended yet
 * @left: it has answered that it is not in this group, or no longer
 * @joined: its entry named the group, or it has accepted an order to join that
 *	named this member
 * @unverified: its report came from whoever holds its address, before it had
 *	@joined; that may be another incarnation, since a query does not name
 *	its addressee
 * @join_fenced: it refused to join because it has seen a newer epoch
 * @left_ms: loop time of the answer that set @left
 * @left_after_ms: loop time at which the order with that answer was sent; it
 *	was carried out after that
 * @late_join_until_ms: loop time until which an order to join may still be
 *	carried out, because it had no answer or another placer may have sent
 *	it; 0 for none
 * @late_open_until_ms: the same for an order to open
 * @join_in_doubt: the replica's record says that an order to join may still be
 *	carried out
 * @was_in_newer_group: it has once reported a group with a higher epoch, so it
 *	can't rejoin this group
 * @last_report_ms: loop time of its newest report, from its entry or a direct
 *	answer
 * @suspect_ms: loop time at which an order to it had no answer; 0 for never
 * @queried_ms: loop time of the last query to it
 * @silent_since_ms: loop time since which it has not answered; 0 while it
 *	answers
 * @unheard_ms: loop time at which the last query without an answer was sent
 * @query_pending: a query to it has not ended yet
 * @address_reused: another incarnation has its address
 * @unanswered_ms: loop time at which an order to it last ended without an
 *	answer; 0 for never
 * @unanswered_order: that order; it may still be carried out
 */
struct replica_member {
	char *id;
	struct sockaddr_in address;
	enum member_liveness liveness;
	bool in_group;
	bool in_newer_group;
	enum group_state state;
	uint64_t ordered_ms;
	enum order_kind last_order;
	bool order_pending;
	bool left;
	bool joined;
	bool unverified;
	bool join_fenced;
	uint64_t left_ms;
	uint64_t left_after_ms;
	uint64_t late_join_until_ms;
	uint64_t late_open_until_ms;
	bool join_in_doubt;
	bool was_in_newer_group;
	uint64_t last_report_ms;
	uint64_t suspect_ms;
	uint64_t queried_ms;
	uint64_t silent_since_ms;
	uint64_t unheard_ms;
	bool query_pending;
	bool address_reused;
	uint64_t unanswered_ms;
	enum order_kind unanswered_order;
};

/**
 * struct replica - one group of hosts that serves a model.
 * @name: name of the group, never reused
 * @service: name of the service that its hosts belong to
 * @model: name of the model
 * @epoch: number of the group; each new group has a higher one
 * @known_ms: loop time at which this daemon first knew of it
 * @recorded: its record is in the store
 * @term: term of the lease under which its record was written, as it was read;
 *	0 if it says none
 * @settled: its record says that all members were in the group and which orders
 *	to join are in doubt; no host is ordered to join it again. Only then is
 *	its head ordered to open
 * @settled_ms: loop time at which that was found; 0 if another placer did
 * @dissolve_reason: reason for which it is being dissolved; NULL while it is
 *	active
 * @dissolving_ms: loop time at which that began
 * @drain_ms: time in ms that it has to finish its requests before it is
 *	cancelled; 0 to cancel at once
 * @open_ordered: its head may have been ordered to open
 * @opened: it has been seen to serve
 * @head_closed: the head has answered an order to close or to cancel; it takes
 *	no new requests
 * @member_left_ms: loop time at which a member first left while the head can't
 *	be reached; 0 for none
 * @donor: it is being dissolved so that other replicas get its hosts
 * @adopted: it was found serving without a record and is being dissolved
 * @suspect_ms: loop time at which its streams fell silent; 0 for never
 * @n: number of members
 * @members: its members, the head first
 * @entry: in the placer's list of replicas
 */
struct replica {
	char *name;
	char *service;
	char *model;
	int64_t epoch;
	uint64_t known_ms;
	bool recorded;
	int64_t term;
	bool settled;
	uint64_t settled_ms;
	const char *dissolve_reason;
	uint64_t dissolving_ms;
	uint64_t drain_ms;
	bool open_ordered;
	bool opened;
	bool head_closed;
	uint64_t member_left_ms;
	bool donor;
	bool adopted;
	uint64_t suspect_ms;
	unsigned n;
	struct replica_member members[REPLICA_SIZE_MAX];
	TAILQ_ENTRY(replica) entry;
};

TAILQ_HEAD(replica_list, replica);

/**
 * enum replica_action - what to do next for a replica.
 * @REPLICA_WAIT: nothing now
 * @REPLICA_ORDER: send an order to a member
 * @REPLICA_DISSOLVED: remove it: no host serves in it and its hosts are free
 */
enum replica_action {
	REPLICA_WAIT,
	REPLICA_ORDER,
	REPLICA_DISSOLVED,
};

/**
 * enum replica_proof - why no host of a dissolved group can serve in it.
 * @PROOF_NEVER_OPENED: the head was never ordered to open
 * @PROOF_HEAD_LEFT: the head has left the group and can't rejoin it
 * @PROOF_MEMBERS_LEFT: all other members have left and can't rejoin
 * @PROOF_HEAD_IN_NEWER_GROUP: the head is in a newer group
 * @PROOF_HEAD_DEAD: the head's incarnation has ended
 * @PROOF_STALLED: a member left so long ago that the platform must have broken
 *	the group, whatever order the head has carried out since
 */
enum replica_proof {
	PROOF_NEVER_OPENED,
	PROOF_HEAD_LEFT,
	PROOF_MEMBERS_LEFT,
	PROOF_HEAD_IN_NEWER_GROUP,
	PROOF_HEAD_DEAD,
	PROOF_STALLED,
};

/**
 * struct replica_step - the next step for a replica.
 * @action: what to do
 * @member: index of the member that the step is for
 * @order: the order, for REPLICA_ORDER
 * @proof: why the hosts are free, for REPLICA_DISSOLVED
 */
struct replica_step {
	enum replica_action action;
	unsigned member;
	enum order_kind order;
	enum replica_proof proof;
};

struct replica *replica_create(const char *, const char *, const char *,
    int64_t);
void replica_free(struct replica *);
void replica_add_member(struct replica *, const char *,
    const struct sockaddr_in *);
const char *replica_check(const struct replica *, uint64_t);
void replica_next_step(struct replica *, uint64_t, uint64_t,
    struct replica_step *);
bool replica_active(const struct replica *);
void replica_donate(struct replica *, uint64_t);
void replica_retire(struct replica *, uint64_t);
bool replica_ends_soon(const struct replica *, uint64_t);
const char *replica_proof_name(enum replica_proof);
void replica_step_order(struct replica_step *, unsigned, enum order_kind);
bool replica_order_due(const struct replica_member *, enum order_kind, uint64_t,
    uint64_t);

/* replica-dissolve.c: how a replica is dissolved. */
void replica_dissolve_step(struct replica *, uint64_t, uint64_t,
    struct replica_step *);

/* replica-inherit.c: replicas of another placer, and their records. */
void replica_inherit(struct replica *, uint64_t, bool);
void replica_adopt(struct replica *, uint64_t, bool);
bool replica_settle(struct replica *, uint64_t);
bool replica_record_outdated(const struct replica *);

/* replica-member.c: state of one member. */
bool replica_member_released(const struct replica_member *);
bool replica_member_queried(const struct replica *, unsigned);
bool replica_head_released(const struct replica_member *);
uint64_t replica_head_leaves_from(const struct replica_member *);
void replica_member_set_answer(const struct replica *, struct replica_member *,
    const struct endpoint_report *, uint64_t);
void replica_member_set_report(const struct replica *, struct replica_member *,
    const struct endpoint_report *, uint64_t);
void replica_member_set_unheard(struct replica_member *, uint64_t);
void replica_member_refresh(const struct replica *, struct replica_member *,
    const struct endpoint *, const struct replica_reach *, uint64_t);

#endif
