/* Handling of datagrams received from other daemons. */
#include <string.h>

#include "event-log.h"
#include "mesh.h"
#include "net-address.h"

/* A relay that has fallen silent is not reported to again for this long because
 * of what others say: by then they have noticed it too. */
#define SILENT_RELAY_MS (MESH_RELAY_TIMEOUT_MS + MESH_RELAY_TIMEOUT_MS / 2)
/* How long a warning of an endpoint is in force. */
#define AVOID_MS 1500
/* Datagrams of a relay that may be missing before another relay of its cell
 * replaces it. */
#define OLD_RELAY_GAPS 2
/* A daemon knows the size of the fleet this long after its start, after several
 * datagrams of relays. */
#define STARTUP_MS 5000
/* A warning that returns within this time to the daemon that issued it is not a
 * new one. */
#define AVOID_ECHO_MS 300

/*
 * Returns when this daemon sent the datagram whose ping a peer returns; 0 if
 * the peer returns none. A ping of an earlier run is ignored: the host may have
 * rebooted since, so that its clock then says nothing about its clock now.
 */
static uint64_t
pong_sent_ms(const struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	uint64_t sent_ms = msg->pong - mesh->incarnation;

	if (msg->pong == 0)
		return (0);
	if (sent_ms >= mesh->opened_ms && sent_ms <= mesh->now_ms)
		return (sent_ms);
	event_log(LOG_INFO, "pong_ignored", "peer=%s reason=earlier_run",
	    peer->name);
	return (0);
}

/*
 * Time as of which a peer's configuration was the newest. The peer answered a
 * message that left here at @sent_ms, so its proof is at least as recent as
 * that time less the age that it states; the transit time of the answer can
 * only make it more recent.
 */
static uint64_t
proof_ms(const struct mesh_message *msg, uint64_t sent_ms)
{
	if (sent_ms == 0 || msg->config_age_ms == MESH_NEVER ||
	    msg->config_age_ms >= sent_ms)
		return (0);
	return (sent_ms - msg->config_age_ms);
}

/*
 * Adopts a peer's proof that its configuration was the newest at some time. It
 * holds for the same or a newer version here as well: no change made until then
 * is missing.
 */
static void
apply_proof(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct registry *registry = mesh->registry;

	if (registry->catalog == NULL || peer->config_proof_ms == 0 ||
	    peer->config_version > registry->catalog->version)
		return;
	registry_note_proof(registry, peer->config_proof_ms, mesh->now_ms);
	topic_follower_set_updated(&registry->config, peer->config_proof_ms);
}

/* Stops new requests to an endpoint that a peer warns of; returns whether the
 * warning is new. */
static bool
apply_avoid(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_avoid *avoid)
{
	uint64_t now = mesh->now_ms, at = now - MIN(avoid->age_ms, now);
	struct endpoint *ep =
	    fleet_find_by_hash(&mesh->registry->fleet, avoid->id_hash);
	bool first;

	if (ep == NULL || at <= ep->avoided_ms ||
	    (ep->warned_ms != 0 && at <= ep->warned_ms + AVOID_ECHO_MS))
		return (false);
	first = ep->avoided_ms == 0 || now - ep->avoided_ms >= AVOID_MS;
	ep->avoided_ms = at;
	ep->cooldown_until_ms = MAX(ep->cooldown_until_ms, at + AVOID_MS);
	if (!first)
		return (false);
	event_log(LOG_INFO, "endpoint_avoided", "endpoint=%s peer=%s age_ms=%u",
	    ep->report.id, peer->name, avoid->age_ms);
	if (mesh->avoided != NULL)
		mesh->avoided(mesh->avoided_arg, ep);
	return (true);
}

/* Applies all warnings; a relay forwards new ones at once. */
static void
apply_avoids(struct mesh *mesh, const struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	bool changed = false;

	for (uint32_t i = 0; i < msg->n_avoid; i++)
		changed |= apply_avoid(mesh, peer, &msg->avoid[i]);
	if (changed && mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}

/* Puts a peer's evacuations in force if they are newer; a relay forwards them
 * at once. */
static void
apply_evacuations(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	peer->evacuations_as_of = msg->evacuations.as_of;
	if (registry_apply_evacuations(mesh->registry, &msg->evacuations) &&
	    mesh->relay == NULL && !mesh_flat(mesh))
		mesh_send(mesh);
}

/* Names this daemon's relay, if it is heard, to a peer that took this daemon
 * for a relay. */
static void
redirect(struct mesh *mesh, struct mesh_peer *peer)
{
	if (mesh_relay_alive(mesh) && mesh->relay != peer)
		mesh_send_to(mesh, peer, MESH_REDIRECT);
}

/* Records a report, and adds its loads if this daemon is a relay. */
static void
apply_report(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	bool known = mesh_peer_reports(mesh, peer);

	/* Soon after the start, a daemon that reports here knows more of the
	 * size of the fleet. */
	if (mesh->now_ms - mesh->opened_ms < STARTUP_MS &&
	    strcmp(peer->domain, mesh->domain) == 0)
		mesh->cells_heard_ms = mesh->now_ms;
	peer->last_report_ms = mesh->now_ms;
	if (mesh->relay != NULL) {
		redirect(mesh, peer);
		return;
	}
	if (!known && mesh_peer_in_cell(mesh, peer))
		event_log(LOG_INFO, "peer_reports", "peer=%s incarnation=%llx",
		    peer->name, (unsigned long long)msg->incarnation);
	mesh_add_loads(mesh, peer, msg, mesh_peer_in_cell(mesh, peer));
	/* A daemon that has just started waits for the state known here. */
	if (!known && mesh_peer_in_cell(mesh, peer))
		mesh_send_to(mesh, peer, MESH_FLEET_SUMMARY);
}

/* Adds the relay that a peer names, so that it is sent to; the peer itself is
 * no relay. */
static void
apply_redirect(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_address *relay)
{
	struct sockaddr_in addr = net_address_make(relay->ip, relay->port);
	struct mesh_peer *named = mesh_find(mesh, relay->name);

	peer->relay_heard_ms = 0;
	if (relay->name[0] == '\0' || strcmp(relay->name, mesh->name) == 0)
		return;
	/* The silence of this cell's relay outweighs a peer that has not
	 * noticed it yet. */
	if (named != NULL && mesh_peer_in_cell(mesh, named) &&
	    named->relay_heard_ms != 0 &&
	    mesh->now_ms - named->relay_heard_ms < SILENT_RELAY_MS)
		return;
	named =
	    mesh_add(mesh, relay->name, peer->domain, relay->capacity, &addr);
	if (named == NULL)
		return;
	named->redirected_ms = mesh->now_ms;
	named->trial_ms = 0;
}

/* Drops the former relays of a cell that has a new one, unless they are still
 * sending, and the sums of this daemon's own former relay, now that those of
 * other cells arrive: loads would be counted twice. */
static void
drop_old_relays(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct mesh_peer *other;

	TAILQ_FOREACH(other, &mesh->peers, entry) {
		double silent_ms =
		    (double)(mesh->now_ms - other->relay_heard_ms);

		if (mesh_peer_in_cell(mesh, other) && !other->loads_in_cell)
			mesh_remove_loads(mesh, other);
		if (other == peer || other->relay_heard_ms == 0 ||
		    strcmp(other->domain, peer->domain) != 0 ||
		    silent_ms <=
			OLD_RELAY_GAPS * other->relay_gap_ms + MESH_ROUND_MS)
			continue;
		other->relay_heard_ms = 0;
		mesh_remove_loads(mesh, other);
	}
}

/* Adds the loads of another cell, if this daemon is a relay. */
static void
apply_cell_summary(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	mesh_peer_note_relay(mesh, peer);
	if (mesh->relay != NULL) {
		redirect(mesh, peer);
		return;
	}
	if (!mesh_flat(mesh))
		drop_old_relays(mesh, peer);
	mesh_add_loads(mesh, peer, msg, false);
}

/* Records which members of the cell are alive, and which can serve the newest
 * configuration. */
static void
record_members(struct mesh *mesh, const struct mesh_message *msg)
{
	for (uint32_t i = 0; i < msg->n_members; i++) {
		struct mesh_peer *peer =
		    mesh_find_by_hash(mesh, msg->members[i].name_hash);

		if (peer == NULL)
			continue;
		peer->listed_ms = mesh->now_ms;
		peer->config_current = msg->members[i].config_current;
	}
}

/* Adds the members that may replace the relay, and the relays of other cells.
 */
static void
add_addresses(struct mesh *mesh, const struct mesh_message *msg)
{
	for (uint32_t i = 0; i < msg->n_addresses; i++) {
		const struct mesh_address *told = &msg->addresses[i];
		struct sockaddr_in addr =
		    net_address_make(told->ip, told->port);
		struct mesh_peer *peer;

		peer = mesh_add(mesh, told->name, told->domain, told->capacity,
		    &addr);
		if (peer != NULL)
			peer->listed_ms = mesh->now_ms;
	}
}

/* Records the other members of the cell. */
static void
record_cell_hashes(struct mesh *mesh, const struct mesh_peer *relay,
    const struct mesh_message *msg)
{
	mesh->n_cell_hashes = 0;
	mesh->cell_hashes[mesh->n_cell_hashes++] = relay->name_hash;
	for (uint32_t i = 0;
	     i < msg->n_members && mesh->n_cell_hashes < MESH_MEMBERS_MAX;
	     i++) {
		if (msg->members[i].name_hash != mesh->name_hash)
			mesh->cell_hashes[mesh->n_cell_hashes++] =
			    msg->members[i].name_hash;
	}
}

/* Records the members of the cell and, from this daemon's relay, the loads
 * of all daemons. */
static void
apply_fleet_summary(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	const struct mesh_report *report = mesh_acked_report(mesh, msg);

	if (strcmp(peer->domain, mesh->domain) != 0)
		return;
	mesh->cells_heard_ms = mesh->now_ms;
	mesh_peer_note_relay(mesh, peer);
	add_addresses(mesh, msg);
	record_members(mesh, msg);
	if (report != NULL)
		peer->config_proof_ms = proof_ms(msg, report->sent_ms);
	if (peer != mesh->relay) {
		/* Two relays of a cell that don't know each other learn of
		 * each other by its members. */
		if (mesh->relay != NULL &&
		    mesh_peer_outranks(mesh->relay, peer))
			redirect(mesh, peer);
		return;
	}
	if (!msg->partial)
		record_cell_hashes(mesh, peer, msg);
	mesh_set_fleet_loads(mesh, peer, msg);
}

/* Logs a restart of a peer, and changes of its lease and its shutdown state. */
static void
log_change(const struct mesh_peer *peer, const struct mesh_message *msg)
{
	if (peer->incarnation == msg->incarnation &&
	    peer->self.placer == msg->self.placer &&
	    peer->self.draining == msg->self.draining)
		return;
	event_log(LOG_INFO, "peer_changed",
	    "peer=%s incarnation=%llx placer=%d term=%lld leaving=%d store_ok=%d",
	    peer->name, (unsigned long long)msg->incarnation, msg->self.placer,
	    (long long)msg->self.term, msg->self.draining, msg->self.store_ok);
}

/* Records what a peer reports about itself. */
static void
record_self(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	log_change(peer, msg);
	if (peer->incarnation != msg->incarnation)
		mesh->newcomer_ms = mesh->now_ms;
	peer->incarnation = msg->incarnation;
	peer->sequence = msg->sequence;
	peer->ping = msg->ping;
	peer->self = msg->self;
	peer->n_alive = msg->n_alive;
	peer->config_version = msg->config_version;
	peer->config_offset = msg->config_offset;
	peer->config_proof_ms = proof_ms(msg, pong_sent_ms(mesh, peer, msg));
	peer->heard_ms = mesh->now_ms;
	mesh->self.term = MAX(mesh->self.term, msg->self.term);
	mesh_update_holder(mesh, msg);
}

/* Applies the parts of a datagram that depend on its kind. */
static void
apply_kind(struct mesh *mesh, struct mesh_peer *peer,
    const struct mesh_message *msg)
{
	switch (msg->kind) {
	case MESH_REPORT:
		apply_report(mesh, peer, msg);
		break;
	case MESH_REDIRECT:
		apply_redirect(mesh, peer, &msg->relay);
		break;
	case MESH_CELL_SUMMARY:
		apply_cell_summary(mesh, peer, msg);
		break;
	case MESH_FLEET_SUMMARY:
		apply_fleet_summary(mesh, peer, msg);
		break;
	}
}

/**
 * mesh_receive() - handle a received datagram.
 * @mesh: the mesh
 * @in: the datagram
 * @length: its length
 * @from: its sender's address
 */
void
mesh_receive(struct mesh *mesh, char *in, size_t length,
    const struct sockaddr_in *from)
{
	static struct mesh_message msg;
	struct mesh_peer *peer;

	struct sockaddr_in origin = *from;
	uint32_t ack = 0;

	if (mesh_unwrap(mesh, &in, &length, &origin, &ack) &&
	    !net_address_equal(from, &origin))
		mesh_repair_note_hop(mesh, from);
	if (mesh_receive_entries(mesh, in, length, &origin))
		return;
	if (!mesh_message_decode(&msg, in, length)) {
		event_log(LOG_WARNING, "peer_message_ignored",
		    "bytes=%zu reason=format", length);
		return;
	}
	msg.ack = ack;
	peer = mesh_add(mesh, msg.name, msg.domain, msg.capacity, &origin);
	/* Datagrams may be reordered or duplicated. */
	if (peer == NULL ||
	    (peer->incarnation == msg.incarnation &&
		msg.sequence <= peer->sequence))
		return;
	outage_note_heard(&mesh->registry->outage, mesh->now_ms);
	record_self(mesh, peer, &msg);
	apply_kind(mesh, peer, &msg);
	apply_evacuations(mesh, peer, &msg);
	apply_proof(mesh, peer);
	mesh_fetch_config(mesh, peer);
	apply_avoids(mesh, peer, &msg);
	mesh_apply_limits(mesh, peer, &msg);
	mesh_apply_poison(mesh, peer, &msg);
	mesh_fetch_entries(mesh, peer, msg.entries_end);
	mesh_feed_note_end(mesh, peer, msg.entries_end);
}
