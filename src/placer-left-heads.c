/* Heads that were left behind, of which the other daemons are warned. Pure. */
#include <string.h>

#include "event-log.h"
#include "mesh-message.h"
#include "placer-left-heads.h"

/* Heads that are kept, so that a datagram has room for other warnings. */
#define LEFT_HEADS_MAX (MESH_AVOID_MAX / 2)
/* Time between two warnings of a head: several are sent while one is in force,
 * as they may be lost or late. */
#define WARN_AGAIN_MS 400
/* How long a head gets no requests after a warning of it, as at the daemons
 * that are warned. */
#define AVOID_MS 1500
/* A head that was suspended when its member left may be broken later than that
 * by this time, and its entry says so later. */
#define BROKEN_LATE_MS 1000

/**
 * left_heads_init() - begin with no heads.
 * @heads: the heads
 */
void
left_heads_init(struct left_heads *heads)
{
	TAILQ_INIT(&heads->list);
	heads->n = 0;
}

/* Removes a head. */
static void
left_head_remove(struct left_heads *heads, struct left_head *head)
{
	TAILQ_REMOVE(&heads->list, head, entry);
	heads->n--;
	g_free(head->id);
	g_free(head);
}

/**
 * left_heads_clear() - remove all heads.
 * @heads: the heads
 */
void
left_heads_clear(struct left_heads *heads)
{
	struct left_head *head, *next;

	for (head = TAILQ_FIRST(&heads->list); head != NULL; head = next) {
		next = TAILQ_NEXT(head, entry);
		left_head_remove(heads, head);
	}
}

/* Finds a head, or NULL. */
static struct left_head *
left_heads_find(const struct left_heads *heads, const char *id)
{
	struct left_head *head;

	TAILQ_FOREACH(head, &heads->list, entry) {
		if (strcmp(head->id, id) == 0)
			return (head);
	}
	return (NULL);
}

/* Whether the head of a replica is left behind: members have left while it
 * can't be reached, or nothing is known of its members. */
static bool
replica_leaves_head(const struct replica *r)
{
	return (r->dissolve_reason != NULL &&
	    (r->member_left_ms != 0 || r->adopted));
}

/* Whether an endpoint still seems to be the head that serves in a group. */
static bool
endpoint_seems_open(const struct endpoint *ep, int64_t epoch)
{
	return (ep != NULL && !ep->gone && ep->report.group != NULL &&
	    ep->report.epoch == epoch && ep->report.state == GROUP_OPEN);
}

/* Adds a head. */
static struct left_head *
left_heads_add(struct left_heads *heads, const struct replica *r)
{
	struct left_head *head = g_new0(struct left_head, 1);

	head->id = g_strdup(r->members[0].id);
	TAILQ_INSERT_TAIL(&heads->list, head, entry);
	heads->n++;
	event_log(LOG_INFO, "head_left_behind", "group=%s epoch=%lld head=%s",
	    r->name, (long long)r->epoch, head->id);
	return (head);
}

/**
 * left_heads_note() - note the head of a replica if it is left behind and seems
 * to serve.
 * @heads: the heads
 * @r: the replica
 * @fleet: the endpoints
 * @now_ms: loop time
 * @stall_ms: time after which the platform breaks a group that makes no
 *	progress, in ms
 *
 * If there are too many heads, it is not noted; it may be later.
 */
void
left_heads_note(struct left_heads *heads, const struct replica *r,
    const struct fleet *fleet, uint64_t now_ms, uint64_t stall_ms)
{
	const char *id = r->members[0].id;
	uint64_t since = r->member_left_ms != 0 ? r->member_left_ms : now_ms;
	uint64_t until = since + stall_ms + BROKEN_LATE_MS;
	struct left_head *head;

	if (!replica_leaves_head(r) || now_ms >= until ||
	    !endpoint_seems_open(fleet_find(fleet, id), r->epoch))
		return;
	head = left_heads_find(heads, id);
	if (head == NULL && heads->n < LEFT_HEADS_MAX)
		head = left_heads_add(heads, r);
	if (head == NULL)
		return;
	head->epoch = r->epoch;
	head->until_ms = until;
}

/**
 * endpoint_warn_of_head() - have all daemons avoid a head for a while.
 * @ep: the head
 * @now_ms: loop time
 * @avoid_ms: time for which it gets no requests from this daemon, in ms
 *
 * The warning goes into the datagrams of the next few rounds.
 */
void
endpoint_warn_of_head(struct endpoint *ep, uint64_t now_ms, uint64_t avoid_ms)
{
	ep->warned_ms = now_ms;
	ep->cooldown_until_ms = MAX(ep->cooldown_until_ms, now_ms + avoid_ms);
}

/**
 * left_heads_update() - repeat the warnings that are due, and remove the heads
 * that are known not to serve any more.
 * @heads: the heads
 * @fleet: the endpoints
 * @now_ms: loop time
 */
void
left_heads_update(struct left_heads *heads, const struct fleet *fleet,
    uint64_t now_ms)
{
	struct left_head *head, *next;

	for (head = TAILQ_FIRST(&heads->list); head != NULL; head = next) {
		struct endpoint *ep = fleet_find(fleet, head->id);

		next = TAILQ_NEXT(head, entry);
		if (now_ms >= head->until_ms ||
		    !endpoint_seems_open(ep, head->epoch))
			left_head_remove(heads, head);
		else if (now_ms - MIN(ep->warned_ms, now_ms) >= WARN_AGAIN_MS)
			endpoint_warn_of_head(ep, now_ms, AVOID_MS);
	}
}
