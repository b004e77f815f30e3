/* The daemons that are known, and which of them live. */
#include <string.h>
#include <xxhash.h>

#include "event-log.h"
#include "mesh.h"

/* A word that a daemon lives, or its record, is a reason to report to it for
 * this long: the silence of a relay, and some trials of others after it. */
#define HINT_MS 4000
/* Weight of the newest time between two words of a relay. */
#define GAP_ALPHA 0.2

/**
 * mesh_init() - know nobody yet.
 * @mesh: the mesh; dir, name, domain, capacity, send and send_arg are filled in
 * @now_ms: the time
 * @life: of this run
 */
void
mesh_init(struct mesh *mesh, uint64_t now_ms, uint64_t life)
{
	mesh->now_ms = now_ms;
	mesh->opened_ms = now_ms;
	mesh->incarnation = life;
	mesh->holder.gap_ms = 2 * MESH_ROUND_MS;
	mesh->name_hash = XXH32(mesh->name, strlen(mesh->name), 0);
	mesh->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	mesh->by_name_hash = g_hash_table_new(g_direct_hash, g_direct_equal);
	TAILQ_INIT(&mesh->peers);
	for (unsigned i = 0; i < MESH_REPORTS_MAX; i++)
		mesh->reports[i].loads =
		    g_array_new(FALSE, FALSE, sizeof(struct mesh_load));
}

/**
 * mesh_clear() - forget all; the loop has ended.
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
	for (unsigned i = 0; i < MESH_REPORTS_MAX; i++)
		g_array_free(mesh->reports[i].loads, TRUE);
	mesh_feed_clear(mesh);
}

/**
 * mesh_set_records_read() - the records of all daemons have been read.
 * @mesh: the mesh
 */
void
mesh_set_records_read(struct mesh *mesh)
{
	if (mesh->records_read_ms == 0)
		mesh->records_read_ms = mesh->now_ms > 0 ? mesh->now_ms : 1;
}

/**
 * mesh_find() - a daemon by its name.
 * @mesh: the mesh
 * @name: the name
 */
struct mesh_peer *
mesh_find(const struct mesh *mesh, const char *name)
{
	return (g_hash_table_lookup(mesh->by_name, name));
}

/**
 * mesh_find_by_hash() - a daemon by its short name.
 * @mesh: the mesh
 * @key: the short name
 */
struct mesh_peer *
mesh_find_by_hash(const struct mesh *mesh, uint32_t key)
{
	return (g_hash_table_lookup(mesh->by_name_hash, GUINT_TO_POINTER(key)));
}

static struct mesh_peer *
peer_create(struct mesh *mesh, const char *name, const char *domain,
    const struct sockaddr_in *addr)
{
	struct mesh_peer *peer = g_new0(struct mesh_peer, 1);

	peer->name = g_strdup(name);
	peer->domain = g_strdup(domain);
	peer->name_hash = XXH32(name, strlen(name), 0);
	peer->loads = g_array_new(FALSE, FALSE, sizeof(struct mesh_load));
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
 * mesh_add() - learn of a daemon.
 * @mesh: the mesh
 * @name: its name
 * @domain: its failure domain
 * @capacity: thousandths of a core that it has
 * @addr: where it listens
 *
 * Return: the daemon; NULL where it is this one.
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
 * mesh_peer_free() - forget a daemon.
 * @mesh: the mesh
 * @peer: the daemon; none of its connections is open
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
	g_free(peer);
}

/* Whether something happened within a span; never where its time is 0. */
static bool
within(const struct mesh *mesh, uint64_t at_ms, uint64_t span_ms)
{
	return (
	    at_ms != 0 && mesh->now_ms - MIN(at_ms, mesh->now_ms) < span_ms);
}

/**
 * mesh_peer_in_cell() - whether a daemon belongs to the own cell.
 * @mesh: the mesh
 * @peer: the daemon
 */
bool
mesh_peer_in_cell(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (!mesh_flat(mesh) && strcmp(peer->domain, mesh->domain) == 0);
}

/**
 * mesh_peer_is_relay() - whether a daemon was lately heard as a relay.
 * @mesh: the mesh
 * @peer: the daemon
 */
bool
mesh_peer_is_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t bound = mesh_peer_in_cell(mesh, peer) ? MESH_RELAY_TIMEOUT_MS :
							 MESH_PEER_TIMEOUT_MS;

	return (
	    within(mesh, peer->relay_heard_ms, bound) && !peer->self.leaving);
}

/**
 * mesh_peer_note_relay() - a daemon spoke as a relay just now.
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
}

/**
 * mesh_peer_reports() - whether a daemon of the own cell reports to this one.
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
 * mesh_peer_maybe_alive() - whether there is a word, of itself or of another,
 * that a daemon lives.
 * @mesh: the mesh
 * @peer: the daemon
 *
 * What it said as a relay does not count: that it still is one shows by itself.
 */
bool
mesh_peer_maybe_alive(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t met = peer->heard_ms == 0 ? peer->first_seen_ms : 0;

	return (within(mesh, met, HINT_MS) ||
	    within(mesh, peer->listed_ms, HINT_MS) ||
	    within(mesh, peer->redirected_ms, HINT_MS) ||
	    within(mesh, peer->last_report_ms, HINT_MS));
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
 * mesh_count_alive() - how many other daemons live.
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
 * mesh_serving() - whether any daemon has had requests from callers.
 * @mesh: the mesh
 */
bool
mesh_serving(const struct mesh *mesh)
{
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer->self.serving)
			return (true);
	}
	return (mesh->self.serving);
}
