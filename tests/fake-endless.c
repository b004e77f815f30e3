/*
 * Endpoints of the stand-in for the users' platform that send bytes which are
 * no response, without end, until the caller closes.
 */
#include <string.h>

#include "fake-platform.h"

/* Kinds of such bytes, as the switch "endless-IP" names them. */
enum endless_kind {
	ENDLESS_NONE,
	ENDLESS_HEAD,
	ENDLESS_UNPROVED,
	ENDLESS_STRAY,
	ENDLESS_EVENT,
	ENDLESS_INTERIM,
	ENDLESS_REFUSAL,
	ENDLESS_CALL,
};

#define PIECE_BYTES 65536
/* Bytes that wait to be sent. */
#define QUEUED_MAX (4u << 20)
/* The stand-in stops by itself after this many pieces. */
#define PIECES_MAX 6400

/* How each kind begins; %s is the request's id. */
static const char *const begins[] = {
	[ENDLESS_HEAD] = "HTTP/1.1 200 OK\r\nX-Pad: %s",
	[ENDLESS_UNPROVED] = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n\r\n",
	[ENDLESS_STRAY] = "HTTP/1.1 200 OK\r\nAttempt-Id: not-%s\r\n\r\n",
	[ENDLESS_EVENT] = "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
			  "Server-Signature: x\r\n\r\nid: 0\ndata: ",
	[ENDLESS_INTERIM] = "HTTP/1.1 102 Processing\r\nX-Id: %s\r\n\r\n",
	[ENDLESS_REFUSAL] = "HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\n"
			    "Not-Executed: 1\r\n\r\n",
	[ENDLESS_CALL] = "HTTP/1.1 200 OK\r\n\r\n",
};

/* Writes the next piece. */
static void
on_piece(uv_timer_t *timer)
{
	static const char interim[] = "HTTP/1.1 102 Processing\r\n\r\n";
	struct conn *c = timer->data;
	bool heads =
	    fake_endpoint_switch("endless", c->endpoint) == ENDLESS_INTERIM;
	g_autoptr(GString) piece = g_string_new(NULL);

	if (c->stream.closing || c->stream.ended || ++c->event > PIECES_MAX)
		return;
	while (piece->len < PIECE_BYTES)
		g_string_append(piece, heads ? interim : "aaaaaaaaaaaaaaaa");
	if (c->stream.queued < QUEUED_MAX)
		net_stream_write(&c->stream, piece->str, piece->len);
	uv_timer_start(timer, on_piece, 1, 0);
}

static void
endless_start(struct conn *c, enum endless_kind kind)
{
	g_autoptr(GString) begin = g_string_new(begins[kind]);

	g_string_replace(begin, "%s", c->id != NULL ? c->id : "-", 1);
	net_stream_write(&c->stream, begin->str, begin->len);
	c->event = 0;
	uv_timer_start(&c->timer, on_piece, 1, 0);
}

/* Starts such a response if the endpoint is to; returns whether it is. */
bool
endless_respond(struct conn *c)
{
	enum endless_kind kind =
	    (enum endless_kind)fake_endpoint_switch("endless", c->endpoint);

	if (kind == ENDLESS_NONE || kind >= ENDLESS_CALL)
		return (false);
	endless_start(c, kind);
	return (true);
}

/* The same for orders and queries of reports. */
bool
endless_respond_call(struct conn *c)
{
	if (fake_endpoint_switch("endless", c->endpoint) != ENDLESS_CALL)
		return (false);
	endless_start(c, ENDLESS_CALL);
	return (true);
}
