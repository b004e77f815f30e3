/* State that a daemon serves to its peers over HTTP, and fetches when it
 * starts. */
#include <string.h>

#include "clock.h"
#include "deflate.h"
#include "event-log.h"
#include "mesh.h"
#include "net-call.h"

#define ENTRIES_PATH "/entries"
/* Entries of some hundred endpoints at some hundred bytes each, served to a
 * cell of daemons that all start at once. */
#define FETCH_TIMEOUT_MS 1500
/* Room for the header of a response with entries, and for each record's fixed
 * part. */
#define HEADER_BYTES 256

/* Returns the configuration in force here, compressed. */
static GBytes *
config_packed(struct registry *registry)
{
	GBytes *bytes = registry->config_bytes;

	if (registry->config_packed == NULL && bytes != NULL)
		registry->config_packed =
		    deflate_pack(g_bytes_get_data(bytes, NULL),
			g_bytes_get_size(bytes));
	return (registry->config_packed);
}

/* Serves an encoding of the configuration in force here. */
static unsigned
serve_bytes(GBytes *bytes, GString *body)
{
	gsize length;
	const char *data;

	if (bytes == NULL)
		return (HTTP_STATUS_NOT_FOUND);
	data = g_bytes_get_data(bytes, &length);
	g_string_append_len(body, data, (gssize)length);
	return (HTTP_STATUS_OK);
}

/* Upper bound of the encoded size of records. */
static size_t
records_size_max(const GArray *records)
{
	size_t size = HEADER_BYTES;

	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);

		size += HEADER_BYTES + strlen(record->key) + record->length;
	}
	return (size);
}

/* Serves the entries of all endpoints that serve. */
static unsigned
serve_entries(const struct mesh *mesh, GString *body)
{
	struct mesh_entries entries = { .regained_age_ms = UINT32_MAX };
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_autofree char *out = NULL;
	size_t size, length;

	if (!mesh->registry->endpoints.synced)
		return (HTTP_STATUS_NOT_FOUND);
	g_array_set_clear_func(records, store_record_clear);
	registry_get_snapshot(mesh->registry, records);
	g_strlcpy(entries.name, mesh->name, sizeof entries.name);
	entries.end = mesh->registry->endpoints.next;
	entries.records = records;
	entries.stamp.incarnation = mesh->incarnation;
	entries.stamp.age_ms =
	    (uint32_t)MIN(topic_follower_copy_age(&mesh->registry->endpoints,
			      clock_loop_ms(mesh->loop)),
		UINT32_MAX);
	size = records_size_max(records);
	out = g_malloc(size);
	length = mesh_entries_encode(&entries, 0, records->len, out, size);
	if (length == 0)
		return (HTTP_STATUS_NOT_FOUND);
	g_string_append_len(body, out, (gssize)length);
	return (HTTP_STATUS_OK);
}

/**
 * mesh_serve() - respond to a request of another daemon.
 * @arg: the struct mesh
 * @path: path of the request
 * @body: filled in
 *
 * Return: HTTP status.
 */
unsigned
mesh_serve(void *arg, const char *path, GString *body)
{
	const struct mesh *mesh = arg;

	if (strcmp(path, MESH_CONFIG_PATH) == 0)
		return (serve_bytes(mesh->registry->config_bytes, body));
	if (strcmp(path, MESH_CONFIG_PACKED_PATH) == 0)
		return (serve_bytes(config_packed(mesh->registry), body));
	if (strcmp(path, ENTRIES_PATH) == 0)
		return (serve_entries(mesh, body));
	return (HTTP_STATUS_NOT_FOUND);
}

/* Loop time as of which fetched entries are complete, given their age when they
 * were served; 0 for unknown. */
static uint64_t
fetched_as_of_ms(const struct mesh *mesh, const struct mesh_stamp *stamp)
{
	if (stamp->age_ms >= mesh->fetch_entries_ms)
		return (0);
	return (mesh->fetch_entries_ms - stamp->age_ms);
}

/* Applies fetched entries. */
static void
on_entries(void *arg, const struct net_response *response)
{
	struct mesh *mesh = arg;
	struct mesh_entries entries;

	mesh->fetching_entries = false;
	if (response->status != HTTP_STATUS_OK) {
		event_log(LOG_INFO, "entries_not_fetched", "status=%u",
		    response->status);
		return;
	}
	if (!mesh_entries_decode(&entries, (char *)response->body->data,
		response->body->len))
		event_log(LOG_WARNING, "entries_ignored",
		    "bytes=%u reason=format", response->body->len);
	else
		registry_apply_snapshot(mesh->registry, entries.end,
		    entries.records, fetched_as_of_ms(mesh, &entries.stamp));
	g_array_free(entries.records, TRUE);
}

/*
 * Whether to fetch from a daemon: from its relay, if this daemon waits for
 * that; from any relay, if the store does not answer.
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
 * mesh_fetch_entries() - fetch all entries from a relay at the start.
 * @mesh: the mesh
 * @peer: a daemon that was heard
 * @end: it has all entries up to this offset; MESH_NO_ENTRIES if it has read
 *	none
 */
void
mesh_fetch_entries(struct mesh *mesh, struct mesh_peer *peer, uint64_t end)
{
	const struct net_request req = { .method = "GET",
		.target = ENTRIES_PATH };

	if (end == MESH_NO_ENTRIES || !fetch_from(mesh, peer))
		return;
	mesh->fetch_entries_ms = mesh->now_ms;
	mesh->fetching_entries =
	    net_call_start(&peer->pool, &req, FETCH_TIMEOUT_MS, on_entries,
		mesh) != NULL;
}
