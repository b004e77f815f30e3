/* Outgoing HTTP/1.1 connections, pooled, with one exchange at a time. */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "net-conn.h"

static void
conn_free(struct net_conn *conn)
{
	if (conn->pool != NULL)
		conn->pool->n_open--;
	net_head_clear(&conn->head);
	if (conn->unsent != NULL)
		g_string_free(conn->unsent, TRUE);
	g_free(conn);
}

static void
on_send_timer_closed(uv_handle_t *handle)
{
	conn_free(handle->data);
}

static void
conn_closed(struct net_stream *stream)
{
	struct net_conn *conn = stream->owner;

	if (conn->send_delay_ms == 0)
		conn_free(conn);
	else
		uv_close((uv_handle_t *)&conn->send_timer,
		    on_send_timer_closed);
}

/* Removes a connection from its pool's idle list. */
static void
conn_remove_idle(struct net_conn *conn)
{
	if (conn->pool == NULL)
		return;
	TAILQ_REMOVE(&conn->pool->idle, conn, entry);
	conn->pool->n_idle--;
}

/* Closes the connection and reports the failure to the owner. */
static void
conn_fail(struct net_conn *conn, enum net_failure reason)
{
	const struct net_conn_ops *ops = conn->ops;
	void *owner = conn->owner;

	conn->ops = NULL;
	net_stream_close(&conn->stream);
	if (ops != NULL)
		ops->failed(owner, reason);
}

/* Returns the idle timeout named by the response's Keep-Alive header. */
static uint64_t
conn_idle_timeout_ms(const struct net_conn *conn)
{
	const char *value = net_head_find(&conn->head, "keep-alive");
	const char *at = value != NULL ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (at == NULL)
		return (NET_IDLE_DEFAULT_MS);
	ms = strtoull(at + strlen("timeout="), NULL, 10) * 1000;
	return (ms > NET_IDLE_MARGIN_MS ? ms - NET_IDLE_MARGIN_MS : 0);
}

/* Returns whether the connection may carry another exchange. */
static bool
conn_reusable(const struct net_conn *conn)
{
	return (!conn->no_reuse && conn->pool != NULL &&
	    conn->stream.queued == 0 && conn->idle_timeout_ms > 0 &&
	    !conn->stream.ended && !conn->stream.closing);
}

/* Closes the longest idle connections beyond the bound. */
static void
pool_trim(struct net_pool *pool)
{
	while (pool->n_idle > MIN(pool->max_idle, NET_IDLE_CONNS_MAX)) {
		struct net_conn *oldest =
		    TAILQ_LAST(&pool->idle, net_conn_list);

		conn_remove_idle(oldest);
		net_stream_close(&oldest->stream);
	}
}

/* Ends an exchange: returns the connection to the pool or closes it, then
 * tells the owner that the response is complete. */
static void
conn_done(struct net_conn *conn)
{
	const struct net_conn_ops *ops = conn->ops;
	void *owner = conn->owner;

	conn->ops = NULL;
	conn->owner = NULL;
	if (conn_reusable(conn)) {
		net_stream_set_reading(&conn->stream, true);
		conn->idle_since_ms = clock_loop_ms(conn->pool->loop);
		TAILQ_INSERT_HEAD(&conn->pool->idle, conn, entry);
		conn->pool->n_idle++;
		pool_trim(conn->pool);
	} else {
		net_stream_close(&conn->stream);
	}
	if (ops != NULL)
		ops->done(owner);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	net_head_add_name(&conn->head, at, length);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	net_head_add_value(&conn->head, at, length);
	return (0);
}

static int
on_begin(http_parser *parser)
{
	struct net_conn *conn = parser->data;

	/* A second response in the same read belongs to no request. */
	if (conn->complete)
		return (-1);
	net_head_reset(&conn->head);
	return (0);
}

static int
on_head(http_parser *parser)
{
	struct net_conn *conn = parser->data;

	net_head_close_value(&conn->head);
	conn->skipping = parser->status_code < HTTP_STATUS_OK;
	if (conn->skipping || conn->ops == NULL)
		return (0);
	if (conn->ops->head(conn->owner, parser->status_code, &conn->head) ==
	    NET_SKIP) {
		conn->skipping = true;
		conn->no_reuse = true;
	}
	return (conn->head_request && !conn->skipping ? 1 : 0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *conn = parser->data;

	if (!conn->skipping && conn->ops != NULL)
		conn->ops->body(conn->owner, at, length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct net_conn *conn = parser->data;

	if (conn->skipping)
		return (0);
	conn->complete = true;
	conn->idle_timeout_ms = conn_idle_timeout_ms(conn);
	if (!http_should_keep_alive(parser))
		conn->no_reuse = true;
	return (0);
}

static const http_parser_settings response_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void
conn_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct net_conn *conn = stream->owner;
	size_t used;

	if (conn->ops == NULL) {
		/* Bytes on an idle connection belong to no request. */
		conn_remove_idle(conn);
		net_stream_close(stream);
		return;
	}
	used =
	    http_parser_execute(&conn->parser, &response_settings, at, length);
	if (conn->ops == NULL)
		return;
	if (conn->complete) {
		if (used != length ||
		    HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
			conn->no_reuse = true;
		conn_done(conn);
		return;
	}
	if (used != length || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		conn_fail(conn, NET_PROTOCOL_ERROR);
}

static void
conn_ended(struct net_stream *stream, bool clean)
{
	struct net_conn *conn = stream->owner;

	if (conn->ops == NULL) {
		conn_remove_idle(conn);
		net_stream_close(stream);
		return;
	}
	if (!conn->connected) {
		conn_fail(conn, NET_CONNECT_FAILED);
		return;
	}
	/* A response without a length ends with its connection. */
	if (clean && !conn->complete) {
		http_parser_execute(&conn->parser, &response_settings, "", 0);
		conn->no_reuse = true;
	}
	if (conn->ops == NULL)
		return;
	if (conn->complete)
		conn_done(conn);
	else
		conn_fail(conn, NET_CONN_LOST);
}

/* Sends the request that waited for the connection to be established. */
static void
conn_send_unsent(struct net_conn *conn)
{
	conn->connected = true;
	if (conn->unsent == NULL)
		return;
	net_stream_write(&conn->stream, conn->unsent->str, conn->unsent->len);
	g_string_free(conn->unsent, TRUE);
	conn->unsent = NULL;
}

static void
on_send_timer(uv_timer_t *timer)
{
	struct net_conn *conn = timer->data;

	if (!conn->stream.closing && !conn->stream.ended)
		conn_send_unsent(conn);
}

static void
conn_connected(struct net_stream *stream)
{
	struct net_conn *conn = stream->owner;

	if (conn->send_delay_ms > 0)
		uv_timer_start(&conn->send_timer, on_send_timer,
		    conn->send_delay_ms, 0);
	else
		conn_send_unsent(conn);
}

static void
conn_drained(struct net_stream *stream)
{
}

static const struct net_stream_ops conn_stream_ops = {
	.connected = conn_connected,
	.readable = conn_readable,
	.ended = conn_ended,
	.drained = conn_drained,
	.closed = conn_closed,
};

/**
 * net_pool_init() - initialize an empty pool.
 * @pool: the pool
 * @loop: the event loop
 * @addr: address of the peer
 */
void
net_pool_init(struct net_pool *pool, uv_loop_t *loop,
    const struct sockaddr_in *addr)
{
	memset(pool, 0, sizeof *pool);
	pool->loop = loop;
	pool->addr = *addr;
	pool->max_idle = NET_IDLE_CONNS_MAX;
	TAILQ_INIT(&pool->idle);
}

/**
 * net_pool_clear() - close all idle connections.
 * @pool: the pool; it must not be freed before pool->n_open is 0
 */
void
net_pool_clear(struct net_pool *pool)
{
	struct net_conn *conn;

	while ((conn = TAILQ_FIRST(&pool->idle)) != NULL) {
		conn_remove_idle(conn);
		net_stream_close(&conn->stream);
	}
}

/**
 * net_pool_expire() - close the connections whose idle timeout has passed.
 * @pool: the pool
 */
void
net_pool_expire(struct net_pool *pool)
{
	uint64_t now = clock_loop_ms(pool->loop);
	struct net_conn *conn;

	while ((conn = TAILQ_LAST(&pool->idle, net_conn_list)) != NULL &&
	    now - conn->idle_since_ms >= conn->idle_timeout_ms) {
		conn_remove_idle(conn);
		net_stream_close(&conn->stream);
	}
}

/* Starts to connect; returns NULL if the system refuses a connection. */
static struct net_conn *
conn_open(struct net_pool *pool)
{
	struct net_conn *conn = g_new0(struct net_conn, 1);

	net_head_init(&conn->head);
	net_stream_init(&conn->stream, pool->loop, &conn_stream_ops, conn);
	conn->pool = pool;
	pool->n_open++;
	pool->n_opened++;
	if (net_stream_connect(&conn->stream, &pool->addr, &pool->source) !=
	    0) {
		net_stream_close(&conn->stream);
		return (NULL);
	}
	return (conn);
}

/* Returns the most recently used idle connection unless it has been idle for
 * too long. */
static struct net_conn *
pool_reuse(struct net_pool *pool, uint64_t max_idle_ms)
{
	struct net_conn *conn = TAILQ_FIRST(&pool->idle);
	uint64_t idle;

	if (conn == NULL)
		return (NULL);
	idle = clock_loop_ms(pool->loop) - conn->idle_since_ms;
	if (idle >= conn->idle_timeout_ms || idle > max_idle_ms)
		return (NULL);
	conn_remove_idle(conn);
	return (conn);
}

/**
 * net_pool_take() - get a connection for one exchange.
 * @pool: the pool
 * @max_idle_ms: longest idle time of a connection that is used again; 0 for a
 *	new one
 * @ops: the owner's callbacks
 * @owner: passed to the callbacks
 *
 * Return: an idle or a new connection, or NULL if none can be started.
 */
struct net_conn *
net_pool_take(struct net_pool *pool, uint64_t max_idle_ms,
    const struct net_conn_ops *ops, void *owner)
{
	struct net_conn *conn = pool_reuse(pool, max_idle_ms);

	if (conn == NULL)
		conn = conn_open(pool);
	if (conn == NULL)
		return (NULL);
	conn->ops = ops;
	conn->owner = owner;
	conn->complete = false;
	conn->skipping = false;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	return (conn);
}

/**
 * net_conn_send() - send a request.
 * @conn: the connection
 * @bytes: the whole request; copied
 * @length: bytes of the request
 * @head_request: the method is HEAD, so the response has no body
 */
void
net_conn_send(struct net_conn *conn, const char *bytes, size_t length,
    bool head_request)
{
	conn->head_request = head_request;
	if (conn->connected) {
		net_stream_write(&conn->stream, bytes, length);
		return;
	}
	conn->unsent = g_string_new_len(bytes, (gssize)length);
}

/**
 * net_conn_delay_send() - send the request a while after connecting.
 * @conn: the connection; without effect if it is established
 * @ms: the delay, from when the connection is established
 *
 * A peer that accepts no more connections resets a new one at once. A request
 * that has not been sent by then certainly did not run.
 */
void
net_conn_delay_send(struct net_conn *conn, unsigned ms)
{
	if (conn->connected || conn->send_delay_ms > 0)
		return;
	conn->send_delay_ms = ms;
	uv_timer_init(conn->pool->loop, &conn->send_timer);
	conn->send_timer.data = conn;
}

/**
 * net_conn_pause() - pause or resume reading, for back-pressure.
 * @conn: the connection
 * @on: true to pause, false to resume
 */
void
net_conn_pause(struct net_conn *conn, bool on)
{
	net_stream_set_reading(&conn->stream, !on);
}

/**
 * net_conn_abort() - abort an exchange by resetting its connection.
 * @conn: the connection; none of the owner's callbacks is called after this
 */
void
net_conn_abort(struct net_conn *conn)
{
	conn->ops = NULL;
	conn->owner = NULL;
	net_stream_reset(&conn->stream);
}
