/*
 * Distribution of changed entries of endpoints: sent by the daemon that reads
 * the store, and forwarded by relays to their cells.
 *
 * This saves hundreds of daemons from each reading the store. A lost datagram
 * is compensated for by the repetition of its records with the next one, then
 * by a daemon that sends it again on request (mesh-repair.c), and only then by
 * a read of the store.
 */
#include <string.h>

#include "event-log.h"
#include "mesh.h"

/* Records in one datagram; at about 400 bytes each it stays below 5 KB. */
#define ENTRIES_PER_DATAGRAM 12

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

/**
 * mesh_feed_clear() - free the saved datagrams and records.
 * @mesh: the mesh
 */
void
mesh_feed_clear(struct mesh *mesh)
{
	feed_log_clear(&mesh->feed_log);
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
	/* Nobody asks for one that says that nothing has changed. */
	if (entries->from < entries->end)
		feed_log_add(&mesh->feed_log, entries, out, length,
		    mesh->now_ms);
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

/* Number of records of the next datagram. Removals with the same offset stay
 * together: each datagram has a range of offsets of its own. */
static guint
entries_count(const GArray *records, guint first)
{
	guint n = MIN(records->len - first, ENTRIES_PER_DATAGRAM);

	while (first + n < records->len) {
		const struct store_record *next =
		    &g_array_index(records, struct store_record, first + n);

		if (next->value != NULL || next->offset > next[-1].offset)
			break;
		n++;
	}
	return (n);
}

/* Sends all records, in as many datagrams as they need. */
static void
entries_send_all(struct mesh *mesh, struct mesh_entries *entries, uint64_t end)
{
	const GArray *records = entries->records;
	uint32_t age_ms = entries->stamp.age_ms;
	guint first = 0;

	do {
		guint n = entries_count(records, first);
		guint last = first + n;

		/* A snapshot may hold records that are newer than its end, or
		 * older than its beginning. */
		entries->end = end;
		if (last < records->len)
			entries->end = CLAMP(g_array_index(records,
						 struct store_record, last)
						 .offset,
			    entries->from, end);
		/* The topic did not end where the first datagrams do. */
		entries->stamp.age_ms =
		    last < records->len ? UINT32_MAX : age_ms;
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
	uint64_t regained_ms = mesh->registry->outage.regained_ms;
	struct mesh_entries entries = { .from = from,
		.regained_age_ms = UINT32_MAX };
	bool repeat = mesh->last_entries != NULL &&
	    mesh->last_entries_from < from && mesh->last_entries_end >= from &&
	    mesh->last_entries->len + records->len <= ENTRIES_PER_DATAGRAM;
	g_autoptr(GArray) all =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(all, store_record_clear);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	if (regained_ms != 0)
		entries.regained_age_ms =
		    (uint32_t)MIN(mesh->now_ms - MIN(regained_ms, mesh->now_ms),
			UINT32_MAX);
	entries.stamp.incarnation = mesh->incarnation;
	entries.stamp.sent_ms = mesh->now_ms;
	entries.stamp.age_ms = f->more ?
	    UINT32_MAX :
	    (uint32_t)MIN(topic_follower_age(f, mesh->now_ms), UINT32_MAX);
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
	feed_send(mesh, origin, bytes, length, in_cell);
}

/* Loop time at which a datagram was sent; without a stamp it is dated by its
 * arrival. */
static uint64_t
feed_sent_ms(struct mesh *mesh, const struct mesh_stamp *stamp)
{
	if (stamp->incarnation == 0)
		return (mesh->now_ms);
	return (feed_clocks_date(&mesh->feed_clocks, stamp->incarnation,
	    stamp->sent_ms, mesh->now_ms));
}

/* Loop time of what was so old when a datagram was sent; 0 for never. */
static uint64_t
feed_date_age(uint32_t age_ms, uint64_t sent_ms)
{
	if (age_ms == UINT32_MAX || age_ms >= sent_ms)
		return (0);
	return (sent_ms - age_ms);
}

/* Loop time as of which the topic ended where a datagram does; 0 for unknown.
 */
static uint64_t
feed_as_of_ms(const struct mesh_stamp *stamp, uint64_t sent_ms)
{
	if (stamp->incarnation == 0)
		return (sent_ms);
	return (feed_date_age(stamp->age_ms, sent_ms));
}

/* Applies the records of a datagram. */
static void
feed_apply(struct mesh *mesh, const struct mesh_entries *entries)
{
	uint64_t sent_ms = feed_sent_ms(mesh, &entries->stamp);
	const struct topic_update update = {
		.from = entries->from,
		.end = entries->end,
		.as_of_ms = feed_as_of_ms(&entries->stamp, sent_ms),
		.took_ms = entries->stamp.age_ms,
		.records = entries->records,
	};

	if (entries->records->len > 0 &&
	    entries->end > mesh->registry->endpoints.next)
		histogram_add(&mesh->repair.delays, mesh->now_ms - sent_ms);
	registry_apply_endpoints(mesh->registry, &update,
	    feed_date_age(entries->regained_age_ms, sent_ms), mesh->now_ms);
}

/* Saves received entries for others, forwards them once, whatever order they
 * arrive in, and applies them. */
static void
feed_receive(struct mesh *mesh, const struct mesh_entries *entries,
    const char *bytes, size_t length)
{
	bool is_new =
	    feed_log_add(&mesh->feed_log, entries, bytes, length, mesh->now_ms);

	/* Without a stamp, what was resent can't be told from what is new. */
	if (entries->stamp.incarnation == 0 && entries->end < mesh->feed_end)
		is_new = false;
	mesh->feed_end = MAX(mesh->feed_end, entries->end);
	if (is_new)
		feed_forward(mesh, entries, bytes, length);
	feed_apply(mesh, entries);
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
		mesh_repair_answer(mesh, &resend, from);
		return (true);
	}
	ok = mesh_entries_decode(&entries, in, length);
	if (ok && strcmp(entries.name, mesh->name) != 0)
		feed_receive(mesh, &entries, in, length);
	g_array_free(entries.records, TRUE);
	return (ok);
}

/**
 * mesh_feed_note_end() - note up to which offset another daemon has all
 * entries.
 * @mesh: the mesh
 * @peer: the daemon
 * @end: the offset; MESH_NO_ENTRIES if it has read none
 */
void
mesh_feed_note_end(struct mesh *mesh, struct mesh_peer *peer, uint64_t end)
{
	peer->entries_end = end;
	if (end != MESH_NO_ENTRIES && mesh_peer_is_relay(mesh, peer))
		mesh->feed_end = MAX(mesh->feed_end, end);
}
