/* The others' work, counted at the endpoints. */
#include <string.h>

#include "mesh.h"

/**
 * mesh_uncount() - take a daemon's work out of the endpoints' sums.
 * @mesh: the mesh
 * @peer: the daemon
 */
void
mesh_uncount(struct mesh *mesh, struct mesh_peer *peer)
{
	for (guint i = 0; i < peer->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(peer->loads, struct mesh_load, i);
		struct endpoint *ep =
		    fleet_find_by_hash(&mesh->registry->fleet, load->key);

		if (ep == NULL)
			continue;
		ep->peer_inflight -= MIN(ep->peer_inflight, load->inflight);
		ep->peer_pending = MAX(ep->peer_pending - load->reading, 0);
		if (!peer->loads_cell)
			continue;
		ep->cell_inflight -= MIN(ep->cell_inflight, load->inflight);
		ep->cell_pending = MAX(ep->cell_pending - load->reading, 0);
	}
	g_array_set_size(peer->loads, 0);
}

static void
count_one(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_load *load)
{
	uint64_t now = mesh->now_ms;
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, load->key);

	if (ep == NULL)
		return;
	ep->peer_inflight += load->inflight;
	ep->peer_pending += load->reading;
	if (peer->loads_cell) {
		ep->cell_inflight += load->inflight;
		ep->cell_pending += load->reading;
	}
	if (load->heard_ms < now && load->heard_ms < MESH_HEARD_MAX_MS)
		ep->peer_heard_ms =
		    MAX(ep->peer_heard_ms, now - load->heard_ms);
	g_array_append_vals(peer->loads, load, 1);
}

/**
 * mesh_count() - put a daemon's work into the endpoints' sums.
 * @mesh: the mesh
 * @peer: the daemon
 * @news: its datagram
 * @cell: it reports to this daemon
 */
void
mesh_count(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_news *news, bool cell)
{
	mesh_uncount(mesh, peer);
	peer->loads_cell = cell;
	peer->loads_ms = mesh->now_ms;
	for (uint32_t i = 0; i < news->n_loads; i++)
		count_one(mesh, peer, &news->loads[i]);
}

/* The own part of a sum at one endpoint. */
static const struct mesh_load *
report_load(const struct mesh_told *told, uint32_t key)
{
	for (guint i = 0; told != NULL && i < told->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(told->loads, struct mesh_load, i);

		if (load->key == key)
			return (load);
	}
	return (NULL);
}

/**
 * mesh_count_fleet() - take the sum of all daemons' work, less the own.
 * @mesh: the mesh
 * @peer: the relay
 * @news: its datagram
 */
void
mesh_count_fleet(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_news *news)
{
	const struct mesh_told *told = mesh_answered_report(mesh, news);
	struct mesh_peer *other;

	/* What an earlier relay said stands until the new one speaks. */
	TAILQ_FOREACH(other, &mesh->peers, entry)
		mesh_uncount(mesh, other);
	peer->loads_cell = false;
	peer->loads_ms = mesh->now_ms;
	for (uint32_t i = 0; i < news->n_loads; i++) {
		struct mesh_load load = news->loads[i];
		const struct mesh_load *own = report_load(told, load.key);

		if (own != NULL) {
			load.inflight -= MIN(load.inflight, own->inflight);
			load.reading -= MIN(load.reading, own->reading);
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

	load->key = ep->id_hash;
	load->inflight = ep->inflight;
	if (kind == MESH_CELL) {
		load->inflight += ep->cell_inflight;
		reading += ep->cell_pending;
	} else if (kind == MESH_FLEET) {
		load->inflight += ep->peer_inflight;
		reading += ep->peer_pending;
	}
	/* Ages are of the same moment wherever they are told. */
	if (kind != MESH_REPORT)
		heard = MAX(heard, ep->peer_heard_ms);
	load->reading = (uint32_t)CLAMP(reading, 0, MESH_READING_MAX);
	load->heard_ms = heard != 0 ?
	    (uint32_t)MIN(mesh->now_ms - MIN(heard, mesh->now_ms),
		MESH_HEARD_MAX_MS) :
	    MESH_HEARD_MAX_MS;
}

/**
 * mesh_fill_loads() - the work that a datagram tells of.
 * @mesh: the mesh
 * @news: the datagram; its kind says whose work
 */
void
mesh_fill_loads(const struct mesh *mesh, struct mesh_news *news)
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
 * mesh_keep_report() - remember a report, for the sum that it will be part of.
 * @mesh: the mesh
 * @news: the report
 */
void
mesh_keep_report(struct mesh *mesh, const struct mesh_news *news)
{
	struct mesh_told *told = &mesh->reports[news->sequence % MESH_REPORTS];

	told->sequence = news->sequence;
	told->sent_ms = news->ping;
	g_array_set_size(told->loads, 0);
	g_array_append_vals(told->loads, news->loads, news->n_loads);
}

/**
 * mesh_answered_report() - the own report that a relay had last.
 * @mesh: the mesh
 * @news: the relay's datagram
 *
 * Return: the report, or NULL.
 */
const struct mesh_told *
mesh_answered_report(const struct mesh *mesh, const struct mesh_news *news)
{
	for (uint32_t i = 0; i < news->n_members; i++) {
		const struct mesh_member *member = &news->members[i];
		const struct mesh_told *told =
		    &mesh->reports[member->sequence % MESH_REPORTS];

		if (member->key != mesh->key)
			continue;
		return ((uint16_t)told->sequence == member->sequence &&
			    told->sequence != 0 ?
			told :
			NULL);
	}
	return (NULL);
}
