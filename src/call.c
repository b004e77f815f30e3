/* One HTTP call to an endpoint. */
#include <curl/curl.h>
#include <stdatomic.h>
#include <string.h>

#include "call.h"
#include "clock.h"
#include "http-head.h"

/* Longest single wait in curl_multi_poll(). */
#define POLL_MAX_MS 1000
/* The same where several transfers are waited for, of which it wakes for one.
 */
#define POLL_SEVERAL_MS 10
/* Statuses by which an endpoint refuses a request for the time being. */
#define HTTP_TOO_MANY 429
#define HTTP_UNAVAILABLE 503
/* A call fails when more than this of its body is buffered. */
#define BODY_MAX_BYTES (32u * 1024 * 1024)

/* Bytes that the bodies of all calls may hold, and hold now. */
static size_t held_max_bytes = SIZE_MAX;
static atomic_size_t held_bytes;

/**
 * struct call - one call.
 * @multi: libcurl handle that drives the transfer
 * @easy: libcurl handle of the transfer
 * @slist: headers of the request
 * @body: received bytes of the body that were not yet taken
 * @held: bytes of @body that are counted in held_bytes
 * @head: head of the response
 * @started_us: monotonic time at which the call was created
 * @first_us: monotonic time of the first byte of the body, 0 before
 * @heard_us: monotonic time of the latest bytes, or of the call's creation
 * @ended: the transfer has ended
 * @rc: result of the transfer once it has ended
 */
struct call {
	CURLM *multi;
	CURL *easy;
	struct curl_slist *slist;
	GByteArray *body;
	size_t held;
	struct http_head head;
	uint64_t started_us;
	uint64_t first_us;
	uint64_t heard_us;
	bool ended;
	CURLcode rc;
};

/**
 * call_set_held_max() - bound what the bodies of all calls hold together.
 * @bytes: the bound; a call whose body would exceed it fails
 *
 * To be called before the first call.
 */
void
call_set_held_max(size_t bytes)
{
	held_max_bytes = bytes;
}

/* Bytes that a byte array of some length allocates: the next power of two. */
static size_t
body_capacity(size_t length)
{
	size_t capacity = 1;

	while (capacity < length)
		capacity *= 2;
	return (capacity);
}

/* Counts that the body of a call holds so many bytes. Returns whether all calls
 * together are within the bound. */
static bool
call_count_held(struct call *call, size_t bytes)
{
	size_t more = bytes - call->held;

	call->held = bytes;
	return (atomic_fetch_add(&held_bytes, more) + more <= held_max_bytes);
}

static size_t
body_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *call = arg;
	size_t length = call->body->len + size * n;

	if (length > BODY_MAX_BYTES ||
	    !call_count_held(call, body_capacity(length)))
		return (0);
	call->heard_us = clock_now_us();
	if (call->first_us == 0)
		call->first_us = call->heard_us;
	g_byte_array_append(call->body, (const guint8 *)data,
	    (guint)(size * n));
	return (size * n);
}

/* Reads a line of a head; what is no response in HTTP/1.1 fails the call. */
static size_t
header_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *call = arg;

	call->heard_us = clock_now_us();
	return (http_head_read(data, size, n, &call->head));
}

static void
call_set_options(struct call *call, const char *method, const char *url,
    const void *body, size_t len, bool may_resend)
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
	 * On a reused connection, libcurl resends a request by itself when the
	 * endpoint closes the connection without a response, although the
	 * endpoint may have run the request. Every such call therefore gets a
	 * connection of its own.
	 */
	if (!may_resend) {
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/**
 * call_start() - create a call; nothing is sent before call_poll().
 * @method: HTTP method
 * @url: the URL
 * @headers: headers of the request, ended by an entry with a NULL name
 * @body: body of the request, or NULL; copied
 * @len: length of @body, in bytes
 * @may_resend: allow reused connections, on which libcurl may resend the
 *	request by itself
 */
struct call *
call_start(const char *method, const char *url,
    const struct call_header *headers, const void *body, size_t len,
    bool may_resend)
{
	struct call *call;

	call = g_new0(struct call, 1);
	call->multi = curl_multi_init();
	call->easy = curl_easy_init();
	call->body = g_byte_array_new();
	http_head_init(&call->head);
	call->slist = curl_slist_append(NULL, "Expect:");
	for (; headers->name != NULL; headers++) {
		g_autofree char *line =
		    g_strconcat(headers->name, ": ", headers->value, NULL);

		call->slist = curl_slist_append(call->slist, line);
	}
	call_set_options(call, method, url, body, len, may_resend);
	curl_multi_add_handle(call->multi, call->easy);
	call->started_us = clock_now_us();
	call->heard_us = call->started_us;
	return (call);
}

/**
 * call_free() - free a call; a transfer in progress is aborted, which cancels
 * the request at the endpoint.
 * @call: the call
 */
void
call_free(struct call *call)
{
	curl_multi_remove_handle(call->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_multi_cleanup(call->multi);
	curl_slist_free_all(call->slist);
	call_count_held(call, 0);
	g_byte_array_unref(call->body);
	http_head_clear(&call->head);
	g_free(call);
}

/**
 * call_cleanup() - free a call at the end of its scope (cleanup attribute).
 * @call: the variable; may hold NULL
 */
void
call_cleanup(struct call **call)
{
	if (*call != NULL)
		call_free(*call);
}

/* Records the end of the transfer, if it has ended. */
static void
call_check_end(struct call *call)
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

/* Drives a transfer; returns whether it was heard or has ended meanwhile. */
static bool
call_advance(struct call *call)
{
	uint64_t heard_us = call->heard_us;
	int running;

	curl_multi_perform(call->multi, &running);
	call_check_end(call);
	return (call->ended || call->heard_us != heard_us);
}

/**
 * call_poll() - drive transfers until one of them makes progress.
 * @calls: the calls
 * @n: number of these, at least 1
 * @until_ms: monotonic time at which to stop waiting, in ms
 *
 * Return: true if some of a response was received, or if a call has ended;
 * false if there was no progress before @until_ms.
 */
bool
call_poll(struct call *const *calls, size_t n, uint64_t until_ms)
{
	uint64_t longest_ms = n > 1 ? POLL_SEVERAL_MS : POLL_MAX_MS;
	bool progress = false;
	uint64_t now;

	for (;;) {
		for (size_t i = 0; i < n; i++)
			progress = call_advance(calls[i]) || progress;
		now = clock_now_ms();
		if (progress || now >= until_ms)
			return (progress);
		curl_multi_poll(calls[0]->multi, NULL, 0,
		    (int)MIN(until_ms - now, longest_ms), NULL);
	}
}

/**
 * call_body() - received bytes of the body.
 * @call: the call
 *
 * The user of the call removes the bytes that it has processed from the front.
 */
GByteArray *
call_body(struct call *call)
{
	return (call->body);
}

/**
 * call_head_received() - whether the head of the final response was
 * received.
 * @call: the call
 */
bool
call_head_received(const struct call *call)
{
	return (call->head.complete);
}

/**
 * call_ended() - whether the call has ended, successfully or not.
 * @call: the call
 */
bool
call_ended(const struct call *call)
{
	return (call->ended);
}

/**
 * call_phase() - progress of the call.
 * @call: the call
 *
 * No byte of the request was sent as long as CURLINFO_REQUEST_SIZE is 0.
 */
enum call_phase
call_phase(const struct call *call)
{
	long sent = 0;

	if (call->ended && http_head_whole(&call->head, call->rc))
		return (CALL_COMPLETE);
	if (call->head.complete)
		return (CALL_RESPONDING);
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent);
	return (sent > 0 ? CALL_SENT : CALL_CONNECTING);
}

/**
 * call_status() - HTTP status of the response, 0 before its head.
 * @call: the call
 */
int
call_status(const struct call *call)
{
	return ((int)call->head.status);
}

/**
 * call_header() - value of a header of the response, or NULL.
 * @call: the call
 * @name: header name in lower case
 */
const char *
call_header(const struct call *call, const char *name)
{
	return (g_hash_table_lookup(call->head.fields, name));
}

/**
 * call_retry_after() - the backoff that the endpoint asks for.
 * @call: the call
 *
 * Return: the value of Retry-After, in seconds, of a response with status 429
 * or 503; otherwise NULL.
 */
const char *
call_retry_after(const struct call *call)
{
	if (call_status(call) != HTTP_UNAVAILABLE &&
	    call_status(call) != HTTP_TOO_MANY)
		return (NULL);
	return (call_header(call, "retry-after"));
}

/**
 * call_limit() - the rate limit that the endpoint announces.
 * @call: the call
 *
 * Return: the value of the header banklift-limit, in requests per second, or
 * NULL.
 */
const char *
call_limit(const struct call *call)
{
	return (call_header(call, "banklift-limit"));
}

/**
 * call_started_ms() - monotonic time at which the call was created, in ms.
 * @call: the call
 */
uint64_t
call_started_ms(const struct call *call)
{
	return (call->started_us / 1000);
}

/**
 * call_heard_ms() - monotonic time at which some of the response was received
 * last, or else at which the call was created, in ms.
 * @call: the call
 */
uint64_t
call_heard_ms(const struct call *call)
{
	return (call->heard_us / 1000);
}

/**
 * call_each_header() - call a function for each header of the response.
 * @call: the call
 * @fn: called with the name in lower case, the value and @arg
 * @arg: passed to @fn
 */
void
call_each_header(const struct call *call,
    void (*fn)(const char *, const char *, void *), void *arg)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, call->head.fields);
	while (g_hash_table_iter_next(&iter, &name, &value))
		fn(name, value, arg);
}

/**
 * call_first_byte_us() - time from the creation of the call to the first byte
 * of the body, in microseconds; 0 before that byte.
 * @call: the call
 */
uint64_t
call_first_byte_us(const struct call *call)
{
	return (call->first_us != 0 ? call->first_us - call->started_us : 0);
}
