/* Telling the other daemons which entries were read and changed. */
#include <string.h>

#include "event-log.h"
#include "mesh-entries.h"
#include "mesh.h"

/* Records in one datagram; at about 400 bytes each it stays below 5 KB. */
#define ENTRIES_TOLD 12

/* Tells all living peers some of the records. */
static void
entries_send(struct mesh *mesh, const struct mesh_entries *entries, guint first,
    guint n)
{
	static char out[MESH_BYTES];
	struct mesh_peer *peer;
	uv_buf_t buf;

	buf = uv_buf_init(out,
	    (unsigned)mesh_entries_encode(entries, first, n, out, sizeof out));
	if (buf.len == 0) {
		event_log(LOG_WARNING, "entries_not_told", "records=%u", n);
		return;
	}
	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		/* A lost datagram shows as a gap; the peer reads for itself. */
		if (mesh_peer_lives(mesh, peer))
			(void)uv_udp_try_send(&mesh->udp, &buf, 1,
			    (const struct sockaddr *)&peer->addr);
	}
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

/* Sends records in as many datagrams as they need. */
static void
entries_tell(struct mesh *mesh, struct mesh_entries *entries, uint64_t end)
{
	const GArray *records = entries->records;
	guint first = 0;

	do {
		guint n = MIN(records->len - first, ENTRIES_TOLD);
		guint last = first + n;

		entries->end = last < records->len ?
		    g_array_index(records, struct store_record, last).offset :
		    end;
		entries_send(mesh, entries, first, n);
		entries->from = entries->end;
		first = last;
	} while (first < records->len);
}

/**
 * mesh_tell_entries() - tell the others what was read and changed.
 * @mesh: the mesh
 * @from: read from this offset
 * @end: to this one
 * @records: what changed, of struct store_record
 *
 * What was told the last time is told again, if it fits, so that one lost
 * datagram leaves no gap.
 */
void
mesh_tell_entries(struct mesh *mesh, uint64_t from, uint64_t end,
    const GArray *records)
{
	const struct dir_follow *f = &mesh->dir->endpoints;
	struct mesh_entries entries = { .from = from,
		.returned_ms = UINT32_MAX };
	bool again = mesh->told != NULL && mesh->told_from < from &&
	    mesh->told->len + records->len <= ENTRIES_TOLD;
	g_autoptr(GArray) all =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(all, store_record_clear);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	if (f->regained_ms != 0)
		entries.returned_ms =
		    (uint32_t)MIN(uv_now(mesh->loop) - f->regained_ms,
			UINT32_MAX);
	if (again) {
		entries_append(all, mesh->told);
		entries.from = mesh->told_from;
	}
	entries_append(all, records);
	entries.records = all;
	entries_tell(mesh, &entries, end);
	if (mesh->told == NULL) {
		mesh->told =
		    g_array_new(FALSE, TRUE, sizeof(struct store_record));
		g_array_set_clear_func(mesh->told, store_record_clear);
	}
	g_array_set_size(mesh->told, 0);
	entries_append(mesh->told, records);
	mesh->told_from = from;
}
