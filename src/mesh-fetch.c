/* Fetching the entries of endpoints from another daemon at the start. */
#include "event-log.h"
#include "mesh.h"
#include "net-call.h"
#include "random.h"

/* Pause after the first failure, and how often it is doubled. */
#define PAUSE_MS 60
#define PAUSE_DOUBLED_MAX 3

/* Loop time as of which fetched entries are complete, given their age when they
 * were served; 0 for unknown. */
static uint64_t
fetched_as_of_ms(const struct mesh *mesh, const struct mesh_stamp *stamp)
{
	if (stamp->age_ms >= mesh->fetch_entries_ms)
		return (0);
	return (mesh->fetch_entries_ms - stamp->age_ms);
}

/* Has the next try wait: longer each time, and not for all daemons alike. */
static void
fetch_failed(struct mesh *mesh, unsigned status)
{
	unsigned doublings = MIN(mesh->fetch_failures, PAUSE_DOUBLED_MAX);
	uint32_t pause_ms = PAUSE_MS << doublings;

	mesh->fetch_failures++;
	mesh->fetch_after_ms =
	    mesh->now_ms + pause_ms / 2 + random_below(pause_ms);
	event_log(LOG_INFO, "entries_not_fetched", "status=%u failures=%u",
	    status, mesh->fetch_failures);
}

/* Applies fetched entries. */
static void
on_entries(void *arg, const struct net_response *response)
{
	struct mesh *mesh = arg;
	struct mesh_entries entries;

	mesh->fetching_entries = false;
	if (response->status != HTTP_STATUS_OK) {
		fetch_failed(mesh, response->status);
		return;
	}
	mesh->fetch_failures = 0;
	if (!mesh_entries_decode(&entries, (char *)response->body->data,
		response->body->len))
		event_log(LOG_WARNING, "entries_ignored",
		    "bytes=%u reason=format", response->body->len);
	else
		registry_apply_snapshot(mesh->registry, entries.end,
		    entries.records, fetched_as_of_ms(mesh, &entries.stamp));
	g_array_free(entries.records, TRUE);
}

/* Whether a daemon that has entries may be asked for them. */
static bool
peer_serves(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_is_relay(mesh, peer) &&
	    peer->entries_end != MESH_NO_ENTRIES);
}

/* Chooses one of the daemons of this cell at random: many that start together
 * may ask their relay, and those that have its entries serve them too. */
static struct mesh_peer *
fetch_choose_member(const struct mesh *mesh)
{
	struct mesh_peer *peer, *chosen = mesh->relay;
	uint32_t n = 1;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer != mesh->relay && mesh_peer_in_cell(mesh, peer) &&
		    mesh_peer_maybe_alive(mesh, peer) && random_below(++n) == 0)
			chosen = peer;
	}
	return (chosen);
}

/*
 * Chooses a daemon to fetch from: its relay or, if that was busy, one of its
 * cell, if this daemon waits for that; any relay, if the store does not answer.
 */
static struct mesh_peer *
fetch_choose(const struct mesh *mesh)
{
	const struct topic_follower *f = &mesh->registry->endpoints;
	struct mesh_peer *peer;

	if (f->held) {
		if (mesh->relay == NULL || !peer_serves(mesh, mesh->relay))
			return (NULL);
		return (mesh->fetch_failures == 0 ? mesh->relay :
						    fetch_choose_member(mesh));
	}
	if (f->failures == 0)
		return (NULL);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer_serves(mesh, peer))
			return (peer);
	}
	return (NULL);
}

/**
 * mesh_fetch_entries() - fetch all entries from another daemon at the start, if
 * that is due.
 * @mesh: the mesh
 */
void
mesh_fetch_entries(struct mesh *mesh)
{
	const struct net_request req = { .method = "GET",
		.target = MESH_ENTRIES_PATH };
	struct mesh_peer *peer;

	if (mesh->registry->endpoints.synced || mesh->fetching_entries ||
	    mesh->now_ms < mesh->fetch_after_ms ||
	    (peer = fetch_choose(mesh)) == NULL)
		return;
	mesh->fetch_entries_ms = mesh->now_ms;
	mesh->fetching_entries =
	    net_call_start(&peer->pool, &req, MESH_ENTRIES_FETCH_MS, on_entries,
		mesh) != NULL;
}
