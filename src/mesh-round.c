/* The rounds of a daemon: who is alive, which daemon is the relay, and whether
 * to send. */
#include "event-log.h"
#include "mesh.h"

/* Rounds between two reports of a daemon without work: three of these are
 * within the silence after which it counts as dead. */
#define IDLE_ROUNDS 4
/* Silence after which another daemon's loads are no longer counted: several
 * lost reports, or several lost datagrams of a relay. */
#define REPORT_EXPIRE_MS 700
#define SUMMARY_EXPIRE_MS 1500
/* A dead daemon is removed after this time; one that starts again announces
 * itself. */
#define PEER_REMOVE_MS 60000

/* Whether this daemon has more to report than that it is alive. */
static bool
self_busy(const struct mesh *mesh)
{
	const struct endpoint *ep;

	if (mesh->self.placer)
		return (true);
	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		if (ep->inflight > 0)
			return (true);
	}
	return (false);
}

/* Drops the loads of silent daemons and, later, these daemons themselves. */
static void
mesh_expire(struct mesh *mesh)
{
	struct mesh_peer *peer, *next;

	for (peer = TAILQ_FIRST(&mesh->peers); peer != NULL; peer = next) {
		uint64_t since = MAX(peer->heard_ms, peer->first_seen_ms);
		uint64_t expire_ms =
		    peer->loads_in_cell ? REPORT_EXPIRE_MS : SUMMARY_EXPIRE_MS;

		next = TAILQ_NEXT(peer, entry);
		since = MAX(since, peer->listed_ms);
		if (mesh->now_ms - peer->loads_ms >= expire_ms)
			mesh_remove_loads(mesh, peer);
		if (peer->pool.n_open > 0)
			net_pool_expire(&peer->pool);
		if (mesh->now_ms - since >= PEER_REMOVE_MS &&
		    peer->pool.n_open == 0)
			mesh_peer_free(mesh, peer);
	}
}

/* Chooses the relay again, and logs a change. */
static void
relay_update(struct mesh *mesh)
{
	struct mesh_peer *relay = mesh_choose_relay(mesh);

	if (relay == mesh->relay)
		return;
	event_log(LOG_INFO, "relay_changed", "relay=%s was=%s alive=%u",
	    relay != NULL ? relay->name : mesh->name,
	    mesh->relay != NULL ? mesh->relay->name : mesh->name,
	    mesh_count_alive(mesh));
	mesh->relay = relay;
	mesh->relay_since_ms = mesh->now_ms;
	if (relay == NULL && !mesh_flat(mesh) && mesh->became_relay != NULL)
		mesh->became_relay(mesh->became_relay_arg);
	/* Sent at once, since the cell may have lost its relay. */
	mesh->sent_ms = 0;
	mesh_send(mesh);
}

/* Number of other daemons that are alive, as heard or reported. */
static unsigned
count_others(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += mesh_peer_maybe_alive(mesh, peer) ||
		    mesh_peer_is_relay(mesh, peer);
	return (MAX(n, mesh_count_alive(mesh)));
}

/**
 * mesh_round() - run one round: expire peers, choose the relay and send if due.
 * @mesh: the mesh
 */
void
mesh_round(struct mesh *mesh)
{
	mesh->round++;
	mesh_expire(mesh);
	mesh->n_others = count_others(mesh);
	relay_update(mesh);
	mesh_share_limits(mesh);
	mesh_update_sums(mesh);
	mesh_repair_round(mesh);
	if (mesh->relay != NULL) {
		if (mesh->round % IDLE_ROUNDS == 0 || self_busy(mesh) ||
		    !mesh_relay_alive(mesh))
			mesh_send(mesh);
		return;
	}
	/* Sends in the round nearest to the due time: half a round early is as
	 * good as half a round late. */
	if (mesh->now_ms - mesh->sent_ms + MESH_ROUND_MS / 2 >=
	    mesh->send_interval_ms)
		mesh_send(mesh);
}
