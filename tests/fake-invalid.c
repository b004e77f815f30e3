/*
 * Endpoints of the stand-in for the users' platform that send what is no
 * response in HTTP/1.1, each with the request's id and a signature.
 */
#include <string.h>

#include "fake-platform.h"

/* The kinds, as the switch "invalid-IP" names them from 1 on; %s is the lines
 * with the id and the signature. */
static const char *const kinds[] = {
	"HTTP/1.1 000 Odd\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 099 Odd\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 20 Odd\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 600 Odd\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 0200 OK\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 000 Odd\r\n%sContent-Length: 2\r\n\r\nhi"
	"HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nhi",
	"HTTP/1.1 200 OK\r\n%sServer-Signature: other\r\n"
	"Content-Length: 2\r\n\r\nhi",
	"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: gzip\r\n\r\nhi",
};

/* The kind after these: more fields than a head may have. */
#define KIND_FIELDS (G_N_ELEMENTS(kinds) + 1)
#define N_FIELDS 150

static void
append_fields(GString *text)
{
	g_string_append(text, "HTTP/1.1 200 OK\r\n%s");
	for (unsigned i = 0; i < N_FIELDS; i++)
		g_string_append_printf(text, "X-Pad%u: y\r\n", i);
	g_string_append(text, "Content-Length: 2\r\n\r\nhi");
}

/* Sends such a response if the endpoint is to; returns whether it is. */
bool
invalid_respond(struct conn *c)
{
	size_t kind = (size_t)fake_endpoint_switch("invalid", c->endpoint);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *own =
	    g_strdup_printf("Attempt-Id: %s\r\nServer-Signature: %s\r\n", c->id,
		c->endpoint->id);

	if (kind == 0 || kind > KIND_FIELDS)
		return (false);
	if (kind == KIND_FIELDS)
		append_fields(text);
	else
		g_string_append(text, kinds[kind - 1]);
	g_string_replace(text, "%s", own, 0);
	net_stream_write(&c->stream, text->str, text->len);
	return (true);
}
