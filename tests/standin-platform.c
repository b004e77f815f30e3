/*
 * Stand-in for the users' platform, written from its published protocol: the
 * store with keyed topics, engines that form groups, and plain endpoints. One
 * process on several loopback addresses.
 *
 *	standin-platform NET ENGINES SERVICES
 *
 * The store listens at 127.NET.0.1:9000, engine N at 127.NET.1.N:9000, plain
 * endpoint N at 127.NET.2.N:9000. PUT /control on the store's address, with
 * "name number", sets a switch; GET /journal shows what endpoints ran.
 *
 * Switches: down (the store refuses), silent (the store says nothing),
 * dark-IP (an endpoint says nothing), lapse-IP (its entry is removed),
 * drain-IP, cut (streams end in the middle of event N), stray (the next plain
 * answer comes with another request's answer before it), error (the next N
 * plain answers are 500), full (the next N are refused as not run),
 * unframed (plain answers have no length), reset (unframed ones are reset),
 * slow (ms before a plain answer), noproof, mute (connections that were taken
 * while it was lower say nothing any more).
 */
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net-head.h"
#include "net-stream.h"

#define PORT 9000
#define BEAT_MS 300
#define LOOK_MS 20
#define EVENT_MS 10
#define EVENTS 8
#define WARM_MS 50

enum topic {
	TOPIC_OP,
	TOPIC_SERVERS,
	TOPIC_PLACEMENT,
	TOPIC_DAEMONS,
	TOPICS,
};

static const char *const topic_names[TOPICS] = { "keyed.op", "keyed.servers",
	"keyed.placement", "keyed.daemons" };

/* One record of a topic. */
struct rec {
	char *key;
	GBytes *value;
};

/* A read that waits for a record. */
struct waiter {
	struct conn *conn;
	enum topic topic;
	uint64_t from;
	uint64_t until;
};

/* An engine or plain endpoint. */
struct point {
	char ip[32];
	char id[32];
	bool engine;
	char *group;
	int64_t epoch;
	int64_t seen_epoch;
	int rank;
	char *model;
	char *staged;
	const char *state;
	uint64_t ready_ms;
	unsigned ran;
};

/* A connection to any of the addresses. */
struct conn {
	struct net_stream stream;
	http_parser parser;
	struct net_head head;
	GByteArray *body;
	struct point *point;
	uv_timer_t timer;
	int handles;
	char *id;
	int event;
	int last;
	int mute;
};

static uv_loop_t *loop;
static GPtrArray *records[TOPICS];
static GArray *waiters;
static GPtrArray *points;
static GHashTable *switches;
static GString *journal;

static int
get_switch(const char *name)
{
	return (GPOINTER_TO_INT(g_hash_table_lookup(switches, name)));
}

static int
point_switch(const char *name, const struct point *p)
{
	g_autofree char *full = g_strdup_printf("%s-%s", name, p->ip);

	return (get_switch(full));
}

/* Whether a counted switch strikes now. */
static bool
take_switch(const char *name)
{
	int n = get_switch(name);

	if (n > 0)
		g_hash_table_replace(switches, g_strdup(name),
		    GINT_TO_POINTER(n - 1));
	return (n > 0);
}

static void
conn_reply(struct conn *c, unsigned status, const char *headers,
    const void *body, size_t length)
{
	g_autoptr(GString) out = g_string_new(NULL);

	g_string_append_printf(out,
	    "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n", status, headers,
	    length);
	g_string_append_len(out, body, (gssize)length);
	net_stream_write(&c->stream, out->str, out->len);
}

static void
conn_json(struct conn *c, unsigned status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	conn_reply(c, status, "Content-Type: application/json\r\n", text,
	    strlen(text));
	free(text);
	json_decref(body);
}

static void
put_u64(GByteArray *out, uint64_t n)
{
	guint64 big = GUINT64_TO_BE(n);

	g_byte_array_append(out, (const guint8 *)&big, sizeof big);
}

/* Answers a read with the records from an offset on. */
static void
reply_read(struct conn *c, enum topic t, uint64_t from)
{
	g_autoptr(GByteArray) out = g_byte_array_new();

	put_u64(out, records[t]->len);
	put_u64(out, 0);
	for (uint64_t i = from; i < records[t]->len; i++) {
		const struct rec *r = records[t]->pdata[i];
		gsize n = r->value != NULL ? g_bytes_get_size(r->value) : 0;
		guint8 key = (guint8)strlen(r->key);
		guint32 big = GUINT32_TO_BE((guint32)(1 + key + n));

		g_byte_array_append(out, (const guint8 *)&big, sizeof big);
		g_byte_array_append(out, &key, 1);
		g_byte_array_append(out, (const guint8 *)r->key, key);
		if (n > 0)
			g_byte_array_append(out,
			    g_bytes_get_data(r->value, NULL), (guint)n);
	}
	conn_reply(c, 200, "", out->data, out->len);
}

static void
waiters_look(void)
{
	uint64_t now = uv_now(loop);

	for (guint i = waiters->len; i-- > 0;) {
		struct waiter w = g_array_index(waiters, struct waiter, i);

		if (records[w.topic]->len <= w.from && now < w.until)
			continue;
		g_array_remove_index(waiters, i);
		reply_read(w.conn, w.topic, w.from);
	}
}

static void
topic_add(enum topic t, const char *key, const void *value, size_t length)
{
	struct rec *r = g_new0(struct rec, 1);

	r->key = g_strdup(key);
	if (length > 0)
		r->value = g_bytes_new(value, length);
	g_ptr_array_add(records[t], r);
}

/* The newest record of each key, as JSON. */
static json_t *
topic_newest(enum topic t)
{
	json_t *items = json_array();
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = records[t]->len; i-- > 0;) {
		const struct rec *r = records[t]->pdata[i];
		g_autofree char *text = NULL;

		if (!g_hash_table_add(seen, r->key) || r->value == NULL)
			continue;
		text = g_base64_encode(g_bytes_get_data(r->value, NULL),
		    g_bytes_get_size(r->value));
		json_array_append_new(items,
		    json_pack("{s:s,s:s,s:i}", "key", r->key, "value", text,
			"offset", (int)i));
	}
	return (json_pack("{s:o,s:b,s:i}", "items", items, "has_more", 0,
	    "end_offset", (int)records[t]->len));
}

static uint64_t
query_number(const char *target, const char *name, uint64_t fallback)
{
	g_autofree char *key = g_strconcat(name, "=", NULL);
	const char *at = strstr(target, key);

	return (at != NULL ? strtoull(at + strlen(key), NULL, 10) : fallback);
}

static void
store_append(struct conn *c, enum topic t)
{
	const char *target = net_head_target(&c->head);
	uint64_t expected = query_number(target, "as_of", UINT64_MAX);
	size_t at = 0;

	if (expected != UINT64_MAX && expected != records[t]->len) {
		conn_json(c, 412,
		    json_pack("{s:i}", "end_offset", (int)records[t]->len));
		return;
	}
	while (at + 4 <= c->body->len) {
		const guint8 *p = c->body->data + at;
		size_t n = (size_t)p[0] << 24 | (size_t)p[1] << 16 |
		    (size_t)p[2] << 8 | p[3];
		g_autofree char *key = g_strndup((const char *)p + 5, p[4]);

		topic_add(t, key, p + 5 + p[4], n - 1 - p[4]);
		at += 4 + n;
	}
	conn_json(c, 200,
	    json_pack("{s:i}", "end_offset", (int)records[t]->len));
	waiters_look();
}

static void
store_control(struct conn *c)
{
	g_autofree char *text =
	    g_strndup((const char *)c->body->data, c->body->len);
	g_auto(GStrv) w = g_strsplit(text, " ", 2);

	g_hash_table_replace(switches, g_strdup(w[0]),
	    GINT_TO_POINTER(atoi(w[1])));
	conn_reply(c, 200, "", "", 0);
}

static void
store_request(struct conn *c)
{
	const char *target = net_head_target(&c->head);
	struct waiter w = { .conn = c };

	if (g_str_has_prefix(target, "/control")) {
		store_control(c);
		return;
	}
	if (g_str_has_prefix(target, "/journal")) {
		conn_reply(c, 200, "", journal->str, journal->len);
		return;
	}
	if (g_str_has_prefix(target, "/config")) {
		topic_add(TOPIC_OP, "config", c->body->data, c->body->len);
		conn_reply(c, 200, "", "", 0);
		waiters_look();
		return;
	}
	if (get_switch("silent"))
		return;
	if (get_switch("down")) {
		conn_reply(c, 503, "", "", 0);
		return;
	}
	while (w.topic < TOPICS && strstr(target, topic_names[w.topic]) == NULL)
		w.topic++;
	if (w.topic == TOPICS) {
		conn_reply(c, 400, "", "", 0);
	} else if (g_str_has_prefix(target, "/log-append")) {
		store_append(c, w.topic);
	} else if (g_str_has_prefix(target, "/log-newest")) {
		conn_json(c, 200, topic_newest(w.topic));
	} else {
		w.from = query_number(target, "from", 0);
		w.until = uv_now(loop) + query_number(target, "wait_ms", 0);
		g_array_append_val(waiters, w);
		waiters_look();
	}
}

static json_t *
point_report(const struct point *p)
{
	json_t *root = json_pack("{s:s,s:b,s:i}", "stage", "both", "busy", 0,
	    "sequence", 0);
	json_t *models = json_array(), *staged = json_array();

	if (p->model != NULL)
		json_array_append_new(models,
		    json_pack("{s:s}", "name", p->model));
	if (p->staged != NULL)
		json_array_append_new(staged, json_string(p->staged));
	json_object_set_new(root, "models", models);
	json_object_set_new(root, "staged", staged);
	json_object_set_new(root, "domain", json_string("fabric-1"));
	if (p->group != NULL)
		json_object_set_new(root, "group",
		    json_pack("{s:s,s:I,s:i,s:s}", "name", p->group, "epoch",
			(json_int_t)p->epoch, "rank", p->rank, "state",
			p->state));
	return (root);
}

/* Writes an endpoint's entry, or removes it. */
static void
point_beat(struct point *p)
{
	json_t *root = point_report(p);
	g_autofree char *address = g_strdup_printf("%s:%d", p->ip, PORT);
	char *text;

	json_object_set_new(root, "service",
	    json_string(p->engine ? "lm" : "board"));
	json_object_set_new(root, "address", json_string(address));
	json_object_set_new(root, "zone", json_string("a"));
	json_object_set_new(root, "slots", json_integer(p->engine ? 8 : 4));
	json_object_set_new(root, "state",
	    json_string(point_switch("drain", p) ? "draining" : "ready"));
	text = json_dumps(root, JSON_COMPACT);
	if (point_switch("lapse", p) || point_switch("dark", p))
		topic_add(TOPIC_SERVERS, p->id, "", 0);
	else
		topic_add(TOPIC_SERVERS, p->id, text, strlen(text));
	free(text);
	json_decref(root);
}

static void
point_leave(struct point *p)
{
	g_clear_pointer(&p->group, g_free);
	p->state = "none";
}

static unsigned
point_join(struct point *p, const json_t *order, const char *group,
    int64_t epoch)
{
	const json_t *members = json_object_get(order, "members");

	if (epoch < p->seen_epoch)
		return (412);
	if (p->group != NULL && strcmp(p->group, group) == 0)
		return (200);
	point_leave(p);
	p->group = g_strdup(group);
	p->epoch = epoch;
	p->seen_epoch = epoch;
	p->state = "joining";
	p->ready_ms = uv_now(loop) + WARM_MS;
	g_free(p->model);
	p->model = g_strdup(json_string_value(json_object_get(order, "model")));
	g_free(p->staged);
	p->staged = g_strdup(p->model);
	for (size_t i = 0; i < json_array_size(members); i++) {
		if (strcmp(json_string_value(json_array_get(members, i)),
			p->id) == 0)
			p->rank = (int)i;
	}
	return (202);
}

/* A word of an order; empty where it has none. */
static const char *
order_word(const json_t *order, const char *name)
{
	const char *word = json_string_value(json_object_get(order, name));

	return (word != NULL ? word : "");
}

static void
point_order(struct conn *c)
{
	struct point *p = c->point;
	json_auto_t *order =
	    json_loadb((const char *)c->body->data, c->body->len, 0, NULL);
	const char *op = order_word(order, "operation");
	const char *group = order_word(order, "group");
	int64_t epoch = json_integer_value(json_object_get(order, "epoch"));
	bool mine = p->group != NULL && strcmp(p->group, group) == 0 &&
	    p->epoch == epoch;
	unsigned status = 409;

	if (strcmp(op, "join") == 0) {
		status = point_join(p, order, group, epoch);
	} else if (strcmp(op, "stage") == 0) {
		status = 202;
	} else if (mine && strcmp(op, "open") == 0 &&
	    strcmp(p->state, "ready") == 0) {
		p->state = "open";
		status = 202;
	} else if (mine && strcmp(op, "close") == 0) {
		p->state = "ready";
		status = 200;
	} else if (mine && strcmp(op, "leave") == 0) {
		point_leave(p);
		status = 200;
	}
	g_string_append_printf(journal, "%s %s %u\n", p->id, op, status);
	conn_reply(c, status, "", "", 0);
	point_beat(p);
}

/* Sends the next event of a stream. */
static void
on_event(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	g_autofree char *event =
	    g_strdup_printf("id: %d\ndata: e%d\n\n", c->event, c->event);
	g_autofree char *chunk =
	    g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	if (c->stream.closing || point_switch("dark", c->point))
		return;
	if (get_switch("cut") == c->event && take_switch("cuts")) {
		net_stream_write(&c->stream, chunk, strlen(chunk) - 4);
		net_stream_reset(&c->stream);
		return;
	}
	net_stream_write(&c->stream, chunk, strlen(chunk));
	if (++c->event < EVENTS) {
		uv_timer_start(timer, on_event, EVENT_MS, 0);
		return;
	}
	net_stream_write(&c->stream, "0\r\n\r\n", 5);
}

static void
point_stream(struct conn *c)
{
	const char *last = net_head_find(&c->head, "last-event-id");
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n"
	    "Content-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    c->id, c->point->id);

	c->event = last != NULL ? atoi(last) + 1 : 0;
	net_stream_write(&c->stream, head, strlen(head));
	uv_timer_start(&c->timer, on_event, EVENT_MS, 0);
}

static void
point_answer(struct conn *c)
{
	g_autofree char *headers =
	    g_strdup_printf("Attempt-Id: %s\r\n%s%s%sKeep-Alive: timeout=5\r\n",
		c->id, get_switch("noproof") ? "" : "Server-Signature: ",
		get_switch("noproof") ? "" : c->point->id,
		get_switch("noproof") ? "" : "\r\n");
	static const char text[] = "whole answer";

	if (take_switch("stray"))
		conn_reply(c, 200,
		    "Attempt-Id: other\r\nServer-Signature: x\r\n", "stray", 5);
	if (take_switch("error")) {
		conn_reply(c, 500, headers, "failed", 6);
	} else if (get_switch("unframed")) {
		g_autofree char *all =
		    g_strdup_printf("HTTP/1.1 200 OK\r\n%s\r\n%s", headers,
			text);

		net_stream_write(&c->stream, all,
		    strlen(all) - (get_switch("reset") ? 6 : 0));
		if (get_switch("reset"))
			net_stream_reset(&c->stream);
		else
			net_stream_finish(&c->stream);
	} else {
		conn_reply(c, 200, headers, text, sizeof text - 1);
	}
}

static void
on_slow(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (!c->stream.closing)
		point_answer(c);
}

static void
point_request(struct conn *c)
{
	struct point *p = c->point;
	const char *target = net_head_target(&c->head);
	const char *expect = net_head_find(&c->head, "expected-instance");
	const char *id = net_head_find(&c->head, "attempt-id");

	/* A connection that is older than the switch is silent for good. */
	if (point_switch("dark", p) || c->mute < get_switch("mute"))
		return;
	if (expect != NULL && strcmp(expect, p->id) != 0) {
		conn_reply(c, 421, "", "", 0);
		return;
	}
	if (strcmp(target, "/order") == 0) {
		point_order(c);
		return;
	}
	if (strcmp(target, "/report") == 0) {
		conn_json(c, 200, point_report(p));
		return;
	}
	g_free(c->id);
	c->id = g_strdup(id != NULL ? id : "-");
	if ((p->engine && strcmp(p->state, "open") != 0) ||
	    take_switch("full")) {
		conn_reply(c, 503, "Not-Executed: 1\r\n", "", 0);
		return;
	}
	p->ran++;
	g_string_append_printf(journal, "%s ran %s %s %s key=%s\n", p->id,
	    c->id, target,
	    net_head_find(&c->head, "tenant") != NULL ?
		net_head_find(&c->head, "tenant") :
		"-",
	    net_head_find(&c->head, "x-api-key") != NULL ? "passed" : "none");
	if (p->engine)
		point_stream(c);
	else if (get_switch("slow") > 0)
		uv_timer_start(&c->timer, on_slow, (uint64_t)get_switch("slow"),
		    0);
	else
		point_answer(c);
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
	if (c->point != NULL)
		point_request(c);
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

	for (guint i = waiters->len; i-- > 0;) {
		if (g_array_index(waiters, struct waiter, i).conn == c)
			g_array_remove_index(waiters, i);
	}
	if (c->point != NULL && c->event > 0 && c->event < EVENTS)
		g_string_append_printf(journal, "%s left %s\n", c->point->id,
		    c->id);
	uv_close((uv_handle_t *)&c->timer, on_timer_closed);
	conn_free(c);
}

static void
conn_ended(struct net_stream *stream, bool clean)
{
	net_stream_close(stream);
}

static void
conn_nothing(struct net_stream *stream)
{
}

static const struct net_stream_ops conn_ops = {
	.connected = conn_nothing,
	.readable = conn_readable,
	.ended = conn_ended,
	.drained = conn_nothing,
	.closed = conn_closed,
};

static void
on_connection(uv_stream_t *listener, int status)
{
	struct conn *c = g_new0(struct conn, 1);

	c->point = listener->data;
	c->mute = get_switch("mute");
	c->body = g_byte_array_new();
	c->handles = 2;
	net_head_init(&c->head);
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	uv_timer_init(loop, &c->timer);
	c->timer.data = c;
	net_stream_init(&c->stream, loop, &conn_ops, c);
	if (status != 0 || net_stream_accept(&c->stream, listener) != 0)
		net_stream_close(&c->stream);
}

static void
listen_at(const char *ip, struct point *point)
{
	uv_tcp_t *listener = g_new0(uv_tcp_t, 1);
	struct sockaddr_in addr;

	uv_ip4_addr(ip, PORT, &addr);
	uv_tcp_init(loop, listener);
	listener->data = point;
	if (uv_tcp_bind(listener, (struct sockaddr *)&addr, 0) != 0 ||
	    uv_listen((uv_stream_t *)listener, 64, on_connection) != 0) {
		fprintf(stderr, "can't listen at %s\n", ip);
		exit(1);
	}
}

static void
add_points(const char *net, int kind, int n)
{
	for (int i = 1; i <= n; i++) {
		struct point *p = g_new0(struct point, 1);

		snprintf(p->ip, sizeof p->ip, "127.%s.%d.%d", net, kind, i);
		snprintf(p->id, sizeof p->id, "%s%d", kind == 1 ? "e" : "b", i);
		p->engine = kind == 1;
		p->state = "none";
		g_ptr_array_add(points, p);
		listen_at(p->ip, p);
	}
}

static void
on_beat(uv_timer_t *timer)
{
	for (guint i = 0; i < points->len; i++) {
		struct point *p = points->pdata[i];

		if (strcmp(p->state, "joining") == 0 &&
		    uv_now(loop) >= p->ready_ms)
			p->state = "ready";
		point_beat(p);
	}
	waiters_look();
}

static void
on_look(uv_timer_t *timer)
{
	waiters_look();
}

int
main(int argc, char **argv)
{
	g_autofree char *store = NULL;
	uv_timer_t beat, look;

	if (argc != 4) {
		fprintf(stderr, "usage: %s NET ENGINES SERVICES\n", argv[0]);
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	loop = uv_default_loop();
	for (int t = 0; t < TOPICS; t++)
		records[t] = g_ptr_array_new();
	waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	points = g_ptr_array_new();
	switches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	journal = g_string_new(NULL);
	store = g_strdup_printf("127.%s.0.1", argv[1]);
	listen_at(store, NULL);
	add_points(argv[1], 1, atoi(argv[2]));
	add_points(argv[1], 2, atoi(argv[3]));
	uv_timer_init(loop, &beat);
	uv_timer_start(&beat, on_beat, 0, BEAT_MS);
	uv_timer_init(loop, &look);
	uv_timer_start(&look, on_look, LOOK_MS, LOOK_MS);
	return (uv_run(loop, UV_RUN_DEFAULT));
}
