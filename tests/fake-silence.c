/*
 * Endpoints of the stand-in for the users' platform that stop for some time:
 * they read and send nothing, and go on afterwards where they were. Their
 * entries stay in the store.
 */
#include <string.h>

#include "fake-platform.h"

#define SWITCH_ALL "stop"
#define SWITCH_ONE "stop-"

/* Returns whether an endpoint is stopped. */
static bool
silence_stopped(const struct fake_endpoint *ep)
{
	return (uv_now(fake_loop) < ep->stopped_until_ms);
}

/* Has an endpoint read from its connections, or not. */
static void
silence_set_reading(struct fake_endpoint *ep, bool on)
{
	struct conn *c;

	TAILQ_FOREACH(c, &ep->conns, entry) {
		if (!c->stream.closing)
			net_stream_set_reading(&c->stream, on);
	}
}

/* Stops the endpoints that a switch names for so many ms: "stop" all engines,
 * "stop-IP" one endpoint. */
void
silence_apply(const char *name, int ms)
{
	for (guint i = 0; i < fake_endpoints->len; i++) {
		struct fake_endpoint *ep = fake_endpoints->pdata[i];
		bool named = g_str_has_prefix(name, SWITCH_ONE) &&
		    strcmp(name + strlen(SWITCH_ONE), ep->ip) == 0;

		if (!named && (strcmp(name, SWITCH_ALL) != 0 || !ep->engine))
			continue;
		ep->stopped_until_ms = uv_now(fake_loop) + (uint64_t)ms;
		silence_set_reading(ep, false);
	}
}

/* Lets endpoints whose time is over go on. */
void
silence_poll(void)
{
	for (guint i = 0; i < fake_endpoints->len; i++) {
		struct fake_endpoint *ep = fake_endpoints->pdata[i];

		if (ep->stopped_until_ms == 0 || silence_stopped(ep))
			continue;
		ep->stopped_until_ms = 0;
		silence_set_reading(ep, true);
	}
}

/* Leaves a connection unread that a stopped endpoint has accepted. */
void
silence_check_accepted(struct conn *c)
{
	if (silence_stopped(c->endpoint))
		net_stream_set_reading(&c->stream, false);
}

/* Puts a timer of a connection off until its endpoint goes on; returns whether
 * the endpoint is stopped. */
bool
silence_defer(uv_timer_t *timer, uv_timer_cb cb)
{
	const struct conn *c = timer->data;

	if (!silence_stopped(c->endpoint))
		return (false);
	uv_timer_start(timer, cb,
	    c->endpoint->stopped_until_ms - uv_now(fake_loop), 0);
	return (true);
}
