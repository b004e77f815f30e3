/*
 * Choice of relays, of the daemon that reads the store for the others, and of
 * the placer. No function here does I/O.
 *
 * The full state of hundreds of daemons can't be sent from each to every other.
 * The daemons of a failure domain therefore form a cell and report to one of
 * them, the relay, which sends them the sum of all cells. So each daemon sends
 * and receives a few datagrams a second, whatever the number of daemons. In a
 * small fleet every daemon is a cell of its own.
 */
#include <math.h>
#include <string.h>

#include "mesh.h"

/* Up to this many other daemons, all send to each other directly: as many
 * datagrams as a relay of a typical failure domain sends. */
#define FLAT_MAX 12
/* A daemon that should be the relay of its cell replaces a working relay only
 * this long after its start: by then it has heard of the fleet. */
#define SETTLE_MS 1000
/* A daemon that is reported to must start to relay within this time: it may
 * detect the loss of the old relay a little later than others. */
#define TRIAL_MS 450
/* A daemon that did not start to relay is reported to again after this time. */
#define TRIAL_RETRY_MS 5000
/* Silence after which the placer counts as lost: a multiple of the average
 * interval between two signs of it, which covers three lost ones in a row, and
 * the time of a round, within bounds. */
#define HOLDER_LOST_MIN_MS 700
#define HOLDER_LOST_MAX_MS 3000
#define HOLDER_LOST_GAPS 4
#define HOLDER_LOST_EXTRA_MS 300
/* Weight of the newest interval between two signs of the placer. */
#define HOLDER_GAP_ALPHA 0.125
/* A daemon that failed to read the store tries again after this many times the
 * time without an update; one that follows a relay after more, and not before
 * this time for each other daemon. */
#define RETRY_FACTOR 2
#define MEMBER_RETRY_FACTOR 6
#define MEMBER_RETRY_MS 60
/* Rank of daemons that are not relays: behind all relays, and spread over their
 * number, because one is enough where no relay reaches the store. */
#define RANK_NO_RELAY 10
#define RANK_SPREAD 64

/**
 * mesh_flat() - whether every daemon is a cell of its own.
 * @mesh: the mesh
 */
bool
mesh_flat(const struct mesh *mesh)
{
	bool cells_heard = mesh->cells_heard_ms != 0 &&
	    mesh->now_ms - mesh->cells_heard_ms < MESH_PEER_TIMEOUT_MS;

	/* A daemon that knows few others may still receive from daemons that
	 * know more. */
	return (mesh->n_others <= FLAT_MAX && !cells_heard);
}

/* Order of preference for duties: by capacity, then by name. */
static bool
is_preferred(uint32_t capacity, const char *name, uint32_t other_capacity,
    const char *other_name)
{
	if (capacity != other_capacity)
		return (capacity > other_capacity);
	return (strcmp(name, other_name) < 0);
}

/**
 * mesh_outranks() - whether this daemon is preferred to another for duties.
 * @mesh: the mesh
 * @peer: the other daemon
 */
bool
mesh_outranks(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (is_preferred(mesh->capacity, mesh->name, peer->capacity,
	    peer->name));
}

/**
 * mesh_peer_outranks() - whether a daemon is preferred to another for duties.
 * @a: the daemon
 * @b: the other daemon
 */
bool
mesh_peer_outranks(const struct mesh_peer *a, const struct mesh_peer *b)
{
	return (is_preferred(a->capacity, a->name, b->capacity, b->name));
}

/* Whether a daemon did not start to relay when it was reported to. */
static bool
trial_failed(const struct mesh *mesh, const struct mesh_peer *peer)
{
	uint64_t since = mesh->now_ms - peer->trial_ms;

	return (
	    peer->trial_ms != 0 && since >= TRIAL_MS && since < TRIAL_RETRY_MS);
}

/* Whether a daemon may start to relay if it is reported to. */
static bool
peer_may_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_maybe_alive(mesh, peer) &&
	    !trial_failed(mesh, peer) && !peer->self.draining);
}

/* Finds the most preferred daemon of this cell that satisfies a predicate. */
static struct mesh_peer *
cell_find_first(const struct mesh *mesh,
    bool (*matches)(const struct mesh *, const struct mesh_peer *))
{
	struct mesh_peer *peer, *first = NULL;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_in_cell(mesh, peer) && matches(mesh, peer) &&
		    (first == NULL || mesh_peer_outranks(peer, first)))
			first = peer;
	}
	return (first);
}

/* Whether this daemon may replace a working relay. */
static bool
self_settled(const struct mesh *mesh)
{
	const struct catalog *catalog = mesh->registry->catalog;

	return (mesh->now_ms - mesh->opened_ms >= SETTLE_MS &&
	    mesh->newest_version <= (catalog != NULL ? catalog->version : -1));
}

/**
 * mesh_choose_relay() - choose the daemon that this one reports to.
 * @mesh: the mesh; the start of a trial of a daemon is recorded
 *
 * It is the most preferred of the relays of the cell; if there is none, the
 * most preferred of the daemons that may be alive.
 *
 * Return: the relay; NULL if this daemon is to be a relay itself.
 */
struct mesh_peer *
mesh_choose_relay(struct mesh *mesh)
{
	struct mesh_peer *first;
	bool able = !mesh->self.draining;

	if (mesh_flat(mesh))
		return (NULL);
	first = cell_find_first(mesh, mesh_peer_is_relay);
	if (first != NULL)
		return (
		    able && mesh_outranks(mesh, first) && self_settled(mesh) ?
			NULL :
			first);
	first = cell_find_first(mesh, peer_may_relay);
	if (first == NULL || (able && mesh_outranks(mesh, first)))
		return (NULL);
	if (first->trial_ms == 0 ||
	    mesh->now_ms - first->trial_ms >= TRIAL_RETRY_MS)
		first->trial_ms = mesh->now_ms;
	return (first);
}

/* Records a time as of which the placer was heard, directly or through others.
 */
static void
holder_update(struct mesh_holder *holder, const struct mesh_placer *placer,
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
 * mesh_update_holder() - merge what a daemon knows of the lease's holder.
 * @mesh: the mesh
 * @msg: its datagram
 */
void
mesh_update_holder(struct mesh *mesh, const struct mesh_message *msg)
{
	struct mesh_holder *holder = &mesh->holder;
	const struct mesh_peer *peer = mesh_find(mesh, msg->name);

	/* A daemon that gave up its lease says so itself. */
	if (peer != NULL && peer->name_hash == holder->name_hash &&
	    !msg->self.placer)
		holder->can_place = false;
	if (msg->placer.age_ms == MESH_NEVER ||
	    msg->placer.age_ms >= mesh->now_ms ||
	    msg->placer.name_hash == mesh->name_hash)
		return;
	holder_update(holder, &msg->placer, mesh->now_ms - msg->placer.age_ms);
}

/**
 * mesh_placer_heard() - whether another daemon that holds the placer's lease,
 * and can place, was heard recently.
 * @mesh: the mesh
 */
bool
mesh_placer_heard(const struct mesh *mesh)
{
	const struct mesh_holder *holder = &mesh->holder;
	double lost =
	    CLAMP(HOLDER_LOST_EXTRA_MS + HOLDER_LOST_GAPS * holder->gap_ms,
		HOLDER_LOST_MIN_MS, HOLDER_LOST_MAX_MS);

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
 * A daemon that the store rejects learns this from other daemons only.
 */
bool
mesh_lease_superseded(const struct mesh *mesh)
{
	return (mesh->self.placer && mesh->holder.term > mesh->held_term);
}

/* Whether a daemon is a relay and the store answers it. */
static bool
relay_reaches_store(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_is_relay(mesh, peer) && peer->self.store_ok);
}

/**
 * mesh_rank() - rank of this daemon among those that may become the placer.
 * @mesh: the mesh
 *
 * Return: number of daemons ranked before it; relays that reach the store come
 * first.
 */
unsigned
mesh_rank(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned ahead = 0, relays = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		bool able = relay_reaches_store(mesh, peer);

		relays += able;
		ahead += able && !mesh_outranks(mesh, peer);
	}
	return (mesh->relay == NULL ? ahead :
				      relays + RANK_NO_RELAY +
		    mesh->name_hash % MAX(RANK_SPREAD, mesh->n_others));
}

/**
 * mesh_is_reader() - whether this daemon is to read the store for the others.
 * @mesh: the mesh
 *
 * It is the most preferred of the relays that reach the store; if none does,
 * the most preferred of all relays, so that one of them notices when the store
 * returns.
 */
bool
mesh_is_reader(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	bool reached = mesh->self.store_ok;

	if (mesh->relay != NULL || mesh->records_read_ms == 0)
		return (false);
	TAILQ_FOREACH(peer, &mesh->peers, entry)
		reached = reached || relay_reaches_store(mesh, peer);
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
 * Fraction of a span of time that this daemon waits for others to do what only
 * one daemon needs to do. Of n daemons one or two do not wait at all, and twice
 * as many start with each further 1 / log2(n): the first that succeeds has
 * informed the rest before most have started, and if the first can't, others
 * can.
 */
static double
mesh_wait_fraction(const struct mesh *mesh)
{
	double others = MAX(mesh->n_others, 1) + 1.0;
	double draw = (mesh->name_hash + 1.0) / (UINT32_MAX + 1.0);

	return (MAX(0.0, 1.0 + log2(draw) / log2(others)));
}

/**
 * mesh_retry_ms() - pause after this daemon failed to read the store, where it
 * does not read for others.
 * @mesh: the mesh
 * @after_ms: time without an update after which it reads
 *
 * The reader and the relays notice the end of an outage for the others, so the
 * rest of the fleet together makes a bounded number of calls: a store that is
 * slow because of too many calls would never recover otherwise.
 */
unsigned
mesh_retry_ms(const struct mesh *mesh, unsigned after_ms)
{
	if (!mesh_relay_alive(mesh))
		return (RETRY_FACTOR * after_ms);
	return (MAX(MEMBER_RETRY_FACTOR * after_ms,
	    mesh->n_others * MEMBER_RETRY_MS));
}

/**
 * mesh_stale_after_ms() - age after which the store's state as received from
 * other daemons is stale, and this daemon reads the store itself.
 * @mesh: the mesh
 * @min_ms: lower bound, above the usual age
 * @max_ms: upper bound: what a requirement allows, less the time to read
 *
 * Only the age of the state counts. That a relay or a reader is heard proves
 * nothing: it may have lost the store, as may all relays at once, while the
 * daemons that report to them could read it.
 */
unsigned
mesh_stale_after_ms(const struct mesh *mesh, unsigned min_ms, unsigned max_ms)
{
	if (mesh->relay == NULL)
		return (min_ms);
	return (min_ms +
	    (unsigned)(mesh_wait_fraction(mesh) *
		(max_ms - MIN(min_ms, max_ms))));
}
