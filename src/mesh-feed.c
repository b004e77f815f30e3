/*
 * Which entries were read and changed: told by the one that reads the store,
 * told on by relays to their cells.
 *
 * Answers hundreds of daemons that each would read the store for themselves.
 * A datagram that got lost is made good by its repeat with the next, then by
 * asking a relay, and only then by a read of one's own.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* Records in one datagram; at about 400 bytes each it stays below 5 KB. */
#define ENTRIES_TOLD 12
/* Entries that are missing may still be on their way for this long: they leave
 * the reader just before others can say that they are there. */
#define GAP_WAIT_MS 100
/* Between two questions for them. */
#define ASK_AGAIN_MS 150
/* The same datagram by another way comes within this; a later one that says
 * the same is a new word of the reader. */
#define FORWARD_AGAIN_MS 100
/* After this the store is read: some questions were lost or had no answer. */
#define GAP_STORE_MS 700

/* Whether a daemon outside the own cell is told of entries directly. */
static bool
far_due(const struct mesh *mesh, const struct mesh_peer *peer)
{
	if (mesh_flat(mesh))
		return (mesh_peer_maybe_alive(mesh, peer) ||
		    mesh_peer_is_relay(mesh, peer));
	return (mesh_peer_is_relay(mesh, peer));
}

/* Sends a datagram to the own cell, to other relays, or to both. */
static void
feed_send(struct mesh *mesh, const struct mesh_peer *origin, const char *bytes,
    size_t length, bool far)
{
	struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		bool near = mesh_peer_in_cell(mesh, peer);

		if (peer == origin)
			continue;
		if ((near &&
			(mesh_peer_reports(mesh, peer) ||
			    mesh_peer_is_relay(mesh, peer))) ||
		    (far && !near && far_due(mesh, peer)))
			mesh->send_datagram(mesh->send_arg, &peer->addr, bytes,
			    length);
	}
}

/* Keeps a datagram for those that miss it. */
static void
feed_keep(struct mesh *mesh, uint64_t from, uint64_t end, const char *bytes,
    size_t length)
{
	struct mesh_sent_entries *kept =
	    &mesh->sent_entries[mesh->n_sent_entries++ % MESH_SENT_ENTRIES_MAX];

	g_clear_pointer(&kept->bytes, g_bytes_unref);
	kept->from = from;
	kept->end = end;
	kept->bytes = g_bytes_new(bytes, length);
}

/**
 * mesh_feed_clear() - free what is kept.
 * @mesh: the mesh
 */
void
mesh_feed_clear(struct mesh *mesh)
{
	for (unsigned i = 0; i < MESH_SENT_ENTRIES_MAX; i++)
		g_clear_pointer(&mesh->sent_entries[i].bytes, g_bytes_unref);
	if (mesh->last_entries != NULL)
		g_array_free(mesh->last_entries, TRUE);
	mesh->last_entries = NULL;
}

/* Tells some of the records. */
static void
entries_send(struct mesh *mesh, const struct mesh_entries *entries, guint first,
    guint n)
{
	static char out[MESH_DATAGRAM_MAX];
	size_t length = mesh_entries_encode(entries, first, n, out, sizeof out);

	if (length == 0) {
		event_log(LOG_WARNING, "entries_not_told", "records=%u", n);
		return;
	}
	feed_keep(mesh, entries->from, entries->end, out, length);
	if (mesh->relay != NULL)
		mesh->send_datagram(mesh->send_arg, &mesh->relay->addr, out,
		    length);
	else
		feed_send(mesh, NULL, out, length, true);
}

/* Copies records to the end of an array. */
static void
entries_append(GArray *to, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		struct store_record copy =
		    g_array_index(records, struct store_record, i);

		copy.key = g_strdup(copy.key);
		copy.value = g_memdup2(copy.value, copy.length);
		g_array_append_val(to, copy);
	}
}

/* Order of two records by their place in the store. */
static int
by_offset(const void *a, const void *b)
{
	const struct store_record *x = a, *y = b;

	return (x->offset < y->offset ? -1 : x->offset > y->offset);
}

/* Sends records in as many datagrams as they need. */
static void
entries_tell(struct mesh *mesh, struct mesh_entries *entries, uint64_t end)
{
	const GArray *records = entries->records;
	guint first = 0;

	do {
		guint n = MIN(records->len - first, ENTRIES_TOLD);
		guint last = first + n;

		/* A snapshot may hold records that are newer than its end. */
		entries->end = last < records->len ?
		    MIN(g_array_index(records, struct store_record, last)
			    .offset,
			end) :
		    end;
		entries_send(mesh, entries, first, n);
		entries->from = entries->end;
		first = last;
	} while (first < records->len);
}

/**
 * mesh_send_entries() - tell the others what was read and changed.
 * @mesh: the mesh
 * @from: read from this offset
 * @end: to this one
 * @records: what changed, of struct store_record
 *
 * What was told the last time is told again, if it fits, so that one lost
 * datagram leaves no gap.
 */
void
mesh_send_entries(struct mesh *mesh, uint64_t from, uint64_t end,
    const GArray *records)
{
	const struct topic_follower *f = &mesh->registry->endpoints;
	struct mesh_entries entries = { .from = from,
		.returned_ms = UINT32_MAX };
	bool again = mesh->last_entries != NULL &&
	    mesh->last_entries_from < from &&
	    mesh->last_entries->len + records->len <= ENTRIES_TOLD;
	g_autoptr(GArray) all =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(all, store_record_clear);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	if (f->regained_ms != 0)
		entries.returned_ms = (uint32_t)MIN(mesh->now_ms -
			MIN(f->regained_ms, mesh->now_ms),
		    UINT32_MAX);
	if (again) {
		entries_append(all, mesh->last_entries);
		entries.from = mesh->last_entries_from;
	}
	entries_append(all, records);
	/* Those of a snapshot are in the order of their keys. */
	g_array_sort(all, by_offset);
	entries.records = all;
	entries_tell(mesh, &entries, end);
	if (mesh->last_entries == NULL) {
		mesh->last_entries =
		    g_array_new(FALSE, TRUE, sizeof(struct store_record));
		g_array_set_clear_func(mesh->last_entries, store_record_clear);
	}
	g_array_set_size(mesh->last_entries, 0);
	entries_append(mesh->last_entries, records);
	mesh->last_entries_from = from;
}

/* Asks a peer for what is missing here. */
static void
feed_ask(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct mesh_resend ask = { .from = mesh->registry->endpoints.next };
	char out[MESH_NAME_MAX * 2];
	size_t length;

	if (mesh->resend_asked_ms != 0 &&
	    mesh->now_ms - mesh->resend_asked_ms < ASK_AGAIN_MS)
		return;
	mesh->resend_asked_ms = mesh->now_ms;
	g_strlcpy(ask.name, mesh->name, sizeof ask.name);
	length = mesh_resend_encode(&ask, out, sizeof out);
	mesh->send_datagram(mesh->send_arg, &peer->addr, out, length);
	event_log(LOG_INFO, "entries_missed",
	    "peer=%s next=%llu told=%llu gap_ms=%llu", peer->name,
	    (unsigned long long)ask.from, (unsigned long long)mesh->feed_end,
	    (unsigned long long)(mesh->now_ms - mesh->missing_since_ms));
}

/* Sends again what a peer missed, as far as it is kept. */
static void
feed_answer(struct mesh *mesh, const struct mesh_resend *ask,
    const struct sockaddr_in *to)
{
	unsigned n = MIN(mesh->n_sent_entries, MESH_SENT_ENTRIES_MAX);

	for (unsigned i = mesh->n_sent_entries - n; i < mesh->n_sent_entries;
	     i++) {
		const struct mesh_sent_entries *kept =
		    &mesh->sent_entries[i % MESH_SENT_ENTRIES_MAX];
		gsize length;
		const char *bytes = g_bytes_get_data(kept->bytes, &length);

		if (kept->end > ask->from)
			mesh->send_datagram(mesh->send_arg, to, bytes, length);
	}
}

/* A relay tells its cell, and the others what comes from its cell. */
static void
feed_forward(struct mesh *mesh, const struct mesh_entries *entries,
    const char *bytes, size_t length)
{
	const struct mesh_peer *origin = mesh_find(mesh, entries->name);
	bool own = origin != NULL && mesh_peer_in_cell(mesh, origin);

	if (mesh->relay != NULL || mesh_flat(mesh))
		return;
	mesh->forwarded_from = entries->from;
	mesh->forwarded_end = entries->end;
	mesh->forwarded_ms = mesh->now_ms;
	feed_keep(mesh, entries->from, entries->end, bytes, length);
	feed_send(mesh, origin, bytes, length, own);
}

/*
 * Whether a datagram is to be told on: once if it comes by two ways, not if it
 * was asked for, but also if it tells that nothing changed.
 */
static bool
feed_fresh(const struct mesh *mesh, const struct mesh_entries *entries)
{
	bool same = entries->from == mesh->forwarded_from &&
	    entries->end == mesh->forwarded_end;

	return (entries->end >= mesh->feed_end &&
	    (!same || mesh->now_ms - mesh->forwarded_ms >= FORWARD_AGAIN_MS));
}

/* Takes in what was read and changed, and tells it on. */
static void
feed_take(struct mesh *mesh, const struct mesh_entries *entries,
    const char *bytes, size_t length)
{
	bool fresh = feed_fresh(mesh, entries);

	mesh->feed_end = MAX(mesh->feed_end, entries->end);
	if (fresh)
		feed_forward(mesh, entries, bytes, length);
	else if (mesh->relay == NULL && !mesh_flat(mesh))
		feed_keep(mesh, entries->from, entries->end, bytes, length);
	if (!registry_apply_endpoints(mesh->registry, entries->from,
		entries->end, entries->records, entries->returned_ms,
		mesh->now_ms) &&
	    mesh->missing_since_ms == 0)
		mesh->missing_since_ms = mesh->now_ms;
}

/**
 * mesh_receive_entries() - take in a datagram about entries.
 * @mesh: the mesh
 * @in: the datagram
 * @length: its length
 * @from: where it came from
 *
 * Return: false where it is about something else.
 */
bool
mesh_receive_entries(struct mesh *mesh, char *in, size_t length,
    const struct sockaddr_in *from)
{
	struct mesh_entries entries;
	struct mesh_resend ask;
	bool ok;

	if (mesh_resend_decode(&ask, in, length)) {
		feed_answer(mesh, &ask, from);
		return (true);
	}
	ok = mesh_entries_decode(&entries, in, length);
	if (ok && strcmp(entries.name, mesh->name) != 0)
		feed_take(mesh, &entries, in, length);
	g_array_free(entries.records, TRUE);
	return (ok);
}

/**
 * mesh_feed_check() - see whether entries are missing here.
 * @mesh: the mesh
 * @peer: a daemon that was heard
 * @end: its entries are complete up to this offset, or MESH_NO_ENTRIES
 *
 * Asks it for them, and reads the store where that does not help.
 */
void
mesh_feed_check(struct mesh *mesh, const struct mesh_peer *peer, uint64_t end)
{
	struct topic_follower *f = &mesh->registry->endpoints;
	uint64_t gap;

	if (end == MESH_NO_ENTRIES)
		return;
	if (mesh_peer_is_relay(mesh, peer))
		mesh->feed_end = MAX(mesh->feed_end, end);
	if (f->reader || !f->synced || f->snapshot_keys != NULL ||
	    f->next >= mesh->feed_end) {
		mesh->missing_since_ms = 0;
		return;
	}
	if (mesh->missing_since_ms == 0)
		mesh->missing_since_ms = mesh->now_ms;
	gap = mesh->now_ms - mesh->missing_since_ms;
	if (gap >= GAP_STORE_MS) {
		mesh->missing_since_ms = mesh->now_ms;
		if (mesh->missed != NULL)
			mesh->missed(mesh->missed_arg);
	} else if (gap >= GAP_WAIT_MS && end > f->next) {
		feed_ask(mesh, peer);
	}
}
