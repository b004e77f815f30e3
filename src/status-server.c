/* A small HTTP server for readiness and metrics. */
#include "net-head.h"
#include "net-stream.h"
#include "status-server.h"

#define BACKLOG 16

/* One connection. */
struct status_client {
	struct net_stream stream;
	struct status_server *server;
	http_parser parser;
	struct net_head head;
};

static int
on_begin(http_parser *parser)
{
	struct status_client *c = parser->data;

	net_head_reset(&c->head);
	return (0);
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
	struct status_client *c = parser->data;

	net_head_add_target(&c->head, at, length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct status_client *c = parser->data;
	g_autoptr(GString) body = g_string_new(NULL);
	g_autoptr(GString) out = g_string_new(NULL);
	bool keep = http_should_keep_alive(parser);
	unsigned status = HTTP_STATUS_METHOD_NOT_ALLOWED;

	if (parser->method == HTTP_GET || parser->method == HTTP_HEAD)
		status = c->server->handler(c->server->arg,
		    net_head_target(&c->head), body);
	g_string_printf(out,
	    "HTTP/1.1 %u %s\r\nContent-Type: text/plain\r\n"
	    "Content-Length: %zu\r\n%s\r\n",
	    status, http_status_str(status), body->len,
	    keep ? "" : "Connection: close\r\n");
	if (parser->method != HTTP_HEAD)
		g_string_append_len(out, body->str, (gssize)body->len);
	net_stream_write(&c->stream, out->str, out->len);
	if (!keep)
		net_stream_close(&c->stream);
	return (0);
}

static const http_parser_settings status_settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_message_complete = on_complete,
};

static void
client_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct status_client *c = stream->owner;

	if (http_parser_execute(&c->parser, &status_settings, at, length) !=
	    length)
		net_stream_close(stream);
}

static void
client_ended(struct net_stream *stream, bool clean)
{
	net_stream_close(stream);
}

static void
client_drained(struct net_stream *stream)
{
}

static void
client_closed(struct net_stream *stream)
{
	struct status_client *c = stream->owner;

	net_head_clear(&c->head);
	g_free(c);
}

static const struct net_stream_ops client_ops = {
	.connected = client_drained,
	.readable = client_readable,
	.ended = client_ended,
	.drained = client_drained,
	.closed = client_closed,
};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct status_client *c;

	if (status != 0)
		return;
	c = g_new0(struct status_client, 1);
	c->server = listener->data;
	net_head_init(&c->head);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	net_stream_init(&c->stream, listener->loop, &client_ops, c);
	if (net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
}

/**
 * status_server_open() - begin to listen.
 * @server: the server
 * @loop: the event loop
 * @addr: where to listen
 * @fn: answers
 * @arg: for @fn
 *
 * Return: 0, or a libuv error.
 */
int
status_server_open(struct status_server *server, uv_loop_t *loop,
    const struct sockaddr_in *addr, status_handler *fn, void *arg)
{
	int rc;

	server->handler = fn;
	server->arg = arg;
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
		    on_connection);
	return (rc);
}
