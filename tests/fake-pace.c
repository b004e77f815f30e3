/* A slow link of the store of the stand-in for the users' platform: its
 * responses are sent in pieces. */
#include <string.h>

#include "fake-platform.h"

#define PIECE_BYTES 65536

/* Sends the next piece. */
static void
on_piece(uv_timer_t *timer)
{
	struct conn *c = timer->data;
	size_t n = MIN(c->paced->len, PIECE_BYTES);

	if (c->stream.closing || c->stream.ended)
		return;
	net_stream_write(&c->stream, c->paced->str, n);
	g_string_erase(c->paced, 0, (gssize)n);
	if (c->paced->len > 0)
		uv_timer_start(timer, on_piece,
		    (uint64_t)get_switch("piece-ms"), 0);
}

/* Sends a response of the store in pieces if it is to; returns whether it is.
 */
bool
pace_reply(struct conn *c, const GString *response)
{
	if (c->endpoint != NULL || get_switch("piece-ms") == 0)
		return (false);
	if (c->paced == NULL)
		c->paced = g_string_new(NULL);
	g_string_append_len(c->paced, response->str, (gssize)response->len);
	on_piece(&c->timer);
	return (true);
}
