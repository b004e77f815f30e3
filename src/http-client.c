/* Short HTTP calls with JSON answers: log, host list, probes, orders. */
#include <curl/curl.h>
#include <string.h>

#include "control-traffic.h"
#include "error.h"
#include "http-client.h"

/* A body larger than this is not one of ours. */
#define REPLY_MAX_BYTES (64u * 1024 * 1024)
#define ETAG "etag:"

/* One handle a thread, so that connections are used again. */
static GPrivate thread_handle =
    G_PRIVATE_INIT((GDestroyNotify)curl_easy_cleanup);

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

static size_t
reply_write(char *data, size_t size, size_t n, void *arg)
{
	GByteArray *body = arg;

	if (body->len + size * n > REPLY_MAX_BYTES)
		return (0);
	g_byte_array_append(body, (const guint8 *)data, (guint)(size * n));
	return (size * n);
}

/* Keeps the entity tag of the answer. */
static size_t
header_write(char *data, size_t size, size_t n, void *arg)
{
	g_autofree char *line = g_strndup(data, size * n);
	struct http_response *reply = arg;

	if (g_ascii_strncasecmp(line, ETAG, strlen(ETAG)) == 0) {
		g_free(reply->etag);
		reply->etag = g_strdup(g_strstrip(line + strlen(ETAG)));
	}
	return (size * n);
}

/* Runs the prepared call and parses the answer. */
static bool
call_perform(CURL *curl, const char *url, long timeout_ms,
    struct http_response *reply, GError **error)
{
	g_autoptr(GByteArray) body = g_byte_array_new();
	long sent = 0, headers = 0;
	CURLcode rc;

	memset(reply, 0, sizeof *reply);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, reply_write);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, header_write);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, reply);
	rc = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(curl, CURLINFO_HEADER_SIZE, &headers);
	control_traffic_add(TRAFFIC_LOG,
	    (uint64_t)sent + (uint64_t)headers + body->len);
	if (rc != CURLE_OK) {
		error_set(error, ERROR_ENDPOINT_FAILED, "%s",
		    curl_easy_strerror(rc));
		return (false);
	}
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &reply->status);
	reply->json = json_loadb((const char *)body->data, body->len,
	    JSON_ALLOW_NUL, NULL);
	return (true);
}

/**
 * http_response_clear() - clean-up attribute for an answer.
 * @reply: the answer
 */
void
http_response_clear(struct http_response *reply)
{
	json_decref(reply->json);
	reply->json = NULL;
	g_clear_pointer(&reply->etag, g_free);
}

/**
 * http_client_get() - GET a URL.
 * @url: the URL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @reply: the answer, with any status
 * @error: ERROR_ENDPOINT_FAILED when there was no answer
 */
bool
http_client_get(const char *url, long timeout_ms, struct http_response *reply,
    GError **error)
{
	return (call_perform(handle_get(), url, timeout_ms, reply, error));
}

/**
 * http_client_get_changed() - GET a URL if it changed.
 * @url: the URL
 * @etag: entity tag of what is known, or NULL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @reply: the answer; status 304 when nothing changed
 * @error: ERROR_ENDPOINT_FAILED when there was no answer
 */
bool
http_client_get_changed(const char *url, const char *etag, long timeout_ms,
    struct http_response *reply, GError **error)
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
	ok = call_perform(curl, url, timeout_ms, reply, error);
	curl_slist_free_all(headers);
	return (ok);
}

/**
 * http_client_send() - send JSON to a URL.
 * @method: such as "POST"
 * @url: the URL
 * @body: the JSON, or NULL for none; not taken over
 * @token: a bearer token, or NULL
 * @timeout_ms: bound on the whole call, in milliseconds
 * @reply: the answer, with any status
 * @error: ERROR_ENDPOINT_FAILED when there was no answer; the call may have
 *	taken effect
 */
bool
http_client_send(const char *method, const char *url, json_t *body,
    const char *token, long timeout_ms, struct http_response *reply,
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
	ok = call_perform(curl, url, timeout_ms, reply, error);
	curl_slist_free_all(headers);
	return (ok);
}
