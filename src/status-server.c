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
};

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
	unsigned status = HTTP_STATUS_METHOD_NOT_ALLOWED;

	if (parser->method == HTTP_GET || parser->method == HTTP_HEAD)
		status = c->server->handler(c->server->arg,
		    net_head_target(&c->head), body);
	g_string_printf(out,
	    "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, http_status_str(status), body->len,
	    keep_alive ? "" : "Connection: close\r\n");
	if (parser->method != HTTP_HEAD)
		g_string_append_len(out, body->str, (gssize)body->len);
	net_stream_write(&c->stream, out->str, out->len);
	if (!keep_alive)
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
	if (net_stream_accept(&c->stream, listener) == 0)
		net_stream_set_user_timeout(&c->stream, NET_USER_TIMEOUT_MS);
	else
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
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
		    on_connection);
	return (rc);
}
