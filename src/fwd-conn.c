/* A caller's connection: reads requests one by one, writes their answers. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-conn.h"
#include "fwd-exchange.h"

/* Bytes of later requests kept while one is in progress. */
#define HELD_BYTES 65536
/* Output that waits for a slow caller before its endpoint is paused. */
#define OUT_PAUSE_BYTES 262144
/* Limits before the first configuration is known. */
#define HEADER_BYTES_FIRST 16384
#define BODY_BYTES_FIRST (4 << 20)
#define HEADER_FIRST_MS 3000
#define IDLE_FIRST_MS 15000

/* How long a caller may take to read an answer that ends its connection. */
#define LINGER_MS 1000

static const struct client_limits limits_first = { HEADER_BYTES_FIRST,
	BODY_BYTES_FIRST, HEADER_FIRST_MS, IDLE_FIRST_MS };

static const char continue_text[] = "HTTP/1.1 100 Continue\r\n\r\n";

static void caller_run(struct fwd_conn *);

static const struct client_limits *
caller_limits_now(const struct fwd_conn *c)
{
	const struct catalog *catalog = c->fwd->registry->catalog;

	return (catalog != NULL ? &catalog->limits : &limits_first);
}

/* Stops the parser with a status of our own. */
static int
caller_bad(struct fwd_conn *c, unsigned status)
{
	c->error_status = status;
	return (-1);
}

static int
on_begin(http_parser *parser)
{
	struct fwd_conn *c = parser->data;

	net_head_reset(&c->head);
	g_byte_array_set_size(c->body, 0);
	c->started = true;
	c->since_ms = clock_loop_ms(c->fwd->loop);
	return (0);
}

static int
caller_head_fits(struct fwd_conn *c)
{
	if (c->head.too_large ||
	    (int64_t)c->head.text->len > caller_limits_now(c)->max_header_bytes)
		return (
		    caller_bad(c, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE));
	return (0);
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	net_head_add_target(&c->head, at, length);
	return (caller_head_fits(c));
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	/* Trailers are read over: they come after the body. */
	if (c->body->len > 0)
		return (0);
	/* The parser lets a space in a name pass; others read it as another
	 * name. */
	if (memchr(at, ' ', length) != NULL)
		return (caller_bad(c, HTTP_STATUS_BAD_REQUEST));
	net_head_add_name(&c->head, at, length);
	return (caller_head_fits(c));
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	if (c->body->len > 0)
		return (0);
	net_head_add_value(&c->head, at, length);
	return (caller_head_fits(c));
}

static int
on_head(http_parser *parser)
{
	struct fwd_conn *c = parser->data;
	const char *expect;

	net_head_close_value(&c->head);
	c->head_only = parser->method == HTTP_HEAD;
	if (parser->flags & F_CONTENTLENGTH &&
	    parser->content_length >
		(uint64_t)caller_limits_now(c)->max_body_bytes)
		return (caller_bad(c, HTTP_STATUS_PAYLOAD_TOO_LARGE));
	expect = net_head_find(&c->head, "expect");
	if (expect != NULL && strcasecmp(expect, "100-continue") == 0)
		net_stream_write(&c->stream, continue_text,
		    sizeof continue_text - 1);
	return (0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	if ((int64_t)(c->body->len + length) >
	    caller_limits_now(c)->max_body_bytes)
		return (caller_bad(c, HTTP_STATUS_PAYLOAD_TOO_LARGE));
	g_byte_array_append(c->body, (const guint8 *)at, (guint)length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct fwd_conn *c = parser->data;

	c->complete = true;
	c->keep_alive = http_should_keep_alive(parser) && !parser->upgrade;
	http_parser_pause(parser, 1);
	return (0);
}

static const http_parser_settings request_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Refuses what can't be read as a request, and ends the connection. */
static void
caller_refuse_input(struct fwd_conn *c)
{
	unsigned status =
	    c->error_status != 0 ? c->error_status : HTTP_STATUS_BAD_REQUEST;

	fwd_stats_count(&c->fwd->stats, COUNT_BAD_REQUESTS);
	event_log(LOG_INFO, "request_unreadable", "status=%u reason=%s", status,
	    http_errno_name(HTTP_PARSER_ERRNO(&c->parser)));
	c->keep_alive = false;
	fwd_conn_respond(c, status, NULL, NULL, 0);
}

/* Reads bytes until a request is whole; returns how many were used. */
static size_t
caller_parse(struct fwd_conn *c, const char *at, size_t length)
{
	size_t used =
	    http_parser_execute(&c->parser, &request_settings, at, length);
	enum http_errno rc = HTTP_PARSER_ERRNO(&c->parser);

	if (rc == HPE_PAUSED && c->complete) {
		http_parser_pause(&c->parser, 0);
		/* The parser stops on the last byte of a chunked body. */
		return (used);
	}
	if (rc != HPE_OK || used != length) {
		caller_refuse_input(c);
		return (length);
	}
	return (used);
}

/* Begins the request that was read. */
static void
caller_start(struct fwd_conn *c)
{
	c->complete = false;
	c->started = false;
	c->chunked = false;
	fwd_exchange_start(c->fwd, c);
}

/* Works through held bytes, request by request. */
static void
caller_run(struct fwd_conn *c)
{
	while (c->exchange == NULL && !c->stream.closing &&
	    !c->stream.write_shutdown && c->pipelined->len > 0) {
		g_autoptr(GString) bytes = g_steal_pointer(&c->pipelined);
		size_t used;

		c->pipelined = g_string_new(NULL);
		used = caller_parse(c, bytes->str, bytes->len);
		if (c->stream.closing || c->stream.write_shutdown)
			return;
		g_string_append_len(c->pipelined, bytes->str + used,
		    (gssize)(bytes->len - used));
		if (c->complete)
			caller_start(c);
	}
}

static void
caller_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct fwd_conn *c = stream->owner;

	if (c->stream.write_shutdown)
		return;
	if (c->exchange == NULL && c->pipelined->len == 0) {
		size_t used = caller_parse(c, at, length);

		if (c->stream.closing || c->stream.write_shutdown)
			return;
		at += used;
		length -= used;
	}
	g_string_append_len(c->pipelined, at, (gssize)length);
	if (c->complete)
		caller_start(c);
	caller_run(c);
	if (c->pipelined != NULL && c->pipelined->len > HELD_BYTES)
		net_stream_set_reading(stream, false);
}

static void
caller_ended(struct net_stream *stream, bool clean)
{
	struct fwd_conn *c = stream->owner;

	if (c->exchange != NULL)
		fwd_exchange_client_left(c->exchange);
	c->exchange = NULL;
	net_stream_close(stream);
}

static void
caller_drained(struct net_stream *stream)
{
	struct fwd_conn *c = stream->owner;

	if (c->exchange != NULL)
		fwd_exchange_pause(c->exchange, false);
}

static void
caller_closed(struct net_stream *stream)
{
	struct fwd_conn *c = stream->owner;

	TAILQ_REMOVE(&c->fwd->conns, c, entry);
	net_head_clear(&c->head);
	g_byte_array_free(c->body, TRUE);
	g_string_free(c->pipelined, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void
caller_connected(struct net_stream *stream)
{
}

static const struct net_stream_ops caller_ops = {
	.connected = caller_connected,
	.readable = caller_readable,
	.ended = caller_ended,
	.drained = caller_drained,
	.closed = caller_closed,
};

/**
 * fwd_conn_accept() - take a new connection.
 * @fwd: the engine
 * @listener: the listener that has it
 */
void
fwd_conn_accept(struct fwd *fwd, uv_stream_t *listener)
{
	struct fwd_conn *c = g_new0(struct fwd_conn, 1);

	c->fwd = fwd;
	c->body = g_byte_array_new();
	c->pipelined = g_string_new(NULL);
	c->out = g_string_new(NULL);
	c->since_ms = clock_loop_ms(fwd->loop);
	net_head_init(&c->head);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	TAILQ_INSERT_TAIL(&fwd->conns, c, entry);
	fwd_stats_count(&fwd->stats, COUNT_CONNECTIONS);
	net_stream_init(&c->stream, fwd->loop, &caller_ops, c);
	if (net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
}

/* The status line and the headers that every answer has. */
static void
caller_write_head(struct fwd_conn *c, unsigned status, const char *headers)
{
	g_string_append_printf(c->out, "HTTP/1.1 %u %s\r\n", status,
	    http_status_str(status));
	if (headers != NULL)
		g_string_append(c->out, headers);
	if (c->fwd->draining)
		c->keep_alive = false;
	if (!c->keep_alive)
		g_string_append(c->out, "Connection: close\r\n");
}

/* The answer is written: wait for the next request, or end. */
static void
caller_answered(struct fwd_conn *c)
{
	c->exchange = NULL;
	c->since_ms = clock_loop_ms(c->fwd->loop);
	fwd_conn_flush(c);
	if (!c->keep_alive) {
		net_stream_shutdown(&c->stream);
		return;
	}
	net_stream_set_reading(&c->stream, true);
	/* Held bytes are worked on from the loop, not from inside a caller. */
	if (c->pipelined->len > 0)
		fwd_schedule_dispatch(c->fwd);
}

/**
 * fwd_conn_respond() - give a whole answer.
 * @c: the connection
 * @status: of the answer
 * @headers: lines to send beside our own, or NULL
 * @body: the body
 * @length: its length
 */
void
fwd_conn_respond(struct fwd_conn *c, unsigned status, const char *headers,
    const void *body, size_t length)
{
	bool bodiless = status == HTTP_STATUS_NO_CONTENT ||
	    status == HTTP_STATUS_NOT_MODIFIED;

	caller_write_head(c, status, headers);
	if (!bodiless)
		g_string_append_printf(c->out, "Content-Length: %zu\r\n",
		    length);
	g_string_append(c->out, "\r\n");
	if (length > 0 && !bodiless && !c->head_only)
		g_string_append_len(c->out, body, (gssize)length);
	caller_answered(c);
}

/**
 * fwd_conn_refuse() - answer without an endpoint's answer.
 * @c: the connection
 * @status: of the answer
 * @id: of the request, or NULL
 * @retry_ms: when to come back; negative to say nothing
 */
void
fwd_conn_refuse(struct fwd_conn *c, unsigned status, const char *headers,
    int64_t retry_ms)
{
	g_autoptr(GString) lines = g_string_new(headers);

	if (retry_ms >= 0)
		g_string_append_printf(lines, "Retry-After: %.3f\r\n",
		    (double)retry_ms / 1000);
	fwd_conn_respond(c, status, lines->str, NULL, 0);
}

/**
 * fwd_conn_begin() - begin an answer whose length is not known.
 * @c: the connection
 * @status: of the answer
 * @headers: lines to send beside our own
 */
void
fwd_conn_begin(struct fwd_conn *c, unsigned status, const char *headers)
{
	c->chunked = c->parser.http_major > 1 || c->parser.http_minor >= 1;
	if (!c->chunked)
		c->keep_alive = false;
	caller_write_head(c, status, headers);
	if (c->chunked)
		g_string_append(c->out, "Transfer-Encoding: chunked\r\n");
	g_string_append(c->out, "\r\n");
}

/**
 * fwd_conn_write() - give a piece of the answer's body.
 * @c: the connection
 * @at: the bytes
 * @length: how many
 */
void
fwd_conn_write(struct fwd_conn *c, const void *at, size_t length)
{
	if (length == 0 || c->head_only)
		return;
	if (c->chunked)
		g_string_append_printf(c->out, "%zx\r\n", length);
	g_string_append_len(c->out, at, (gssize)length);
	if (c->chunked)
		g_string_append(c->out, "\r\n");
}

/**
 * fwd_conn_flush() - hand what was given to the connection.
 * @c: the connection
 */
void
fwd_conn_flush(struct fwd_conn *c)
{
	if (c->out->len == 0)
		return;
	net_stream_write(&c->stream, c->out->str, c->out->len);
	g_string_truncate(c->out, 0);
	if (c->exchange != NULL && c->stream.queued > OUT_PAUSE_BYTES)
		fwd_exchange_pause(c->exchange, true);
}

/**
 * fwd_conn_end() - the answer that was begun is whole.
 * @c: the connection
 */
void
fwd_conn_end(struct fwd_conn *c)
{
	if (c->chunked && !c->head_only)
		g_string_append(c->out, "0\r\n\r\n");
	caller_answered(c);
}

/**
 * fwd_conn_abort() - the answer that was begun can't be made whole.
 * @c: the connection; the caller sees that the answer was cut
 */
void
fwd_conn_abort(struct fwd_conn *c)
{
	c->exchange = NULL;
	fwd_conn_flush(c);
	if (c->chunked && c->stream.queued == 0)
		net_stream_close(&c->stream);
	else
		net_stream_reset(&c->stream);
}

/**
 * fwd_conn_tick() - look at the times of a connection without exchange.
 * @c: the connection
 * @now_ms: loop time
 */
void
fwd_conn_tick(struct fwd_conn *c, uint64_t now_ms)
{
	const struct client_limits *limits = caller_limits_now(c);
	uint64_t waited = now_ms - c->since_ms;

	if (c->exchange != NULL || c->stream.closing)
		return;
	if (c->stream.write_shutdown) {
		if (waited > LINGER_MS)
			net_stream_close(&c->stream);
		return;
	}
	if (c->pipelined->len > 0) {
		caller_run(c);
		return;
	}
	if (c->started && waited > (uint64_t)limits->header_timeout_ms &&
	    c->body->len == 0) {
		c->error_status = HTTP_STATUS_REQUEST_TIMEOUT;
		caller_refuse_input(c);
	} else if (waited > (uint64_t)limits->idle_timeout_ms) {
		net_stream_close(&c->stream);
	}
}
