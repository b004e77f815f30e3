/*
 * Limits that endpoints name for all daemons together: who is told of them, and
 * what is taken from others' words.
 */
#include <math.h>

#include "event-log.h"
#include "mesh.h"

/* What is new is told in every datagram for so long, so that some may be lost,
 * and to a daemon that starts all is. */
#define NEWS_MS 600
/* Some of the rest are told this often, in turn. */
#define AGAIN_MS 1000
#define AGAIN_MOST 16
/* The end of a limit is told again for so long. */
#define LIFTED_TOLD_MS 10000
/* A daemon tells its relay of what endpoints told itself within this. */
#define HEARD_MS 2000
#define MILLI 1000.0
#define MICRO 1e6

/* Whether a datagram of a kind may tell of an endpoint's limit. */
static bool
limit_told(const struct mesh *mesh, const struct endpoint *ep,
    enum mesh_kind kind)
{
	const struct endpoint_limit *limit = &ep->limit;
	uint64_t now = mesh->now_ms;

	if (kind == MESH_REPORT)
		return (
		    limit->heard_ms != 0 && now - limit->heard_ms < HEARD_MS);
	return (limit->active ||
	    (limit->as_of_ms != 0 && now - limit->as_of_ms < LIFTED_TOLD_MS));
}

static void
limit_fill(const struct mesh *mesh, const struct endpoint *ep,
    struct mesh_message *news)
{
	const struct endpoint_limit *limit = &ep->limit;
	struct mesh_limit *told = &news->limits[news->n_limits++];

	told->id_hash = ep->id_hash;
	told->milli_per_s = limit->active ?
	    (uint32_t)lround(limit->per_s * MILLI) :
	    MESH_NO_LIMIT;
	told->age_ms =
	    (uint32_t)MIN(mesh->now_ms - limit->as_of_ms, UINT32_MAX);
	told->users = limit->cell_users;
	told->each_micro_per_s =
	    (uint32_t)MIN(lround(limit->cell_each_per_s * MICRO), UINT32_MAX);
}

/* Tells of what changed lately, or of all. */
static void
fill_news(const struct mesh *mesh, struct mesh_message *news, bool all)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (news->n_limits == MESH_LIMITS_MAX)
			return;
		if (limit_told(mesh, ep, news->kind) &&
		    (all || mesh->now_ms - ep->limit.changed_ms < NEWS_MS))
			limit_fill(mesh, ep, news);
	}
}

/* Tells of some of the others, in turn. */
static void
fill_again(struct mesh *mesh, struct mesh_message *news)
{
	unsigned *next = &mesh->limits_next[news->kind];
	unsigned most = MIN(news->n_limits + AGAIN_MOST, MESH_LIMITS_MAX);
	const struct endpoint *ep;
	unsigned at = 0;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (!limit_told(mesh, ep, news->kind))
			continue;
		if (news->n_limits == most)
			return;
		if (at++ < *next ||
		    mesh->now_ms - ep->limit.changed_ms < NEWS_MS)
			continue;
		limit_fill(mesh, ep, news);
		*next = at;
	}
	*next = 0;
}

/**
 * mesh_fill_limits() - the limits that a datagram tells of.
 * @mesh: the mesh
 * @news: the datagram; its kind is set
 */
void
mesh_fill_limits(struct mesh *mesh, struct mesh_message *news)
{
	uint64_t *told_ms = &mesh->limits_sent_ms[news->kind];
	bool all = mesh->newcomer_ms != 0 &&
	    mesh->now_ms - mesh->newcomer_ms < NEWS_MS;

	fill_news(mesh, news, all);
	if (all || (*told_ms != 0 && mesh->now_ms - *told_ms < AGAIN_MS))
		return;
	*told_ms = mesh->now_ms;
	fill_again(mesh, news);
}

/* Takes what a datagram tells of one limit; true where it is news. */
static bool
take_limit(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_limit *told)
{
	uint64_t now = mesh->now_ms;
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, told->id_hash);
	bool none = told->milli_per_s == MESH_NO_LIMIT;

	if (ep == NULL)
		return (false);
	if (peer == mesh->relay) {
		ep->limit.cell_users = told->users;
		ep->limit.cell_each_per_s = told->each_micro_per_s / MICRO;
	}
	if (!endpoint_limit_merge(&ep->limit,
		none ? INFINITY : told->milli_per_s / MILLI,
		now - MIN(told->age_ms, now - 1), now))
		return (false);
	event_log(LOG_INFO, "endpoint_limit_told",
	    "endpoint=%s started_ms=%lld per_s=%.3f lifted=%d peer=%s "
	    "age_ms=%u",
	    ep->report.id, (long long)ep->report.started_ms, ep->limit.per_s,
	    none, peer->name, told->age_ms);
	return (true);
}

/**
 * mesh_apply_limits() - take in what a datagram tells of limits.
 * @mesh: the mesh
 * @peer: its sender
 * @news: the datagram
 */
void
mesh_apply_limits(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *news)
{
	bool fresh = false;

	for (uint32_t i = 0; i < news->n_limits; i++)
		fresh |= take_limit(mesh, peer, &news->limits[i]);
	if (news->n_limits > 0)
		mesh_share_limits(mesh);
	/* A relay tells news on at once. */
	if (fresh && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}
