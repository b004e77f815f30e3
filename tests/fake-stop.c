/*
 * Endpoints of the stand-in for the users' platform that stop in the middle of
 * a response and close their connection in order.
 */
#include "fake-platform.h"

/* The kinds, as the switch "stop-IP" names them from 1 on; %s is the first
 * lines of a response of its own. The last one is whole. */
static const char *const kinds[] = {
	"HTTP/1.1 200 O",
	"HTTP/1.1 200 OK\r\n",
	"%s",
	"%sContent-Le",
	"%sContent-Length: 5",
	"%sContent-Length: 0\r\n",
	"%sContent-Length: 0\r\n\r",
	"HTTP/1.1 500 Oops\r\nX-A",
	"HTTP/1.1 204 No Content\r\nX-A: b",
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\n%s",
	"%sContent-Type: text/event-stream\r\nTransfer-Encoding: chu",
	"%sContent-Length: 5\r\n\r\nhi",
	"%sTransfer-Encoding: chunked\r\n\r\n5\r\nhi",
	"%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
	"%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-A",
	"%sTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-A: b\r\n\r\n",
};

/* Sends such a response if the endpoint is to; returns whether it is. */
bool
stop_respond(struct conn *c)
{
	size_t kind = (size_t)fake_endpoint_switch("stop", c->endpoint);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *own = g_strdup_printf("HTTP/1.1 200 OK\r\n"
					       "Attempt-Id: %s\r\n"
					       "Server-Signature: %s\r\n",
	    c->id, c->endpoint->id);

	if (kind == 0 || kind > G_N_ELEMENTS(kinds))
		return (false);
	g_string_append(text, kinds[kind - 1]);
	g_string_replace(text, "%s", own, 0);
	net_stream_write(&c->stream, text->str, text->len);
	net_stream_shutdown(&c->stream);
	return (true);
}
