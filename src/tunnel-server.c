/* Gateway of other daemons' tunnels. */
#include "clock.h"
#include "net-address.h"
#include "tunnel.h"

#define BACKLOG 128
/* Tunnels that are served at a time. */
#define TUNNELS_MAX 512
/* After this many endpoints in a row were not reached, none is tried for this
 * time: this daemon may be cut off itself. */
#define UNREACHED_MAX 2
#define UNREACHED_PAUSE_MS 300

/* Why no tunnel may be opened now; TUNNEL_OPEN if one may. */
static enum tunnel_result
server_obstacle(const struct tunnel_server *server)
{
	uint64_t now = clock_loop_ms(server->loop);

	if (server->draining)
		return (TUNNEL_DRAINING);
	if (server->n_tunnels > TUNNELS_MAX)
		return (TUNNEL_BUSY);
	if (server->unreached >= UNREACHED_MAX &&
	    now - server->unreached_ms < UNREACHED_PAUSE_MS)
		return (TUNNEL_UNREACHED);
	return (TUNNEL_OPEN);
}

/**
 * tunnel_server_obstacle() - why no tunnel to an endpoint may be opened now.
 * @server: the gateway
 * @peer: address of the endpoint
 *
 * Return: TUNNEL_OPEN if one may.
 */
enum tunnel_result
tunnel_server_obstacle(const struct tunnel_server *server,
    const struct sockaddr_in *peer)
{
	enum tunnel_result obstacle = server_obstacle(server);

	if (obstacle != TUNNEL_OPEN)
		return (obstacle);
	return (server->ops->judge(server->arg, peer));
}

/**
 * tunnel_server_decline() - have the requesters of tunnels to an endpoint send
 *	it no more requests through them.
 * @server: the gateway
 * @peer: address of the endpoint
 */
void
tunnel_server_decline(struct tunnel_server *server,
    const struct sockaddr_in *peer)
{
	struct tunnel *t;

	TAILQ_FOREACH(t, &server->tunnels, entry) {
		if (net_address_equal(&t->peer, peer))
			tunnel_decline(t);
	}
}

/**
 * tunnel_server_drain() - open no more tunnels; end the others with the
 *	requests that are under way.
 * @server: the gateway
 */
void
tunnel_server_drain(struct tunnel_server *server)
{
	struct tunnel *t;

	if (server->loop == NULL)
		return;
	server->draining = true;
	TAILQ_FOREACH(t, &server->tunnels, entry)
		tunnel_decline(t);
}

static void
on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		tunnel_accept(listener->data);
}

/**
 * tunnel_server_open() - start to accept requests for tunnels.
 * @server: the gateway; ops, arg, source and credential are filled in
 * @loop: the event loop
 * @addr: address to listen at
 *
 * Return: 0, or a libuv error.
 */
int
tunnel_server_open(struct tunnel_server *server, uv_loop_t *loop,
    const struct sockaddr_in *addr)
{
	int rc;

	server->loop = loop;
	TAILQ_INIT(&server->tunnels);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
		    on_connection);
	return (rc);
}
