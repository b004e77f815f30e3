/* Reaching a peer, directly or through a gateway. */
#include <glib.h>

#include "clock.h"
#include "net-dial.h"

/* Interval at which the time that links take is checked. */
#define TICK_MS 15
/* A tunnel is started if the direct link takes this long: several round trips
 * between failure domains. */
#define TUNNEL_DELAY_MS 30
/* If the direct link takes this long and a tunnel does not, the direct path is
 * lost. */
#define DIRECT_TIMEOUT_MS 150
/* A gateway that takes this long is given up for another: it may take as long
 * itself to find the peer unreachable. */
#define TUNNEL_TIMEOUT_MS 250
/* Gateways that are tried for one connection. */
#define GATEWAYS_MAX 5

static const struct net_link_ops dial_link_ops;

static uint64_t
dial_now(const struct net_dial *dial)
{
	return (clock_loop_ms(dial->target.loop));
}

static void
on_timer_closed(uv_handle_t *handle)
{
	struct net_dial *dial = handle->data;

	(*dial->target.n_open)--;
	g_free(dial);
}

/* Frees a dial that has no link any more. */
static void
dial_free(struct net_dial *dial)
{
	dial->ops = NULL;
	uv_close((uv_handle_t *)&dial->timer, on_timer_closed);
}

/* Closes the links that are not established. */
static void
dial_close_links(struct net_dial *dial)
{
	if (dial->direct != NULL)
		net_link_close(dial->direct);
	if (dial->tunnel != NULL)
		net_link_close(dial->tunnel);
	dial->direct = NULL;
	dial->tunnel = NULL;
}

/* Passes an established link to the owner. */
static void
dial_deliver(struct net_dial *dial, struct net_link *link)
{
	const struct net_dial_ops *ops = dial->ops;

	dial->ops = NULL;
	ops->connected(dial->owner, link);
}

/* Tells the owner that the peer was not reached. */
static void
dial_fail(struct net_dial *dial)
{
	const struct net_dial_ops *ops = dial->ops;
	void *owner = dial->owner;

	dial_free(dial);
	if (ops != NULL)
		ops->failed(owner);
}

/* Starts the direct link. Returns whether it was started. */
static bool
dial_start_direct(struct net_dial *dial)
{
	const struct net_dial_target *target = &dial->target;

	target->path->probed_ms = dial_now(dial);
	dial->direct = net_link_open(target->loop, &target->addr,
	    &target->source, &dial_link_ops, dial);
	dial->refused = dial->direct == NULL;
	return (dial->direct != NULL);
}

/* Starts a link through the next gateway. Returns whether there is one. */
static bool
dial_start_tunnel(struct net_dial *dial)
{
	struct net_tunnels *tunnels = dial->target.tunnels;
	const struct tunnel_request request = { .kind = TUNNEL_CONNECT,
		.peer = dial->target.addr };
	struct net_gateway gateway;

	if (tunnels == NULL || dial->target.direct_only)
		return (false);
	while (dial->n_tunnels < GATEWAYS_MAX &&
	    tunnels->ops->choose(tunnels->arg, &gateway)) {
		dial->n_tunnels++;
		dial->tunnel = net_link_open_tunnel(dial->target.loop, &gateway,
		    &request, &dial_link_ops, dial);
		if (dial->tunnel != NULL)
			return (true);
		tunnels->ops->report(tunnels->arg, &gateway, TUNNEL_NO_REPLY);
	}
	return (false);
}

/* The peer was reached by a tunnel but not directly. */
static void
dial_lose_path(struct net_dial *dial, const char *evidence)
{
	net_path_lost(dial->target.path, dial->target.tunnels,
	    &dial->target.addr, evidence, dial_now(dial));
}

static void
direct_established(struct net_dial *dial)
{
	struct net_link *link = dial->direct;

	dial->direct = NULL;
	net_path_heard(dial->target.path, dial->target.tunnels,
	    &dial->target.addr, dial_now(dial));
	dial_close_links(dial);
	if (dial->delivered)
		net_link_close(link);
	else
		dial_deliver(dial, link);
	dial_free(dial);
}

static void
tunnel_established(struct net_dial *dial)
{
	struct net_tunnels *tunnels = dial->target.tunnels;
	struct net_link *link = dial->tunnel;

	dial->tunnel = NULL;
	dial->delivered = true;
	tunnels->n_opened++;
	tunnels->ops->report(tunnels->arg, &link->gateway, TUNNEL_OPEN);
	if (dial->refused)
		dial_lose_path(dial, "refused");
	dial_deliver(dial, link);
	if (dial->direct == NULL)
		dial_free(dial);
}

static void
on_established(struct net_link *link)
{
	struct net_dial *dial = link->owner;

	if (link == dial->direct)
		direct_established(dial);
	else
		tunnel_established(dial);
}

static void
direct_failed(struct net_dial *dial)
{
	dial->direct = NULL;
	dial->refused = true;
	if (dial->delivered) {
		dial_lose_path(dial, "refused");
		dial_free(dial);
		return;
	}
	if (dial->tunnel == NULL && !dial_start_tunnel(dial))
		dial_fail(dial);
}

static void
tunnel_failed(struct net_dial *dial, const struct net_gateway *gateway,
    enum tunnel_result result)
{
	struct net_tunnels *tunnels = dial->target.tunnels;

	dial->tunnel = NULL;
	tunnels->ops->report(tunnels->arg, gateway, result);
	if (result == TUNNEL_REFUSED && dial->refused) {
		dial_fail(dial);
		return;
	}
	if (dial_start_tunnel(dial) || dial->direct != NULL)
		return;
	/* A lost path that was not probed now is better than none. */
	if (dial->refused || !dial_start_direct(dial))
		dial_fail(dial);
}

static void
on_failed(struct net_link *link, enum tunnel_result result)
{
	struct net_dial *dial = link->owner;

	if (link == dial->direct)
		direct_failed(dial);
	else
		tunnel_failed(dial, &link->gateway, result);
}

static const struct net_link_ops dial_link_ops = {
	.established = on_established,
	.failed = on_failed,
};

/* Leaves out the time for which this process was stopped: what arrived
 * meanwhile is read after the timers have run. */
static void
dial_skip_pause(struct net_dial *dial, uint64_t now)
{
	uint64_t late = now - MIN(dial->ticked_ms + TICK_MS, now);

	dial->ticked_ms = now;
	if (late <= TICK_MS)
		return;
	dial->started_ms += late;
	if (dial->tunnel != NULL)
		dial->tunnel->started_ms =
		    MIN(dial->tunnel->started_ms + late, now);
}

static void
on_tick(uv_timer_t *timer)
{
	struct net_dial *dial = timer->data;
	uint64_t now = dial_now(dial);
	uint64_t elapsed;

	dial_skip_pause(dial, now);
	elapsed = now - MIN(dial->started_ms, now);
	if (dial->delivered && elapsed >= DIRECT_TIMEOUT_MS) {
		dial_lose_path(dial, "timeout");
		dial_close_links(dial);
		dial_free(dial);
		return;
	}
	if (dial->target.direct_only && elapsed >= DIRECT_TIMEOUT_MS) {
		dial_close_links(dial);
		dial_fail(dial);
		return;
	}
	if (dial->delivered)
		return;
	if (dial->n_tunnels == 0 && elapsed >= TUNNEL_DELAY_MS) {
		dial_start_tunnel(dial);
	} else if (dial->tunnel != NULL &&
	    now - dial->tunnel->started_ms >= TUNNEL_TIMEOUT_MS) {
		const struct net_gateway gateway = dial->tunnel->gateway;

		net_link_close(dial->tunnel);
		tunnel_failed(dial, &gateway, TUNNEL_NO_REPLY);
	}
}

/* Starts the links that the state of the path calls for. Returns whether any
 * was started. */
static bool
dial_start_links(struct net_dial *dial)
{
	const struct net_dial_target *target = &dial->target;
	enum net_path_state state = NET_PATH_DIRECT;
	bool started = false;

	if (target->tunnels != NULL)
		state = net_path_state(target->path, target->tunnels);
	if (state != NET_PATH_DIRECT)
		started = dial_start_tunnel(dial);
	if (!started || state != NET_PATH_LOST ||
	    net_path_probe_due(target->path, dial_now(dial)))
		started = dial_start_direct(dial) || started;
	return (started);
}

/**
 * net_dial_start() - start to reach a peer.
 * @target: the peer
 * @ops: the owner's callbacks, none of which is called within this function
 * @owner: passed to the callbacks
 *
 * Return: the dial, or NULL if the system refuses a connection.
 */
struct net_dial *
net_dial_start(const struct net_dial_target *target,
    const struct net_dial_ops *ops, void *owner)
{
	struct net_dial *dial = g_new0(struct net_dial, 1);

	dial->target = *target;
	dial->ops = ops;
	dial->owner = owner;
	dial->started_ms = clock_loop_ms(target->loop);
	dial->ticked_ms = dial->started_ms;
	uv_timer_init(target->loop, &dial->timer);
	dial->timer.data = dial;
	(*target->n_open)++;
	if (!dial_start_links(dial)) {
		dial_free(dial);
		return (NULL);
	}
	if (target->tunnels != NULL)
		uv_timer_start(&dial->timer, on_tick, TICK_MS, TICK_MS);
	return (dial);
}

/**
 * net_dial_cancel() - give up a dial that has not delivered a link.
 * @dial: the dial; none of the owner's callbacks is called after this
 */
void
net_dial_cancel(struct net_dial *dial)
{
	dial_close_links(dial);
	dial_free(dial);
}
