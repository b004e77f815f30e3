/*
 * Stand-in for the users' platform, written from its published protocol: the
 * store with keyed topics, engines that form groups, and plain endpoints, all
 * in one process on several loopback addresses.
 *
 *	standin-platform NET ENGINES SERVICES
 *
 * The store listens at 127.NET.0.1:9000, engine N at 127.NET.1.N:9000, plain
 * endpoint N at 127.NET.2.N:9000. PUT /control at the store's address, with
 * "NAME NUMBER", sets a switch; PUT /evacuate/DOMAIN evacuates a failure
 * domain, or takes it back if the body is empty; GET /journal returns the
 * journal.
 *
 * Switches (IP is the address of an endpoint, unless noted):
 *	down		the store refuses all calls
 *	silent		the store doesn't answer
 *	piece-ms	the store sends its responses in pieces of 64 KB, so
 *			many ms after each other
 *	dark-IP		the endpoint doesn't answer
 *	stop		all engines stop for so many ms: they read and send
 *			nothing, and go on afterwards where they were
 *	stop-IP		the endpoint stops likewise
 *	break-IP	the endpoint resets the connection of each new request
 *	unaccepted-IP	the endpoint doesn't answer, and new connections to it
 *			are neither accepted nor refused
 *	cut-IP		IP of a daemon: it is cut off from all endpoints. 1: its
 *			connections go silent and new ones are neither accepted
 *			nor refused; 2: its connections are reset, and new ones
 *			as before; 3: new ones only; 4: new ones are refused
 *	lapse-IP	the endpoint's entry is removed
 *	drain-IP	the endpoint reports that it drains
 *	events		events of a stream; 0: 8
 *	event-ms	ms between them; 0: 10
 *	cut, cuts	the next "cuts" streams end in the middle of event "cut"
 *	stray		before the next N plain responses, one to another
 *			request is sent
 *	error		the next N plain responses are 500
 *	full		the next N requests are refused as not run
 *	unframed	plain responses have no length, and streams no chunks;
 *			a stream that is cut ends in order
 *	endless-IP	the endpoint answers with bytes without end; 1: a head,
 *			2: a body without proof, 3: the body of another
 *			response, 4: an event, 5: interim responses, 6: the body
 *			of a refusal, 7: the body of the response to an order or
 *			a query for a report
 *	invalid-IP	the endpoint answers with what is no response in
 *			HTTP/1.1, of kind 1 to 10 of fake-invalid.c
 *	reset		connections of unframed responses are reset
 *	slow		ms before a plain response
 *	large		bytes of a plain response
 *	noproof		responses lack the header Server-Signature
 *	mute		connections accepted while it was lower stay unanswered
 *	late-ORDER-IP	the next N orders of this kind (any: of all kinds) to
 *			an engine get no response and are carried out late
 *	late-ms		how much later, in ms
 *	rest-IP		the endpoint refuses all requests and asks for a
 *			backoff of so many ms
 *	leaving-IP	the endpoint says in its responses that it leaves
 *	limit-IP	the endpoint names this limit in its responses, in
 *			1/1000 requests/s over all daemons; below 0: no number
 *	excuse-IP	IP of a daemon: what it was told is forgotten
 *	zone-IP		the endpoint is in failure domain a, b, ... by number
 *	cold-IP		the endpoint is cold for so many ms
 *	cold-rate	requests/s that a cold endpoint tolerates
 *	harmless	no request crashes its endpoint
 *	back		ms until a crashed endpoint restarts; 0: 2500
 *
 * An endpoint crashes 60 ms after it began to run a request whose body has the
 * word "ends-endpoint", which resets all of its connections, or
 * "silences-endpoint", which leaves them open. So does a part of its prompt,
 *but the last, whose id begins with "dead" or "5117". It restarts with another
 *id.
 *
 * The journal has the requests that endpoints ran, and lines on what daemons
 * must not do:
 *	two ENGINE NEW OLD
 *		ENGINE was joined to NEW but has not left OLD, whose head is
 *		open: it serves or is stalled
 *	in-rest ENDPOINT DAEMON COUNT ID
 *		a request from 500 ms after the daemon was asked for a backoff
 *		until its end; two are allowed
 *	after-leaving ENDPOINT DAEMON COUNT ID
 *		a request 1 s or more after the daemon was told that the
 *		endpoint leaves
 *	over-limit ENDPOINT COUNT of ALLOWED ID
 *		a request from a daemon that knew of the limit, where more than
 *		1.5 times the limit and 5 came in 4 s
 *	in-evacuated ENDPOINT DAEMON ID
 *		a request 2 s or more after its failure domain was evacuated
 *	over-cold ENDPOINT COUNT ID
 *		a request, 2 s or more after the endpoint became cold, where
 *		more than 1.5 times the rate and 5 came in a second; it crashes
 *	over-crash FINGERPRINT COUNT CRASHES ID
 *		a request more than 3 s after it had crashed its third
 *		endpoint, or a part of its prompt its fifth; three are allowed
 * "ended ENDPOINT FINGERPRINT COUNT ID" stands for each crash, the COUNT-th by
 * this request.
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake-platform.h"

#define TICK_MS 300
#define POLL_MS 20

uv_loop_t *fake_loop;
GPtrArray *fake_endpoints;
GHashTable *fake_switches;
GString *fake_journal;

/* Returns the number of a switch; 0 if it is not set. */
int
get_switch(const char *name)
{
	return (GPOINTER_TO_INT(g_hash_table_lookup(fake_switches, name)));
}

/* Returns the number of an endpoint's switch "NAME-IP". */
int
fake_endpoint_switch(const char *name, const struct fake_endpoint *ep)
{
	g_autofree char *full = g_strdup_printf("%s-%s", name, ep->ip);

	return (get_switch(full));
}

/* Returns whether a counted switch applies, and decrements it. */
bool
consume_switch(const char *name)
{
	int n = get_switch(name);

	if (n > 0)
		g_hash_table_replace(fake_switches, g_strdup(name),
		    GINT_TO_POINTER(n - 1));
	return (n > 0);
}

void
conn_reply(struct conn *c, unsigned status, const char *headers,
    const void *body, size_t length)
{
	g_autoptr(GString) out = g_string_new(NULL);

	g_string_append_printf(out,
	    "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n", status, headers,
	    length);
	g_string_append_len(out, body, (gssize)length);
	if (!pace_reply(c, out))
		net_stream_write(&c->stream, out->str, out->len);
}

void
conn_json(struct conn *c, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	conn_reply(c, status, "Content-Type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(body);
}

static int
on_begin(http_parser *parser)
{
	struct conn *c = parser->data;

	net_head_reset(&c->head);
	g_byte_array_set_size(c->body, 0);
	return (0);
}

static int
on_target(http_parser *parser, const char *at, size_t length)
{
	net_head_add_target(&((struct conn *)parser->data)->head, at, length);
	return (0);
}

static int
on_field(http_parser *parser, const char *at, size_t length)
{
	net_head_add_name(&((struct conn *)parser->data)->head, at, length);
	return (0);
}

static int
on_value(http_parser *parser, const char *at, size_t length)
{
	net_head_add_value(&((struct conn *)parser->data)->head, at, length);
	return (0);
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
	g_byte_array_append(((struct conn *)parser->data)->body,
	    (const guint8 *)at, (guint)length);
	return (0);
}

static int
on_complete(http_parser *parser)
{
	struct conn *c = parser->data;

	net_head_close_value(&c->head);
	if (c->endpoint != NULL)
		fake_endpoint_request(c);
	else
		store_request(c);
	return (0);
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_url = on_target,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void
conn_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct conn *c = stream->owner;

	if (http_parser_execute(&c->parser, &settings, at, length) != length)
		net_stream_close(stream);
}

static void
conn_free(struct conn *c)
{
	if (--c->handles > 0)
		return;
	net_head_clear(&c->head);
	g_byte_array_free(c->body, TRUE);
	if (c->paced != NULL)
		g_string_free(c->paced, TRUE);
	g_free(c->id);
	g_free(c);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	conn_free(handle->data);
}

static void
conn_closed(struct net_stream *stream)
{
	struct conn *c = stream->owner;

	store_drop_conn(c);
	if (c->endpoint != NULL)
		TAILQ_REMOVE(&c->endpoint->conns, c, entry);
	if (c->endpoint != NULL && c->streaming &&
	    c->event < fake_stream_events())
		g_string_append_printf(fake_journal, "%s left %s\n",
		    c->endpoint->id, c->id);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
	conn_free(c);
}

static void
conn_ended(struct net_stream *stream, bool clean)
{
	net_stream_close(stream);
}

static void
conn_ignore(struct net_stream *stream)
{
}

static const struct net_stream_ops conn_ops = {
	.connected = conn_ignore,
	.readable = conn_readable,
	.ended = conn_ended,
	.drained = conn_ignore,
	.closed = conn_closed,
};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct conn *c = g_new0(struct conn, 1);

	c->endpoint = listener->data;
	if (c->endpoint != NULL)
		TAILQ_INSERT_TAIL(&c->endpoint->conns, c, entry);
	c->mute_at_accept = get_switch("mute");
	c->body = g_byte_array_new();
	c->handles = 2;
	net_head_init(&c->head);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	uv_timer_init(fake_loop, &c->timer);
	c->timer.data = c;
	net_stream_init(&c->stream, fake_loop, &conn_ops, c);
	if (status != 0 || net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
	else if (c->endpoint != NULL) {
		cut_check_accepted(c);
		silence_check_accepted(c);
	}
}

static uv_tcp_t *
listen_at(const char *ip, struct fake_endpoint *endpoint)
{
	uv_tcp_t *listener = g_new0(uv_tcp_t, 1);
	struct sockaddr_in addr;

	uv_ip4_addr(ip, FAKE_PORT, &addr);
	uv_tcp_init(fake_loop, listener);
	listener->data = endpoint;
	if (uv_tcp_bind(listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)listener, 64, on_connection) != 0) {
		fprintf(stderr, "can't listen at %s\n", ip);
		exit(1);
	}
	if (endpoint != NULL)
		cut_listen(listener);
	return (listener);
}

/* Lets an endpoint accept connections. */
void
fake_endpoint_accept(struct fake_endpoint *ep)
{
	ep->listener = listen_at(ep->ip, ep);
}

/* Starts a new incarnation of an endpoint, which accepts connections. */
void
fake_endpoint_listen(struct fake_endpoint *ep)
{
	ep->starts++;
	if (ep->starts == 1)
		g_strlcpy(ep->id, ep->name, sizeof ep->id);
	else
		snprintf(ep->id, sizeof ep->id, "%s-%u", ep->name, ep->starts);
	ep->state = "none";
	fake_endpoint_accept(ep);
}

static void
add_endpoints(const char *net, int kind, int n)
{
	for (int i = 1; i <= n; i++) {
		struct fake_endpoint *ep = g_new0(struct fake_endpoint, 1);

		snprintf(ep->ip, sizeof ep->ip, "127.%s.%d.%d", net, kind, i);
		snprintf(ep->name, sizeof ep->name, "%s%d",
		    kind == 1 ? "e" : "b", i);
		ep->engine = kind == 1;
		TAILQ_INIT(&ep->conns);
		g_ptr_array_add(fake_endpoints, ep);
		fake_endpoint_listen(ep);
	}
}

static void
on_tick(uv_timer_t *timer)
{
	for (guint i = 0; i < fake_endpoints->len; i++) {
		struct fake_endpoint *ep = fake_endpoints->pdata[i];

		crash_tick(ep);
		if (ep->crash_mode != CRASH_NONE)
			continue;
		unaccepted_tick(ep);
		group_tick(ep);
		fake_endpoint_write_entry(ep);
	}
	waiters_check();
}

static void
on_poll(uv_timer_t *timer)
{
	silence_poll();
	waiters_check();
}

int
main(int argc, char **argv)
{
	g_autofree char *store = NULL;
	uv_timer_t tick, poll;

	if (argc != 4) {
		fprintf(stderr, "usage: %s NET ENGINES SERVICES\n", argv[0]);
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	fake_loop = uv_default_loop();
	store_init();
	fake_endpoints = g_ptr_array_new();
	fake_switches =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_journal = g_string_new(NULL);
	store = g_strdup_printf("127.%s.0.1", argv[1]);
	listen_at(store, NULL);
	add_endpoints(argv[1], 1, atoi(argv[2]));
	add_endpoints(argv[1], 2, atoi(argv[3]));
	uv_timer_init(fake_loop, &tick);
	uv_timer_start(&tick, on_tick, 0, TICK_MS);
	uv_timer_init(fake_loop, &poll);
	uv_timer_start(&poll, on_poll, POLL_MS, POLL_MS);
	return (uv_run(fake_loop, UV_RUN_DEFAULT));
}