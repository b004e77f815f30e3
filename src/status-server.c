/* A small HTTP server for readiness and metrics. */
#include "net-head.h"
#include "net-stream.h"
#include "status-server.h"

#define BACKLOG 16

/* A client connection. */
struct status_conn {
	struct net_stream stream;
	struct status_server *server;
	http_parser parser;
	struct net_head head;
	/* When a response began that counts in the server's bound; 0 for none.
	 */
	uint64_t bounded_ms;
	TAILQ_ENTRY(status_conn) bounded;
};

/* No longer counts a connection in the server's bound. */
static void
bound_leave(struct status_conn *c)
{
	if (c->bounded_ms == 0)
		return;
	c->bounded_ms = 0;
	TAILQ_REMOVE(&c->server->bounded, c, bounded);
}

/* Counts a connection in the server's bound; false if there are too many. */
static bool
bound_enter(struct status_conn *c)
{
	struct status_server *server = c->server;
	uint64_t now = uv_now(server->listener.loop);
	struct status_conn *other, *next;
	unsigned n = 0;

	bound_leave(c);
	for (other = TAILQ_FIRST(&server->bounded); other != NULL;
	     other = next) {
		next = TAILQ_NEXT(other, bounded);
		if (now - other->bounded_ms >= server->bounded_ms)
			bound_leave(other);
		else
			n++;
	}
	if (n >= server->bounded_max)
		return (false);
	c->bounded_ms = MAX(now, 1);
	TAILQ_INSERT_TAIL(&server->bounded, c, bounded);
	return (true);
}

/* Gets the response to a request; returns its status. */
static unsigned
conn_respond(struct status_conn *c, GString *body)
{
	const struct status_server *server = c->server;
	const char *path = net_head_target(&c->head);

	if (c->parser.method != HTTP_GET && c->parser.method != HTTP_HEAD)
		return (HTTP_STATUS_METHOD_NOT_ALLOWED);
	if (g_strcmp0(path, server->bounded_path) == 0 && !bound_enter(c))
		return (HTTP_STATUS_SERVICE_UNAVAILABLE);
	return (server->handler(server->arg, path, body));
}

static int
on_message_begin(http_parser *parser)
{
	struct status_conn *c = parser->data;

	net_head_reset(&c->head);
	return (0);
}

static int
on_url(http_parser *parser, const char *data, size_t length)
{
	struct status_conn *c = parser->data;

	net_head_add_target(&c->head, data, length);
	return (0);
}

/* Sends the response to a complete request. */
static int
on_message_complete(http_parser *parser)
{
	struct status_conn *c = parser->data;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	bool keep_alive = http_should_keep_alive(parser);
	unsigned status = conn_respond(c, body);

	/* The client closes the connection as soon as it has the response. */
	g_string_printf(out,
	    "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, http_status_str(status), body->len,
	    keep_alive && c->bounded_ms == 0 ? "" : "Connection: close\r\n");
	if (parser->method != HTTP_HEAD)
		g_string_append_len(out, body->str, (gssize)body->len);
	net_stream_write(&c->stream, out->str, out->len);
	if (!keep_alive && c->bounded_ms == 0)
		net_stream_close(&c->stream);
	return (0);
}

static const http_parser_settings status_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_message_complete = on_message_complete,
};

static void
conn_readable(struct net_stream *stream, const char *data, size_t length)
{
	struct status_conn *c = stream->owner;

	if (http_parser_execute(&c->parser, &status_settings, data, length) !=
	    length)
		net_stream_close(stream);
}

static void
conn_ended(struct net_stream *stream, bool clean)
{
	net_stream_close(stream);
}

/* Each response is queued as a whole, so there is nothing more to write; a new
 * connection has nothing to write either. */
static void
conn_drained(struct net_stream *stream)
{
}

static void
conn_closed(struct net_stream *stream)
{
	struct status_conn *c = stream->owner;

	bound_leave(c);
	net_head_clear(&c->head);
	g_free(c);
}

static const struct net_stream_ops conn_ops = {
	.connected = conn_drained,
	.readable = conn_readable,
	.ended = conn_ended,
	.drained = conn_drained,
	.closed = conn_closed,
};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct status_conn *c;

	if (status != 0)
		return;
	c = g_new0(struct status_conn, 1);
	c->server = listener->data;
	net_head_init(&c->head);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	net_stream_init(&c->stream, listener->loop, &conn_ops, c);
	if (net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
}

/**
 * status_server_open() - start listening for connections.
 * @server: the server
 * @loop: its event loop
 * @addr: address to listen at
 * @handler: called for each GET or HEAD request
 * @arg: passed to @handler
 *
 * Return: 0, or a negative libuv error code.
 */
int
status_server_open(struct status_server *server, uv_loop_t *loop,
    const struct sockaddr_in *addr, status_handler *handler, void *arg)
{
	int rc;

	server->handler = handler;
	server->arg = arg;
	TAILQ_INIT(&server->bounded);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
		    on_connection);
	return (rc);
}

/**
 * status_server_bound() - bound the large responses that are sent at a time.
 * @server: the server
 * @path: their path
 * @max: most of them
 * @ms: time after which one no longer counts
 *
 * Hundreds of transfers at a time over one link all take longer than their
 * clients wait; a few at a time are each over soon.
 */
void
status_server_bound(struct status_server *server, const char *path,
    unsigned max, unsigned ms)
{
	server->bounded_path = path;
	server->bounded_max = max;
	server->bounded_ms = ms;
}
