/* State that a daemon serves to its peers over HTTP. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "mesh.h"
#include "net-head.h"

/* Room for the header of a response with entries, and for each record's fixed
 * part. */
#define HEADER_BYTES 256

/* Serves the configuration in force here. */
static unsigned
serve_config(const struct mesh *mesh, GString *body)
{
	const GBytes *bytes = mesh->registry->config_bytes;
	gsize length;
	const char *data;

	if (bytes == NULL)
		return (HTTP_STATUS_NOT_FOUND);
	data = g_bytes_get_data((GBytes *)bytes, &length);
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
		return (serve_config(mesh, body));
	if (strcmp(path, MESH_ENTRIES_PATH) == 0)
		return (serve_entries(mesh, body));
	return (HTTP_STATUS_NOT_FOUND);
}
