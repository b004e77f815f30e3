/*
 * Who relays, who reads the store for the others, who may place. Pure.
 *
 * Answers fleets of hundreds of daemons, where all that each knows of its work
 * can't go to all others: the daemons of a failure domain form a cell and
 * report to one of them, which tells them the sum of all cells. So a daemon
 * sends and hears a few datagrams a second, whatever the number of daemons. In
 * a small fleet every daemon is a cell of its own.
 */
#include <math.h>
#include <string.h>

#include "mesh.h"

/* Up to so many others, all tell each other directly: as many datagrams as a
 * relay of a usual failure domain sends. */
#define FLAT_MOST 12
/* A daemon that should be its cell's relay takes over from one that serves well
 * only after this: it has heard of the fleet by then. */
#define SETTLE_MS 1000
/* A daemon that was reported to should begin to relay within this: it may find
 * the old relay lost a little later than others. */
#define TRY_MS 450
/* One that did not is reported to again after this. */
#define TRY_AGAIN_MS 5000
/* Bounds on the silence of the placer, and how it follows from the usual time
 * between two words of it: three lost in a row, and the time of a round. */
#define HOLDER_LOST_LEAST_MS 700
#define HOLDER_LOST_MOST_MS 3000
#define HOLDER_LOST_GAPS 4
#define HOLDER_LOST_MORE_MS 300
/* Weight of the newest time between two words of the placer. */
#define HOLDER_GAP_ALPHA 0.125
/* Daemons that are no relays wait behind all that are, each for another time:
 * where no relay reaches the store, one of hundreds is enough. */
#define RANK_NO_RELAY 10
#define RANK_SPREAD 64

/**
 * mesh_flat() - whether every daemon is a cell of its own.
 * @mesh: the mesh
 */
bool
mesh_flat(const struct mesh *mesh)
{
	bool told = mesh->cells_heard_ms != 0 &&
	    mesh->now_ms - mesh->cells_heard_ms < MESH_PEER_TIMEOUT_MS;

	/* A daemon that knows few may still be told by those that know more. */
	return (mesh->n_others <= FLAT_MOST && !told);
}

/* The order of daemons for duties: those with more room, then by name. */
static bool
comes_before(uint32_t capacity, const char *name, uint32_t other_capacity,
    const char *other_name)
{
	if (capacity != other_capacity)
		return (capacity > other_capacity);
	return (strcmp(name, other_name) < 0);
}

/**
 * mesh_outranks() - whether this daemon comes before another for duties.
 * @mesh: the mesh
 * @peer: the other
 */
bool
mesh_outranks(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (comes_before(mesh->capacity, mesh->name, peer->capacity,
	    peer->name));
}

/**
 * mesh_peer_outranks() - whether a daemon comes before another for duties.
 * @a: the one
 * @b: the other
 */
bool
mesh_peer_outranks(const struct mesh_peer *a, const struct mesh_peer *b)
{
	return (comes_before(a->capacity, a->name, b->capacity, b->name));
}

/* Whether a daemon was reported to in vain. */
static bool
peer_failed(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t since = mesh->now_ms - peer->trial_ms;

	return (peer->trial_ms != 0 && since >= TRY_MS && since < TRY_AGAIN_MS);
}

/* Whether a daemon might relay if it were reported to. */
static bool
peer_might_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_maybe_alive(mesh, peer) && !peer_failed(mesh, peer) &&
	    !peer->self.leaving);
}

/* The first daemon of the own cell of which something holds. */
static struct mesh_peer *
first_of_cell(const struct mesh *mesh,
    bool (*holds)(const struct mesh *, const struct mesh_peer *))
{
	struct mesh_peer *peer, *first = NULL;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_in_cell(mesh, peer) && holds(mesh, peer) &&
		    (first == NULL || mesh_peer_outranks(peer, first)))
			first = peer;
	}
	return (first);
}

/* Whether this daemon may take over from a relay that serves. */
static bool
self_settled(const struct mesh *mesh)
{
	const struct catalog *catalog = mesh->registry->catalog;

	return (mesh->now_ms - mesh->opened_ms >= SETTLE_MS &&
	    mesh->newest_version <= (catalog != NULL ? catalog->version : -1));
}

/**
 * mesh_choose_relay() - the daemon that this one should report to.
 * @mesh: the mesh; a trial of a daemon is noted
 *
 * Where one relays already, the first that does; where none does, the first
 * that is said to live.
 *
 * Return: NULL where it should be a relay itself.
 */
struct mesh_peer *
mesh_choose_relay(struct mesh *mesh)
{
	struct mesh_peer *first;
	bool able = !mesh->self.leaving;

	if (mesh_flat(mesh))
		return (NULL);
	first = first_of_cell(mesh, mesh_peer_is_relay);
	if (first != NULL)
		return (
		    able && mesh_outranks(mesh, first) && self_settled(mesh) ?
			NULL :
			first);
	first = first_of_cell(mesh, peer_might_relay);
	if (first == NULL || (able && mesh_outranks(mesh, first)))
		return (NULL);
	if (first->trial_ms == 0 ||
	    mesh->now_ms - first->trial_ms >= TRY_AGAIN_MS)
		first->trial_ms = mesh->now_ms;
	return (first);
}

/* Notes that the placer was heard at some time, by itself or by others. */
static void
holder_heard(struct mesh_holder *holder, const struct mesh_placer *placer,
    uint64_t at_ms)
{
	if (placer->term < holder->term ||
	    (placer->term == holder->term && at_ms <= holder->heard_ms))
		return;
	if (placer->term == holder->term &&
	    placer->name_hash == holder->name_hash)
		holder->gap_ms += HOLDER_GAP_ALPHA *
		    ((double)(at_ms - holder->heard_ms) - holder->gap_ms);
	holder->name_hash = placer->name_hash;
	holder->term = placer->term;
	holder->heard_ms = at_ms;
	holder->can_place = placer->can_place;
}

/**
 * mesh_update_holder() - take in what a daemon knows of the placer.
 * @mesh: the mesh
 * @news: its datagram
 */
void
mesh_update_holder(struct mesh *mesh, const struct mesh_message *news)
{
	struct mesh_holder *holder = &mesh->holder;
	const struct mesh_peer *peer = mesh_find(mesh, news->name);

	/* One that gave its lease up says so itself. */
	if (peer != NULL && peer->name_hash == holder->name_hash &&
	    !news->self.placer)
		holder->can_place = false;
	if (news->placer.age_ms == MESH_NEVER ||
	    news->placer.age_ms >= mesh->now_ms ||
	    news->placer.name_hash == mesh->name_hash)
		return;
	holder_heard(holder, &news->placer, mesh->now_ms - news->placer.age_ms);
}

/**
 * mesh_placer_heard() - whether another daemon that holds the placer's lease,
 * and can use it, was heard lately.
 * @mesh: the mesh
 */
bool
mesh_placer_heard(const struct mesh *mesh)
{
	const struct mesh_holder *holder = &mesh->holder;
	double lost =
	    CLAMP(HOLDER_LOST_MORE_MS + HOLDER_LOST_GAPS * holder->gap_ms,
		HOLDER_LOST_LEAST_MS, HOLDER_LOST_MOST_MS);

	return (holder->heard_ms != 0 && holder->can_place &&
	    holder->term >= mesh->self.term &&
	    (double)(mesh->now_ms - MIN(holder->heard_ms, mesh->now_ms)) <
		lost);
}

/**
 * mesh_lease_superseded() - whether another daemon took the lease that this one
 * holds.
 * @mesh: the mesh
 *
 * One that the store turns away learns it from the others only.
 */
bool
mesh_lease_superseded(const struct mesh *mesh)
{
	return (mesh->self.placer && mesh->holder.term > mesh->held_term);
}

/* Whether a daemon relays and could read the store or place. */
static bool
peer_able(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_is_relay(mesh, peer) && peer->self.store_ok);
}

/**
 * mesh_rank() - place of this daemon among those that could place.
 * @mesh: the mesh
 *
 * Return: how many come before it; relays that reach the store come first.
 */
unsigned
mesh_rank(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned before = 0, relays = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		bool able = peer_able(mesh, peer);

		relays += able;
		before += able && !mesh_outranks(mesh, peer);
	}
	return (mesh->relay == NULL ?
		before :
		relays + RANK_NO_RELAY + mesh->name_hash % RANK_SPREAD);
}

/**
 * mesh_is_reader() - whether this daemon should read the store for the
 * others.
 * @mesh: the mesh
 *
 * It is the first of the relays that reach the store; where none does, of all
 * relays, so that one of them notices the store's return.
 */
bool
mesh_is_reader(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	bool reached = mesh->self.store_ok;

	if (mesh->relay != NULL || mesh->records_read_ms == 0)
		return (false);
	TAILQ_FOREACH(peer, &mesh->peers, entry)
		reached = reached || peer_able(mesh, peer);
	if (reached && !mesh->self.store_ok)
		return (false);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_is_relay(mesh, peer) &&
		    peer->self.store_ok == reached &&
		    !mesh_outranks(mesh, peer))
			return (false);
	}
	return (true);
}

/*
 * Part of a span that this daemon waits for others to do something that one of
 * them is enough for. Of n daemons one or two wait for nothing and twice as
 * many for each further 1 / log2(n): the first that succeeds has told the rest
 * before most have begun, and where the first can't, others can.
 */
static double
mesh_wait_share(const struct mesh *mesh)
{
	double others = MAX(mesh->n_others, 1) + 1.0;
	double draw = (mesh->name_hash + 1.0) / (UINT32_MAX + 1.0);

	return (MAX(0.0, 1.0 + log2(draw) / log2(others)));
}

/**
 * mesh_stale_after_ms() - how old others' word of the store may get before this
 * daemon reads the store for itself.
 * @mesh: the mesh
 * @least: above the usual age, in milliseconds
 * @most: what a rule leaves, less the time to read
 *
 * It goes by the age of the word alone. That a relay or a reader is heard says
 * nothing: it may have lost the store, as may all relays at once, while the
 * daemons that follow them could read it.
 */
unsigned
mesh_stale_after_ms(const struct mesh *mesh, unsigned least, unsigned most)
{
	if (mesh->relay == NULL)
		return (least);
	return (least +
	    (unsigned)(mesh_wait_share(mesh) * (most - MIN(least, most))));
}
