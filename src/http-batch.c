/* Many short HTTP calls at once, from one thread. */
#include <curl/curl.h>
#include <glib.h>

#include "clock.h"
#include "control-traffic.h"
#include "http-batch.h"

#define REPLY_MAX_BYTES 65536
#define POLL_MS 20

/* A call in progress. */
struct transfer {
	struct http_call *task;
	CURL *easy;
	GByteArray *body;
	char *text;
};

/**
 * struct http_batch - the calls and the connections they use again.
 * @multi: libcurl's set of transfers
 * @headers: headers of calls with a body
 * @tasks: the calls
 */
struct http_batch {
	CURLM *multi;
	struct curl_slist *headers;
	struct http_call_list tasks;
};

/**
 * http_batch_create() - make an empty batch; use it again for the next calls.
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
	TAILQ_INIT(&batch->tasks);
	return (batch);
}

/**
 * http_batch_reset() - forget the calls and their answers.
 * @batch: the batch
 */
void
http_batch_reset(struct http_batch *batch)
{
	struct http_call *task;

	while ((task = TAILQ_FIRST(&batch->tasks)) != NULL) {
		TAILQ_REMOVE(&batch->tasks, task, entry);
		json_decref(task->body);
		json_decref(task->json);
		g_free(task->url);
		g_free(task);
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
 * http_batch_add() - add one call.
 * @batch: the batch
 * @url: the URL
 * @body: JSON to POST, taken over; NULL for a GET
 * @arg: the caller's own
 */
void
http_batch_add(struct http_batch *batch, const char *url, json_t *body,
    void *arg)
{
	struct http_call *task;

	task = g_new0(struct http_call, 1);
	task->url = g_strdup(url);
	task->body = body;
	task->arg = arg;
	TAILQ_INSERT_TAIL(&batch->tasks, task, entry);
}

static size_t
transfer_write(char *data, size_t size, size_t n, void *arg)
{
	struct transfer *t = arg;

	if (t->body->len + size * n > REPLY_MAX_BYTES)
		return (0);
	g_byte_array_append(t->body, (const guint8 *)data, (guint)(size * n));
	return (size * n);
}

static void
transfer_start(struct http_batch *batch, struct http_call *task,
    long timeout_ms)
{
	struct transfer *t;

	t = g_new0(struct transfer, 1);
	t->task = task;
	t->easy = curl_easy_init();
	t->body = g_byte_array_new();
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_URL, task->url);
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, transfer_write);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	if (task->body != NULL) {
		t->text = json_dumps(task->body, JSON_COMPACT);
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->text);
		curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, batch->headers);
	}
	task->sent_ms = clock_now_ms();
	curl_multi_add_handle(batch->multi, t->easy);
}

static void
count_bytes(CURL *easy, const struct transfer *t)
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
	count_bytes(easy, t);
	if (rc == CURLE_OK) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE,
		    &t->task->status);
		t->task->json = json_loadb((const char *)t->body->data,
		    t->body->len, 0, NULL);
	}
	curl_multi_remove_handle(batch->multi, easy);
	curl_easy_cleanup(easy);
	g_byte_array_unref(t->body);
	free(t->text);
	g_free(t);
}

/**
 * http_batch_calls() - the calls of a batch.
 * @batch: the batch
 */
struct http_call_list *
http_batch_calls(struct http_batch *batch)
{
	return (&batch->tasks);
}

/**
 * http_batch_run() - make all calls at once and wait for them.
 * @batch: the batch
 * @timeout_ms: bound on each call, in milliseconds
 *
 * Return: the calls with their answers, valid until http_batch_reset().
 */
struct http_call_list *
http_batch_run(struct http_batch *batch, long timeout_ms)
{
	struct http_call *task;
	CURLMsg *msg;
	int running, left;

	TAILQ_FOREACH(task, &batch->tasks, entry)
		transfer_start(batch, task, timeout_ms);
	do {
		curl_multi_perform(batch->multi, &running);
		while (
		    (msg = curl_multi_info_read(batch->multi, &left)) != NULL) {
			if (msg->msg == CURLMSG_DONE)
				transfer_end(batch, msg->easy_handle,
				    msg->data.result);
		}
		if (running > 0)
			curl_multi_poll(batch->multi, NULL, 0, POLL_MS, NULL);
	} while (running > 0);
	return (&batch->tasks);
}
