/* Client of the log over HTTP; docs/INTERFACES.md describes the protocol. */
#include <inttypes.h>

#include "cleanup.h"
#include "error.h"
#include "http-client.h"
#include "log-client.h"

#define APPEND_TIMEOUT_MS 2000
/* Timeout of a read, in addition to the time that the log may wait. */
#define READ_TIMEOUT_MS 2000
#define READ_MAX_RECORDS 1000

struct log_http {
	struct log_client client;
	char *url;
};

static bool
log_http_append(struct log_client *client, const char *stream, json_t *record,
    uint64_t *offset, GError **error)
{
	struct log_http *log = (struct log_http *)client;
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	g_autofree char *url = NULL;

	url = g_strdup_printf("%s/streams/%s/records", log->url, stream);
	if (!http_client_send("POST", url, record, NULL, APPEND_TIMEOUT_MS,
		&response, NULL) ||
	    response.status != 200) {
		error_set(error, ERROR_LOG_UNAVAILABLE,
		    "log: append unconfirmed, status %ld", response.status);
		return (false);
	}
	*offset = (uint64_t)json_integer_value(
	    json_object_get(response.json, "offset"));
	return (true);
}

/* Appends the records of a response to a batch. */
static void
batch_fill(struct log_batch *batch, json_t *records)
{
	struct log_record record;
	json_t *item, *offset;
	size_t i;

	json_array_foreach(records, i, item) {
		offset = json_object_get(item, "offset");
		record.offset = (uint64_t)json_integer_value(offset);
		record.json =
		    json_loads(json_string_value(json_object_get(item, "data")),
			0, NULL);
		g_array_append_val(batch->records, record);
	}
}

static bool
log_http_read(struct log_client *client, const char *stream, uint64_t from,
    unsigned wait_ms, struct log_batch *batch, GError **error)
{
	struct log_http *log = (struct log_http *)client;
	CLEANUP(http_response_clear) struct http_response response = { 0 };
	g_autofree char *url = NULL;

	log_batch_init(batch);
	url = g_strdup_printf("%s/streams/%s/records?from=%" PRIu64
			      "&max=%d&wait_ms=%u",
	    log->url, stream, from, READ_MAX_RECORDS, wait_ms);
	if (!http_client_get(url, READ_TIMEOUT_MS + (long)wait_ms, &response,
		NULL) ||
	    (response.status != 200 && response.status != 410)) {
		error_set(error, ERROR_LOG_UNAVAILABLE,
		    "log: read failed, status %ld", response.status);
		return (false);
	}
	batch->first = (uint64_t)json_integer_value(
	    json_object_get(response.json, "first"));
	batch->next = (uint64_t)json_integer_value(
	    json_object_get(response.json, "next"));
	if (response.status == 410) {
		error_set(error, ERROR_LOG_TRIMMED,
		    "log: offset %" PRIu64 " is no longer kept", from);
		return (false);
	}
	batch_fill(batch, json_object_get(response.json, "records"));
	return (true);
}

static void
log_http_close(struct log_client *client)
{
	struct log_http *log = (struct log_http *)client;

	g_free(log->url);
	g_free(log);
}

static const struct log_ops log_http_ops = {
	.append = log_http_append,
	.read = log_http_read,
	.close = log_http_close,
};

/**
 * log_http_open() - create a client of a log service over HTTP.
 * @url: base URL of the service
 */
struct log_client *
log_http_open(const char *url)
{
	struct log_http *log;

	log = g_new0(struct log_http, 1);
	log->client.ops = &log_http_ops;
	log->url = g_strdup(url);
	return (&log->client);
}
