/* The others' work, counted at the endpoints. */
#include <string.h>

#include "mesh.h"

/**
 * mesh_remove_loads() - take a daemon's work out of the endpoints' sums.
 * @mesh: the mesh
 * @peer: the daemon
 */
void
mesh_remove_loads(struct mesh *mesh, struct mesh_peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(peer->loads, struct mesh_load, i);
		struct endpoint *ep =
		    fleet_find_by_hash(&mesh->registry->fleet, load->id_hash);

		if (ep == NULL)
			continue;
		ep->peer_inflight -= MIN(ep->peer_inflight, load->inflight);
		ep->peer_pending = MAX(ep->peer_pending - load->pending, 0);
		if (!peer->loads_in_cell)
			continue;
		ep->cell_inflight -= MIN(ep->cell_inflight, load->inflight);
		ep->cell_pending = MAX(ep->cell_pending - load->pending, 0);
	}
	g_array_set_size(peer->loads, 0);
}

static void
count_one(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_load *load)
{
	uint64_t now = mesh->now_ms;
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, load->id_hash);

	if (ep == NULL)
		return;
	ep->peer_inflight += load->inflight;
	ep->peer_pending += load->pending;
	if (peer->loads_in_cell) {
		ep->cell_inflight += load->inflight;
		ep->cell_pending += load->pending;
	}
	if (load->idle_ms < now && load->idle_ms < MESH_IDLE_MAX_MS)
		ep->peer_heard_ms = MAX(ep->peer_heard_ms, now - load->idle_ms);
	g_array_append_vals(peer->loads, load, 1);
}

/**
 * mesh_add_loads() - put a daemon's work into the endpoints' sums.
 * @mesh: the mesh
 * @peer: the daemon
 * @news: its datagram
 * @cell: it reports to this daemon
 */
void
mesh_add_loads(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news, bool cell)
{
	mesh_remove_loads(mesh, peer);
	peer->loads_in_cell = cell;
	peer->loads_ms = mesh->now_ms;
	for (uint32_t i = 0; i < news->n_loads; i++)
		count_one(mesh, peer, &news->loads[i]);
}

/* The own part of a sum at one endpoint. */
static const struct mesh_load *
report_load(const struct mesh_report *told, uint32_t key)
{
	for (guint i = 0; told != NULL && i < told->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(told->loads, struct mesh_load, i);

		if (load->id_hash == key)
			return (load);
	}
	return (NULL);
}

/**
 * mesh_set_fleet_loads() - take the sum of all daemons' work, less the own.
 * @mesh: the mesh
 * @peer: the relay
 * @news: its datagram
 */
void
mesh_set_fleet_loads(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *news)
{
	const struct mesh_report *told = mesh_acked_report(mesh, news);
	struct mesh_peer *other;

	/* What an earlier relay said stands until the new one speaks. */
	TAILQ_FOREACH(other, &mesh->peers, entry)
		mesh_remove_loads(mesh, other);
	peer->loads_in_cell = false;
	peer->loads_ms = mesh->now_ms;
	for (uint32_t i = 0; i < news->n_loads; i++) {
		struct mesh_load load = news->loads[i];
		const struct mesh_load *own = report_load(told, load.id_hash);

		if (own != NULL) {
			load.inflight -= MIN(load.inflight, own->inflight);
			load.pending -= MIN(load.pending, own->pending);
		}
		count_one(mesh, peer, &load);
	}
}

/* What a datagram of a kind says of an endpoint. */
static void
load_of(const struct mesh *mesh, const struct endpoint *ep, enum mesh_kind kind,
    struct mesh_load *load)
{
	uint64_t heard = ep->heard_ms;
	double reading = ep->pending;

	load->id_hash = ep->id_hash;
	load->inflight = ep->inflight;
	if (kind == MESH_CELL_SUMMARY) {
		load->inflight += ep->cell_inflight;
		reading += ep->cell_pending;
	} else if (kind == MESH_FLEET_SUMMARY) {
		load->inflight += ep->peer_inflight;
		reading += ep->peer_pending;
	}
	/* Ages are of the same moment wherever they are told. */
	if (kind != MESH_REPORT)
		heard = MAX(heard, ep->peer_heard_ms);
	load->pending = (uint32_t)CLAMP(reading, 0, MESH_PENDING_MAX);
	load->idle_ms = heard != 0 ?
	    (uint32_t)MIN(mesh->now_ms - MIN(heard, mesh->now_ms),
		MESH_IDLE_MAX_MS) :
	    MESH_IDLE_MAX_MS;
}

/**
 * mesh_fill_loads() - the work that a datagram tells of.
 * @mesh: the mesh
 * @news: the datagram; its kind says whose work
 */
void
mesh_fill_loads(const struct mesh *mesh, struct mesh_message *news)
{
	const struct endpoint *ep;

	news->n_loads = 0;
	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		struct mesh_load *load = &news->loads[news->n_loads];

		if (news->n_loads == MESH_LOADS_MAX)
			return;
		load_of(mesh, ep, news->kind, load);
		news->n_loads += load->inflight > 0;
	}
}

/**
 * mesh_save_report() - remember a report, for the sum that it will be part of.
 * @mesh: the mesh
 * @news: the report
 */
void
mesh_save_report(struct mesh *mesh, const struct mesh_message *news)
{
	struct mesh_report *told =
	    &mesh->reports[news->sequence % MESH_REPORTS_MAX];

	told->sequence = news->sequence;
	told->sent_ms = news->ping;
	g_array_set_size(told->loads, 0);
	g_array_append_vals(told->loads, news->loads, news->n_loads);
}

/**
 * mesh_acked_report() - the own report that a relay had last.
 * @mesh: the mesh
 * @news: the relay's datagram
 *
 * Return: the report, or NULL.
 */
const struct mesh_report *
mesh_acked_report(const struct mesh *mesh, const struct mesh_message *news)
{
	for (uint32_t i = 0; i < news->n_members; i++) {
		const struct mesh_member *member = &news->members[i];
		const struct mesh_report *told =
		    &mesh->reports[member->sequence % MESH_REPORTS_MAX];

		if (member->name_hash != mesh->name_hash)
			continue;
		return ((uint16_t)told->sequence == member->sequence &&
			    told->sequence != 0 ?
			told :
			NULL);
	}
	return (NULL);
}
