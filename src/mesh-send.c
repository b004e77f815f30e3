/*
 * Which state is sent to whom, and when.
 *
 * A daemon that reports sends one datagram per round while it has work. A relay
 * sends the sum of all loads to its cell, and the sum of its cell's loads to
 * each other relay, at an interval that bounds what each of them receives.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* Shortest interval between two datagrams of a relay; a load is older by this
 * much because of it. */
#define RELAY_MIN_MS 200
/* Longest interval: an older load says little about free capacity. */
#define RELAY_MAX_MS 500
/* Bytes per second that a daemon should receive from its relay: part of the 10
 * KB per second that control traffic may use, with room for its own reports. */
#define RELAY_BYTES_S 6000
/* Shortest interval between two rounds that urgent changes trigger. */
#define URGENT_MS 50
/* One in this many datagrams of a small fleet also goes to daemons that are not
 * known to be alive. */
#define PROBE_ONE_IN 20
/* One in this many also goes to cells whose relay is not known. */
#define SEEK_ONE_IN 2
/* A new relay looks for the relays of other cells each time it sends, for this
 * long. */
#define NEW_RELAY_MS 600
/* Failure domains that a relay distinguishes. */
#define CELLS_MAX 64
/* How long a warning of an endpoint is repeated: a few rounds. */
#define AVOID_SEND_MS 600
/* Adds the endpoints to avoid: those that this daemon warns of and, in a
 * summary, those that it was warned of. */
static void
fill_avoid(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		uint64_t at = ep->warned_ms;
		uint64_t age;

		if (msg->kind != MESH_REPORT)
			at = MAX(at, ep->avoided_ms);
		age = mesh->now_ms - MIN(at, mesh->now_ms);
		if (at == 0 || age >= AVOID_SEND_MS ||
		    msg->n_avoid == MESH_AVOID_MAX)
			continue;
		msg->avoid[msg->n_avoid].id_hash = ep->id_hash;
		msg->avoid[msg->n_avoid++].age_ms = (uint32_t)age;
	}
}

/* Fills in the holder of the placer's lease: this daemon, or the one that
 * was heard. */
static void
fill_placer(const struct mesh *mesh, struct mesh_placer *placer)
{
	const struct mesh_holder *holder = &mesh->holder;

	placer->name_hash = holder->name_hash;
	placer->term = holder->term;
	placer->can_place = holder->can_place;
	placer->age_ms = MESH_NEVER;
	if (holder->heard_ms != 0)
		placer->age_ms = (uint32_t)MIN(mesh->now_ms -
			MIN(holder->heard_ms, mesh->now_ms),
		    MESH_NEVER);
	if (!mesh->self.placer || mesh_lease_superseded(mesh))
		return;
	placer->name_hash = mesh->name_hash;
	placer->term = mesh->held_term;
	placer->can_place = mesh->self.store_ok && !mesh->self.draining;
	placer->age_ms = 0;
}

/* Number of live daemons that a datagram of a kind reports on. */
static uint32_t
count_reported(const struct mesh *mesh, enum mesh_kind kind)
{
	const struct mesh_peer *peer;
	uint32_t n = 1;

	if (kind == MESH_FLEET_SUMMARY)
		return (1 + mesh_count_alive(mesh));
	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += kind == MESH_CELL_SUMMARY && mesh_peer_reports(mesh, peer);
	return (n);
}

/* Fills in the versions of the configuration and of the entries that are
 * known here. */
static void
fill_config(const struct mesh *mesh, struct mesh_message *msg)
{
	const struct registry *registry = mesh->registry;
	/* A proof received from a peer counts like one obtained here, with the
	 * age that it has. */
	uint64_t age = registry_config_age(registry, mesh->now_ms);

	msg->config_version = -1;
	if (registry->catalog != NULL) {
		msg->config_version = registry->catalog->version;
		msg->config_offset = registry->catalog->offset;
	}
	msg->config_age_ms = (uint32_t)MIN(age, MESH_NEVER);
	/* Without a configuration all entries would be served instead of those
	 * of endpoints that serve: megabytes with thousands of hosts. */
	msg->entries_end =
	    registry->endpoints.synced && registry->catalog != NULL ?
	    registry->endpoints.next :
	    MESH_NO_ENTRIES;
}

/**
 * mesh_fill_message() - fill in a datagram, except for what differs by
 * receiver.
 * @mesh: the mesh
 * @kind: kind of the datagram
 * @msg: the datagram, empty; @msg->partial is set
 */
void
mesh_fill_message(struct mesh *mesh, enum mesh_kind kind,
    struct mesh_message *msg)
{
	msg->kind = kind;
	g_strlcpy(msg->name, mesh->name, sizeof msg->name);
	g_strlcpy(msg->domain, mesh->domain, sizeof msg->domain);
	msg->capacity = mesh->capacity;
	msg->incarnation = mesh->incarnation;
	msg->sequence = ++mesh->sequence;
	msg->ping = mesh->now_ms + mesh->incarnation;
	msg->self = mesh->self;
	msg->self.sums = true;
	if (kind == MESH_CELL_SUMMARY || kind == MESH_FLEET_SUMMARY)
		msg->self.served = mesh_has_served(mesh);
	fill_placer(mesh, &msg->placer);
	if (mesh->relay != NULL)
		mesh_fill_address(mesh->relay, &msg->relay);
	fill_config(mesh, msg);
	evacuations_copy(&msg->evacuations, &mesh->registry->evacuations);
	msg->n_alive = count_reported(mesh, kind);
	if (kind == MESH_REDIRECT)
		return;
	mesh_fill_loads(mesh, msg);
	fill_avoid(mesh, msg);
	mesh_fill_limits(mesh, msg);
	mesh_fill_poison(mesh, msg);
	mesh_fill_sums(mesh, msg);
	if (kind == MESH_FLEET_SUMMARY)
		mesh_fill_summary(mesh, msg);
}

/* Sends a datagram to one peer. It is encoded for each receiver, since it
 * returns the receiver's own clock. */
static size_t
message_send(struct mesh *mesh, const struct mesh_peer *peer,
    struct mesh_message *msg)
{
	static char out[MESH_DATAGRAM_MAX];
	size_t length;

	msg->pong = peer->ping;
	msg->with_sums = peer->self.sums;
	length = mesh_message_encode(msg, out, sizeof out);
	/* A datagram that can't be sent now is not retried: the next one
	 * replaces it. */
	if (length > 0 && msg->kind == MESH_FLEET_SUMMARY)
		mesh_spread_to(mesh, peer, out, length);
	else if (length > 0)
		mesh->send_datagram(mesh->send_arg, &peer->addr, out, length);
	else
		event_log(LOG_WARNING, "message_not_sent", "peer=%s loads=%u",
		    peer->name, msg->n_loads);
	return (length);
}

/**
 * mesh_send_to() - send a datagram to one daemon.
 * @mesh: the mesh
 * @peer: the daemon
 * @kind: kind of the datagram
 */
void
mesh_send_to(struct mesh *mesh, struct mesh_peer *peer, enum mesh_kind kind)
{
	static struct mesh_message msg;

	mesh_message_init(&msg);
	mesh_fill_message(mesh, kind, &msg);
	if (kind == MESH_REPORT)
		mesh_save_report(mesh, &msg);
	message_send(mesh, peer, &msg);
}

/* Whether a daemon of another cell is known to be its relay. */
static bool
is_other_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_is_relay(mesh, peer) ||
	    (peer->redirected_ms != 0 &&
		mesh->now_ms - peer->redirected_ms < MESH_PEER_TIMEOUT_MS));
}

/**
 * struct cell_seen - another cell, while a relay looks for the relay of that
 * cell.
 * @domain: its failure domain
 * @found: a relay of it is known
 * @first: its most preferred daemon
 * @n: number of its daemons
 */
struct cell_seen {
	const char *domain;
	bool found;
	struct mesh_peer *first;
	unsigned n;
};

/* Finds or adds the cell of a failure domain; NULL if there are too many. */
static struct cell_seen *
cell_find(struct cell_seen *cells, unsigned *n, const char *domain)
{
	for (unsigned i = 0; i < *n; i++) {
		if (strcmp(cells[i].domain, domain) == 0)
			return (&cells[i]);
	}
	if (*n == CELLS_MAX)
		return (NULL);
	memset(&cells[*n], 0, sizeof cells[*n]);
	cells[*n].domain = domain;
	return (&cells[(*n)++]);
}

/* Picks a daemon of a cell, a different one each time; it names its relay. */
static struct mesh_peer *
cell_pick(const struct mesh *mesh, const struct cell_seen *cell)
{
	unsigned at = (unsigned)(mesh->n_sent / SEEK_ONE_IN) % cell->n;
	struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (strcmp(peer->domain, cell->domain) == 0 && at-- == 0)
			return (peer);
	}
	return (cell->first);
}

/* Sends to cells whose relay is not known, to find it. */
static void
seek_relays(struct mesh *mesh, struct mesh_message *msg)
{
	struct cell_seen cells[CELLS_MAX];
	struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		struct cell_seen *cell;

		if (mesh_peer_in_cell(mesh, peer) ||
		    (cell = cell_find(cells, &n, peer->domain)) == NULL)
			continue;
		cell->n++;
		cell->found = cell->found || is_other_relay(mesh, peer);
		if (cell->first == NULL ||
		    mesh_peer_outranks(peer, cell->first))
			cell->first = peer;
	}
	for (unsigned i = 0; i < n; i++) {
		struct mesh_peer *pick;

		if (cells[i].found)
			continue;
		pick = cell_pick(mesh, &cells[i]);
		message_send(mesh, cells[i].first, msg);
		if (pick != cells[i].first)
			message_send(mesh, pick, msg);
	}
}

/* Sends the cell summary to the relays of the other cells. */
static void
send_to_relays(struct mesh *mesh)
{
	static struct mesh_message msg;
	struct mesh_peer *peer;
	bool flat = mesh_flat(mesh);

	mesh_message_init(&msg);
	mesh_fill_message(mesh, MESH_CELL_SUMMARY, &msg);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_in_cell(mesh, peer))
			continue;
		if (is_other_relay(mesh, peer) ||
		    (flat &&
			(mesh_peer_maybe_alive(mesh, peer) ||
			    mesh->n_sent % PROBE_ONE_IN == 0)))
			message_send(mesh, peer, &msg);
	}
	if (!flat &&
	    (mesh->n_sent % SEEK_ONE_IN == 0 ||
		mesh->now_ms - mesh->relay_since_ms < NEW_RELAY_MS))
		seek_relays(mesh, &msg);
}

/**
 * mesh_send() - send this daemon's state now: to all others as a relay, or else
 * to its relay.
 * @mesh: the mesh
 */
void
mesh_send(struct mesh *mesh)
{
	size_t length = 0;

	if (mesh->relay != NULL) {
		mesh_send_to(mesh, mesh->relay, MESH_REPORT);
		return;
	}
	if (mesh->sent_ms != 0 && mesh->now_ms - mesh->sent_ms < URGENT_MS) {
		/* The next round is soon enough. */
		mesh->send_interval_ms = 0;
		return;
	}
	mesh->sent_ms = mesh->now_ms;
	mesh->n_sent++;
	send_to_relays(mesh);
	if (!mesh_flat(mesh))
		length = mesh_send_summary(mesh);
	mesh->send_interval_ms = mesh_flat(mesh) ?
	    MESH_ROUND_MS :
	    CLAMP(length * 1000 / RELAY_BYTES_S, RELAY_MIN_MS, RELAY_MAX_MS);
}
