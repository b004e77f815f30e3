/*
 * Which daemon has what share of the limits that endpoints name for all daemons
 * together. Pure.
 *
 * Answers endpoints that name few requests a second before many daemons. Equal
 * shares of all would give each one request in minutes, and as many at once as
 * there are daemons. So a few daemons have all, a number that follows the
 * limit, taken from the failure domains in turn and drawn by hash, on which all
 * agree who know of the same daemons. A part of the fleet that knows of fewer
 * than lately lived takes its part of the limit, not the whole.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "mesh.h"

/* Users of an endpoint for each request a second of its limit, and besides.
 * Each may send one request at once, so in 4 s the sum is at most six times the
 * limit and this; endpoints bear six times the limit and five. */
#define USERS_PER_RATE 2.0
#define USERS_LEAST 3.0
/* Span in which the most daemons that lived count, and the one before: longer
 * than usual cuts. Shares of daemons that are gone for good are unused for so
 * long. */
#define LIVED_SPAN_MS 300000
/* A number of daemons that is told for so long is one that lived. */
#define STEADY_MS 3000
/* A daemon that starts knows its relay within this, or is one, and by the end
 * of the second span it has heard of all others. */
#define SETTLE_MS 1500
#define BEGIN_MS 5000
/* A daemon that takes a share over waits for so long: the one that had it has
 * heard by then that it is another's. */
#define TAKE_OVER_MS 2000
/* Failure domains that daemons are counted by. */
#define CELLS_MAX 64

/**
 * struct limit_cell - the daemons of a failure domain.
 * @domain: its name
 * @living: how many live
 * @place: among the domains, for one endpoint
 * @users: of them, that may use that endpoint
 */
struct limit_cell {
	const char *domain;
	unsigned living;
	uint32_t place;
	unsigned users;
};

/**
 * struct limit_view - the daemons that live, as this one knows.
 * @cells: by failure domain; the own one first
 * @n_cells: how many
 * @living: daemons in all
 * @part: of those that lived lately
 * @others: short names of the others of the own cell
 * @n_others: how many
 */
struct limit_view {
	struct limit_cell cells[CELLS_MAX];
	unsigned n_cells;
	unsigned living;
	double part;
	uint32_t others[MESH_MEMBERS_MAX];
	unsigned n_others;
};

/* A number for a pair of short names; the least comes first. */
static uint32_t
pair_place(uint32_t a, uint32_t b)
{
	const uint32_t pair[] = { a, b };

	return (XXH32(pair, sizeof pair, 0));
}

static void
view_add(struct limit_view *view, const char *domain, unsigned living)
{
	struct limit_cell *cell = NULL;

	view->living += living;
	for (unsigned i = 0; i < view->n_cells && cell == NULL; i++) {
		if (strcmp(view->cells[i].domain, domain) == 0)
			cell = &view->cells[i];
	}
	if (cell == NULL && view->n_cells < CELLS_MAX) {
		cell = &view->cells[view->n_cells++];
		cell->domain = domain;
		cell->living = 0;
	}
	if (cell != NULL)
		cell->living += living;
}

/* The others of the own cell, as its relay knows them or tells them. */
static void
view_fill_others(const struct mesh *mesh, struct limit_view *view)
{
	const struct mesh_peer *peer;

	view->n_others = 0;
	if (mesh->relay != NULL) {
		view->n_others = mesh->n_cell_hashes;
		memcpy(view->others, mesh->cell_hashes,
		    mesh->n_cell_hashes * sizeof mesh->cell_hashes[0]);
		return;
	}
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (strcmp(peer->domain, mesh->domain) == 0 &&
		    (mesh_peer_is_relay(mesh, peer) ||
			mesh_peer_reports(mesh, peer)) &&
		    view->n_others < MESH_MEMBERS_MAX)
			view->others[view->n_others++] = peer->name_hash;
	}
}

/* The most daemons that lived lately, each number for a while: where a relay
 * takes over from another, some are counted twice for a moment. */
static unsigned
lived_most(struct mesh *mesh, unsigned living)
{
	unsigned steady = 0;

	mesh->alive_min = MIN(mesh->alive_min, living);
	if (mesh->now_ms - mesh->alive_since_ms >= STEADY_MS) {
		steady = mesh->alive_min;
		mesh->alive_min = living;
		mesh->alive_since_ms = mesh->now_ms;
	}
	return (fwd_daemon_peak_update(&mesh->alive_peak, steady, LIVED_SPAN_MS,
	    mesh->now_ms));
}

/* Part of the daemons that lived lately which this one knows of now. */
static double
view_part(struct mesh *mesh, unsigned living)
{
	unsigned most = lived_most(mesh, living);

	/* One that starts goes by the records until it has heard of all. */
	if (mesh->now_ms - mesh->opened_ms < BEGIN_MS)
		most = MAX(most, 1 + mesh->n_others);
	return ((double)living / MAX(most, living));
}

static void
view_fill(struct mesh *mesh, struct limit_view *view)
{
	const struct mesh_peer *peer;

	view_fill_others(mesh, view);
	view->n_cells = view->living = 0;
	view_add(view, mesh->domain, 1);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_reports(mesh, peer))
			view_add(view, mesh->domain, 1);
		else if (!mesh_peer_in_cell(mesh, peer) &&
		    mesh_peer_is_relay(mesh, peer))
			view_add(view, peer->domain, MAX(peer->n_alive, 1));
	}
	view->part = view_part(mesh,
	    mesh->relay == NULL ? view->living : 1 + mesh->n_others);
}

/* The cell that gets the next user of an endpoint; NULL where all have one. */
static struct limit_cell *
cells_next(struct limit_view *view)
{
	struct limit_cell *next = NULL;

	for (unsigned i = 0; i < view->n_cells; i++) {
		struct limit_cell *cell = &view->cells[i];

		if (cell->users == cell->living)
			continue;
		if (next == NULL || cell->users < next->users ||
		    (cell->users == next->users && cell->place < next->place))
			next = cell;
	}
	return (next);
}

/* Gives the cells their numbers of users, one after the other in turn. */
static unsigned
cells_share(struct limit_view *view, uint32_t key, unsigned users)
{
	struct limit_cell *next;
	unsigned given = 0;

	for (unsigned i = 0; i < view->n_cells; i++) {
		struct limit_cell *cell = &view->cells[i];

		cell->place =
		    pair_place(XXH32(cell->domain, strlen(cell->domain), 0),
			key);
		cell->users = 0;
	}
	while (given < users && (next = cells_next(view)) != NULL) {
		next->users++;
		given++;
	}
	return (given);
}

/* How many of the own cell may use an endpoint, as a relay decides it. */
static void
limit_decide(struct limit_view *view, struct endpoint *ep, uint64_t now_ms)
{
	struct endpoint_limit *limit = &ep->limit;
	double rate = endpoint_limit_rate(limit);
	double most = floor((USERS_PER_RATE * rate + USERS_LEAST) * view->part);
	unsigned users = cells_share(view, ep->id_hash,
	    (unsigned)CLAMP(most, 1, (double)view->living));
	double each = rate * view->part / users;

	if (limit->cell_users == view->cells[0].users &&
	    limit->cell_each_per_s == each)
		return;
	limit->cell_users = view->cells[0].users;
	limit->cell_each_per_s = each;
	limit->changed_ms = now_ms;
}

/* Others of the own cell that come before this daemon for an endpoint. */
static unsigned
others_before(const struct mesh *mesh, const struct limit_view *view,
    uint32_t key)
{
	uint32_t own = pair_place(mesh->name_hash, key);
	unsigned before = 0;

	for (unsigned i = 0; i < view->n_others; i++)
		before += pair_place(view->others[i], key) < own;
	return (before);
}

/* Whether all daemons learn of a limit just now, so that no other may still use
 * a share that this one gets. */
static bool
limit_is_new(const struct mesh *mesh, const struct endpoint_limit *limit)
{
	return (mesh->now_ms - limit->since_ms < TAKE_OVER_MS &&
	    mesh->now_ms - mesh->opened_ms >= BEGIN_MS);
}

static void
limit_share(struct mesh *mesh, struct limit_view *view, struct endpoint *ep)
{
	const struct endpoint_limit *limit = &ep->limit;
	double share = 0;

	if (mesh->relay == NULL && mesh->now_ms - mesh->opened_ms >= SETTLE_MS)
		limit_decide(view, ep, mesh->now_ms);
	if (mesh->records_read_ms != 0 ||
	    mesh->now_ms - mesh->opened_ms >= BEGIN_MS)
		share =
		    others_before(mesh, view, ep->id_hash) < limit->cell_users ?
		    limit->cell_each_per_s :
		    0;
	/* A part of a turn by their names, so that not all send at once. */
	if (limit->share_per_s == 0 && share > 0)
		endpoint_limit_init_permits(&ep->limit,
		    pair_place(mesh->name_hash, ep->id_hash) /
			(UINT32_MAX + 1.0),
		    mesh->now_ms +
			(limit_is_new(mesh, limit) ? 0 : TAKE_OVER_MS));
	endpoint_limit_set_share(&ep->limit, share, mesh->now_ms);
}

/**
 * mesh_share_limits() - this daemon's share of each limit.
 * @mesh: the mesh
 */
void
mesh_share_limits(struct mesh *mesh)
{
	static struct limit_view view;
	struct endpoint *ep;

	view_fill(mesh, &view);
	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (ep->limit.active)
			limit_share(mesh, &view, ep);
	}
}

/**
 * mesh_limit_changed() - an endpoint told this daemon something new of its
 * limit.
 * @mesh: the mesh
 * @ep: the endpoint
 */
void
mesh_limit_changed(struct mesh *mesh, struct endpoint *ep)
{
	ep->limit.changed_ms = mesh->now_ms;
	mesh_share_limits(mesh);
}
