/* What is known of the other daemons: who lives, who places, who reads. */
#include <string.h>

#include "mesh.h"

/* Up to so many daemons, all are told in each round; beyond it, those of the
 * own failure domain, and some others by turns. */
#define TELL_MOST 12
/* Silence after which a far peer counts as dead: some of its turns. */
#define FAR_DEAD_MS 6000

/**
 * mesh_peer_near() - whether a peer is told, and tells, in every round.
 * @mesh: the mesh
 * @peer: the peer
 */
bool
mesh_peer_near(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh->n_peers <= TELL_MOST ||
	    strcmp(peer->domain, mesh->domain) == 0);
}

/**
 * mesh_peer_lives() - whether a peer was heard lately.
 * @mesh: the mesh
 * @peer: the peer
 */
bool
mesh_peer_lives(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t bound =
	    mesh_peer_near(mesh, peer) ? MESH_PEER_DEAD_MS : FAR_DEAD_MS;

	return (
	    peer->heard_ms != 0 && uv_now(mesh->loop) - peer->heard_ms < bound);
}

/**
 * mesh_living() - how many other daemons live.
 * @mesh: the mesh
 */
unsigned
mesh_living(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += mesh_peer_lives(mesh, peer);
	return (n);
}

/**
 * mesh_placer_heard() - whether a daemon with the placer's lease was heard.
 * @mesh: the mesh
 * @within_ms: how lately
 */
bool
mesh_placer_heard(const struct mesh *mesh, uint64_t within_ms)
{
	uint64_t now = uv_now(mesh->loop);
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer->self.placer && peer->self.store_ok &&
		    !peer->self.leaving && peer->self.term >= mesh->self.term &&
		    peer->heard_ms != 0 && now - peer->heard_ms < within_ms)
			return (true);
	}
	return (false);
}

/**
 * mesh_rank() - place of this daemon among those that could place.
 * @mesh: the mesh
 *
 * Return: how many living daemons that reach the store come before it.
 */
unsigned
mesh_rank(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned rank = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_lives(mesh, peer) && peer->self.store_ok &&
		    !peer->self.leaving && strcmp(peer->name, mesh->name) < 0)
			rank++;
	}
	return (rank);
}

/**
 * mesh_first_reader() - whether this daemon should read the store for the
 * others.
 * @mesh: the mesh
 *
 * It is the first by name of those that reach the store; where none does, of
 * all that live, so that one of them notices the store's return.
 */
bool
mesh_first_reader(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	bool reached = mesh->self.store_ok;

	TAILQ_FOREACH(peer, &mesh->peers, entry)
		reached = reached ||
		    (mesh_peer_lives(mesh, peer) && peer->self.store_ok);
	if (reached && !mesh->self.store_ok)
		return (false);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_lives(mesh, peer) && !peer->self.leaving &&
		    peer->self.store_ok == reached &&
		    strcmp(peer->name, mesh->name) < 0)
			return (false);
	}
	return (true);
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
