/*
 * Unreachable endpoints of the stand-in for the users' platform: connections to
 * them are neither accepted nor refused, as if their packets were lost.
 */
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "fake-platform.h"

static void
on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Replaces the listener of an endpoint by one whose queue is full. */
static void
unaccepted_begin(struct fake_endpoint *ep)
{
	struct sockaddr_in addr;
	const struct sockaddr *at = (const struct sockaddr *)&addr;
	int on = 1;

	uv_close((uv_handle_t *)ep->listener, on_listener_closed);
	ep->listener = NULL;
	uv_ip4_addr(ep->ip, FAKE_PORT, &addr);
	ep->full_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ep->queued_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (setsockopt(ep->full_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) !=
		0 ||
	    bind(ep->full_fd, at, sizeof addr) != 0 ||
	    listen(ep->full_fd, 0) != 0 ||
	    connect(ep->queued_fd, at, sizeof addr) != 0) {
		perror(ep->ip);
		exit(1);
	}
}

/* Lets an endpoint be unreachable, or reachable again, as its switch says. */
void
unaccepted_tick(struct fake_endpoint *ep)
{
	bool on = fake_endpoint_switch("unaccepted", ep) != 0;

	if (on && ep->listener != NULL) {
		unaccepted_begin(ep);
	} else if (!on && ep->full_fd > 0) {
		close(ep->queued_fd);
		close(ep->full_fd);
		ep->full_fd = 0;
		fake_endpoint_accept(ep);
	}
}
