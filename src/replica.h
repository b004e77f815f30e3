/* A replica: the record of a group of hosts, and what to do next for it. */
#ifndef BL_REPLICA_H
#define BL_REPLICA_H

#include <sys/queue.h>

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "registry-fleet.h"
#include "order-ops.h"

/* Most hosts of a replica. */
#define REPLICA_SIZE_MAX 64

/* An order without an answer, or without its effect, is given again after
 * this; well above the time of an answer, well below that of a load. */
#define REPLICA_ORDER_RETRY_MS 1200
/* A join that was taken shows in the host's report within this. */
#define REPLICA_JOIN_RETRY_MS 3000
/* A group that is not whole after this is given up; twice the longest load
 * with others beside it. */
#define REPLICA_FORM_TIMEOUT_MS 60000
/* Time that a leaving member's group may take to finish its work: the
 * platform keeps the member as long, with a margin. */
#define REPLICA_LEAVE_DRAIN_MS 8000
/* Time that a replica may take whose hosts another needs. Its streams can go
 * on elsewhere, and a large replica that is missing costs more. */
#define REPLICA_DONOR_DRAIN_MS 700
/* Time that a replica may take that is not missed: its streams end first. */
#define REPLICA_SURPLUS_DRAIN_MS 3000
/* An order that had no answer is carried out within this, if at all: endpoints
 * were seen to take 2 to 12 s. */
#define REPLICA_LATE_ORDER_MS 12500
/* Orders go out only while the placer's lease was checked this lately; one that
 * has been outdone may give some for as long. */
#define REPLICA_LEASE_FRESH_MS 1500
/* What is reported this long after a change is newer than it: well above the
 * lag of reports. */
#define REPLICA_REPORT_LAG_MS 1000
/* A replica that is dissolved within this ends soon: about as long as another
 * takes to donate hosts in its place. */
#define REPLICA_ENDS_SOON_MS 1000
/* Between the warning that a head is closed and the order: the time that the
 * warning takes to the other daemons. */
#define REPLICA_CLOSE_NOTICE_MS 150

/**
 * enum member_liveness - what is known of a member.
 * @MEMBER_ALIVE: it writes to the store
 * @MEMBER_DRAINING: it will leave
 * @MEMBER_LAPSED: its entry is gone; it may still serve and answer
 * @MEMBER_SILENT: it does not answer either; it may still serve others
 * @MEMBER_DEAD: its incarnation has ended
 */
enum member_liveness {
	MEMBER_ALIVE,
	MEMBER_DRAINING,
	MEMBER_LAPSED,
	MEMBER_SILENT,
	MEMBER_DEAD,
};

/**
 * struct replica_member - one host of a group.
 * @id: of its incarnation
 * @address: where it takes orders
 * @liveness: what is known of it
 * @in_group: it reports this group and epoch
 * @in_newer_group: it reports a higher epoch
 * @state: of the group, as it reports it
 * @ordered_ms: when the last order was sent to it; 0 for never
 * @last_order: that order
 * @order_pending: an order is on its way
 * @left: it said that it is not, or no longer, in this group
 * @joined: its entry named the group, or an order to join that named it was
 *	answered
 * @unverified: what is known of it was told by whoever has its address, before
 *	it had @joined; that may be another incarnation, since a question does
 *	not name whom it is meant for
 * @join_fenced: it refused to join for a newer epoch that it has seen
 * @left_ms: when it last said so
 * @late_join_until_ms: until when an order to join may be carried out yet: it
 *had no answer, or another placer may have given it; 0 for none
 * @was_in_newer_group: it has reported a newer epoch, so it can't come back
 * @last_report_ms: loop time of its newest report, by its entry or directly
 * @suspect_ms: an order to it had no answer then; 0 for never
 * @asked_ms: when it was last asked directly
 * @silent_since_ms: since when it has not answered; 0 while it does
 * @ask_pending: a question is on its way
 * @address_reused: another incarnation has its address
 * @unanswered_ms: when an order to it last ended without an answer; 0 for never
 * @unanswered_order: that order; it may be carried out yet
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
	uint64_t late_join_until_ms;
	bool was_in_newer_group;
	uint64_t last_report_ms;
	uint64_t suspect_ms;
	uint64_t asked_ms;
	uint64_t silent_since_ms;
	bool ask_pending;
	bool address_reused;
	uint64_t unanswered_ms;
	enum order_kind unanswered_order;
};

/**
 * struct replica - one group.
 * @name: unique for ever
 * @service: of its hosts
 * @model: what it serves
 * @epoch: grows with each group
 * @known_ms: loop time at which this daemon first knew of it
 * @recorded: its record is in the store
 * @settled: its record says that it has served and that no order to join it is
 *	in doubt; nobody is told to join it again
 * @dissolve_reason: why it is being dissolved; NULL while it is wanted
 * @dissolving_ms: since when
 * @drain_ms: how long it may finish its work first; 0 to end at once
 * @open_ordered: its head may have been told to open
 * @opened: it was seen to serve
 * @head_closed: the head took the order to serve no more
 * @member_left_ms: since when a member has left a head that can't be reached
 * @donor: its hosts are wanted by another
 * @adopted: found serving without a record; it is dissolved
 * @suspect_ms: its streams fell silent then; 0 for never
 * @n: hosts
 * @members: the head first
 * @entry: in the keeper's list
 */
struct replica {
	char *name;
	char *service;
	char *model;
	int64_t epoch;
	uint64_t known_ms;
	bool recorded;
	bool settled;
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
 * @REPLICA_WAIT: wait
 * @REPLICA_ORDER: give an order to a member
 * @REPLICA_ASK: ask a member directly
 * @REPLICA_DISSOLVED: no host of it serves; its hosts are free
 */
enum replica_action {
	REPLICA_WAIT,
	REPLICA_ORDER,
	REPLICA_ASK,
	REPLICA_DISSOLVED,
};

/**
 * enum replica_proof - why no host of a dissolved group can serve in it.
 * @PROOF_NEVER_OPENED: nobody told the head to open
 * @PROOF_HEAD_LEFT: the head has left the group and can't come back
 * @PROOF_MEMBERS_LEFT: all others have left and can't come back
 * @PROOF_HEAD_IN_NEWER_GROUP: the head is in a newer group
 * @PROOF_HEAD_DEAD: the head's incarnation has ended
 * @PROOF_STALLED: a member left so long ago that the head must be broken,
 *	whatever order it carried out since
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
 * struct replica_step - the next step.
 * @action: what to do
 * @member: index of the member
 * @order: REPLICA_ORDER: which
 * @proof: REPLICA_GONE: why the hosts are free
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
void replica_inherit(struct replica *, uint64_t);
bool replica_can_settle(const struct replica *, uint64_t);
bool replica_ends_soon(const struct replica *, uint64_t);
const char *replica_proof_name(enum replica_proof);

/* replica-member.c: what is known of one member. */
bool replica_member_released(const struct replica_member *);
void replica_member_set_answer(const struct replica *, struct replica_member *,
    const struct endpoint_report *, uint64_t);
void replica_member_set_report(const struct replica *, struct replica_member *,
    const struct endpoint_report *, uint64_t);
void replica_member_refresh(const struct replica *, struct replica_member *,
    const struct endpoint *, uint64_t);

#endif
