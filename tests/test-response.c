/* What is taken for a response, over a connection to a server that sends it. */
#include <string.h>

#include "loop-server.h"
#include "script.h"

/* A response is taken or refused at once; the server goes on waiting. */
#define WAIT_MS 300
#define IDLE_MS 1000

static const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/* The exchange of a script's command. */
struct exchange {
	GString *out;
	unsigned n_fields;
	size_t length;
	bool ended;
};

static enum net_head_action
on_head(void *owner, unsigned status, const struct net_head *head)
{
	struct exchange *ex = owner;

	ex->n_fields = head->n_fields;
	g_string_append_printf(ex->out, "%u", status);
	return (NET_ACCEPT);
}

static void
on_body(void *owner, const char *at, size_t length)
{
	struct exchange *ex = owner;

	ex->length += length;
}

static void
on_done(void *owner, enum net_framing framing)
{
	struct exchange *ex = owner;

	g_string_append_printf(ex->out, " fields=%u body=%zu\n", ex->n_fields,
	    ex->length);
	ex->ended = true;
}

static void
on_failed(void *owner, enum net_failure reason)
{
	static const char *const names[] = {
		[NET_CONNECT_FAILED] = "unreached",
		[NET_CONN_LOST] = "lost",
		[NET_PROTOCOL_ERROR] = "no response",
	};
	struct exchange *ex = owner;

	g_string_append_printf(ex->out, "%s%s\n", ex->out->len > 0 ? " " : "",
	    names[reason]);
	ex->ended = true;
}

static const struct net_conn_ops ops = {
	.head = on_head,
	.body = on_body,
	.done = on_done,
	.failed = on_failed,
};

static void
on_wait_over(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/* Sends a request, and runs the loop until its end is known. */
static void
exchange_run(struct loop_server *server, bool head_request, GString *out)
{
	struct exchange ex = { .out = out };
	struct net_conn *conn =
	    net_pool_take(&server->pool, IDLE_MS, &ops, &ex);
	bool waited = false;
	uv_timer_t timer;

	uv_timer_init(&server->loop, &timer);
	timer.data = &waited;
	uv_timer_start(&timer, on_wait_over, WAIT_MS, 0);
	net_conn_send(conn, request, strlen(request), head_request);
	while (!ex.ended && !waited)
		uv_run(&server->loop, UV_RUN_ONCE);
	if (!ex.ended) {
		g_string_append(out, "waits\n");
		net_conn_abort(conn);
	}
	uv_close((uv_handle_t *)&timer, NULL);
}

static void
respond(const char *text, bool closes, bool head_request, GString *out)
{
	g_autofree char *bytes = g_strcompress(text);
	struct loop_server server;

	loop_server_open(&server);
	server.closes = closes;
	g_string_assign(server.response, bytes);
	exchange_run(&server, head_request, out);
	loop_server_close(&server);
}

/* response TEXT: the server sends it, and keeps the connection open */
static void
cmd_response(const char *rest, GString *out)
{
	respond(rest, false, false, out);
}

/* closing TEXT: the same, but closes the connection */
static void
cmd_closing(const char *rest, GString *out)
{
	respond(rest, true, false, out);
}

/* to-head TEXT: the same as response, to a request with the method HEAD */
static void
cmd_to_head(const char *rest, GString *out)
{
	respond(rest, false, true, out);
}

/* fields N: the server sends a response with so many header fields */
static void
cmd_fields(const char *rest, GString *out)
{
	g_autoptr(GString) text = g_string_new("HTTP/1.1 200 OK\r\n");
	guint64 n = g_ascii_strtoull(rest, NULL, 10);

	for (guint64 i = 1; i < n; i++)
		g_string_append_printf(text, "X-%u: y\r\n", (unsigned)i);
	g_string_append(text, "Content-Length: 0\r\n\r\n");
	respond(text->str, false, false, out);
}

/* blank N: the server sends so many empty lines */
static void
cmd_blank(const char *rest, GString *out)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (guint64 n = g_ascii_strtoull(rest, NULL, 10); n > 0; n--)
		g_string_append(text, "\r\n");
	respond(text->str, false, false, out);
}

static void
script_start(void)
{
}

int
main(void)
{
	static const struct script_command table[] = {
		{ "response", cmd_response },
		{ "closing", cmd_closing },
		{ "to-head", cmd_to_head },
		{ "fields", cmd_fields },
		{ "blank", cmd_blank },
		{ NULL, NULL },
	};

	return (script_main("response", table, script_start));
}
