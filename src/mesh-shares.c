/*
 * Shares of the limits that endpoints name for all daemons together. No
 * function here does I/O.
 *
 * Endpoints may name a limit of few requests per second to many daemons. Equal
 * shares would give each daemon one request in minutes, and allow as many at
 * once as there are daemons. A few daemons therefore share the whole limit.
 * Their number depends on the limit; they are taken from the failure domains in
 * turn and chosen by a hash, so that all daemons with the same view agree on
 * them. A part of the fleet that knows of fewer daemons than were recently
 * alive uses only its part of the limit.
 */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "mesh.h"

/* The peak of live daemons covers the current window of this length and the one
 * before: longer than typical partitions. The shares of daemons that are gone
 * for good stay unused for as long. */
#define PEAK_WINDOW_MS 300000
/* A number of live daemons counts towards the peak once it has been reported
 * for this long. */
#define STEADY_MS 3000
/* A daemon that starts knows its relay, or is one, within SETTLE_MS; by
 * STARTUP_MS it has heard of all others. */
#define SETTLE_MS 1500
#define STARTUP_MS 5000
/* A daemon that takes over a share waits for this long: by then the previous
 * owner has heard of the change. */
#define TAKE_OVER_MS 2000
/* The part of a limit that follows demand where one daemon has all of it. */
#define MOVED_MAX 0.8
/* Failure domains that daemons are counted by. */
#define CELLS_MAX 64

/**
 * struct limit_cell - the daemons of one failure domain.
 * @domain: name of the failure domain
 * @n_alive: number of live daemons
 * @order: order among the failure domains for one endpoint
 * @users: number of them that may use that endpoint
 */
struct limit_cell {
	const char *domain;
	unsigned n_alive;
	uint32_t order;
	unsigned users;
};

/**
 * struct limit_view - the live daemons, as this daemon knows them.
 * @cells: by failure domain; this daemon's own first
 * @n_cells: number of @cells
 * @n_alive: number of live daemons
 * @alive_ratio: that number as a fraction of the recent peak
 * @others: hashes of the names of the other members of this daemon's cell
 * @n_others: number of @others
 */
struct limit_view {
	struct limit_cell cells[CELLS_MAX];
	unsigned n_cells;
	unsigned n_alive;
	double alive_ratio;
	uint32_t others[MESH_MEMBERS_MAX];
	unsigned n_others;
};

/* Pseudorandom order of a pair of hashes; the lowest comes first. */
static uint32_t
pair_order(uint32_t a, uint32_t b)
{
	const uint32_t pair[] = { a, b };

	return (XXH32(pair, sizeof pair, 0));
}

/* Adds live daemons of a failure domain to the view. */
static void
view_add(struct limit_view *view, const char *domain, unsigned n_alive)
{
	struct limit_cell *cell = NULL;

	view->n_alive += n_alive;
	for (unsigned i = 0; i < view->n_cells && cell == NULL; i++) {
		if (strcmp(view->cells[i].domain, domain) == 0)
			cell = &view->cells[i];
	}
	if (cell == NULL && view->n_cells < CELLS_MAX) {
		cell = &view->cells[view->n_cells++];
		cell->domain = domain;
		cell->n_alive = 0;
	}
	if (cell != NULL)
		cell->n_alive += n_alive;
}

/* Fills in the other members of this daemon's cell, as its relay knows or lists
 * them. */
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

/* Peak of the recent numbers of live daemons. A number counts only if it held
 * for a while: when a relay replaces another, some daemons are briefly counted
 * twice. */
static unsigned
peak_update(struct mesh *mesh, unsigned n_alive)
{
	unsigned steady = 0;

	mesh->alive_min = MIN(mesh->alive_min, n_alive);
	if (mesh->now_ms - mesh->alive_since_ms >= STEADY_MS) {
		steady = mesh->alive_min;
		mesh->alive_min = n_alive;
		mesh->alive_since_ms = mesh->now_ms;
	}
	return (fwd_daemon_peak_update(&mesh->alive_peak, steady,
	    PEAK_WINDOW_MS, mesh->now_ms));
}

/* Live daemons as a fraction of the recent peak. */
static double
view_alive_ratio(struct mesh *mesh, unsigned n_alive)
{
	unsigned peak = peak_update(mesh, n_alive);

	/* A daemon that has just started uses the records until it has heard of
	 * all. */
	if (mesh->now_ms - mesh->opened_ms < STARTUP_MS)
		peak = MAX(peak, 1 + mesh->n_others);
	return ((double)n_alive / MAX(peak, n_alive));
}

/* Fills in the live daemons of all failure domains, as heard or reported. */
static void
view_fill(struct mesh *mesh, struct limit_view *view)
{
	const struct mesh_peer *peer;

	view_fill_others(mesh, view);
	view->n_cells = view->n_alive = 0;
	view_add(view, mesh->domain, 1);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_reports(mesh, peer))
			view_add(view, mesh->domain, 1);
		else if (!mesh_peer_in_cell(mesh, peer) &&
		    mesh_peer_is_relay(mesh, peer))
			view_add(view, peer->domain, MAX(peer->n_alive, 1));
	}
	view->alive_ratio = view_alive_ratio(mesh,
	    mesh->relay == NULL ? view->n_alive : 1 + mesh->n_others);
}

/* Finds the cell that gets the next user of an endpoint; NULL if all its
 * daemons are users already. */
static struct limit_cell *
cells_next(struct limit_view *view)
{
	struct limit_cell *next = NULL;

	for (unsigned i = 0; i < view->n_cells; i++) {
		struct limit_cell *cell = &view->cells[i];

		if (cell->users == cell->n_alive)
			continue;
		if (next == NULL || cell->users < next->users ||
		    (cell->users == next->users && cell->order < next->order))
			next = cell;
	}
	return (next);
}

/* Distributes the users of an endpoint among the cells in turn. */
static unsigned
cells_share(struct limit_view *view, uint32_t id_hash, unsigned users)
{
	struct limit_cell *next;
	unsigned given = 0;

	for (unsigned i = 0; i < view->n_cells; i++) {
		struct limit_cell *cell = &view->cells[i];

		cell->order =
		    pair_order(XXH32(cell->domain, strlen(cell->domain), 0),
			id_hash);
		cell->users = 0;
	}
	while (given < users && (next = cells_next(view)) != NULL) {
		next->users++;
		given++;
	}
	return (given);
}

/* Decides, as a relay, how many daemons of the cell may use an endpoint, and at
 * what rate. */
static void
limit_decide(struct limit_view *view, struct endpoint *ep, uint64_t now_ms)
{
	struct endpoint_limit *limit = &ep->limit;
	double rate = endpoint_limit_rate(limit, now_ms);
	double max_users =
	    floor(endpoint_limit_max_users(limit, now_ms) * view->alive_ratio);
	unsigned users = cells_share(view, ep->id_hash,
	    (unsigned)CLAMP(max_users, 1, (double)view->n_alive));
	double each = rate * view->alive_ratio / users;

	if (limit->cell_users == view->cells[0].users &&
	    limit->cell_each_per_s == each)
		return;
	limit->cell_users = view->cells[0].users;
	limit->cell_each_per_s = each;
	limit->changed_ms = now_ms;
}

/* Number of other members of the cell that come before this daemon for an
 * endpoint. */
static unsigned
others_before(const struct mesh *mesh, const struct limit_view *view,
    uint32_t id_hash)
{
	uint32_t own = pair_order(mesh->name_hash, id_hash);
	unsigned before = 0;

	for (unsigned i = 0; i < view->n_others; i++)
		before += pair_order(view->others[i], id_hash) < own;
	return (before);
}

/* Whether all daemons are only now learning of a limit, so that no other daemon
 * may still use a share that this one gets. */
static bool
limit_is_new(const struct mesh *mesh, const struct endpoint_limit *limit)
{
	return (mesh->now_ms - limit->since_ms < TAKE_OVER_MS &&
	    mesh->now_ms - mesh->opened_ms >= STARTUP_MS);
}

/* This daemon's share of the limit of one endpoint. Where one daemon has most
 * of the demand, most of the limit follows it, whether it is a user or not. */
static double
limit_share(const struct mesh *mesh, const struct limit_view *view,
    const struct endpoint *ep)
{
	const struct endpoint_limit *limit = &ep->limit;
	bool user = others_before(mesh, view, ep->id_hash) < limit->cell_users;
	double share = user ? limit->cell_each_per_s : 0;
	struct mesh_busiest busiest;
	double moved;

	if (!mesh_busiest(mesh, ep, &busiest))
		return (share);
	moved = MOVED_MAX * busiest.part;
	share *= 1 - moved;
	if (busiest.self)
		share += moved * view->alive_ratio *
		    endpoint_limit_rate(limit, mesh->now_ms);
	return (share);
}

/* Updates this daemon's share of the limit of one endpoint. */
static void
limit_update_share(struct mesh *mesh, struct limit_view *view,
    struct endpoint *ep)
{
	const struct endpoint_limit *limit = &ep->limit;
	double share = 0;

	if (mesh->relay == NULL && mesh->now_ms - mesh->opened_ms >= SETTLE_MS)
		limit_decide(view, ep, mesh->now_ms);
	if (mesh->records_read_ms != 0 ||
	    mesh->now_ms - mesh->opened_ms >= STARTUP_MS)
		share = limit_share(mesh, view, ep);
	/* Starts with a fraction of a permit that depends on the names, so that
	 * not all send at once. */
	if (limit->share_per_s == 0 && share > 0)
		endpoint_limit_init_permits(&ep->limit,
		    pair_order(mesh->name_hash, ep->id_hash) /
			(UINT32_MAX + 1.0),
		    mesh->now_ms +
			(limit_is_new(mesh, limit) ? 0 : TAKE_OVER_MS));
	endpoint_limit_set_share(&ep->limit, share, mesh->now_ms);
}

/**
 * mesh_share_limits() - compute this daemon's share of each limit.
 * @mesh: the mesh
 */
void
mesh_share_limits(struct mesh *mesh)
{
	static struct limit_view view;
	struct endpoint *ep;

	view_fill(mesh, &view);
	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (endpoint_limit_active(&ep->limit, mesh->now_ms))
			limit_update_share(mesh, &view, ep);
	}
}

/**
 * mesh_limit_changed() - handle a change of a limit, as told by the endpoint.
 * @mesh: the mesh
 * @ep: the endpoint
 */
void
mesh_limit_changed(struct mesh *mesh, struct endpoint *ep)
{
	ep->limit.changed_ms = mesh->now_ms;
	mesh_share_limits(mesh);
}
