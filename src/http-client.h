/* Short HTTP calls with JSON answers: log, host list, probes, orders. */
#ifndef BL_HTTP_CLIENT_H
#define BL_HTTP_CLIENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * struct http_response - the answer to a short call.
 * @status: HTTP status, 0 when there was no answer
 * @json: the parsed body, or NULL when it is not JSON
 * @etag: the entity tag, or NULL
 */
struct http_response {
	long status;
	json_t *json;
	char *etag;
};

void http_response_clear(struct http_response *);
bool http_client_get(const char *, long, struct http_response *, GError **);
bool http_client_get_changed(const char *, const char *, long,
    struct http_response *, GError **);
bool http_client_send(const char *, const char *, json_t *, const char *, long,
    struct http_response *, GError **);

#endif
