/*
 * Repair of gaps in the entries that other daemons distribute.
 *
 * A daemon that misses datagrams asks for just the offsets that it lacks, and
 * asks any daemon that may have them: its relay, or members that passed other
 * datagrams on to it. Each keeps what it received and sends it again within a
 * bound on bytes, so that hundreds of requests neither fill a link nor wait for
 * one daemon. A relay that is asked by many sends to its whole cell at once.
 */
#include "event-log.h"
#include "mesh.h"
#include "random.h"

/* Offsets that one request covers: a few datagrams. */
#define REQUEST_OFFSETS 192
/* Requests sent in one round. */
#define REQUESTS_MAX 8
/* Datagrams sent for one request. */
#define ANSWER_MAX 16
/* A gap that is open for this long is asked for less often: what is asked for
 * may be kept nowhere. */
#define GAP_OLD_MS 1000
#define GAP_OLD_ROUNDS 3
/* A gap that is open for this long is logged, and again at this interval. */
#define GAP_LOG_MS 500
/* After this time a relay reads the store for its cell, and again at this
 * interval. */
#define GAP_STORE_MS 700
/* Bytes per second that are sent again, and in a burst: part of a link of 20
 * Mbit/s. */
#define RESEND_BYTES_S 1000000
#define RESEND_BYTES_BURST 500000
/* Requests for a datagram after which a relay sends it to its whole cell. */
#define SPREAD_REQUESTS 8

/* Draws a random number. */
static uint32_t
repair_draw(struct mesh *mesh, uint32_t below)
{
	struct mesh_repair *repair = &mesh->repair;

	if (repair->draw == 0)
		repair->draw = mesh->incarnation;
	return (random_sequence_below(&repair->draw, below));
}

/* Whether a daemon was heard lately, and has entries that are missing here. */
static bool
peer_has(const struct mesh *mesh, const struct mesh_peer *peer, uint64_t from)
{
	return (peer->entries_end != MESH_NO_ENTRIES &&
	    peer->entries_end > from && peer->heard_ms != 0 &&
	    mesh->now_ms - peer->heard_ms < MESH_PEER_TIMEOUT_MS);
}

/* Chooses a daemon to ask at random. */
static bool
repair_choose(struct mesh *mesh, uint64_t from, struct sockaddr_in *to)
{
	struct mesh_repair *repair = &mesh->repair;
	const struct mesh_peer *peer;
	uint32_t n = 0;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (peer_has(mesh, peer, from) && repair_draw(mesh, ++n) == 0)
			*to = peer->addr;
	}
	for (unsigned i = 0; i < MIN(repair->n_hops, REPAIR_HOPS_MAX); i++) {
		if (repair_draw(mesh, ++n) == 0)
			*to = repair->hops[i];
	}
	return (n > 0);
}

/* Asks a daemon for a range of offsets. */
static void
repair_ask(struct mesh *mesh, uint64_t from, uint64_t end)
{
	struct mesh_resend resend = { .from = from, .end = end };
	char out[MESH_NAME_MAX * 2];
	struct sockaddr_in to;
	size_t length;

	if (!repair_choose(mesh, from, &to))
		return;
	g_strlcpy(resend.name, mesh->name, sizeof resend.name);
	length = mesh_resend_encode(&resend, out, sizeof out);
	mesh->send_datagram(mesh->send_arg, &to, out, length);
	mesh->repair.n_requests++;
	mesh->repair.counts[REPAIR_ASKED]++;
}

/* Asks for the ranges that are missing, each from another daemon; only for the
 * first of them where others could not be kept. */
static void
repair_ask_all(struct mesh *mesh, uint64_t end)
{
	const struct topic_follower *f = &mesh->registry->endpoints;
	unsigned gaps = topic_follower_ahead_full(f) ? 1 : OFFSET_RANGES_MAX;
	struct offset_range gap;
	unsigned left = REQUESTS_MAX;

	for (unsigned i = 0; left > 0 && i < gaps &&
	     offset_ranges_gap(&f->ahead, i, f->next, end, &gap);
	     i++) {
		for (; left > 0 && gap.from < gap.end; left--) {
			uint64_t until =
			    MIN(gap.from + REQUEST_OFFSETS, gap.end);

			repair_ask(mesh, gap.from, until);
			gap.from = until;
		}
	}
}

/* Logs a gap that is open for long. */
static void
gap_log(struct mesh *mesh, bool closed)
{
	struct mesh_repair *repair = &mesh->repair;

	repair->logged_ms = mesh->now_ms;
	event_log(LOG_INFO, "entries_missed",
	    "next=%llu told=%llu gap_ms=%llu requests=%u age_ms=%lld closed=%d",
	    (unsigned long long)repair->gap_from,
	    (unsigned long long)mesh->feed_end,
	    (unsigned long long)(mesh->now_ms - repair->gap_ms),
	    repair->n_requests,
	    (long long)MIN(topic_follower_copy_age(&mesh->registry->endpoints,
			       mesh->now_ms),
		INT64_MAX),
	    closed);
}

/* Notes that the first gap is closed. */
static void
gap_end(struct mesh *mesh)
{
	struct mesh_repair *repair = &mesh->repair;

	if (repair->gap_ms != 0 && mesh->now_ms - repair->gap_ms >= GAP_LOG_MS)
		gap_log(mesh, true);
	repair->gap_ms = 0;
}

/* Notes where the first gap is, and since when. */
static void
gap_update(struct mesh *mesh)
{
	struct mesh_repair *repair = &mesh->repair;
	uint64_t next = mesh->registry->endpoints.next;

	if (repair->gap_ms != 0 && repair->gap_from == next)
		return;
	gap_end(mesh);
	repair->gap_from = next;
	repair->gap_ms = mesh->now_ms;
	repair->logged_ms = mesh->now_ms;
	repair->n_requests = 0;
	repair->counts[REPAIR_GAPS]++;
}

/* Has the store read if a gap has been open for long. */
static void
gap_read_store(struct mesh *mesh)
{
	struct mesh_repair *repair = &mesh->repair;

	if (mesh->now_ms - MAX(repair->gap_ms, repair->read_ms) <
		GAP_STORE_MS ||
	    mesh->missed == NULL)
		return;
	repair->read_ms = mesh->now_ms;
	mesh->missed(mesh->missed_arg);
}

/* Whether this daemon takes entries from others at present. */
static bool
follows_peers(const struct mesh *mesh)
{
	const struct topic_follower *f = &mesh->registry->endpoints;

	return (!f->reader && f->synced && f->snapshot_keys == NULL);
}

/**
 * mesh_repair_round() - ask for entries that are missing here.
 * @mesh: the mesh
 */
void
mesh_repair_round(struct mesh *mesh)
{
	struct mesh_repair *repair = &mesh->repair;
	uint64_t end = repair->settled_end, open_ms;

	repair->settled_end = mesh->feed_end;
	if (!follows_peers(mesh) || mesh->registry->endpoints.next >= end) {
		gap_end(mesh);
		return;
	}
	gap_update(mesh);
	open_ms = mesh->now_ms - repair->gap_ms;
	if (mesh->now_ms - repair->logged_ms >= GAP_LOG_MS)
		gap_log(mesh, false);
	if (open_ms < GAP_OLD_MS || mesh->round % GAP_OLD_ROUNDS == 0)
		repair_ask_all(mesh, end);
	if (mesh->relay == NULL)
		gap_read_store(mesh);
}

/**
 * mesh_repair_note_hop() - note a member that passed a datagram on.
 * @mesh: the mesh
 * @hop: its address
 */
void
mesh_repair_note_hop(struct mesh *mesh, const struct sockaddr_in *hop)
{
	struct mesh_repair *repair = &mesh->repair;

	repair->hops[repair->n_hops++ % REPAIR_HOPS_MAX] = *hop;
}

/* Adds the bytes that may be sent again since the last time. */
static void
tokens_refill(struct mesh *mesh)
{
	struct mesh_repair *repair = &mesh->repair;
	double added =
	    (double)(mesh->now_ms - repair->tokens_ms) * RESEND_BYTES_S / 1000;

	if (repair->tokens_ms == 0)
		added = RESEND_BYTES_BURST;
	repair->tokens = MIN(repair->tokens + added, RESEND_BYTES_BURST);
	repair->tokens_ms = mesh->now_ms;
}

/* Sends a datagram to the whole cell, if many have asked for it. */
static bool
resend_to_cell(struct mesh *mesh, struct feed_datagram *datagram)
{
	struct mesh_repair *repair = &mesh->repair;
	double cost;

	if (datagram->n_requests < SPREAD_REQUESTS || mesh->relay != NULL ||
	    !mesh_spread_large(mesh))
		return (false);
	cost = (double)datagram->length * mesh_spread_groups(mesh);
	if (repair->tokens < cost)
		return (false);
	datagram->n_requests = 0;
	repair->tokens -= cost;
	repair->counts[REPAIR_SPREAD]++;
	mesh_spread(mesh, NULL, datagram->bytes, datagram->length);
	return (true);
}

/* Sends a datagram again, unless too much has been sent. */
static void
resend(struct mesh *mesh, struct feed_datagram *datagram,
    const struct sockaddr_in *to)
{
	struct mesh_repair *repair = &mesh->repair;

	datagram->n_requests++;
	if (resend_to_cell(mesh, datagram))
		return;
	if (repair->tokens <= 0) {
		repair->counts[REPAIR_PACED]++;
		return;
	}
	repair->tokens -= (double)datagram->length;
	repair->counts[REPAIR_RESENT]++;
	mesh->send_datagram(mesh->send_arg, to, datagram->bytes,
	    datagram->length);
}

/**
 * mesh_repair_answer() - send the kept datagrams that a daemon asks for.
 * @mesh: the mesh
 * @request: its request
 * @to: its address
 */
void
mesh_repair_answer(struct mesh *mesh, const struct mesh_resend *request,
    const struct sockaddr_in *to)
{
	struct feed_datagram *datagram;
	unsigned n = 0;

	tokens_refill(mesh);
	TAILQ_FOREACH(datagram, &mesh->feed_log.datagrams, entry) {
		if (datagram->end <= request->from ||
		    datagram->from >= request->end)
			continue;
		if (n++ < ANSWER_MAX)
			resend(mesh, datagram, to);
	}
	mesh->repair.counts[REPAIR_UNKNOWN] += n == 0;
}
