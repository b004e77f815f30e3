/* What a daemon gives to others that ask for it, and fetches when it starts. */
#include <string.h>

#include "event-log.h"
#include "mesh.h"
#include "net-call.h"

#define ENTRIES_PATH "/entries"
/* Entries of some hundred endpoints at some hundred bytes each, to a cell of
 * daemons that all start at once. */
#define FETCH_TIMEOUT_MS 1500
/* Room for the head of an answer with entries. */
#define HEAD_BYTES 256

/* The configuration in force here. */
static unsigned
serve_config(const struct mesh *mesh, GString *body)
{
	const GBytes *bytes = mesh->registry->config_bytes;
	gsize length;
	const char *at;

	if (bytes == NULL)
		return (HTTP_STATUS_NOT_FOUND);
	at = g_bytes_get_data((GBytes *)bytes, &length);
	g_string_append_len(body, at, (gssize)length);
	return (HTTP_STATUS_OK);
}

/* Room that records take at most when they are encoded. */
static size_t
records_room(const GArray *records)
{
	size_t room = HEAD_BYTES;

	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);

		room += HEAD_BYTES + strlen(record->key) + record->length;
	}
	return (room);
}

/* The entries of all endpoints that serve. */
static unsigned
serve_entries(const struct mesh *mesh, GString *body)
{
	struct mesh_entries entries = { .returned_ms = UINT32_MAX };
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_autofree char *out = NULL;
	size_t room, length;

	if (!mesh->registry->endpoints.synced)
		return (HTTP_STATUS_NOT_FOUND);
	g_array_set_clear_func(records, store_record_clear);
	registry_get_snapshot(mesh->registry, records);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	entries.end = mesh->registry->endpoints.next;
	entries.records = records;
	room = records_room(records);
	out = g_malloc(room);
	length = mesh_entries_encode(&entries, 0, records->len, out, room);
	if (length == 0)
		return (HTTP_STATUS_NOT_FOUND);
	g_string_append_len(body, out, (gssize)length);
	return (HTTP_STATUS_OK);
}

/**
 * mesh_serve() - answer another daemon.
 * @arg: the struct mesh
 * @path: asked for
 * @body: filled in
 */
unsigned
mesh_serve(void *arg, const char *path, GString *body)
{
	const struct mesh *mesh = arg;

	if (strcmp(path, MESH_CONFIG_PATH) == 0)
		return (serve_config(mesh, body));
	if (strcmp(path, ENTRIES_PATH) == 0)
		return (serve_entries(mesh, body));
	return (HTTP_STATUS_NOT_FOUND);
}

static void
on_entries(void *arg, const struct net_response *answer)
{
	struct mesh *mesh = arg;
	struct mesh_entries entries;

	mesh->fetching_entries = false;
	if (answer->status != HTTP_STATUS_OK) {
		event_log(LOG_INFO, "entries_not_fetched", "status=%u",
		    answer->status);
		return;
	}
	if (!mesh_entries_decode(&entries, (char *)answer->body->data,
		answer->body->len))
		event_log(LOG_WARNING, "entries_ignored",
		    "bytes=%u reason=format", answer->body->len);
	else
		registry_apply_snapshot(mesh->registry, entries.end,
		    entries.records, mesh->now_ms);
	g_array_free(entries.records, TRUE);
}

/*
 * Whether a daemon should be asked: the relay, by one that waits for it; any
 * relay, by one that the store does not answer.
 */
static bool
fetch_from(const struct mesh *mesh, const struct mesh_peer *peer)
{
	const struct topic_follower *f = &mesh->registry->endpoints;

	if (f->synced || mesh->fetching_entries)
		return (false);
	return (f->held ? peer == mesh->relay :
			  f->failures > 0 && mesh_peer_is_relay(mesh, peer));
}

/**
 * mesh_fetch_entries() - fetch all entries from a relay, at the start.
 * @mesh: the mesh
 * @peer: a daemon that was heard
 * @end: its entries are complete up to this offset, or MESH_NO_ENTRIES
 */
void
mesh_fetch_entries(struct mesh *mesh, struct mesh_peer *peer, uint64_t end)
{
	const struct net_request req = { .method = "GET",
		.target = ENTRIES_PATH };

	if (end == MESH_NO_ENTRIES || !fetch_from(mesh, peer))
		return;
	mesh->fetching_entries =
	    net_call_start(&peer->pool, &req, FETCH_TIMEOUT_MS, on_entries,
		mesh) != NULL;
}
