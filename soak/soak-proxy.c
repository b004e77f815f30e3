/*
 * Loopback proxy of the soak: forwards connections and injects faults.
 *
 *	soak-proxy LISTEN-IP TARGET-IP
 *
 * Both sides use port 9000. Commands are read from standard input, one per
 * line; each replaces the one before:
 *	pass		forward all data
 *	delay MS	forward data after a delay
 *	hold-up		hold back data from clients
 *	hold-down	hold back data from the target
 *	silent		hold back both
 *	reset		reset all connections, then pass
 *	refuse		close new connections at once
 * Data that was held back is forwarded later if its connection still exists.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net-stream.h"

#define PORT 9000

struct link;

/* One side of a link; held: received data not yet forwarded. */
struct side {
	struct net_stream stream;
	struct link *link;
	GByteArray *held;
	uv_timer_t timer;
};

/* A client's connection and the one to the target. */
struct link {
	struct side client;
	struct side target;
	int handles;
	bool closing;
};

static uv_loop_t *loop;
static struct sockaddr_in target_addr;
static GPtrArray *links;
static bool hold_up, hold_down, refuse;
static uint64_t delay_ms;
static char command[64];
static size_t command_length;

static void
link_release(struct link *l)
{
	if (--l->handles > 0)
		return;
	g_byte_array_free(l->client.held, TRUE);
	g_byte_array_free(l->target.held, TRUE);
	g_free(l);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct side *s = handle->data;

	link_release(s->link);
}

static void
link_close(struct link *l, bool reset)
{
	struct side *sides[] = { &l->client, &l->target };

	if (l->closing)
		return;
	l->closing = true;
	g_ptr_array_remove(links, l);
	for (int i = 0; i < 2; i++) {
		uv_close((uv_handle_t *)&sides[i]->timer, on_timer_closed);
		if (reset)
			net_stream_reset(&sides[i]->stream);
		else
			net_stream_close(&sides[i]->stream);
	}
}

/* Returns whether data received from this side is held back. */
static bool
side_held(const struct side *s)
{
	return (s == &s->link->client ? hold_up : hold_down);
}

/* Forwards the data received from this side. */
static void
side_flush(struct side *s)
{
	struct link *l = s->link;
	struct side *to = s == &l->client ? &l->target : &l->client;

	if (l->closing || s->held->len == 0 || side_held(s))
		return;
	net_stream_write(&to->stream, (const char *)s->held->data,
	    s->held->len);
	g_byte_array_set_size(s->held, 0);
}

static void
on_delay(uv_timer_t *timer)
{
	side_flush(timer->data);
}

static void
side_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct side *s = stream->owner;

	g_byte_array_append(s->held, (const guint8 *)at, (guint)length);
	if (delay_ms == 0)
		side_flush(s);
	else if (!uv_is_active((uv_handle_t *)&s->timer))
		uv_timer_start(&s->timer, on_delay, delay_ms, 0);
}

static void
side_ended(struct net_stream *stream, bool clean)
{
	struct side *s = stream->owner;

	side_flush(s);
	link_close(s->link, !clean);
}

static void
side_ignore(struct net_stream *stream)
{
}

static void
side_closed(struct net_stream *stream)
{
	struct side *s = stream->owner;

	link_release(s->link);
}

static const struct net_stream_ops side_ops = {
	.connected = side_ignore,
	.readable = side_readable,
	.ended = side_ended,
	.drained = side_ignore,
	.closed = side_closed,
};

static void
side_init(struct side *s, struct link *l)
{
	s->link = l;
	s->held = g_byte_array_new();
	uv_timer_init(loop, &s->timer);
	s->timer.data = s;
	net_stream_init(&s->stream, loop, &side_ops, s);
	l->handles += 2;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	struct link *l = g_new0(struct link, 1);

	side_init(&l->client, l);
	side_init(&l->target, l);
	g_ptr_array_add(links, l);
	if (status != 0 ||
	    net_stream_accept(&l->client.stream, listener) != 0 || refuse ||
	    net_stream_connect(&l->target.stream, &target_addr, NULL) != 0)
		link_close(l, false);
}

static void
command_run(void)
{
	hold_up =
	    strcmp(command, "hold-up") == 0 || strcmp(command, "silent") == 0;
	hold_down =
	    strcmp(command, "hold-down") == 0 || strcmp(command, "silent") == 0;
	refuse = strcmp(command, "refuse") == 0;
	delay_ms = 0;
	if (g_str_has_prefix(command, "delay "))
		delay_ms = strtoull(command + 6, NULL, 10);
	while (strcmp(command, "reset") == 0 && links->len > 0)
		link_close(links->pdata[links->len - 1], true);
	for (guint i = links->len; i-- > 0;) {
		struct link *l = links->pdata[i];

		side_flush(&l->client);
		side_flush(&l->target);
	}
}

static void
on_command(uv_stream_t *in, ssize_t n, const uv_buf_t *buf)
{
	for (ssize_t i = 0; i < n; i++) {
		if (buf->base[i] == '\n') {
			command[command_length] = '\0';
			command_length = 0;
			command_run();
		} else if (command_length < sizeof command - 1) {
			command[command_length++] = buf->base[i];
		}
	}
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char space[256];

	*buf = uv_buf_init(space, sizeof space);
}

int
main(int argc, char **argv)
{
	struct sockaddr_in addr;
	uv_tcp_t listener;
	uv_pipe_t in;

	if (argc != 3) {
		fprintf(stderr, "usage: %s LISTEN-IP TARGET-IP\n", argv[0]);
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	links = g_ptr_array_new();
	uv_ip4_addr(argv[1], PORT, &addr);
	uv_ip4_addr(argv[2], PORT, &target_addr);
	uv_tcp_init(loop, &listener);
	if (uv_tcp_bind(&listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)&listener, 64, on_connection) != 0) {
		fprintf(stderr, "can't listen at %s\n", argv[1]);
		return (1);
	}
	uv_pipe_init(loop, &in, 0);
	if (uv_pipe_open(&in, 0) == 0)
		uv_read_start((uv_stream_t *)&in, on_alloc, on_command);
	return (uv_run(loop, UV_RUN_DEFAULT));
}
