/* Blocking HTTP calls with JSON responses. */
#include <curl/curl.h>
#include <string.h>

#include "cleanup.h"
#include "control-traffic.h"
#include "error.h"
#include "http-client.h"
#include "http-head.h"

/* Largest body of a response; none that this project sends is larger. */
#define RESPONSE_MAX_BYTES (64u * 1024 * 1024)

#define HTTP_OK 200

/* One libcurl handle per thread, so that connections are reused. */
static GPrivate thread_handle =
    G_PRIVATE_INIT((GDestroyNotify)curl_easy_cleanup);

/* Returns the thread's handle with the options of all calls. */
static CURL *
handle_get(void)
{
	CURL *curl = g_private_get(&thread_handle);

	if (curl == NULL) {
		curl = curl_easy_init();
		g_private_set(&thread_handle, curl);
	}
	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	return (curl);
}

/* Collects the body; one larger than RESPONSE_MAX_BYTES fails the call. */
static size_t
body_write(char *data, size_t size, size_t n, void *arg)
{
	GByteArray *body = arg;

	if (body->len + size * n > RESPONSE_MAX_BYTES)
		return (0);
	g_byte_array_append(body, (const guint8 *)data, (guint)(size * n));
	return (size * n);
}

/* Fills in a response that was received whole. A success without JSON was cut
 * short if only the close of the connection ends its body. */
static bool
response_fill(struct http_response *response, const struct http_head *head,
    const GByteArray *body, GError **error)
{
	response->json = json_loadb((const char *)body->data, body->len,
	    JSON_ALLOW_NUL, NULL);
	if (head->status == HTTP_OK && response->json == NULL) {
		error_set(error, ERROR_ENDPOINT_FAILED,
		    "the response is not JSON");
		return (false);
	}
	response->status = head->status;
	response->etag = g_strdup(g_hash_table_lookup(head->fields, "etag"));
	return (true);
}

/* Runs the prepared call and parses the response. */
static bool
call_perform(CURL *curl, const char *url, long timeout_ms,
    struct http_response *response, GError **error)
{
	g_autoptr(GByteArray) body = g_byte_array_new();
	CLEANUP(http_head_clear) struct http_head head;
	long sent = 0, headers = 0;
	CURLcode rc;

	memset(response, 0, sizeof *response);
	http_head_watch(&head, curl);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, body_write);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(curl, CURLINFO_HEADER_SIZE, &headers);
	control_traffic_add(TRAFFIC_LOG,
	    (uint64_t)sent + (uint64_t)headers + body->len);
	if (!http_head_whole(&head, rc)) {
		error_set(error, ERROR_ENDPOINT_FAILED, "%s",
		    http_head_error(rc));
		return (false);
	}
	return (response_fill(response, &head, body, error));
}

/**
 * http_response_clear() - free what a response holds; a cleanup function.
 * @response: the response
 */
void
http_response_clear(struct http_response *response)
{
	json_decref(response->json);
	response->json = NULL;
	g_clear_pointer(&response->etag, g_free);
}

/**
 * http_client_get() - GET a URL.
 * @url: the URL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @response: filled in, whatever the status
 * @error: ERROR_ENDPOINT_FAILED if there was no response
 *
 * Return: whether there was a response.
 */
bool
http_client_get(const char *url, long timeout_ms,
    struct http_response *response, GError **error)
{
	return (call_perform(handle_get(), url, timeout_ms, response, error));
}

/**
 * http_client_get_changed() - GET a URL if it has changed.
 * @url: the URL
 * @etag: entity tag of the last response, or NULL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @response: filled in; status 304 if the resource has not changed
 * @error: ERROR_ENDPOINT_FAILED if there was no response
 *
 * Return: whether there was a response.
 */
bool
http_client_get_changed(const char *url, const char *etag, long timeout_ms,
    struct http_response *response, GError **error)
{
	CURL *curl = handle_get();
	struct curl_slist *headers = NULL;
	g_autofree char *line = NULL;
	bool ok;

	if (etag != NULL) {
		line = g_strconcat("If-None-Match: ", etag, NULL);
		headers = curl_slist_append(NULL, line);
		curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	}
	ok = call_perform(curl, url, timeout_ms, response, error);
	curl_slist_free_all(headers);
	return (ok);
}

/**
 * http_client_send() - send JSON to a URL.
 * @method: such as "POST"
 * @url: the URL
 * @body: the JSON, or NULL for none; stays the caller's
 * @token: a bearer token, or NULL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @response: filled in, whatever the status
 * @error: ERROR_ENDPOINT_FAILED if there was no response; the call may have
 *	taken effect
 *
 * Return: whether there was a response.
 */
bool
http_client_send(const char *method, const char *url, json_t *body,
    const char *token, long timeout_ms, struct http_response *response,
    GError **error)
{
	CURL *curl = handle_get();
	struct curl_slist *headers = NULL;
	g_autofree char *text = NULL, *auth = NULL;
	bool ok;

	text = body != NULL ? json_dumps(body, JSON_COMPACT) : g_strdup("");
	headers = curl_slist_append(NULL, "Content-Type: application/json");
	headers = curl_slist_append(headers, "Expect:");
	if (token != NULL) {
		auth = g_strconcat("Authorization: Bearer ", token, NULL);
		headers = curl_slist_append(headers, auth);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	ok = call_perform(curl, url, timeout_ms, response, error);
	curl_slist_free_all(headers);
	return (ok);
}
