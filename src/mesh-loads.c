/* Other daemons' loads, summed per endpoint. */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/**
 * mesh_remove_loads() - subtract a daemon's loads from the endpoints' sums.
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
	mesh_remove_sums(peer);
}

/* Whether an endpoint is in this daemon's failure domain. */
static bool
in_domain(const struct mesh *mesh, const struct endpoint *ep)
{
	return (g_strcmp0(ep->report.domain, mesh->domain) == 0);
}

/* Adds one load of a daemon to the endpoint's sums. */
static void
add_load(struct mesh *mesh, struct mesh_peer *peer,
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

/* Notes that loads were heard from a daemon. Most of what it knows of others
 * was measured up to a round before. */
static void
note_loads(struct mesh *mesh, struct mesh_peer *peer)
{
	peer->loads_ms = mesh->now_ms;
	mesh->registry->loads_as_of_ms =
	    mesh->now_ms - MIN(mesh->now_ms, MESH_ROUND_MS);
}

/**
 * mesh_add_loads() - replace a daemon's loads in the endpoints' sums.
 * @mesh: the mesh
 * @peer: the daemon
 * @msg: its datagram
 * @cell: it reports to this daemon
 */
void
mesh_add_loads(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg, bool cell)
{
	mesh_remove_loads(mesh, peer);
	peer->loads_in_cell = cell;
	note_loads(mesh, peer);
	for (uint32_t i = 0; i < msg->n_loads; i++)
		add_load(mesh, peer, &msg->loads[i]);
	mesh_set_sums(peer, msg);
}

/* Subtracts a daemon's loads at the endpoints of this failure domain. */
static void
remove_domain_loads(struct mesh *mesh, struct mesh_peer *peer)
{
	g_autoptr(GArray) kept =
	    g_array_new(FALSE, FALSE, sizeof(struct mesh_load));

	for (guint i = 0; i < peer->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(peer->loads, struct mesh_load, i);
		const struct endpoint *ep =
		    fleet_find_by_hash(&mesh->registry->fleet, load->id_hash);

		if (ep != NULL && !in_domain(mesh, ep))
			g_array_append_vals(kept, load, 1);
	}
	mesh_remove_loads(mesh, peer);
	for (guint i = 0; i < kept->len; i++)
		add_load(mesh, peer, &g_array_index(kept, struct mesh_load, i));
}

/* Finds the load at one endpoint in a report of this daemon. */
static const struct mesh_load *
find_load(const struct mesh_report *report, uint32_t id_hash)
{
	for (guint i = 0; report != NULL && i < report->loads->len; i++) {
		const struct mesh_load *load =
		    &g_array_index(report->loads, struct mesh_load, i);

		if (load->id_hash == id_hash)
			return (load);
	}
	return (NULL);
}

/**
 * mesh_set_fleet_loads() - take the loads of all daemons from a relay's fleet
 * summary.
 * @mesh: the mesh
 * @peer: the relay
 * @msg: its datagram
 *
 * The loads that this daemon reported to the relay itself are subtracted.
 */
void
mesh_set_fleet_loads(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	const struct mesh_report *report = mesh_acked_report(mesh, msg);
	struct mesh_peer *other;

	/* Loads from an earlier relay are kept until the new one is heard. */
	TAILQ_FOREACH(other, &mesh->peers, entry) {
		if (other != peer || !msg->partial)
			mesh_remove_loads(mesh, other);
	}
	if (msg->partial)
		remove_domain_loads(mesh, peer);
	peer->loads_in_cell = false;
	note_loads(mesh, peer);
	for (uint32_t i = 0; i < msg->n_loads; i++) {
		struct mesh_load load = msg->loads[i];
		const struct mesh_load *own = find_load(report, load.id_hash);

		if (own != NULL) {
			load.inflight -= MIN(load.inflight, own->inflight);
			load.pending -= MIN(load.pending, own->pending);
		}
		add_load(mesh, peer, &load);
	}
	mesh_set_sums(peer, msg);
}

/* Fills in the load of an endpoint for a datagram of a kind. */
static void
fill_load(const struct mesh *mesh, const struct endpoint *ep,
    enum mesh_kind kind, struct mesh_load *load)
{
	uint64_t heard = ep->heard_ms;
	double pending = ep->pending;

	load->id_hash = ep->id_hash;
	load->inflight = ep->inflight;
	if (kind == MESH_CELL_SUMMARY) {
		load->inflight += ep->cell_inflight;
		pending += ep->cell_pending;
	} else if (kind == MESH_FLEET_SUMMARY) {
		load->inflight += ep->peer_inflight;
		pending += ep->peer_pending;
	}
	/* The time since the endpoint was heard refers to the same moment in
	 * whichever datagram it is sent. */
	if (kind != MESH_REPORT)
		heard = MAX(heard, ep->peer_heard_ms);
	load->pending = (uint32_t)CLAMP(pending, 0, MESH_PENDING_MAX);
	load->idle_ms = heard != 0 ?
	    (uint32_t)MIN(mesh->now_ms - MIN(heard, mesh->now_ms),
		MESH_IDLE_MAX_MS) :
	    MESH_IDLE_MAX_MS;
}

/**
 * mesh_fill_loads() - add loads to a datagram.
 * @mesh: the mesh
 * @msg: the datagram; its kind determines which daemons' loads are added
 */
void
mesh_fill_loads(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct endpoint *ep;

	msg->n_loads = 0;
	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		struct mesh_load *load = &msg->loads[msg->n_loads];

		if (msg->partial && !in_domain(mesh, ep))
			continue;
		if (msg->n_loads == MESH_LOADS_MAX) {
			event_log(LOG_WARNING, "loads_cut", "max=%u",
			    MESH_LOADS_MAX);
			return;
		}
		fill_load(mesh, ep, msg->kind, load);
		msg->n_loads += load->inflight > 0;
	}
}

/**
 * mesh_save_report() - save a report, to subtract its loads from the summary
 * that will include them.
 * @mesh: the mesh
 * @msg: the report
 */
void
mesh_save_report(struct mesh *mesh, const struct mesh_message *msg)
{
	struct mesh_report *report =
	    &mesh->reports[msg->sequence % MESH_REPORTS_MAX];

	report->sequence = msg->sequence;
	report->sent_ms = mesh->now_ms;
	g_array_set_size(report->loads, 0);
	g_array_append_vals(report->loads, msg->loads, msg->n_loads);
}

/**
 * mesh_acked_report() - find the newest report of this daemon that a relay had
 * received when it sent a datagram.
 * @mesh: the mesh
 * @msg: the relay's datagram
 *
 * Return: the report, or NULL.
 */
const struct mesh_report *
mesh_acked_report(const struct mesh *mesh, const struct mesh_message *msg)
{
	uint16_t sequence = (uint16_t)msg->ack;
	const struct mesh_report *report =
	    &mesh->reports[sequence % MESH_REPORTS_MAX];

	if ((msg->ack & MESH_ACK_VALID) == 0 || report->sequence == 0 ||
	    (uint16_t)report->sequence != sequence)
		return (NULL);
	return (report);
}
