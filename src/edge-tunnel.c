/* Tunnels through other daemons, and those that they have through this one. */
#include "clock.h"
#include "edge.h"
#include "event-log.h"

/* A lost path that was tried within this time is taken for lost still. */
#define LOST_PATH_MS 1000

/* A gateway that was notified. */
static void
on_notified(struct net_link *link)
{
	net_link_close(link);
}

static void
on_not_notified(struct net_link *link, enum tunnel_result result)
{
	event_log(LOG_INFO, "gateway_not_notified", "gateway=%08x result=%s",
	    link->gateway.name_hash, tunnel_result_name(result));
}

static const struct net_link_ops notify_ops = {
	.established = on_notified,
	.failed = on_not_notified,
};

/* An endpoint wants nothing from this daemon for so many ms, or, if 0, as it
 * drains; nor from the gateway, if any, that it was asked through. */
static void
on_declined(void *arg, const struct endpoint *ep, uint64_t ms,
    const struct net_gateway *gateway)
{
	struct edge *e = arg;
	const struct tunnel_request request = {
		.kind = ms > 0 ? TUNNEL_NOTE_BACKOFF : TUNNEL_NOTE_DRAINING,
		.ms = (uint32_t)MIN(ms, UINT32_MAX),
		.peer = ep->pool.addr,
	};

	tunnel_server_decline(&e->tunnels, &ep->pool.addr);
	if (gateway != NULL)
		net_link_open_tunnel(e->loop, gateway, &request, &notify_ops,
		    e);
}

/* Whether this daemon is cut off itself: direct paths were lost together, and
 * nothing was heard directly since. */
static bool
edge_is_cut_off(const struct edge *e)
{
	const struct net_tunnels *tunnels = &e->gateways.tunnels;

	return (tunnels->doubt_ms > tunnels->heard_ms);
}

/* Whether an endpoint may be asked on behalf of another daemon. */
static enum tunnel_result
tunnel_judge(void *arg, const struct sockaddr_in *peer)
{
	const struct edge *e = arg;
	uint64_t now = clock_loop_ms(e->loop);
	const struct endpoint *ep =
	    fleet_find_by_address(&e->registry.fleet, peer);
	const struct net_path *path = ep != NULL ? &ep->pool.path : NULL;

	/* What endpoints say through tunnels is noted with their entries. */
	if (edge_is_cut_off(e) || !e->registry.endpoints.synced)
		return (TUNNEL_UNREACHED);
	if (ep == NULL)
		return (TUNNEL_OPEN);
	if (path->lost_ms != 0 && now - path->probed_ms < LOST_PATH_MS)
		return (TUNNEL_UNREACHED);
	if (ep->draining || endpoint_backoff_active(&ep->backoff, now))
		return (TUNNEL_DECLINED);
	return (TUNNEL_OPEN);
}

/* Another daemon has learned, through this one, that an endpoint wants nothing
 * for now. */
static void
tunnel_noted(void *arg, const struct tunnel_request *request)
{
	struct edge *e = arg;
	struct endpoint *ep =
	    fleet_find_by_address(&e->registry.fleet, &request->peer);

	if (ep == NULL)
		return;
	event_log(LOG_NOTICE, "endpoint_declines",
	    "endpoint=%s ms=%u draining=%d from=%08x", ep->report.id,
	    request->ms, request->kind == TUNNEL_NOTE_DRAINING,
	    request->name_hash);
	if (request->kind == TUNNEL_NOTE_DRAINING)
		ep->draining = true;
	else
		endpoint_backoff_extend(&ep->backoff,
		    MIN(request->ms, e->fwd.set.backoff_max_ms),
		    clock_loop_ms(e->loop));
	tunnel_server_decline(&e->tunnels, &request->peer);
}

static unsigned
tunnel_list(void *arg, struct tunnel_gateway list[TUNNEL_LIST_MAX])
{
	const struct edge *e = arg;

	return (mesh_gateways_list(&e->mesh, list));
}

static const struct tunnel_server_ops tunnel_ops = {
	.list = tunnel_list,
	.judge = tunnel_judge,
	.noted = tunnel_noted,
};

/**
 * edge_open_tunnels() - accept tunnels of other daemons, and reach endpoints
 *	through them.
 * @e: the daemon; without an address for tunnels there are none
 *
 * Return: 0, or a libuv error.
 */
int
edge_open_tunnels(struct edge *e)
{
	struct sockaddr_in addr;

	if (!edge_parse_address(e->set.tunnel_address, &addr))
		return (0);
	mesh_gateways_init(&e->gateways, &e->mesh, ntohs(addr.sin_port));
	e->registry.fleet.tunnels = &e->gateways.tunnels;
	e->fwd.on_declined = on_declined;
	e->fwd.on_declined_arg = e;
	e->tunnels.ops = &tunnel_ops;
	e->tunnels.arg = e;
	e->tunnels.source = e->registry.fleet.source;
	e->tunnels.credential = e->mesh.incarnation;
	return (tunnel_server_open(&e->tunnels, e->loop, &addr));
}
