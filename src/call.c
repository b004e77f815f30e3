/* One call to an endpoint, driven by the thread that wants its answer. */
#include <curl/curl.h>
#include <string.h>

#include "call.h"
#include "clock.h"

#define POLL_MAX_MS 1000
/* Statuses with which an endpoint turns a request away. */
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
/* An answer larger than this is not buffered; the call fails. */
#define BODY_MAX_BYTES (32u * 1024 * 1024)

/**
 * struct call - one call.
 * @multi: drives the transfer
 * @easy: the transfer
 * @slist: headers of the request
 * @body: what was received and not yet taken
 * @headers: lower-case name to value, of the answer
 * @status: HTTP status once the head was received
 * @started_us: when it began
 * @first_us: when the first byte of the body came, 0 before
 * @ended: the transfer is over
 * @rc: how it ended
 */
struct call {
	CURLM *multi;
	CURL *easy;
	struct curl_slist *slist;
	GByteArray *body;
	GHashTable *headers;
	int status;
	bool answering;
	uint64_t started_us;
	uint64_t first_us;
	bool ended;
	CURLcode rc;
};

static size_t
body_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *call = arg;

	if (call->body->len + size * n > BODY_MAX_BYTES)
		return (0);
	if (call->first_us == 0)
		call->first_us = clock_now_us();
	g_byte_array_append(call->body, (const guint8 *)data,
	    (guint)(size * n));
	return (size * n);
}

static size_t
header_write(char *data, size_t size, size_t n, void *arg)
{
	g_autofree char *line = g_strndup(data, size * n);
	struct call *call = arg;
	char *colon = strchr(line, ':');

	g_strchomp(line);
	if (line[0] == '\0') {
		long status = 0;

		curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
		call->status = (int)status;
		/* An interim answer is not the answer. */
		call->answering = status >= 200;
	} else if (colon != NULL) {
		*colon = '\0';
		g_hash_table_replace(call->headers, g_ascii_strdown(line, -1),
		    g_strdup(g_strstrip(colon + 1)));
	}
	return (size * n);
}

static void
call_set_options(struct call *call, const char *method, const char *url,
    const void *body, size_t len, bool repeatable)
{
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(call->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, body_write);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, header_write);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->slist);
	if (body != NULL) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)len);
		curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
	} else if (strcmp(method, "HEAD") == 0) {
		curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
	}
	/*
	 * On a connection used again, libcurl repeats a request by itself when
	 * the endpoint closes without an answer, though the endpoint may have
	 * run it. So every call gets a connection of its own.
	 */
	if (!repeatable) {
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/**
 * call_start() - begin a call; nothing is sent before call_poll().
 * @method: HTTP method
 * @url: the URL
 * @headers: ended by a NULL name
 * @body: body of the request, or NULL; copied
 * @len: its length in bytes
 * @repeatable: libcurl may repeat it by itself
 */
struct call *
call_start(const char *method, const char *url,
    const struct call_header *headers, const void *body, size_t len,
    bool repeatable)
{
	struct call *call;

	call = g_new0(struct call, 1);
	call->multi = curl_multi_init();
	call->easy = curl_easy_init();
	call->body = g_byte_array_new();
	call->headers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	call->slist = curl_slist_append(NULL, "Expect:");
	for (; headers->name != NULL; headers++) {
		g_autofree char *line =
		    g_strconcat(headers->name, ": ", headers->value, NULL);

		call->slist = curl_slist_append(call->slist, line);
	}
	call_set_options(call, method, url, body, len, repeatable);
	curl_multi_add_handle(call->multi, call->easy);
	call->started_us = clock_now_us();
	return (call);
}

/**
 * call_free() - end a call; one in progress is cut off, which cancels it.
 * @call: the call
 */
void
call_free(struct call *call)
{
	curl_multi_remove_handle(call->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_multi_cleanup(call->multi);
	curl_slist_free_all(call->slist);
	g_byte_array_unref(call->body);
	g_hash_table_unref(call->headers);
	g_free(call);
}

/**
 * call_cleanup() - clean-up attribute for a call.
 * @call: the variable
 */
void
call_cleanup(struct call **call)
{
	if (*call != NULL)
		call_free(*call);
}

static void
call_note_end(struct call *call)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(call->multi, &left)) != NULL) {
		if (msg->msg != CURLMSG_DONE)
			continue;
		call->ended = true;
		call->rc = msg->data.result;
	}
}

/**
 * call_poll() - drive the call until something new is there.
 * @call: the call
 * @until_ms: monotonic time at which to give up
 *
 * Return: false when nothing new came in time. Otherwise the head or some of
 * the body was received, or the call has ended.
 */
bool
call_poll(struct call *call, uint64_t until_ms)
{
	guint before = call->body->len;
	bool was_answering = call->answering;
	uint64_t now;
	int running;

	for (;;) {
		curl_multi_perform(call->multi, &running);
		call_note_end(call);
		if (call->ended || call->body->len != before ||
		    call->answering != was_answering)
			return (true);
		now = clock_now_ms();
		if (now >= until_ms)
			return (false);
		curl_multi_poll(call->multi, NULL, 0,
		    (int)MIN(until_ms - now, POLL_MAX_MS), NULL);
	}
}

/**
 * call_body() - what was received; the caller takes from its front.
 * @call: the call
 */
GByteArray *
call_body(struct call *call)
{
	return (call->body);
}

/**
 * call_head_received() - whether the head of the answer was received.
 * @call: the call
 */
bool
call_head_received(const struct call *call)
{
	return (call->answering);
}

/**
 * call_ended() - whether the call is over, well or badly.
 * @call: the call
 */
bool
call_ended(const struct call *call)
{
	return (call->ended);
}

/**
 * call_phase() - how far the call came.
 * @call: the call
 *
 * Not one byte of the request was sent as long as libcurl counts none.
 */
enum call_phase
call_phase(const struct call *call)
{
	long sent = 0;

	if (call->ended && call->rc == CURLE_OK)
		return (CALL_COMPLETE);
	if (call->answering)
		return (CALL_RESPONDING);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent);
	return (sent > 0 ? CALL_SENT : CALL_CONNECTING);
}

/**
 * call_status() - HTTP status of the answer, 0 before its head.
 * @call: the call
 */
int
call_status(const struct call *call)
{
	return (call->status);
}

/**
 * call_header() - a header of the answer, or NULL.
 * @call: the call
 * @name: its name in lower case
 */
const char *
call_header(const struct call *call, const char *name)
{
	return (g_hash_table_lookup(call->headers, name));
}

/**
 * call_retry_after() - the rest that the endpoint asks for, in seconds, or
 * NULL.
 * @call: the call
 */
const char *
call_retry_after(const struct call *call)
{
	if (call->status != HTTP_UNAVAILABLE && call->status != HTTP_TOO_MANY)
		return (NULL);
	return (call_header(call, "retry-after"));
}

/**
 * call_limit() - the requests a second that the endpoint takes, or NULL.
 * @call: the call
 */
const char *
call_limit(const struct call *call)
{
	return (call_header(call, "banklift-limit"));
}

/**
 * call_started_ms() - when the call began, in monotonic milliseconds.
 * @call: the call
 */
uint64_t
call_started_ms(const struct call *call)
{
	return (call->started_us / 1000);
}

/**
 * call_each_header() - go through the headers of the answer.
 * @call: the call
 * @fn: called with a name in lower case, its value and @arg
 * @arg: for @fn
 */
void
call_each_header(const struct call *call,
    void (*fn)(const char *, const char *, void *), void *arg)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, call->headers);
	while (g_hash_table_iter_next(&iter, &name, &value))
		fn(name, value, arg);
}

/**
 * call_first_byte_us() - time from the start to the first byte of the body,
 * in microseconds; 0 before.
 * @call: the call
 */
uint64_t
call_first_byte_us(const struct call *call)
{
	return (call->first_us != 0 ? call->first_us - call->started_us : 0);
}
