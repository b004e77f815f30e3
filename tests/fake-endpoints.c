/* The endpoints of the stand-in for the users' platform. */
#include <stdlib.h>
#include <string.h>

#include "fake-platform.h"

/* Events of a stream and ms between them, unless switches set them. */
#define STREAM_EVENTS 8
#define EVENT_MS 10

/* Returns what an endpoint reports about itself. */
static json_t *
fake_endpoint_report(const struct fake_endpoint *ep)
{
	json_t *root = json_pack("{s:s,s:b,s:i}", "stage", "both", "busy", 0,
	    "sequence", 0);
	json_t *models = json_array(), *staged = json_array();

	if (ep->model != NULL)
		json_array_append_new(models,
		    json_pack("{s:s}", "name", ep->model));
	if (ep->staged != NULL)
		json_array_append_new(staged, json_string(ep->staged));
	json_object_set_new(root, "models", models);
	json_object_set_new(root, "staged", staged);
	json_object_set_new(root, "domain", json_string("fabric-1"));
	if (ep->group != NULL)
		json_object_set_new(root, "group",
		    json_pack("{s:s,s:I,s:i,s:s}", "name", ep->group, "epoch",
			(json_int_t)ep->epoch, "rank", ep->rank, "state",
			ep->state));
	return (root);
}

/* Writes an endpoint's entry in the store, or removes it. */
void
fake_endpoint_write_entry(struct fake_endpoint *ep)
{
	json_t *root = fake_endpoint_report(ep);
	g_autofree char *address = g_strdup_printf("%s:%d", ep->ip, FAKE_PORT);
	g_autofree char *zone = zone_name(ep);
	char *text;

	json_object_set_new(root, "service",
	    json_string(ep->engine ? "lm" : "board"));
	json_object_set_new(root, "address", json_string(address));
	json_object_set_new(root, "zone", json_string(zone));
	json_object_set_new(root, "version", json_string("v1"));
	json_object_set_new(root, "cold_remaining_ms",
	    json_integer(cold_left_ms(ep)));
	json_object_set_new(root, "slots", json_integer(ep->engine ? 8 : 4));
	json_object_set_new(root, "state",
	    json_string(
		fake_endpoint_switch("drain", ep) ? "draining" : "ready"));
	text = json_dumps(root, JSON_COMPACT);
	if (fake_endpoint_switch("lapse", ep) ||
	    fake_endpoint_switch("dark", ep))
		topic_add(TOPIC_SERVERS, ep->id, "", 0);
	else
		topic_add(TOPIC_SERVERS, ep->id, text, strlen(text));
	free(text);
	json_decref(root);
}

/* Returns the number of events of a stream. */
int
fake_stream_events(void)
{
	int n = get_switch("events");

	return (n > 0 ? n : STREAM_EVENTS);
}

/* Returns the time between the events of a stream, in ms. */
static uint64_t
stream_event_ms(void)
{
	int ms = get_switch("event-ms");

	return (ms > 0 ? (uint64_t)ms : EVENT_MS);
}

/* Ends a connection in the middle of a response: by a reset, or in order where
 * nothing but the end of the connection tells where the response ends. */
void
conn_break(struct conn *c)
{
	static const char part[] = "id: ";

	if (!c->unframed) {
		net_stream_reset(&c->stream);
		return;
	}
	net_stream_write(&c->stream, part, sizeof part - 1);
	net_stream_shutdown(&c->stream);
}

/* Sends the next event of a stream. */
static void
on_event(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	g_autofree char *event =
	    g_strdup_printf("id: %d\ndata: e%d\n\n", c->event, c->event);
	g_autofree char *chunk = c->unframed ?
	    g_strdup(event) :
	    g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	if (c->stream.closing || c->endpoint->crash_mode != CRASH_NONE ||
	    fake_endpoint_switch("dark", c->endpoint) || cut_silent(c) ||
	    silence_defer(timer, on_event))
		return;
	if (get_switch("cut") == c->event && consume_switch("cuts")) {
		net_stream_write(&c->stream, chunk, strlen(chunk) - 4);
		conn_break(c);
		return;
	}
	net_stream_write(&c->stream, chunk, strlen(chunk));
	if (++c->event < fake_stream_events()) {
		uv_timer_start(timer, on_event, stream_event_ms(), 0);
		return;
	}
	if (c->unframed)
		net_stream_shutdown(&c->stream);
	else
		net_stream_write(&c->stream, "0\r\n\r\n", 5);
}

/* Returns the headers about the endpoint itself that all responses have. */
char *
fake_endpoint_headers(const struct conn *c)
{
	g_autofree char *limit = limit_header(c);

	return (g_strconcat(backoff_leaving_header(c), limit, NULL));
}

static void
fake_endpoint_stream(struct conn *c)
{
	const char *last = net_head_find(&c->head, "last-event-id");
	g_autofree char *own_headers = fake_endpoint_headers(c);
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n"
	    "%sContent-Type: text/event-stream\r\n%s\r\n",
	    c->id, c->endpoint->id, own_headers,
	    get_switch("unframed") != 0 ? "" :
					  "Transfer-Encoding: chunked\r\n");

	c->streaming = true;
	c->unframed = get_switch("unframed") != 0;
	c->event = last != NULL ? atoi(last) + 1 : 0;
	net_stream_write(&c->stream, head, strlen(head));
	uv_timer_start(&c->timer, on_event,
	    stream_event_ms() + (uint64_t)get_switch("slow-first"), 0);
}

/* Sends a response whose body is that many zero bytes. */
static void
conn_reply_large(struct conn *c, const char *headers, size_t length)
{
	g_autoptr(GByteArray) body = g_byte_array_new();

	g_byte_array_set_size(body, (guint)length);
	memset(body->data, 0, length);
	conn_reply(c, 200, headers, body->data, length);
}

static void
fake_endpoint_respond(struct conn *c)
{
	g_autofree char *own_headers = fake_endpoint_headers(c);
	g_autofree char *headers = g_strdup_printf(
	    "Attempt-Id: %s\r\n%s%s%s%sKeep-Alive: timeout=5\r\n", c->id,
	    get_switch("noproof") ? "" : "Server-Signature: ",
	    get_switch("noproof") ? "" : c->endpoint->id,
	    get_switch("noproof") ? "" : "\r\n", own_headers);
	static const char text[] = "whole answer";
	int large = get_switch("large");

	if (consume_switch("stray"))
		conn_reply(c, 200,
		    "Attempt-Id: other\r\nServer-Signature: x\r\n", "stray", 5);
	if (consume_switch("error")) {
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
			net_stream_shutdown(&c->stream);
	} else if (large > 0) {
		conn_reply_large(c, headers, (size_t)large);
	} else {
		conn_reply(c, 200, headers, text, sizeof text - 1);
	}
}

static void
on_slow(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (!c->stream.closing && c->endpoint->crash_mode == CRASH_NONE &&
	    !cut_silent(c) && !silence_defer(timer, on_slow))
		fake_endpoint_respond(c);
}

/* Handles a request to an endpoint. */
void
fake_endpoint_request(struct conn *c)
{
	struct fake_endpoint *ep = c->endpoint;
	const char *target = net_head_target(&c->head);
	const char *expect = net_head_find(&c->head, "expected-instance");
	const char *id = net_head_find(&c->head, "attempt-id");
	const char *priority;

	/* Connections accepted before "mute" was raised are never answered. */
	if (ep->crash_mode != CRASH_NONE || fake_endpoint_switch("dark", ep) ||
	    fake_endpoint_switch("unaccepted", ep) || cut_silent(c) ||
	    c->mute_at_accept < get_switch("mute"))
		return;
	if (expect != NULL && strcmp(expect, ep->id) != 0) {
		conn_reply(c, 421, "", "", 0);
		return;
	}
	if ((strcmp(target, "/order") == 0 || strcmp(target, "/report") == 0) &&
	    endless_respond_call(c))
		return;
	if (strcmp(target, "/order") == 0) {
		group_handle_order(c);
		return;
	}
	if (strcmp(target, "/report") == 0) {
		conn_json(c, 200, fake_endpoint_report(ep));
		return;
	}
	g_free(c->id);
	c->id = g_strdup(id != NULL ? id : "-");
	backoff_check(c);
	limit_check(c);
	zone_check(c);
	crash_check(c);
	if (fake_endpoint_switch("break", ep)) {
		net_stream_reset(&c->stream);
		return;
	}
	if (cold_check(c)) {
		fake_endpoint_crash(ep, CRASH_RESET);
		return;
	}
	if (backoff_refuse(c))
		return;
	if ((ep->engine && strcmp(ep->state, "open") != 0) ||
	    consume_switch("full")) {
		g_autofree char *own_headers = fake_endpoint_headers(c);
		g_autofree char *headers =
		    g_strconcat("Not-Executed: 1\r\n", own_headers, NULL);

		conn_reply(c, 503, headers, "", 0);
		return;
	}
	ep->n_runs++;
	priority = net_head_find(&c->head, "request-priority");
	g_string_append_printf(fake_journal, "%s ran %s %s %s key=%s%s%s\n",
	    ep->id, c->id, target,
	    net_head_find(&c->head, "tenant") != NULL ?
		net_head_find(&c->head, "tenant") :
		"-",
	    net_head_find(&c->head, "x-api-key") != NULL ? "passed" : "none",
	    priority != NULL ? " priority=" : "",
	    priority != NULL ? priority : "");
	if (endless_respond(c) || invalid_respond(c) || stop_respond(c) ||
	    (crash_schedule(c) && !ep->engine))
		return;
	if (ep->engine)
		fake_endpoint_stream(c);
	else if (get_switch("slow") > 0)
		uv_timer_start(&c->timer, on_slow, (uint64_t)get_switch("slow"),
		    0);
	else
		fake_endpoint_respond(c);
}
