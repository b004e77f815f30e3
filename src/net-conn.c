/* Exchanges on outgoing HTTP/1.1 connections, one at a time. */
#include "clock.h"
#include "event-log.h"
#include "net-address.h"
#include "net-conn.h"
#include "net-response.h"

static void
on_send_timer_closed(uv_handle_t *handle)
{
	struct net_conn *conn = handle->data;

	conn->pool->n_open--;
	net_head_clear(&conn->head);
	if (conn->unsent != NULL)
		g_string_free(conn->unsent, TRUE);
	g_free(conn);
}

/* Ends a connection, by a reset or by a regular close. */
static void
conn_end(struct net_conn *conn, bool reset)
{
	if (conn->closing)
		return;
	conn->closing = true;
	if (conn->dial != NULL)
		net_dial_cancel(conn->dial);
	conn->dial = NULL;
	if (conn->link != NULL && reset)
		net_link_reset(conn->link);
	else if (conn->link != NULL)
		net_link_close(conn->link);
	conn->link = NULL;
	uv_close((uv_handle_t *)&conn->send_timer, on_send_timer_closed);
}

/**
 * net_conn_close() - close a connection that has no exchange.
 * @conn: the connection
 */
void
net_conn_close(struct net_conn *conn)
{
	conn_end(conn, false);
}

/* Closes the connection and reports the failure to the owner. */
static void
conn_fail(struct net_conn *conn, enum net_failure reason)
{
	const struct net_conn_ops *ops = conn->ops;
	void *owner = conn->owner;

	conn->ops = NULL;
	net_conn_close(conn);
	if (ops != NULL)
		ops->failed(owner, reason);
}

/* Returns whether the connection may carry another exchange. */
static bool
conn_reusable(const struct net_conn *conn)
{
	const struct net_link *link = conn->link;

	return (!conn->no_reuse && link != NULL && link->stream.queued == 0 &&
	    conn->idle_timeout_ms > 0 && !link->stream.ended &&
	    !link->stream.closing);
}

/* Ends an exchange: returns the connection to the pool or closes it, then
 * tells the owner that the response is complete. */
static void
conn_done(struct net_conn *conn)
{
	const struct net_conn_ops *ops = conn->ops;
	void *owner = conn->owner;
	enum net_framing framing = conn->framing;

	conn->ops = NULL;
	conn->owner = NULL;
	if (conn_reusable(conn)) {
		net_conn_pause(conn, false);
		net_head_release(&conn->head);
		net_pool_add_idle(conn->pool, conn);
	} else {
		net_conn_close(conn);
	}
	if (ops != NULL)
		ops->done(owner, framing);
}

/* Ends an exchange whose peer sent something else than a response. */
static void
conn_fail_protocol(struct net_conn *conn)
{
	g_autofree char *peer = net_address_format(&conn->pool->addr);

	event_log(LOG_NOTICE, "response_invalid",
	    "peer=%s reason=%s parser=%s status=%u", peer,
	    conn->fault != NULL ? conn->fault : "syntax",
	    http_errno_name(HTTP_PARSER_ERRNO(&conn->parser)),
	    conn->parser.status_code);
	conn_fail(conn, NET_PROTOCOL_ERROR);
}

static void
on_readable(struct net_link *link, const char *at, size_t length)
{
	struct net_conn *conn = link->owner;
	struct net_pool *pool = conn->pool;
	bool valid;

	if (!link->tunnel)
		net_path_heard(&pool->path, pool->tunnels, &pool->addr,
		    clock_loop_ms(pool->loop));
	if (conn->ops == NULL) {
		/* Bytes on an idle connection belong to no request. */
		net_pool_remove_idle(conn);
		net_conn_close(conn);
		return;
	}
	valid = net_response_parse(conn, at, length);
	if (conn->ops == NULL)
		return;
	if (conn->complete) {
		if (!valid)
			conn->no_reuse = true;
		conn_done(conn);
	} else if (!valid) {
		conn_fail_protocol(conn);
	}
}

static void
on_ended(struct net_link *link, bool clean)
{
	struct net_conn *conn = link->owner;

	if (!clean)
		conn->pool->path.reset_ms = clock_loop_ms(conn->pool->loop);
	if (!clean && !link->tunnel)
		conn->pool->path.doubt_ms = conn->pool->path.reset_ms;
	if (conn->ops == NULL) {
		net_pool_remove_idle(conn);
		net_conn_close(conn);
		return;
	}
	/* A response without a length ends with its connection. */
	if (clean && !conn->complete)
		net_response_end(conn);
	if (conn->ops == NULL)
		return;
	if (conn->complete)
		conn_done(conn);
	else
		conn_fail(conn,
		    conn->connected ? NET_CONN_LOST : NET_CONNECT_FAILED);
}

/* The peer wants no more requests from the gateway. */
static void
on_declined(struct net_link *link)
{
	struct net_conn *conn = link->owner;

	conn->no_reuse = true;
	if (conn->ops != NULL)
		return;
	net_pool_remove_idle(conn);
	net_conn_close(conn);
}

static const struct net_link_ops conn_link_ops = {
	.declined = on_declined,
	.readable = on_readable,
	.ended = on_ended,
};

/* Sends the request that waited for the connection to be established. */
static void
conn_send_unsent(struct net_conn *conn)
{
	conn->connected = true;
	if (conn->unsent == NULL)
		return;
	net_stream_write(&conn->link->stream, conn->unsent->str,
	    conn->unsent->len);
	g_string_free(conn->unsent, TRUE);
	conn->unsent = NULL;
}

static void
on_send_timer(uv_timer_t *timer)
{
	struct net_conn *conn = timer->data;

	if (!conn->closing && !conn->link->stream.ended)
		conn_send_unsent(conn);
}

static void
on_connected(void *owner, struct net_link *link)
{
	struct net_conn *conn = owner;

	conn->dial = NULL;
	conn->link = link;
	link->ops = &conn_link_ops;
	link->owner = conn;
	net_stream_set_reading(&link->stream, !conn->paused);
	if (conn->send_delay_ms > 0)
		uv_timer_start(&conn->send_timer, on_send_timer,
		    conn->send_delay_ms, 0);
	else
		conn_send_unsent(conn);
	/* It was opened to check the path and is left for the next exchange. */
	if (conn->ops == NULL) {
		conn->idle_timeout_ms = NET_IDLE_DEFAULT_MS;
		net_pool_add_idle(conn->pool, conn);
	}
}

static void
on_not_connected(void *owner)
{
	struct net_conn *conn = owner;

	conn->dial = NULL;
	conn_fail(conn, NET_CONNECT_FAILED);
}

static const struct net_dial_ops conn_dial_ops = {
	.connected = on_connected,
	.failed = on_not_connected,
};

/**
 * net_conn_open() - start to connect.
 * @pool: the pool of the connection
 * @direct_only: through no gateway
 *
 * Return: the connection, or NULL if the system refuses one.
 */
struct net_conn *
net_conn_open(struct net_pool *pool, bool direct_only)
{
	struct net_conn *conn = g_new0(struct net_conn, 1);
	const struct net_dial_target target = {
		.loop = pool->loop,
		.addr = pool->addr,
		.source = pool->source,
		.path = &pool->path,
		.tunnels = pool->tunnels,
		.direct_only = direct_only,
		.n_open = &pool->n_open,
	};

	net_head_init(&conn->head);
	conn->pool = pool;
	uv_timer_init(pool->loop, &conn->send_timer);
	conn->send_timer.data = conn;
	pool->n_open++;
	pool->n_opened++;
	conn->dial = net_dial_start(&target, &conn_dial_ops, conn);
	if (conn->dial == NULL) {
		net_conn_close(conn);
		return (NULL);
	}
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
		net_stream_write(&conn->link->stream, bytes, length);
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
}

/**
 * net_conn_pause() - pause or resume reading, for back-pressure.
 * @conn: the connection
 * @on: true to pause, false to resume
 */
void
net_conn_pause(struct net_conn *conn, bool on)
{
	conn->paused = on;
	if (conn->link != NULL)
		net_stream_set_reading(&conn->link->stream, !on);
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
	conn_end(conn, true);
}

/**
 * net_conn_tunneled() - whether a connection goes through a gateway.
 * @conn: the connection
 */
bool
net_conn_tunneled(const struct net_conn *conn)
{
	return (conn->link != NULL && conn->link->tunnel);
}
