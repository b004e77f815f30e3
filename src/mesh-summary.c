/* What a relay tells its cell: the sums of all daemons' loads, who is alive,
 * and what a member needs to replace it. */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* One in this many summaries of a large cell is whole; the others have the
 * loads of endpoints in this failure domain only, which are preferred. */
#define WHOLE_ONE_IN 4
/* One in this many summaries has the addresses that members need to replace the
 * relay, as have those sent this long after a daemon started. */
#define ADDRESSES_ONE_IN 10
#define NEWCOMER_MS 600
/* One in this many summaries also goes to daemons that are not known to be
 * alive. */
#define PROBE_ONE_IN 20
/* Weight of the newest summary in the average length, in a large cell. */
#define LENGTH_ALPHA 0.25

/* Adds the daemons that report to this one. */
static void
fill_members(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		struct mesh_member *member = &msg->members[msg->n_members];

		if (msg->n_members == MESH_MEMBERS_MAX)
			return;
		if (!mesh_peer_reports(mesh, peer))
			continue;
		member->name_hash = peer->name_hash;
		member->config_current =
		    peer->config_version >= msg->config_version;
		msg->n_members++;
	}
}

/**
 * mesh_fill_address() - fill in the address of a daemon.
 * @peer: the daemon
 * @address: filled in, but for the failure domain
 */
void
mesh_fill_address(const struct mesh_peer *peer, struct mesh_address *address)
{
	g_strlcpy(address->name, peer->name, sizeof address->name);
	address->ip = peer->addr.sin_addr.s_addr;
	address->port = ntohs(peer->addr.sin_port);
	address->capacity = peer->capacity;
}

/* Adds the address of a daemon to a datagram. */
static void
address_add(const struct mesh_peer *peer, struct mesh_message *msg)
{
	struct mesh_address *address = &msg->addresses[msg->n_addresses];

	if (msg->n_addresses == MESH_ADDRESSES_MAX)
		return;
	mesh_fill_address(peer, address);
	g_strlcpy(address->domain, peer->domain, sizeof address->domain);
	msg->n_addresses++;
}

/* Adds the members that are preferred to become the relay. */
static void
fill_candidates(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct mesh_peer *best[MESH_CANDIDATES_MAX + 1], *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		unsigned at = n;

		if (!mesh_peer_reports(mesh, peer) || peer->self.draining)
			continue;
		for (; at > 0 && mesh_peer_outranks(peer, best[at - 1]); at--)
			best[at] = best[at - 1];
		best[at] = peer;
		n = MIN(n + 1, MESH_CANDIDATES_MAX);
	}
	for (unsigned i = 0; i < n; i++)
		address_add(best[i], msg);
}

/* Adds what a member needs to become the relay, from time to time and while
 * daemons start. */
static void
fill_addresses(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct mesh_peer *peer;
	bool newcomer = mesh->newcomer_ms != 0 &&
	    mesh->now_ms - mesh->newcomer_ms < NEWCOMER_MS;

	if (!newcomer && mesh->n_sent % ADDRESSES_ONE_IN != 0)
		return;
	fill_candidates(mesh, msg);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (!mesh_peer_in_cell(mesh, peer) &&
		    mesh_peer_is_relay(mesh, peer))
			address_add(peer, msg);
	}
}

/**
 * mesh_fill_summary() - add to a fleet summary what only it has.
 * @mesh: the mesh
 * @msg: the summary; @msg->partial is set
 */
void
mesh_fill_summary(const struct mesh *mesh, struct mesh_message *msg)
{
	if (!msg->partial)
		fill_members(mesh, msg);
	fill_addresses(mesh, msg);
}

/* Whether a daemon of this cell that does not report here is sent to. */
static bool
stranger_due(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_in_cell(mesh, peer) &&
	    !mesh_peer_reports(mesh, peer) &&
	    (mesh_peer_maybe_alive(mesh, peer) ||
		mesh_peer_is_relay(mesh, peer) ||
		mesh->n_sent % PROBE_ONE_IN == 0));
}

/* Whether all members of the cell understand sums. */
static bool
members_take_sums(const struct mesh *mesh)
{
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_reports(mesh, peer) && !peer->self.sums)
			return (false);
	}
	return (true);
}

/**
 * mesh_send_summary() - send the fleet summary to the cell; all members receive
 * the same.
 * @mesh: the mesh
 *
 * Return: average length of the newest summaries, in bytes.
 */
size_t
mesh_send_summary(struct mesh *mesh)
{
	static struct mesh_message msg;
	static char out[MESH_DATAGRAM_MAX];
	bool large = mesh_spread_large(mesh);
	struct mesh_peer *peer;
	size_t length;

	mesh_message_init(&msg);
	msg.partial = large && mesh->n_sent % WHOLE_ONE_IN != 0;
	mesh_fill_message(mesh, MESH_FLEET_SUMMARY, &msg);
	msg.with_sums = members_take_sums(mesh);
	length = mesh_message_encode(&msg, out, sizeof out);
	if (length == 0) {
		event_log(LOG_WARNING, "message_not_sent",
		    "loads=%u members=%u", msg.n_loads, msg.n_members);
		return (0);
	}
	mesh_spread(mesh, NULL, out, length);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (stranger_due(mesh, peer))
			mesh_spread_to(mesh, peer, out, length);
	}
	mesh->summary_bytes +=
	    (large ? LENGTH_ALPHA : 1) * ((double)length - mesh->summary_bytes);
	return ((size_t)mesh->summary_bytes);
}
