/* The endpoints of the stand-in for the users' platform. */
#include <stdlib.h>
#include <string.h>

#include "fake-platform.h"

#define EVENT_MS 10

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
void
point_beat(struct point *p)
{
	json_t *root = point_report(p);
	g_autofree char *address = g_strdup_printf("%s:%d", p->ip, FAKE_PORT);
	char *text;

	json_object_set_new(root, "service",
	    json_string(p->engine ? "lm" : "board"));
	json_object_set_new(root, "address", json_string(address));
	json_object_set_new(root, "zone", json_string("a"));
	json_object_set_new(root, "version", json_string("v1"));
	json_object_set_new(root, "cold_remaining_ms", json_integer(0));
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

/* Sends the next event of a stream. */
static void
on_event(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	g_autofree char *event =
	    g_strdup_printf("id: %d\ndata: e%d\n\n", c->event, c->event);
	g_autofree char *chunk =
	    g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

	if (c->stream.closing || c->point->end != END_NONE ||
	    point_switch("dark", c->point))
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

/* Headers by which an endpoint speaks of itself, in all of its answers. */
char *
point_says(const struct conn *c)
{
	g_autofree char *limit = limit_header(c);

	return (g_strconcat(rest_leaving(c), limit, NULL));
}

static void
point_stream(struct conn *c)
{
	const char *last = net_head_find(&c->head, "last-event-id");
	g_autofree char *said = point_says(c);
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s\r\n"
	    "%sContent-Type: text/event-stream\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n",
	    c->id, c->point->id, said);

	c->streams = true;
	c->event = last != NULL ? atoi(last) + 1 : 0;
	net_stream_write(&c->stream, head, strlen(head));
	uv_timer_start(&c->timer, on_event, EVENT_MS, 0);
}

static void
point_answer(struct conn *c)
{
	g_autofree char *said = point_says(c);
	g_autofree char *headers = g_strdup_printf(
	    "Attempt-Id: %s\r\n%s%s%s%sKeep-Alive: timeout=5\r\n", c->id,
	    get_switch("noproof") ? "" : "Server-Signature: ",
	    get_switch("noproof") ? "" : c->point->id,
	    get_switch("noproof") ? "" : "\r\n", said);
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
			net_stream_shutdown(&c->stream);
	} else {
		conn_reply(c, 200, headers, text, sizeof text - 1);
	}
}

static void
on_slow(uv_timer_t *timer)
{
	struct conn *c = timer->data;

	if (!c->stream.closing && c->point->end == END_NONE)
		point_answer(c);
}

void
point_request(struct conn *c)
{
	struct point *p = c->point;
	const char *target = net_head_target(&c->head);
	const char *expect = net_head_find(&c->head, "expected-instance");
	const char *id = net_head_find(&c->head, "attempt-id");

	/* A connection that is older than the switch is silent for good. */
	if (p->end != END_NONE || point_switch("dark", p) ||
	    c->mute < get_switch("mute"))
		return;
	if (expect != NULL && strcmp(expect, p->id) != 0) {
		conn_reply(c, 421, "", "", 0);
		return;
	}
	if (strcmp(target, "/order") == 0) {
		group_order(c);
		return;
	}
	if (strcmp(target, "/report") == 0) {
		conn_json(c, 200, point_report(p));
		return;
	}
	g_free(c->id);
	c->id = g_strdup(id != NULL ? id : "-");
	rest_judge(c);
	limit_judge(c);
	crash_judge(c);
	if (rest_refuse(c))
		return;
	if ((p->engine && strcmp(p->state, "open") != 0) ||
	    take_switch("full")) {
		g_autofree char *said = point_says(c);
		g_autofree char *headers =
		    g_strconcat("Not-Executed: 1\r\n", said, NULL);

		conn_reply(c, 503, headers, "", 0);
		return;
	}
	p->ran++;
	g_string_append_printf(fake_journal, "%s ran %s %s %s key=%s\n", p->id,
	    c->id, target,
	    net_head_find(&c->head, "tenant") != NULL ?
		net_head_find(&c->head, "tenant") :
		"-",
	    net_head_find(&c->head, "x-api-key") != NULL ? "passed" : "none");
	if (crash_begin(c) && !p->engine)
		return;
	if (p->engine)
		point_stream(c);
	else if (get_switch("slow") > 0)
		uv_timer_start(&c->timer, on_slow, (uint64_t)get_switch("slow"),
		    0);
	else
		point_answer(c);
}
