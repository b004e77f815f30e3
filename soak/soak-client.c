/*
 * Load generator and checker of the soak: each client keeps its connection
 * open, sends one request after another to its daemon, and checks the
 * responses.
 *
 *	soak-client SEED SECONDS CLIENTS IP...
 *
 * It prints one line per request:
 *	ID KIND IP STATUS OUTCOME SENT-MS END-MS
 * The outcomes are:
 *	ok		complete and correct response
 *	refused		refused, with Retry-After
 *	not-run		refused, with Retry-After, and reported not to have run
 *	failed		failed; it may have run
 *	cut		the connection ended before the response
 *	unsent		the connection could not be made
 *	late		no complete response within TIMEOUT_MS
 *	bad-WHAT	the response breaks a guarantee
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net-head.h"
#include "net-stream.h"

#define PORT 8080
/* Number of events of a stream of the stand-in. */
#define STREAM_EVENTS 8
/* Longest time budget of the soak's routes, plus what a pause may add. */
#define TIMEOUT_MS 7000
/* Delay between requests of a client, and before it reconnects. */
#define THINK_MS 30
#define RECONNECT_MS 100

enum kind {
	KIND_LOOK,
	KIND_ONCE,
	KIND_WRITE,
	KINDS,
};

static const char *const kind_names[KINDS] = { "look", "once", "write" };

/* A client and its request. */
struct client {
	struct net_stream stream;
	uv_timer_t timer;
	http_parser parser;
	struct net_head head;
	GString *body;
	const char *ip;
	char id[48];
	enum kind kind;
	int64_t sent_ms;
	unsigned status;
	bool connected;
	bool in_flight;
};

static uv_loop_t *loop;
/* Second parts of prompts, one of which each request has. */
#define PARTS 6

static GRand *rng;
static int64_t stop_ms;
static unsigned serial;

static void client_think(struct client *, uint64_t);

static int64_t
wall_ms(void)
{
	return (g_get_real_time() / 1000);
}

static void
client_log(struct client *c, const char *outcome)
{
	printf("%s %s %s %u %s %lld %lld\n", c->id, kind_names[c->kind], c->ip,
	    c->status, outcome, (long long)c->sent_ms, (long long)wall_ms());
	c->in_flight = false;
}

/* Returns whether a stream has all of its events once and in order. */
static bool
stream_is_complete(const char *body)
{
	g_autoptr(GString) want = g_string_new(NULL);

	for (int i = 0; i < STREAM_EVENTS; i++)
		g_string_append_printf(want, "id: %d\ndata: e%d\n\n", i, i);
	return (strcmp(want->str, body) == 0);
}

/* Checks a complete response; returns the outcome. */
static const char *
client_check_response(struct client *c)
{
	const char *id = net_head_find(&c->head, "attempt-id");

	if (id != NULL && strcmp(id, c->id) != 0)
		return ("bad-other");
	if (c->status == HTTP_STATUS_OK && c->kind == KIND_WRITE)
		return (stream_is_complete(c->body->str) ? "ok" : "bad-stream");
	if (c->status == HTTP_STATUS_OK)
		return (strcmp(c->body->str, "whole answer") == 0 ? "ok" :
								    "bad-body");
	/* It may have run; Retry-After is not guaranteed for these. */
	if (c->status == HTTP_STATUS_INTERNAL_SERVER_ERROR ||
	    c->status == HTTP_STATUS_BAD_GATEWAY ||
	    c->status == HTTP_STATUS_GATEWAY_TIMEOUT)
		return ("failed");
	if (net_head_find(&c->head, "retry-after") == NULL)
		return ("bad-no-time");
	if (net_head_find(&c->head, "not-executed") != NULL)
		return ("not-run");
	return ("refused");
}

static int
on_begin(http_parser *parser)
{
	struct client *c = parser->data;

	net_head_reset(&c->head);
	g_string_truncate(c->body, 0);
	return (0);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	net_head_add_name(&((struct client *)parser->data)->head, at, length);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	net_head_add_value(&((struct client *)parser->data)->head, at, length);
	return (0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	g_string_append_len(((struct client *)parser->data)->body, at,
	    (gssize)length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct client *c = parser->data;

	net_head_close_value(&c->head);
	c->status = parser->status_code;
	if (!c->in_flight) {
		client_log(c, "bad-unasked");
		return (0);
	}
	client_log(c, client_check_response(c));
	if (http_should_keep_alive(parser))
		client_think(c, THINK_MS);
	else
		net_stream_close(&c->stream);
	return (0);
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct client *c = timer->data;

	client_log(c, "late");
	net_stream_close(&c->stream);
}

static void
client_send(struct client *c)
{
	g_autofree char *text = NULL;

	c->kind = (enum kind)g_rand_int_range(rng, 0, KINDS);
	snprintf(c->id, sizeof c->id, "s%u", ++serial);
	text = g_strdup_printf("POST /%s/x HTTP/1.1\r\nHost: h\r\n"
			       "X-Api-Key: k1\r\nAttempt-Id: %s\r\nModel: m\r\n"
			       "Token-Counts: 100,40\r\n"
			       "Prompt-Prefix: aa000001:60,bb%u:20,cc%u:20\r\n"
			       "Content-Length: 1\r\n\r\np",
	    kind_names[c->kind], c->id, serial % PARTS, serial);
	c->sent_ms = wall_ms();
	c->status = 0;
	c->in_flight = true;
	net_stream_write(&c->stream, text, strlen(text));
	uv_timer_start(&c->timer, on_timeout, TIMEOUT_MS, 0);
}

static void
client_connect(struct client *c)
{
	struct sockaddr_in addr;

	c->connected = false;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	uv_ip4_addr(c->ip, PORT, &addr);
	if (net_stream_connect(&c->stream, &addr, NULL) != 0)
		net_stream_close(&c->stream);
}

static void
on_think(uv_timer_t *timer)
{
	struct client *c = timer->data;

	if (wall_ms() >= stop_ms)
		net_stream_close(&c->stream);
	else
		client_send(c);
}

static void
client_think(struct client *c, uint64_t ms)
{
	uv_timer_start(&c->timer, on_think, ms, 0);
}

static void
client_connected(struct net_stream *stream)
{
	struct client *c = stream->owner;

	c->connected = true;
	client_send(c);
}

static void
client_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct client *c = stream->owner;

	if (http_parser_execute(&c->parser, &settings, at, length) == length)
		return;
	if (c->in_flight)
		client_log(c, "bad-http");
	net_stream_close(stream);
}

static void
client_ended(struct net_stream *stream, bool clean)
{
	struct client *c = stream->owner;

	if (c->in_flight)
		client_log(c, c->connected ? "cut" : "unsent");
	net_stream_close(stream);
}

static void
client_drained(struct net_stream *stream)
{
}

static const struct net_stream_ops client_ops;

static void
on_reconnect(uv_timer_t *timer)
{
	struct client *c = timer->data;

	net_stream_init(&c->stream, loop, &client_ops, c);
	client_connect(c);
}

static void
client_closed(struct net_stream *stream)
{
	struct client *c = stream->owner;

	if (wall_ms() < stop_ms)
		uv_timer_start(&c->timer, on_reconnect, RECONNECT_MS, 0);
	else
		uv_timer_stop(&c->timer);
}

static const struct net_stream_ops client_ops = {
	.connected = client_connected,
	.readable = client_readable,
	.ended = client_ended,
	.drained = client_drained,
	.closed = client_closed,
};

int
main(int argc, char **argv)
{
	int n;

	if (argc < 5) {
		fprintf(stderr, "usage: %s SEED SECONDS CLIENTS IP...\n",
		    argv[0]);
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	rng = g_rand_new_with_seed((guint32)strtoul(argv[1], NULL, 10));
	stop_ms = wall_ms() + 1000 * atoi(argv[2]);
	n = atoi(argv[3]);
	for (int i = 0; i < n; i++) {
		struct client *c = g_new0(struct client, 1);

		c->ip = argv[4 + i % (argc - 4)];
		c->body = g_string_new(NULL);
		net_head_init(&c->head);
		c->parser.data = c;
		uv_timer_init(loop, &c->timer);
		c->timer.data = c;
		net_stream_init(&c->stream, loop, &client_ops, c);
		client_connect(c);
	}
	return (uv_run(loop, UV_RUN_DEFAULT));
}
