/*
 * Who is told what, and when.
 *
 * A daemon that reports sends one datagram a round while it has work. A relay
 * tells its cell the sum of all work, and each other relay the sum of its
 * cell's, as often as keeps what each receives within a bound.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* Rounds between two reports of a daemon that has no work: three of these are
 * within the silence after which it counts as dead. */
#define IDLE_ROUNDS 4
/* A relay tells at least this far apart; a load is this much older by it. */
#define RELAY_LEAST_MS 200
/* And at most: a load that is older says little of a place that is free. */
#define RELAY_MOST_MS 500
/* Bytes a second that a daemon should receive of its relay: of the 10 KB a
 * second that control may take, with room for its own reports. */
#define RELAY_BYTES_S 6000
/* Between two rounds that something urgent brings forward. */
#define URGENT_MS 50
/* One in so many words of a relay goes to those that are not known to live. */
#define PROBE_TURNS 20
/* One in so many goes to cells of which no relay is known. */
#define SEEK_TURNS 2
/* Failure domains that a relay keeps apart. */
#define CELLS_MAX 64
/* How long a warning of an endpoint is told on; some rounds. */
#define AVOID_TOLD_MS 600
/* Silence after which others' work is no longer counted: some reports that got
 * lost, and some words of a relay. */
#define REPORT_OLD_MS 700
#define SUM_OLD_MS 1500
/* Dead daemons are forgotten after this; a newcomer tells of itself. */
#define PEER_FORGET_MS 60000

/* A warning of an endpoint, by this daemon or told to it. */
static void
fill_avoid(const struct mesh *mesh, struct mesh_message *news)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &mesh->registry->fleet.endpoints, entry) {
		uint64_t at = ep->warned_ms;
		uint64_t age;

		if (news->kind != MESH_REPORT)
			at = MAX(at, ep->avoided_ms);
		age = mesh->now_ms - MIN(at, mesh->now_ms);
		if (at == 0 || age >= AVOID_TOLD_MS ||
		    news->n_avoid == MESH_AVOID_MAX)
			continue;
		news->avoid[news->n_avoid].id_hash = ep->id_hash;
		news->avoid[news->n_avoid++].age_ms = (uint32_t)age;
	}
}

static void
fill_members(const struct mesh *mesh, struct mesh_message *news)
{
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		struct mesh_member *member = &news->members[news->n_members];

		if (news->n_members == MESH_MEMBERS_MAX)
			return;
		if (!mesh_peer_reports(mesh, peer))
			continue;
		member->name_hash = peer->name_hash;
		member->sequence = (uint16_t)peer->sequence;
		member->config_current =
		    peer->config_version >= news->config_version;
		news->n_members++;
	}
}

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
	placer->can_place = mesh->self.store_ok && !mesh->self.leaving;
	placer->age_ms = 0;
}

static void
fill_relay(const struct mesh *mesh, struct mesh_relay *relay)
{
	const struct mesh_peer *peer = mesh->relay;

	if (peer == NULL)
		return;
	g_strlcpy(relay->name, peer->name, sizeof relay->name);
	relay->ip = peer->addr.sin_addr.s_addr;
	relay->port = ntohs(peer->addr.sin_port);
	relay->capacity = peer->capacity;
}

/* Daemons that a datagram speaks for. */
static uint32_t
living_of(const struct mesh *mesh, enum mesh_kind kind)
{
	const struct mesh_peer *peer;
	uint32_t n = 1;

	if (kind == MESH_FLEET_SUMMARY)
		return (1 + mesh_count_alive(mesh));
	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += kind == MESH_CELL_SUMMARY && mesh_peer_reports(mesh, peer);
	return (n);
}

static void
fill_config(const struct mesh *mesh, struct mesh_message *news)
{
	const struct registry *registry = mesh->registry;
	/* A proof by a peer's word is as good as an own one, and as old. */
	uint64_t age = registry_config_age(registry, mesh->now_ms);

	news->config_version = -1;
	if (registry->catalog != NULL) {
		news->config_version = registry->catalog->version;
		news->config_offset = registry->catalog->offset;
	}
	news->config_age_ms = (uint32_t)MIN(age, MESH_NEVER);
	/* Without a configuration all entries would be given, not those of
	 * endpoints that serve: megabytes with thousands of hosts. */
	news->entries_end =
	    registry->endpoints.synced && registry->catalog != NULL ?
	    registry->endpoints.next :
	    MESH_NO_ENTRIES;
}

/* What this daemon says, but for what differs by receiver. */
static void
news_fill(struct mesh *mesh, enum mesh_kind kind, struct mesh_message *news)
{
	mesh_message_clear(news);
	news->kind = kind;
	g_strlcpy(news->name, mesh->name, sizeof news->name);
	g_strlcpy(news->domain, mesh->domain, sizeof news->domain);
	news->capacity = mesh->capacity;
	news->incarnation = mesh->incarnation;
	news->sequence = ++mesh->sequence;
	news->ping = mesh->now_ms;
	news->self = mesh->self;
	if (kind == MESH_CELL_SUMMARY || kind == MESH_FLEET_SUMMARY)
		news->self.serving = mesh_serving(mesh);
	fill_placer(mesh, &news->placer);
	fill_relay(mesh, &news->relay);
	fill_config(mesh, news);
	news->n_alive = living_of(mesh, kind);
	if (kind == MESH_REDIRECT)
		return;
	mesh_fill_loads(mesh, news);
	fill_avoid(mesh, news);
	mesh_fill_limits(mesh, news);
	mesh_fill_poison(mesh, news);
	if (kind == MESH_FLEET_SUMMARY)
		fill_members(mesh, news);
}

/* Encodes once more where the receiver's own clock is told back to it. */
static size_t
news_send(struct mesh *mesh, const struct mesh_peer *peer,
    struct mesh_message *news)
{
	static char out[MESH_DATAGRAM_MAX];
	size_t length;

	news->pong = peer->ping;
	length = mesh_message_encode(news, out, sizeof out);
	/* A datagram that does not go out now is made good by the next. */
	if (length > 0)
		mesh->send_datagram(mesh->send_arg, &peer->addr, out, length);
	else
		event_log(LOG_WARNING, "news_not_told", "peer=%s loads=%u",
		    peer->name, news->n_loads);
	return (length);
}

/**
 * mesh_send_to() - tell one daemon something.
 * @mesh: the mesh
 * @peer: the daemon
 * @kind: what
 */
void
mesh_send_to(struct mesh *mesh, struct mesh_peer *peer, enum mesh_kind kind)
{
	static struct mesh_message news;

	news_fill(mesh, kind, &news);
	if (kind == MESH_REPORT)
		mesh_save_report(mesh, &news);
	news_send(mesh, peer, &news);
}

/* Whether a daemon of the own cell is told in this round. */
static bool
near_due(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_maybe_alive(mesh, peer) ||
	    mesh_peer_is_relay(mesh, peer) || mesh->n_sent % PROBE_TURNS == 0);
}

/* Tells the cell; all get the same bytes. */
static size_t
tell_cell(struct mesh *mesh)
{
	static struct mesh_message news;
	static char out[MESH_DATAGRAM_MAX];
	struct mesh_peer *peer;
	size_t length;

	news_fill(mesh, MESH_FLEET_SUMMARY, &news);
	length = mesh_message_encode(&news, out, sizeof out);
	if (length == 0) {
		event_log(LOG_WARNING, "news_not_told", "loads=%u members=%u",
		    news.n_loads, news.n_members);
		return (0);
	}
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_in_cell(mesh, peer) && near_due(mesh, peer))
			mesh->send_datagram(mesh->send_arg, &peer->addr, out,
			    length);
	}
	return (length);
}

/* Whether a daemon of another cell is known to be its relay. */
static bool
far_relay(const struct mesh *mesh, const struct mesh_peer *peer)
{
	return (mesh_peer_is_relay(mesh, peer) ||
	    (peer->redirected_ms != 0 &&
		mesh->now_ms - peer->redirected_ms < MESH_PEER_TIMEOUT_MS));
}

/**
 * struct cell_seen - a cell of others, while a relay looks for its relay.
 * @domain: its failure domain
 * @found: a relay of it is known
 * @first: its daemon that comes first for duties
 * @n: its daemons
 */
struct cell_seen {
	const char *domain;
	bool found;
	struct mesh_peer *first;
	unsigned n;
};

static struct cell_seen *
cell_of(struct cell_seen *cells, unsigned *n, const char *domain)
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

/* Some daemon of a cell, another each time; it names its relay. */
static struct mesh_peer *
cell_some(const struct mesh *mesh, const struct cell_seen *cell)
{
	unsigned at = (unsigned)(mesh->n_sent / SEEK_TURNS) % cell->n;
	struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (strcmp(peer->domain, cell->domain) == 0 && at-- == 0)
			return (peer);
	}
	return (cell->first);
}

/* Looks for the relays of cells of which none is known. */
static void
seek_relays(struct mesh *mesh, struct mesh_message *news)
{
	struct cell_seen cells[CELLS_MAX];
	struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		struct cell_seen *cell;

		if (mesh_peer_in_cell(mesh, peer) ||
		    (cell = cell_of(cells, &n, peer->domain)) == NULL)
			continue;
		cell->n++;
		cell->found = cell->found || far_relay(mesh, peer);
		if (cell->first == NULL ||
		    mesh_peer_outranks(peer, cell->first))
			cell->first = peer;
	}
	for (unsigned i = 0; i < n; i++) {
		struct mesh_peer *some;

		if (cells[i].found)
			continue;
		some = cell_some(mesh, &cells[i]);
		news_send(mesh, cells[i].first, news);
		if (some != cells[i].first)
			news_send(mesh, some, news);
	}
}

/* Tells the relays of the other cells. */
static void
tell_relays(struct mesh *mesh)
{
	static struct mesh_message news;
	struct mesh_peer *peer;
	bool flat = mesh_flat(mesh);

	news_fill(mesh, MESH_CELL_SUMMARY, &news);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (mesh_peer_in_cell(mesh, peer))
			continue;
		if (far_relay(mesh, peer) ||
		    (flat &&
			(mesh_peer_maybe_alive(mesh, peer) ||
			    mesh->n_sent % PROBE_TURNS == 0)))
			news_send(mesh, peer, &news);
	}
	if (!flat && mesh->n_sent % SEEK_TURNS == 0)
		seek_relays(mesh, &news);
}

/**
 * mesh_send() - tell the others now, as relay or to the own relay.
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
		/* Soon enough with the next round. */
		mesh->send_interval_ms = 0;
		return;
	}
	mesh->sent_ms = mesh->now_ms;
	mesh->n_sent++;
	tell_relays(mesh);
	if (!mesh_flat(mesh))
		length = tell_cell(mesh);
	mesh->send_interval_ms = mesh_flat(mesh) ?
	    MESH_ROUND_MS :
	    CLAMP(length * 1000 / RELAY_BYTES_S, RELAY_LEAST_MS, RELAY_MOST_MS);
}

/* Whether this daemon has something to report beyond that it lives. */
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

/* Forgets the work of the silent and, later, the silent themselves. */
static void
mesh_age(struct mesh *mesh)
{
	struct mesh_peer *peer, *next;

	for (peer = TAILQ_FIRST(&mesh->peers); peer != NULL; peer = next) {
		uint64_t since = MAX(peer->heard_ms, peer->first_seen_ms);
		uint64_t old = peer->loads_in_cell ? REPORT_OLD_MS : SUM_OLD_MS;

		next = TAILQ_NEXT(peer, entry);
		since = MAX(since, peer->listed_ms);
		if (peer->loads->len > 0 &&
		    mesh->now_ms - peer->loads_ms >= old)
			mesh_remove_loads(mesh, peer);
		if (peer->pool.n_open > 0)
			net_pool_expire(&peer->pool);
		if (mesh->now_ms - since >= PEER_FORGET_MS &&
		    peer->pool.n_open == 0)
			mesh_peer_free(mesh, peer);
	}
}

/* Chooses anew whom to report to, with a line for each change. */
static void
relay_update(struct mesh *mesh)
{
	struct mesh_peer *relay = mesh_choose_relay(mesh);

	if (relay == mesh->relay)
		return;
	event_log(LOG_INFO, "relay_changed", "relay=%s was=%s living=%u",
	    relay != NULL ? relay->name : mesh->name,
	    mesh->relay != NULL ? mesh->relay->name : mesh->name,
	    mesh_count_alive(mesh));
	mesh->relay = relay;
	/* The first word is urgent for a cell that lost its relay. */
	mesh->sent_ms = 0;
	mesh_send(mesh);
}

/* Others that live, by what this daemon hears or is told. */
static unsigned
fleet_size(const struct mesh *mesh)
{
	const struct mesh_peer *peer;
	unsigned n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry)
		n += mesh_peer_maybe_alive(mesh, peer) ||
		    mesh_peer_is_relay(mesh, peer);
	return (MAX(n, mesh_count_alive(mesh)));
}

/**
 * mesh_round() - a round of telling.
 * @mesh: the mesh
 */
void
mesh_round(struct mesh *mesh)
{
	mesh->round++;
	mesh_age(mesh);
	mesh->n_others = fleet_size(mesh);
	relay_update(mesh);
	mesh_share_limits(mesh);
	if (mesh->relay != NULL) {
		if (mesh->round % IDLE_ROUNDS == 0 || self_busy(mesh))
			mesh_send(mesh);
		return;
	}
	/* Half a round early is as good as half a round late. */
	if (mesh->now_ms - mesh->sent_ms + MESH_ROUND_MS / 2 >=
	    mesh->send_interval_ms)
		mesh_send(mesh);
}
