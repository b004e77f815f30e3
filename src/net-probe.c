/* A probe whether a gateway still reaches a peer: opens another tunnel through
 * it. */
#include "clock.h"
#include "net-conn.h"
#include "net-probe.h"

/* How long the gateway may take: it gives the peer up sooner. */
#define TIMEOUT_MS 250

/**
 * struct net_probe - one probe.
 * @pool: connections to the peer
 * @link: the tunnel; NULL once it is closed
 * @timer: its timeout
 */
struct net_probe {
	struct net_pool *pool;
	struct net_link *link;
	uv_timer_t timer;
};

static void
on_timer_closed(uv_handle_t *handle)
{
	struct net_probe *probe = handle->data;

	probe->pool->n_open--;
	g_free(probe);
}

/* Records the outcome and ends the probe. */
static void
probe_end(struct net_probe *probe, bool reached)
{
	struct net_gateway_probe *result = &probe->pool->path.gateway;

	result->pending = false;
	if (!reached)
		result->lost_ms = clock_loop_ms(probe->pool->loop);
	uv_close((uv_handle_t *)&probe->timer, on_timer_closed);
}

static void
on_established(struct net_link *link)
{
	struct net_probe *probe = link->owner;

	net_link_close(link);
	probe_end(probe, true);
}

static void
on_failed(struct net_link *link, enum tunnel_result result)
{
	probe_end(link->owner,
	    result == TUNNEL_DECLINED || result == TUNNEL_REFUSED);
}

static const struct net_link_ops probe_link_ops = {
	.established = on_established,
	.failed = on_failed,
};

static void
on_timeout(uv_timer_t *timer)
{
	struct net_probe *probe = timer->data;

	net_link_close(probe->link);
	probe_end(probe, false);
}

/**
 * net_probe_gateway() - start to probe whether a gateway still reaches a peer.
 * @pool: connections to the peer; the outcome goes into its path
 * @gateway: the gateway
 *
 * No other probe for the peer may be pending.
 */
void
net_probe_gateway(struct net_pool *pool, const struct net_gateway *gateway)
{
	struct net_probe *probe = g_new0(struct net_probe, 1);
	const struct net_gateway_probe started = {
		.name_hash = gateway->name_hash,
		.pending = true,
		.started_ms = clock_loop_ms(pool->loop),
	};
	const struct tunnel_request request = { .kind = TUNNEL_CONNECT,
		.peer = pool->addr };

	pool->path.gateway = started;
	probe->pool = pool;
	pool->n_open++;
	uv_timer_init(pool->loop, &probe->timer);
	probe->timer.data = probe;
	probe->link = net_link_open_tunnel(pool->loop, gateway, &request,
	    &probe_link_ops, probe);
	if (probe->link == NULL)
		probe_end(probe, false);
	else
		uv_timer_start(&probe->timer, on_timeout, TIMEOUT_MS, 0);
}
