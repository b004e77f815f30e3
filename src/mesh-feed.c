/*
 * Distribution of changed entries of endpoints: sent by the daemon that reads
 * the store, and forwarded by relays to their cells.
 *
 * This saves hundreds of daemons from each reading the store. A lost datagram
 * is compensated for by the repetition of its records with the next one, then
 * by a peer that resends it on request, and only then by a read of the store.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* Records in one datagram; at about 400 bytes each it stays below 5 KB. */
#define ENTRIES_PER_DATAGRAM 12
/* Missing entries may still arrive within this time: the reader sends them just
 * before other daemons' messages can show that they exist. */
#define GAP_WAIT_MS 100
/* Interval between two resend requests. */
#define RESEND_RETRY_MS 150
/* Interval between two times that entries are resent to a whole cell. */
#define RESEND_ALL_MS 300
/* A duplicate of a datagram that takes another path arrives within this time.
 * Later, the same range of offsets is a new message of the reader. */
#define DUPLICATE_MS 100
/* After this time a relay reads the store: some resend requests were lost or
 * not answered. Its members ask it, and read the store themselves only when
 * they have had no update for long, a few at a time: what one missed all may
 * have missed. */
#define GAP_STORE_MS 700

/* Whether entries are sent directly to a daemon of another cell. */
static bool
outside_due(const struct mesh *mesh, const struct mesh_peer *peer)
{
	if (mesh_flat(mesh))
		return (mesh_peer_maybe_alive(mesh, peer) ||
		    mesh_peer_is_relay(mesh, peer));
	return (mesh_peer_is_relay(mesh, peer));
}

/* Sends a datagram to this cell and, if @outside, to the relays of other
 * cells. */
static void
feed_send(struct mesh *mesh, const struct mesh_peer *origin, const char *bytes,
    size_t length, bool outside)
{
	struct mesh_peer *peer;

	mesh_spread(mesh, origin, bytes, length);
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		bool in_cell = mesh_peer_in_cell(mesh, peer);

		if (peer == origin || mesh_peer_reports(mesh, peer))
			continue;
		if ((in_cell && mesh_peer_is_relay(mesh, peer)) ||
		    (outside && !in_cell && outside_due(mesh, peer)))
			mesh->send_datagram(mesh->send_arg, &peer->addr, bytes,
			    length);
	}
}

/* Saves a datagram for peers that miss it. */
static void
feed_save(struct mesh *mesh, uint64_t from, uint64_t end, const char *bytes,
    size_t length)
{
	struct mesh_sent_entries *sent =
	    &mesh->sent_entries[mesh->n_sent_entries++ % MESH_SENT_ENTRIES_MAX];

	g_clear_pointer(&sent->bytes, g_bytes_unref);
	sent->from = from;
	sent->end = end;
	sent->bytes = g_bytes_new(bytes, length);
}

/**
 * mesh_feed_clear() - free the saved datagrams and records.
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

/* Sends a range of the records in one datagram. */
static void
entries_send(struct mesh *mesh, const struct mesh_entries *entries, guint first,
    guint n)
{
	static char out[MESH_DATAGRAM_MAX];
	size_t length = mesh_entries_encode(entries, first, n, out, sizeof out);

	if (length == 0) {
		event_log(LOG_WARNING, "entries_not_sent", "records=%u", n);
		return;
	}
	feed_save(mesh, entries->from, entries->end, out, length);
	if (mesh->relay != NULL)
		mesh->send_datagram(mesh->send_arg, &mesh->relay->addr, out,
		    length);
	else
		feed_send(mesh, NULL, out, length, true);
}

/* Appends copies of records to an array. */
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

/* Orders two records by their store offset. */
static int
by_offset(const void *a, const void *b)
{
	const struct store_record *x = a, *y = b;

	return (x->offset < y->offset ? -1 : x->offset > y->offset);
}

/* Sends all records, in as many datagrams as they need. */
static void
entries_send_all(struct mesh *mesh, struct mesh_entries *entries, uint64_t end)
{
	const GArray *records = entries->records;
	guint first = 0;

	do {
		guint n = MIN(records->len - first, ENTRIES_PER_DATAGRAM);
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
 * mesh_send_entries() - distribute the entries that were read from the store.
 * @mesh: the mesh
 * @from: they were read from this store offset on
 * @end: up to this one
 * @records: the changed records, of struct store_record
 *
 * The records of the previous call are repeated if they fit, so that the loss
 * of one datagram leaves no gap. They are not if another daemon read what lies
 * in between: the datagram would seem to hold that, too.
 */
void
mesh_send_entries(struct mesh *mesh, uint64_t from, uint64_t end,
    const GArray *records)
{
	const struct topic_follower *f = &mesh->registry->endpoints;
	struct mesh_entries entries = { .from = from,
		.regained_age_ms = UINT32_MAX };
	bool repeat = mesh->last_entries != NULL &&
	    mesh->last_entries_from < from && mesh->last_entries_end >= from &&
	    mesh->last_entries->len + records->len <= ENTRIES_PER_DATAGRAM;
	g_autoptr(GArray) all =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(all, store_record_clear);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	if (f->regained_ms != 0)
		entries.regained_age_ms = (uint32_t)MIN(mesh->now_ms -
			MIN(f->regained_ms, mesh->now_ms),
		    UINT32_MAX);
	if (repeat) {
		entries_append(all, mesh->last_entries);
		entries.from = mesh->last_entries_from;
	}
	entries_append(all, records);
	/* The records of a snapshot are ordered by key. */
	g_array_sort(all, by_offset);
	entries.records = all;
	entries_send_all(mesh, &entries, end);
	if (mesh->last_entries == NULL) {
		mesh->last_entries =
		    g_array_new(FALSE, TRUE, sizeof(struct store_record));
		g_array_set_clear_func(mesh->last_entries, store_record_clear);
	}
	g_array_set_size(mesh->last_entries, 0);
	entries_append(mesh->last_entries, records);
	mesh->last_entries_from = from;
	mesh->last_entries_end = end;
}

/* Asks a peer to resend the missing entries. */
static void
feed_request_resend(struct mesh *mesh, const struct mesh_peer *peer)
{
	struct mesh_resend resend = { .from = mesh->registry->endpoints.next };
	char out[MESH_NAME_MAX * 2];
	size_t length;

	if (mesh->resend_asked_ms != 0 &&
	    mesh->now_ms - mesh->resend_asked_ms < RESEND_RETRY_MS)
		return;
	mesh->resend_asked_ms = mesh->now_ms;
	g_strlcpy(resend.name, mesh->name, sizeof resend.name);
	length = mesh_resend_encode(&resend, out, sizeof out);
	mesh->send_datagram(mesh->send_arg, &peer->addr, out, length);
	event_log(LOG_INFO, "entries_missed",
	    "peer=%s next=%llu told=%llu gap_ms=%llu", peer->name,
	    (unsigned long long)resend.from, (unsigned long long)mesh->feed_end,
	    (unsigned long long)(mesh->now_ms - mesh->missing_since_ms));
}

/* Whether a saved datagram begins at an offset or before, and ends after it:
 * those that begin later close no gap there. */
static bool
feed_saved(const struct mesh *mesh, uint64_t offset)
{
	unsigned n = MIN(mesh->n_sent_entries, MESH_SENT_ENTRIES_MAX);

	for (unsigned i = 0; i < n; i++) {
		const struct mesh_sent_entries *sent = &mesh->sent_entries[i];

		if (sent->from <= offset && offset < sent->end)
			return (true);
	}
	return (false);
}

/*
 * Resends the datagrams that a peer missed if all of them are still saved;
 * otherwise the peer has to read the store. In a large cell all members get
 * them, and other requests are ignored for a while: what one missed all may
 * have missed, and hundreds of answers would fill the relay's link, so that
 * still more is lost.
 */
static void
feed_resend(struct mesh *mesh, const struct mesh_resend *resend,
    const struct sockaddr_in *to)
{
	const struct mesh_peer *peer = mesh_find(mesh, resend->name);
	uint64_t spread_ms = MAX(mesh->resent_ms, mesh->forwarded_ms);
	unsigned n = MIN(mesh->n_sent_entries, MESH_SENT_ENTRIES_MAX);
	bool to_all = peer != NULL && mesh_peer_reports(mesh, peer) &&
	    mesh_spread_large(mesh);

	if (!feed_saved(mesh, resend->from))
		return;
	if (to_all && spread_ms != 0 &&
	    mesh->now_ms - spread_ms < RESEND_ALL_MS)
		return;
	if (to_all)
		mesh->resent_ms = mesh->now_ms;

	for (unsigned i = mesh->n_sent_entries - n; i < mesh->n_sent_entries;
	     i++) {
		const struct mesh_sent_entries *sent =
		    &mesh->sent_entries[i % MESH_SENT_ENTRIES_MAX];
		gsize length;
		const char *bytes = g_bytes_get_data(sent->bytes, &length);

		if (sent->end <= resend->from)
			continue;
		if (to_all)
			mesh_spread(mesh, NULL, bytes, length);
		else
			mesh->send_datagram(mesh->send_arg, to, bytes, length);
	}
}

/* Forwards a datagram: a relay sends it to its cell and, if it comes from its
 * cell, to the relays of other cells. */
static void
feed_forward(struct mesh *mesh, const struct mesh_entries *entries,
    const char *bytes, size_t length)
{
	const struct mesh_peer *origin = mesh_find(mesh, entries->name);
	bool in_cell = origin != NULL && mesh_peer_in_cell(mesh, origin);

	if (mesh->relay != NULL || mesh_flat(mesh))
		return;
	mesh->forwarded_from = entries->from;
	mesh->forwarded_end = entries->end;
	mesh->forwarded_ms = mesh->now_ms;
	feed_save(mesh, entries->from, entries->end, bytes, length);
	feed_send(mesh, origin, bytes, length, in_cell);
}

/*
 * Whether a datagram is to be forwarded: once if it arrives by two paths, and
 * not if it was resent on request; one without changes is forwarded too.
 */
static bool
feed_is_new(const struct mesh *mesh, const struct mesh_entries *entries)
{
	bool same = entries->from == mesh->forwarded_from &&
	    entries->end == mesh->forwarded_end;

	return (entries->end >= mesh->feed_end &&
	    (!same || mesh->now_ms - mesh->forwarded_ms >= DUPLICATE_MS));
}

/* Forwards received entries, saves them for resending and applies them. */
static void
feed_apply(struct mesh *mesh, const struct mesh_entries *entries,
    const char *bytes, size_t length)
{
	bool is_new = feed_is_new(mesh, entries);

	mesh->feed_end = MAX(mesh->feed_end, entries->end);
	if (is_new)
		feed_forward(mesh, entries, bytes, length);
	else if (mesh->relay == NULL && !mesh_flat(mesh))
		feed_save(mesh, entries->from, entries->end, bytes, length);
	if (!registry_apply_endpoints(mesh->registry, entries->from,
		entries->end, entries->records, entries->regained_age_ms,
		mesh->now_ms) &&
	    mesh->missing_since_ms == 0)
		mesh->missing_since_ms = mesh->now_ms;
}

/**
 * mesh_receive_entries() - handle a datagram of entries or a resend request.
 * @mesh: the mesh
 * @in: the datagram
 * @length: its length
 * @from: its sender's address
 *
 * Return: false if it is neither of these.
 */
bool
mesh_receive_entries(struct mesh *mesh, char *in, size_t length,
    const struct sockaddr_in *from)
{
	struct mesh_entries entries;
	struct mesh_resend resend;
	bool ok;

	if (mesh_resend_decode(&resend, in, length)) {
		feed_resend(mesh, &resend, from);
		return (true);
	}
	ok = mesh_entries_decode(&entries, in, length);
	if (ok && strcmp(entries.name, mesh->name) != 0)
		feed_apply(mesh, &entries, in, length);
	g_array_free(entries.records, TRUE);
	return (ok);
}

/**
 * mesh_feed_check() - check whether entries are missing here.
 * @mesh: the mesh
 * @peer: a daemon that was heard
 * @end: it has all entries up to this offset; MESH_NO_ENTRIES if it has read
 *	none
 *
 * Asks that daemon to resend them. If that does not help, a relay has the store
 * read.
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
	if (gap >= GAP_STORE_MS && mesh->relay == NULL) {
		mesh->missing_since_ms = mesh->now_ms;
		if (mesh->missed != NULL)
			mesh->missed(mesh->missed_arg);
	} else if (gap >= GAP_WAIT_MS && end > f->next) {
		feed_request_resend(mesh, peer);
	}
}
