/* Client side of HTTP/1.1: pooled connections, one exchange at a time. */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "net-conn.h"

static void
client_free(struct net_conn *client)
{
	if (client->pool != NULL)
		client->pool->n_open--;
	net_head_clear(&client->head);
	if (client->unsent != NULL)
		g_string_free(client->unsent, TRUE);
	g_free(client);
}

static void
on_hold_closed(uv_handle_t *handle)
{
	client_free(handle->data);
}

static void
client_closed(struct net_stream *stream)
{
	struct net_conn *client = stream->owner;

	if (client->send_delay_ms == 0)
		client_free(client);
	else
		uv_close((uv_handle_t *)&client->send_timer, on_hold_closed);
}

/* Takes a connection out of the idle ones. */
static void
client_unidle(struct net_conn *client)
{
	if (client->pool == NULL)
		return;
	TAILQ_REMOVE(&client->pool->idle, client, entry);
	client->pool->n_idle--;
}

/* Takes the connection from its owner and ends it. */
static void
client_fail(struct net_conn *client, enum net_failure why)
{
	const struct net_conn_ops *ops = client->ops;
	void *owner = client->owner;

	client->ops = NULL;
	net_stream_close(&client->stream);
	if (ops != NULL)
		ops->failed(owner, why);
}

/* Idle life of the connection, from the answer's Keep-Alive header. */
static uint64_t
client_idle_ms(const struct net_conn *client)
{
	const char *value = net_head_find(&client->head, "keep-alive");
	const char *at = value != NULL ? strstr(value, "timeout=") : NULL;
	uint64_t ms;

	if (at == NULL)
		return (NET_IDLE_DEFAULT_MS);
	ms = strtoull(at + strlen("timeout="), NULL, 10) * 1000;
	return (ms > NET_IDLE_MARGIN_MS ? ms - NET_IDLE_MARGIN_MS : 0);
}

/* Whether the connection may carry another exchange. */
static bool
client_reusable(const struct net_conn *client)
{
	return (!client->no_reuse && client->pool != NULL &&
	    client->stream.queued == 0 && client->idle_timeout_ms > 0 &&
	    !client->stream.ended && !client->stream.closing);
}

/* Closes the oldest idle connections beyond the number that is kept. */
static void
pool_trim(struct net_pool *pool)
{
	while (pool->n_idle > NET_IDLE_CONNS_MAX) {
		struct net_conn *oldest =
		    TAILQ_LAST(&pool->idle, net_conn_list);

		client_unidle(oldest);
		net_stream_close(&oldest->stream);
	}
}

/* The answer is complete: pool or close, then tell the owner. */
static void
client_done(struct net_conn *client)
{
	const struct net_conn_ops *ops = client->ops;
	void *owner = client->owner;

	client->ops = NULL;
	client->owner = NULL;
	if (client_reusable(client)) {
		net_stream_set_reading(&client->stream, true);
		client->idle_since_ms = clock_loop_ms(client->pool->loop);
		TAILQ_INSERT_HEAD(&client->pool->idle, client, entry);
		client->pool->n_idle++;
		pool_trim(client->pool);
	} else {
		net_stream_close(&client->stream);
	}
	if (ops != NULL)
		ops->done(owner);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *client = parser->data;

	net_head_add_name(&client->head, at, length);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *client = parser->data;

	net_head_add_value(&client->head, at, length);
	return (0);
}

static int
on_begin(http_parser *parser)
{
	struct net_conn *client = parser->data;

	/* A second answer in the same bytes is nobody's. */
	if (client->complete)
		return (-1);
	net_head_reset(&client->head);
	return (0);
}

static int
on_head(http_parser *parser)
{
	struct net_conn *client = parser->data;

	net_head_close_value(&client->head);
	client->skipping = parser->status_code < HTTP_STATUS_OK;
	if (client->skipping || client->ops == NULL)
		return (0);
	if (client->ops->head(client->owner, parser->status_code,
		&client->head) == NET_SKIP) {
		client->skipping = true;
		client->no_reuse = true;
	}
	return (client->head_request && !client->skipping ? 1 : 0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	struct net_conn *client = parser->data;

	if (!client->skipping && client->ops != NULL)
		client->ops->body(client->owner, at, length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct net_conn *client = parser->data;

	if (client->skipping)
		return (0);
	client->complete = true;
	client->idle_timeout_ms = client_idle_ms(client);
	if (!http_should_keep_alive(parser))
		client->no_reuse = true;
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
client_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct net_conn *client = stream->owner;
	size_t used;

	if (client->ops == NULL) {
		/* Bytes that nobody asked for. */
		client_unidle(client);
		net_stream_close(stream);
		return;
	}
	used = http_parser_execute(&client->parser, &response_settings, at,
	    length);
	if (client->ops == NULL)
		return;
	if (client->complete) {
		if (used != length ||
		    HTTP_PARSER_ERRNO(&client->parser) != HPE_OK)
			client->no_reuse = true;
		client_done(client);
		return;
	}
	if (used != length || HTTP_PARSER_ERRNO(&client->parser) != HPE_OK)
		client_fail(client, NET_PROTOCOL_ERROR);
}

static void
client_ended(struct net_stream *stream, bool clean)
{
	struct net_conn *client = stream->owner;

	if (client->ops == NULL) {
		client_unidle(client);
		net_stream_close(stream);
		return;
	}
	if (!client->connected) {
		client_fail(client, NET_CONNECT_FAILED);
		return;
	}
	/* An answer without a length ends with its connection. */
	if (clean && !client->complete) {
		http_parser_execute(&client->parser, &response_settings, "", 0);
		client->no_reuse = true;
	}
	if (client->ops == NULL)
		return;
	if (client->complete)
		client_done(client);
	else
		client_fail(client, NET_CONN_LOST);
}

/* Sends the request that waited for the connection. */
static void
client_start(struct net_conn *client)
{
	client->connected = true;
	if (client->unsent == NULL)
		return;
	net_stream_write(&client->stream, client->unsent->str,
	    client->unsent->len);
	g_string_free(client->unsent, TRUE);
	client->unsent = NULL;
}

static void
on_hold(uv_timer_t *timer)
{
	struct net_conn *client = timer->data;

	if (!client->stream.closing && !client->stream.ended)
		client_start(client);
}

static void
client_connected(struct net_stream *stream)
{
	struct net_conn *client = stream->owner;

	if (client->send_delay_ms > 0)
		uv_timer_start(&client->send_timer, on_hold,
		    client->send_delay_ms, 0);
	else
		client_start(client);
}

static void
client_drained(struct net_stream *stream)
{
}

static const struct net_stream_ops client_stream_ops = {
	.connected = client_connected,
	.readable = client_readable,
	.ended = client_ended,
	.drained = client_drained,
	.closed = client_closed,
};

/**
 * net_pool_init() - make an empty pool.
 * @pool: the pool
 * @loop: the event loop
 * @addr: where its connections go
 */
void
net_pool_init(struct net_pool *pool, uv_loop_t *loop,
    const struct sockaddr_in *addr)
{
	memset(pool, 0, sizeof *pool);
	pool->loop = loop;
	pool->addr = *addr;
	TAILQ_INIT(&pool->idle);
}

/**
 * net_pool_clear() - close what is idle.
 * @pool: the pool; its owner waits until pool->open is 0 before it goes
 */
void
net_pool_clear(struct net_pool *pool)
{
	struct net_conn *client;

	while ((client = TAILQ_FIRST(&pool->idle)) != NULL) {
		client_unidle(client);
		net_stream_close(&client->stream);
	}
}

/**
 * net_pool_expire() - close what has been idle for too long.
 * @pool: the pool
 */
void
net_pool_expire(struct net_pool *pool)
{
	uint64_t now = clock_loop_ms(pool->loop);
	struct net_conn *client;

	while ((client = TAILQ_LAST(&pool->idle, net_conn_list)) != NULL &&
	    now - client->idle_since_ms >= client->idle_timeout_ms) {
		client_unidle(client);
		net_stream_close(&client->stream);
	}
}

/* A new connection, or NULL where the system refuses one. */
static struct net_conn *
client_open(struct net_pool *pool)
{
	struct net_conn *client = g_new0(struct net_conn, 1);

	net_head_init(&client->head);
	net_stream_init(&client->stream, pool->loop, &client_stream_ops,
	    client);
	client->pool = pool;
	pool->n_open++;
	pool->n_opened++;
	if (net_stream_connect(&client->stream, &pool->addr, &pool->source) !=
	    0) {
		net_stream_close(&client->stream);
		return (NULL);
	}
	return (client);
}

/* The idle connection used last, if it is fresh enough. */
static struct net_conn *
pool_reuse(struct net_pool *pool, uint64_t most_idle_ms)
{
	struct net_conn *client = TAILQ_FIRST(&pool->idle);
	uint64_t idle;

	if (client == NULL)
		return (NULL);
	idle = clock_loop_ms(pool->loop) - client->idle_since_ms;
	if (idle >= client->idle_timeout_ms || idle > most_idle_ms)
		return (NULL);
	client_unidle(client);
	return (client);
}

/**
 * net_pool_take() - a connection for one exchange.
 * @pool: the pool
 * @most_idle_ms: how long it may have been idle; 0 for a new one
 * @ops: what the owner wants to hear
 * @owner: whose exchange it is
 *
 * Return: the connection, or NULL.
 */
struct net_conn *
net_pool_take(struct net_pool *pool, uint64_t most_idle_ms,
    const struct net_conn_ops *ops, void *owner)
{
	struct net_conn *client = pool_reuse(pool, most_idle_ms);

	if (client == NULL)
		client = client_open(pool);
	if (client == NULL)
		return (NULL);
	client->ops = ops;
	client->owner = owner;
	client->complete = false;
	client->skipping = false;
	http_parser_init(&client->parser, HTTP_RESPONSE);
	client->parser.data = client;
	return (client);
}

/**
 * net_conn_send() - send a request.
 * @client: the connection
 * @bytes: the whole request
 * @length: how many
 * @head_request: its answer has no body
 */
void
net_conn_send(struct net_conn *client, const char *bytes, size_t length,
    bool head_request)
{
	client->head_request = head_request;
	if (client->connected) {
		net_stream_write(&client->stream, bytes, length);
		return;
	}
	client->unsent = g_string_new_len(bytes, (gssize)length);
}

/**
 * net_conn_delay_send() - wait between connection and request.
 * @client: a connection that does not stand yet; others are left as they are
 * @ms: how long
 *
 * A peer that takes no more connections resets a new one at once; a request
 * that has not been sent by then certainly did not run.
 */
void
net_conn_delay_send(struct net_conn *client, unsigned ms)
{
	if (client->connected || client->send_delay_ms > 0)
		return;
	client->send_delay_ms = ms;
	uv_timer_init(client->pool->loop, &client->send_timer);
	client->send_timer.data = client;
}

/**
 * net_conn_pause() - stop or go on reading, for back-pressure.
 * @client: the connection
 * @on: whether to pause
 */
void
net_conn_pause(struct net_conn *client, bool on)
{
	net_stream_set_reading(&client->stream, !on);
}

/**
 * net_conn_abort() - end an exchange whose answer is not wanted.
 * @client: the connection
 */
void
net_conn_abort(struct net_conn *client)
{
	client->ops = NULL;
	client->owner = NULL;
	net_stream_reset(&client->stream);
}
