/* Many short HTTP calls at the same time, from one thread. */
#include <curl/curl.h>
#include <glib.h>

#include "clock.h"
#include "control-traffic.h"
#include "http-batch.h"
#include "http-head.h"

#define RESPONSE_MAX_BYTES 65536
#define POLL_TIMEOUT_MS 20

/* A call in progress; @head and @body collect the response, @text is the
 * encoded body of the request. */
struct transfer {
	struct http_call *call;
	CURL *easy;
	struct http_head head;
	GByteArray *body;
	char *text;
};

/**
 * struct http_batch - calls and the connections that they reuse.
 * @multi: libcurl's transfers and connections
 * @headers: request headers of calls with a body
 * @calls: the calls
 */
struct http_batch {
	CURLM *multi;
	struct curl_slist *headers;
	struct http_call_list calls;
};

/**
 * http_batch_create() - create an empty batch.
 *
 * A batch that is used again after http_batch_reset() reuses its connections.
 */
struct http_batch *
http_batch_create(void)
{
	struct http_batch *batch;

	batch = g_new0(struct http_batch, 1);
	batch->multi = curl_multi_init();
	batch->headers =
	    curl_slist_append(NULL, "Content-Type: application/json");
	batch->headers = curl_slist_append(batch->headers, "Expect:");
	TAILQ_INIT(&batch->calls);
	return (batch);
}

/**
 * http_batch_reset() - remove the calls and their responses.
 * @batch: the batch
 */
void
http_batch_reset(struct http_batch *batch)
{
	struct http_call *call;

	while ((call = TAILQ_FIRST(&batch->calls)) != NULL) {
		TAILQ_REMOVE(&batch->calls, call, entry);
		json_decref(call->body);
		json_decref(call->json);
		g_free(call->url);
		g_free(call);
	}
}

/**
 * http_batch_free() - free a batch.
 * @batch: the batch
 */
void
http_batch_free(struct http_batch *batch)
{
	http_batch_reset(batch);
	curl_multi_cleanup(batch->multi);
	curl_slist_free_all(batch->headers);
	g_free(batch);
}

/**
 * http_batch_add() - add a call.
 * @batch: the batch
 * @url: the URL; copied
 * @body: JSON to POST, of which the batch takes ownership; NULL for a GET
 * @arg: user data
 */
void
http_batch_add(struct http_batch *batch, const char *url, json_t *body,
    void *arg)
{
	struct http_call *call;

	call = g_new0(struct http_call, 1);
	call->url = g_strdup(url);
	call->body = body;
	call->arg = arg;
	TAILQ_INSERT_TAIL(&batch->calls, call, entry);
}

/* Collects a response; a larger one than RESPONSE_MAX_BYTES fails the call. */
static size_t
transfer_write(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if (t->body->len + size * n > RESPONSE_MAX_BYTES)
		return (0);
	g_byte_array_append(t->body, (const guint8 *)data, (guint)(size * n));
	return (size * n);
}

static void
transfer_start(struct http_batch *batch, struct http_call *call,
    long timeout_ms)
{
	struct transfer *t;

	t = g_new0(struct transfer, 1);
	t->call = call;
	t->easy = curl_easy_init();
	t->body = g_byte_array_new();
	http_head_watch(&t->head, t->easy);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_URL, call->url);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, transfer_write);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	if (call->body != NULL) {
		t->text = json_dumps(call->body, JSON_COMPACT);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->text);
		curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, batch->headers);
	}
	call->sent_ms = clock_now_ms();
	curl_multi_add_handle(batch->multi, t->easy);
}

/* Counts the bytes of a call as control traffic of probes. */
static void
transfer_count_bytes(CURL *easy, const struct transfer *t)
{
	long sent = 0, headers = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &headers);
	control_traffic_add(TRAFFIC_PROBE,
	    (uint64_t)sent + (uint64_t)headers + t->body->len);
}

static void
transfer_end(struct http_batch *batch, CURL *easy, CURLcode rc)
{
	struct transfer *t;
	void *private = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &private);
	t = private;
	transfer_count_bytes(easy, t);
	if (http_head_whole(&t->head, rc)) {
		t->call->status = t->head.status;
		t->call->json = json_loadb((const char *)t->body->data,
		    t->body->len, 0, NULL);
	}
	curl_multi_remove_handle(batch->multi, easy);
	curl_easy_cleanup(easy);
	g_byte_array_unref(t->body);
	http_head_clear(&t->head);
	free(t->text);
	g_free(t);
}

/**
 * http_batch_calls() - get the calls of a batch.
 * @batch: the batch
 */
struct http_call_list *
http_batch_calls(struct http_batch *batch)
{
	return (&batch->calls);
}

/**
 * http_batch_run() - start all calls and wait until they have ended.
 * @batch: the batch
 * @timeout_ms: bound on each call, in milliseconds
 *
 * Return: the calls with their responses, valid until http_batch_reset().
 */
struct http_call_list *
http_batch_run(struct http_batch *batch, long timeout_ms)
{
	struct http_call *call;
	CURLMsg *msg;
	int running, left;

	TAILQ_FOREACH(call, &batch->calls, entry)
		transfer_start(batch, call, timeout_ms);
	do {
		curl_multi_perform(batch->multi, &running);
		while (
		    (msg = curl_multi_info_read(batch->multi, &left)) != NULL) {
			if (msg->msg == CURLMSG_DONE)
				transfer_end(batch, msg->easy_handle,
				    msg->data.result);
		}
		if (running > 0)
			curl_multi_poll(batch->multi, NULL, 0, POLL_TIMEOUT_MS,
			    NULL);
	} while (running > 0);
	return (&batch->calls);
}
