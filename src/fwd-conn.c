/* A client's connection: reads requests one by one. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-conn.h"
#include "fwd-exchange.h"

/* Pipelined bytes from which on reading from the client is paused. */
#define PIPELINED_MAX_BYTES 65536
/* Time to retry for a request that there is no room for: slow clients are given
 * seconds. */
#define RETRY_ROOM_MS 1000
/* Limits and timeouts until the first configuration is known. */
#define HEADER_BYTES_DEFAULT 16384
#define BODY_BYTES_DEFAULT (4 << 20)
#define HEADER_DEFAULT_MS 3000
#define IDLE_DEFAULT_MS 15000

/* How long a client may take to close a connection whose last response has been
 * written. */
#define LINGER_MS 1000

static const struct client_limits limits_default = { HEADER_BYTES_DEFAULT,
	BODY_BYTES_DEFAULT, HEADER_DEFAULT_MS, IDLE_DEFAULT_MS };

static const char continue_text[] = "HTTP/1.1 100 Continue\r\n\r\n";

static void conn_run_pipelined(struct fwd_conn *);

static const struct client_limits *
conn_limits(const struct fwd_conn *c)
{
	const struct catalog *catalog = c->fwd->registry->catalog;

	return (catalog != NULL ? &catalog->limits : &limits_default);
}

/* Makes the parser stop; the request is refused with @status. */
static int
conn_reject(struct fwd_conn *c, unsigned status)
{
	c->error_status = status;
	return (-1);
}

/* Drops the body of a request that was not passed on. */
static void
conn_drop_body(struct fwd_conn *c)
{
	c->fwd->held_bytes -= c->body->len;
	g_byte_array_set_size(c->body, 0);
}

/* Whether there is room for a request, or for more of its body. */
static bool
conn_has_room(const struct fwd_conn *c, uint64_t length)
{
	return (c->fwd->held_bytes + length <= c->fwd->set.held_max_bytes);
}

static int
on_begin(http_parser *parser)
{
	struct fwd_conn *c = parser->data;

	net_head_reset(&c->head);
	conn_drop_body(c);
	c->started = true;
	c->head_read = false;
	c->since_ms = clock_loop_ms(c->fwd->loop);
	return (0);
}

static int
conn_check_head(struct fwd_conn *c)
{
	if (c->head.too_large ||
	    (int64_t)c->head.text->len > conn_limits(c)->max_header_bytes)
		return (conn_reject(c,
		    HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE));
	return (0);
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	net_head_add_target(&c->head, at, length);
	return (conn_check_head(c));
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	if (c->head_read)
		return (0);
	if (!net_head_name_valid(at, length))
		return (conn_reject(c, HTTP_STATUS_BAD_REQUEST));
	net_head_add_name(&c->head, at, length);
	return (conn_check_head(c));
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct fwd_conn *c = parser->data;

	if (c->head_read)
		return (0);
	net_head_add_value(&c->head, at, length);
	return (conn_check_head(c));
}

static int
on_head(http_parser *parser)
{
	struct fwd_conn *c = parser->data;
	bool sized = (parser->flags & F_CONTENTLENGTH) != 0;
	const char *expect;

	net_head_close_value(&c->head);
	c->head_read = true;
	c->head_only = parser->method == HTTP_HEAD;
	if (sized &&
	    parser->content_length > (uint64_t)conn_limits(c)->max_body_bytes)
		return (conn_reject(c, HTTP_STATUS_PAYLOAD_TOO_LARGE));
	if (!conn_has_room(c, sized ? parser->content_length : 0))
		return (conn_reject(c, HTTP_STATUS_SERVICE_UNAVAILABLE));
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

	if ((int64_t)(c->body->len + length) > conn_limits(c)->max_body_bytes)
		return (conn_reject(c, HTTP_STATUS_PAYLOAD_TOO_LARGE));
	if (!conn_has_room(c, length))
		return (conn_reject(c, HTTP_STATUS_SERVICE_UNAVAILABLE));
	g_byte_array_append(c->body, (const guint8 *)at, (guint)length);
	c->fwd->held_bytes += length;
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

/* Refuses a request that was not read as a whole, and ends the connection. */
static void
conn_refuse_part(struct fwd_conn *c, unsigned status, const char *reason,
    int64_t retry_ms)
{
	event_log(LOG_INFO, "request_unreadable", "status=%u reason=%s", status,
	    reason);
	c->keep_alive = false;
	c->started = false;
	g_string_truncate(c->pipelined, 0);
	fwd_conn_refuse(c, status, NULL, retry_ms);
}

/* Refuses an invalid or incomplete request, and ends the connection. */
static void
conn_refuse_input(struct fwd_conn *c)
{
	unsigned status =
	    c->error_status != 0 ? c->error_status : HTTP_STATUS_BAD_REQUEST;

	fwd_stats_count(&c->fwd->stats, COUNT_BAD_REQUESTS);
	conn_refuse_part(c, status,
	    http_errno_name(HTTP_PARSER_ERRNO(&c->parser)),
	    status == HTTP_STATUS_SERVICE_UNAVAILABLE ? RETRY_ROOM_MS : -1);
}

/* Parses bytes until a request is complete. Returns how many were used. */
static size_t
conn_parse(struct fwd_conn *c, const char *at, size_t length)
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
		conn_refuse_input(c);
		return (length);
	}
	return (used);
}

/* Starts an exchange for the request that was read. */
static void
conn_start_exchange(struct fwd_conn *c)
{
	c->complete = false;
	c->started = false;
	c->chunked = false;
	fwd_exchange_start(c->fwd, c);
}

/* Parses pipelined bytes until a request is in progress. */
static void
conn_run_pipelined(struct fwd_conn *c)
{
	while (c->exchange == NULL && !c->stream.closing &&
	    !c->stream.write_shutdown && c->pipelined->len > 0) {
		g_autoptr(GString) bytes = g_steal_pointer(&c->pipelined);
		size_t used;

		c->pipelined = g_string_new(NULL);
		used = conn_parse(c, bytes->str, bytes->len);
		if (c->stream.closing || c->stream.write_shutdown)
			return;
		g_string_append_len(c->pipelined, bytes->str + used,
		    (gssize)(bytes->len - used));
		if (c->complete)
			conn_start_exchange(c);
	}
}

static void
conn_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct fwd_conn *c = stream->owner;

	if (c->stream.write_shutdown)
		return;
	if (c->exchange == NULL && c->pipelined->len == 0) {
		size_t used = conn_parse(c, at, length);

		if (c->stream.closing || c->stream.write_shutdown)
			return;
		at += used;
		length -= used;
	}
	g_string_append_len(c->pipelined, at, (gssize)length);
	if (c->complete)
		conn_start_exchange(c);
	conn_run_pipelined(c);
	if (c->pipelined != NULL && c->pipelined->len > PIPELINED_MAX_BYTES)
		net_stream_set_reading(stream, false);
}

static void
conn_ended(struct net_stream *stream, bool clean)
{
	struct fwd_conn *c = stream->owner;

	if (c->exchange != NULL)
		fwd_exchange_client_left(c->exchange);
	c->exchange = NULL;
	net_stream_close(stream);
}

static void
conn_output_drained(struct net_stream *stream)
{
	struct fwd_conn *c = stream->owner;

	if (c->exchange != NULL)
		fwd_exchange_pause(c->exchange, false);
}

static void
conn_closed(struct net_stream *stream)
{
	struct fwd_conn *c = stream->owner;

	TAILQ_REMOVE(&c->fwd->conns, c, entry);
	net_head_clear(&c->head);
	conn_drop_body(c);
	g_byte_array_free(c->body, TRUE);
	g_string_free(c->pipelined, TRUE);
	g_string_free(c->out, TRUE);
	g_free(c);
}

static void
conn_connected(struct net_stream *stream)
{
}

static const struct net_stream_ops conn_ops = {
	.connected = conn_connected,
	.readable = conn_readable,
	.ended = conn_ended,
	.drained = conn_output_drained,
	.closed = conn_closed,
};

/**
 * fwd_conn_accept() - accept a client's connection.
 * @fwd: the proxy
 * @listener: the listening socket
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
	net_stream_init(&c->stream, fwd->loop, &conn_ops, c);
	c->stream.queued_sum = &fwd->held_bytes;
	if (net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
}

/**
 * fwd_conn_idle() - whether a connection carries nothing.
 * @c: the connection
 */
bool
fwd_conn_idle(const struct fwd_conn *c)
{
	return (c->exchange == NULL && !c->started && c->pipelined->len == 0 &&
	    c->stream.queued == 0 && !c->stream.write_shutdown &&
	    !c->stream.closing);
}

/**
 * fwd_conn_receiving() - whether a part of a request has arrived.
 * @c: the connection
 */
bool
fwd_conn_receiving(const struct fwd_conn *c)
{
	return (c->exchange == NULL && c->started &&
	    !c->stream.write_shutdown && !c->stream.closing);
}

/**
 * fwd_conn_refuse_unread() - refuse the request of which a part has arrived.
 * @c: the connection, which is receiving; it is ended
 * @reason: reason for the log
 * @retry_ms: time after which the client should retry
 */
void
fwd_conn_refuse_unread(struct fwd_conn *c, const char *reason, int64_t retry_ms)
{
	fwd_stats_count(&c->fwd->stats, COUNT_REFUSED);
	conn_refuse_part(c, HTTP_STATUS_SERVICE_UNAVAILABLE, reason, retry_ms);
}

/* Notes when output left last: a client that goes on reading is not idle. */
static void
conn_note_output(struct fwd_conn *c, uint64_t now_ms)
{
	size_t unwritten = net_stream_unwritten(&c->stream);

	if (unwritten != c->unwritten)
		c->since_ms = now_ms;
	c->unwritten = unwritten;
}

/* Frees what the last request and its response left in the buffers of an idle
 * connection. */
static void
conn_release_buffers(struct fwd_conn *c)
{
	net_head_release(&c->head);
	net_string_release(&c->pipelined);
}

/**
 * fwd_conn_tick() - check the timeouts of a connection without an exchange.
 * @c: the connection
 * @now_ms: loop time
 */
void
fwd_conn_tick(struct fwd_conn *c, uint64_t now_ms)
{
	const struct client_limits *limits = conn_limits(c);
	uint64_t waited;

	if (c->exchange != NULL || c->stream.closing)
		return;
	if (fwd_conn_idle(c))
		conn_release_buffers(c);
	conn_note_output(c, now_ms);
	waited = now_ms - c->since_ms;
	if (c->stream.write_shutdown && c->unwritten == 0) {
		if (waited > LINGER_MS)
			net_stream_close(&c->stream);
		return;
	}
	if (c->pipelined->len > 0 && !c->stream.write_shutdown) {
		conn_run_pipelined(c);
		return;
	}
	if (now_ms < c->fwd->grace_until_ms)
		return;
	if (c->started && waited > (uint64_t)limits->header_timeout_ms &&
	    c->body->len == 0) {
		c->error_status = HTTP_STATUS_REQUEST_TIMEOUT;
		conn_refuse_input(c);
	} else if (waited > (uint64_t)limits->idle_timeout_ms) {
		net_stream_close(&c->stream);
	}
}
