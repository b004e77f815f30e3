/* Table of the other daemons, and which of them are alive. */
#include <string.h>
#include <xxhash.h>

#include "event-log.h"
#include "mesh.h"

/* Any sign that a daemon is alive, or the first sight of its record, makes it a
 * candidate to report to for this long: enough for the silence of a relay and
 * some trials of other daemons after it. */
#define ALIVE_HINT_MS 4000
/* Weight of the newest interval between two datagrams of a relay. */
#define GAP_ALPHA 0.2

/**
 * mesh_init() - initialize a mesh without peers.
 * @mesh: the mesh; registry, name, domain, capacity, send_datagram and
 *	send_arg are filled in
 * @now_ms: loop time, in ms
 * @incarnation: random number of this run
 */
void
mesh_init(struct mesh *mesh, uint64_t now_ms, uint64_t incarnation)
{
	mesh->now_ms = now_ms;
	mesh->opened_ms = now_ms;
	mesh->incarnation = incarnation;
	mesh->holder.gap_ms = 2 * MESH_ROUND_MS;
	mesh->name_hash = XXH32(mesh->name, strlen(mesh->name), 0);
	mesh->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	mesh->by_name_hash = g_hash_table_new(g_direct_hash, g_direct_equal);
	TAILQ_INIT(&mesh->peers);
	mesh_directory_init(&mesh->directory);
	feed_log_init(&mesh->feed_log);
	for (unsigned i = 0; i < MESH_REPORTS_MAX; i++)
		mesh->reports[i].loads =
		    g_array_new(FALSE, FALSE, sizeof(struct mesh_load));
}

/**
 * mesh_clear() - free all peers and buffers, after the loop has ended.
 * @mesh: the mesh
 */
void
mesh_clear(struct mesh *mesh)
{
	struct mesh_peer *peer;

	while ((peer = TAILQ_FIRST(&mesh->peers)) != NULL)
		mesh_peer_free(mesh, peer);
	g_hash_table_destroy(mesh->by_name);
	g_hash_table_destroy(mesh->by_name_hash);
	mesh_directory_clear(&mesh->directory);
	for (unsigned i = 0; i < MESH_REPORTS_MAX; i++)
		g_array_free(mesh->reports[i].loads, TRUE);
	mesh_feed_clear(mesh);
}

/**
 * mesh_set_records_read() - note that the records of all daemons have been
 * read.
 * @mesh: the mesh
 */
void
mesh_set_records_read(struct mesh *mesh)
{
	if (mesh->records_read_ms == 0)
		mesh->records_read_ms = mesh->now_ms > 0 ? mesh->now_ms : 1;
}

/**
 * mesh_find() - find a daemon by its name.
 * @mesh: the mesh
 * @name: its name
 */
struct mesh_peer *
mesh_find(const struct mesh *mesh, const char *name)
{
	return (g_hash_table_lookup(mesh->by_name, name));
}

/**
 * mesh_find_by_hash() - find a daemon by the hash of its name.
 * @mesh: the mesh
 * @hash: hash of its name
 */
struct mesh_peer *
mesh_find_by_hash(const struct mesh *mesh, uint32_t hash)
{
	return (
	    g_hash_table_lookup(mesh->by_name_hash, GUINT_TO_POINTER(hash)));
}

/* Adds a daemon that has not been known before. */
static struct mesh_peer *
peer_create(struct mesh *mesh, const char *name, const char *domain,
    const struct sockaddr_in *addr)
{
	struct mesh_peer *peer = g_new0(struct mesh_peer, 1);

	peer->name = g_strdup(name);
	peer->domain = g_strdup(domain);
	peer->name_hash = XXH32(name, strlen(name), 0);
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct mesh_load));
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		peer->sums[kind] =
		    g_array_new(FALSE, FALSE, sizeof(struct sum_row));
	peer->first_seen_ms = mesh->now_ms;
	peer->config_version = -1;
	net_pool_init(&peer->pool, mesh->loop, addr);
	TAILQ_INSERT_TAIL(&mesh->peers, peer, entry);
	g_hash_table_insert(mesh->by_name, peer->name, peer);
	g_hash_table_insert(mesh->by_name_hash,
	    GUINT_TO_POINTER(peer->name_hash), peer);
	mesh->n_peers++;
	log_debug("peer_known", "peer=%s domain=%s", name, domain);
	return (peer);
}

/**
 * mesh_add() - add a daemon, or update its capacity and address.
 * @mesh: the mesh
 * @name: its name
 * @domain: its failure domain
 * @capacity: its CPU capacity, in thousandths of a core
 * @addr: address that it listens on
 *
 * Return: the daemon; NULL if it is this one.
 */
struct mesh_peer *
mesh_add(struct mesh *mesh, const char *name, const char *domain,
    uint32_t capacity, const struct sockaddr_in *addr)
{
	struct mesh_peer *peer = mesh_find(mesh, name);

	if (strcmp(name, mesh->name) == 0)
		return (NULL);
	if (peer == NULL)
		peer = peer_create(mesh, name, domain, addr);
	peer->capacity = capacity;
	peer->addr = *addr;
	peer->pool.addr = *addr;
	return (peer);
}

/**
 * mesh_peer_free() - remove a daemon.
 * @mesh: the mesh
 * @peer: the daemon; it has no open connection
 */
void
mesh_peer_free(struct mesh *mesh, struct mesh_peer *peer)
{
	mesh_remove_loads(mesh, peer);
	if (mesh->relay == peer)
		mesh->relay = NULL;
	TAILQ_REMOVE(&mesh->peers, peer, entry);
	g_hash_table_remove(mesh->by_name, peer->name);
	g_hash_table_remove(mesh->by_name_hash,
	    GUINT_TO_POINTER(peer->name_hash));
	mesh->n_peers--;
	g_free(peer->name);
	g_free(peer->domain);
	g_array_free(peer->loads, TRUE);
	for (unsigned kind = 0; kind < SUM_KINDS; kind++)
		g_array_free(peer->sums[kind], TRUE);
	g_free(peer);
}

/* Whether an event happened within a span of time; false if its time is 0. */
static bool
within(const struct mesh *mesh, uint64_t at_ms, uint64_t span_ms)
{
	return (
	    at_ms != 0 && mesh->now_ms - MIN(at_ms, mesh->now_ms) < span_ms);
}

/**
 * mesh_peer_in_cell() - whether a daemon belongs to this daemon's cell.
 * @mesh: the mesh
 * @peer: the daemon
 */
bool
mesh_peer_in_cell(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (!mesh_flat(mesh) && strcmp(peer->domain, mesh->domain) == 0);
}

/**
 * mesh_peer_is_relay() - whether a daemon was recently heard as a relay.
 * @mesh: the mesh
 * @peer: the daemon
 */
bool
mesh_peer_is_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t bound = mesh_peer_in_cell(mesh, peer) ? MESH_RELAY_TIMEOUT_MS :
							 MESH_PEER_TIMEOUT_MS;

	return (
	    within(mesh, peer->relay_heard_ms, bound) && !peer->self.draining);
}

/**
 * mesh_peer_note_relay() - note that a daemon was just heard as a relay.
 * @mesh: the mesh
 * @peer: the daemon
 */
void
mesh_peer_note_relay(const struct mesh *mesh, struct mesh_peer *peer)
{
	double gap = (double)(mesh->now_ms - peer->relay_heard_ms);

	if (mesh_peer_is_relay(mesh, peer))
		peer->relay_gap_ms += GAP_ALPHA * (gap - peer->relay_gap_ms);
	peer->relay_heard_ms = mesh->now_ms;
	peer->trial_ms = 0;
}

/**
 * mesh_peer_reports() - whether a daemon of this cell reports to this one.
 * @mesh: the mesh
 * @peer: the daemon
 */
bool
mesh_peer_reports(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_in_cell(mesh, peer) &&
	    within(mesh, peer->last_report_ms, MESH_PEER_TIMEOUT_MS));
}

/**
 * mesh_peer_maybe_alive() - whether a daemon itself or another one gave a
 * recent sign that it is alive.
 * @mesh: the mesh
 * @peer: the daemon
 *
 * Its datagrams as a relay do not count: mesh_peer_is_relay() covers these.
 */
bool
mesh_peer_maybe_alive(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t first_seen = peer->heard_ms == 0 ? peer->first_seen_ms : 0;

	return (within(mesh, first_seen, ALIVE_HINT_MS) ||
	    within(mesh, peer->listed_ms, ALIVE_HINT_MS) ||
	    within(mesh, peer->redirected_ms, ALIVE_HINT_MS) ||
	    within(mesh, peer->last_report_ms, ALIVE_HINT_MS));
}

/**
 * mesh_relay_alive() - whether this daemon hears the relay that it reports to.
 * @mesh: the mesh
 */
bool
mesh_relay_alive(const struct mesh *mesh)
{
	return (mesh->relay != NULL && mesh_peer_is_relay(mesh, mesh->relay));
}

/**
 * mesh_count_alive() - count the other live daemons.
 * @mesh: the mesh
 */
unsigned
mesh_count_alive(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned n = 0;

	if (mesh_relay_alive(mesh))
		return (MAX(mesh->relay->n_alive, 1) - 1);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_reports(mesh, peer))
			n++;
		else if (!mesh_peer_in_cell(mesh, peer) &&
		    mesh_peer_is_relay(mesh, peer))
			n += peer->n_alive;
	}
	return (n);
}

/**
 * mesh_has_served() - whether any daemon has received requests from clients.
 * @mesh: the mesh
 */
bool
mesh_has_served(const struct mesh *mesh)
{
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer->self.served)
			return (true);
	}
	return (mesh->self.served);
}
