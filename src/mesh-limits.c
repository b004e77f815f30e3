/*
 * Exchange of the request rate limits that endpoints name for all daemons
 * together.
 */
#include <math.h>

#include "event-log.h"
#include "mesh.h"

/* A change is sent in every datagram for this long, so that some may be lost. A
 * daemon that starts is sent all limits for as long. */
#define CHANGE_SEND_MS 600
/* Unchanged limits are repeated at this interval, up to this many at a time, in
 * rotation. */
#define REPEAT_INTERVAL_MS 1000
#define REPEAT_MAX 16
/* The removal of a limit is repeated for this long. */
#define REMOVAL_SEND_MS 10000
/* A daemon reports a limit to its relay for this long after the endpoint named
 * it to the daemon itself. */
#define DIRECT_REPORT_MS 2000
#define MILLI 1000.0
#define MICRO 1e6

/* Whether a datagram of a kind may carry the limit of an endpoint. */
static bool
limit_sendable(const struct mesh *mesh, const struct endpoint *ep,
    enum mesh_kind kind)
{
	const struct endpoint_limit *limit = &ep->limit;
	uint64_t now = mesh->now_ms;

	if (kind == MESH_REPORT)
		return (limit->heard_ms != 0 &&
		    now - limit->heard_ms < DIRECT_REPORT_MS);
	/* That an endpoint is cold is in its entry; its cell needs the shares.
	 */
	if (kind == MESH_FLEET_SUMMARY && endpoint_limit_cold(limit, now))
		return (true);
	return (limit->named ||
	    (limit->as_of_ms != 0 && now - limit->as_of_ms < REMOVAL_SEND_MS));
}

/* Adds an endpoint's limit, or its removal, to a datagram. */
static void
limit_fill(const struct mesh *mesh, const struct endpoint *ep,
    struct mesh_message *msg)
{
	const struct endpoint_limit *limit = &ep->limit;
	struct mesh_limit *item = &msg->limits[msg->n_limits++];

	item->id_hash = ep->id_hash;
	item->milli_per_s = limit->named ?
	    (uint32_t)lround(limit->per_s * MILLI) :
	    MESH_NO_LIMIT;
	item->age_ms =
	    (uint32_t)MIN(mesh->now_ms - limit->as_of_ms, UINT32_MAX);
	item->users = limit->cell_users;
	item->each_micro_per_s =
	    (uint32_t)MIN(lround(limit->cell_each_per_s * MICRO), UINT32_MAX);
}

/* Adds the limits that changed recently, or all of them. */
static void
fill_changed(const struct mesh *mesh, struct mesh_message *msg, bool all)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (msg->n_limits == MESH_LIMITS_MAX)
			return;
		if (limit_sendable(mesh, ep, msg->kind) &&
		    (all ||
			mesh->now_ms - ep->limit.changed_ms < CHANGE_SEND_MS))
			limit_fill(mesh, ep, msg);
	}
}

/* Adds the next few of the unchanged limits. */
static void
fill_repeated(struct mesh *mesh, struct mesh_message *msg)
{
	unsigned *next = &mesh->limits_next[msg->kind];
	unsigned max = MIN(msg->n_limits + REPEAT_MAX, MESH_LIMITS_MAX);
	const struct endpoint *ep;
	unsigned index = 0;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (!limit_sendable(mesh, ep, msg->kind))
			continue;
		if (msg->n_limits == max)
			return;
		if (index++ < *next ||
		    mesh->now_ms - ep->limit.changed_ms < CHANGE_SEND_MS)
			continue;
		limit_fill(mesh, ep, msg);
		*next = index;
	}
	*next = 0;
}

/**
 * mesh_fill_limits() - add limits to a datagram.
 * @mesh: the mesh
 * @msg: the datagram; its kind is set
 */
void
mesh_fill_limits(struct mesh *mesh, struct mesh_message *msg)
{
	uint64_t *sent_ms = &mesh->limits_sent_ms[msg->kind];
	bool all = mesh->newcomer_ms != 0 &&
	    mesh->now_ms - mesh->newcomer_ms < CHANGE_SEND_MS;

	fill_changed(mesh, msg, all);
	if (all ||
	    (*sent_ms != 0 && mesh->now_ms - *sent_ms < REPEAT_INTERVAL_MS))
		return;
	*sent_ms = mesh->now_ms;
	fill_repeated(mesh, msg);
}

/* Merges a received limit; returns whether it changed what is known here. */
static bool
apply_limit(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_limit *item)
{
	uint64_t now = mesh->now_ms;
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, item->id_hash);
	bool removed = item->milli_per_s == MESH_NO_LIMIT;

	if (ep == NULL)
		return (false);
	if (peer == mesh->relay) {
		ep->limit.cell_users = item->users;
		ep->limit.cell_each_per_s = item->each_micro_per_s / MICRO;
	}
	if (!endpoint_limit_merge(&ep->limit,
		removed ? INFINITY : item->milli_per_s / MILLI,
		now - MIN(item->age_ms, now - 1), now))
		return (false);
	event_log(LOG_INFO, "endpoint_limit_told",
	    "endpoint=%s started_ms=%lld per_s=%.3f lifted=%d peer=%s "
	    "age_ms=%u",
	    ep->report.id, (long long)ep->report.started_ms, ep->limit.per_s,
	    removed, peer->name, item->age_ms);
	return (true);
}

/**
 * mesh_apply_limits() - merge the limits of a received datagram.
 * @mesh: the mesh
 * @peer: its sender
 * @msg: the datagram
 */
void
mesh_apply_limits(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	bool changed = false;

	for (uint32_t i = 0; i < msg->n_limits; i++)
		changed |= apply_limit(mesh, peer, &msg->limits[i]);
	if (msg->n_limits > 0)
		mesh_share_limits(mesh);
	/* A relay forwards changes at once. */
	if (changed && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}
