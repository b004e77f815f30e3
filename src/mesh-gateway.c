/* Choice of other daemons as gateways to endpoints. */
#include <arpa/inet.h>
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "mesh-gateway.h"
#include "random.h"

/* Interval at which the daemons that are considered are chosen anew. */
#define REFRESH_MS 1000
/* How long a daemon that did not open a tunnel is avoided: this, doubled with
 * each failure, up to that. */
#define AVOID_MIN_MS 50
#define AVOID_DOUBLINGS 5
/* Part of the recent tunnels that counts after a refresh. */
#define RECENT_KEPT 0.5
/* A daemon of another failure domain counts as if it had this many more recent
 * tunnels. */
#define FOREIGN_TUNNELS 2

/* Whether a daemon can be a gateway at all. */
static bool
peer_eligible(const struct mesh *mesh, const struct mesh_peer *peer,
    uint64_t now_ms)
{
	return (peer->heard_ms != 0 && peer->incarnation != 0 &&
	    now_ms - MIN(peer->heard_ms, now_ms) < MESH_PEER_TIMEOUT_MS &&
	    !peer->self.draining);
}

static struct mesh_gateway *
gateway_find(struct mesh_gateways *g, uint32_t name_hash)
{
	for (unsigned i = 0; i < g->n; i++) {
		if (g->list[i].name_hash == name_hash)
			return (&g->list[i]);
	}
	return (NULL);
}

/* Chooses which daemons are considered: all eligible ones, or random ones if
 * there are too many. */
static void
gateways_refresh(struct mesh_gateways *g, uint64_t now_ms)
{
	struct mesh_gateway next[MESH_GATEWAYS_MAX];
	const struct mesh_peer *peer;
	unsigned n = 0, seen = 0;

	memset(next, 0, sizeof next);
	TAILQ_FOREACH(peer, &g->mesh->peers, entry) {
		const struct mesh_gateway *known;
		unsigned at = n;

		if (!peer_eligible(g->mesh, peer, now_ms))
			continue;
		seen++;
		if (n < MESH_GATEWAYS_MAX)
			n++;
		else
			at = random_below(seen);
		if (at >= MESH_GATEWAYS_MAX)
			continue;
		known = gateway_find(g, peer->name_hash);
		memset(&next[at], 0, sizeof next[at]);
		if (known != NULL)
			next[at] = *known;
		next[at].name_hash = peer->name_hash;
		next[at].recent *= RECENT_KEPT;
	}
	memcpy(g->list, next, sizeof next);
	g->n = n;
	g->refreshed_ms = now_ms;
}

/* Cost of a daemon as a gateway: its recent tunnels and how far it is. */
static double
gateway_cost(const struct mesh *mesh, const struct mesh_gateway *gateway,
    const struct mesh_peer *peer)
{
	return (gateway->recent +
	    (strcmp(peer->domain, mesh->domain) == 0 ? 0 : FOREIGN_TUNNELS));
}

/* Draws a daemon that may be chosen, from a random one on. */
static struct mesh_gateway *
gateway_draw(struct mesh_gateways *g, uint64_t now_ms)
{
	unsigned first = g->n > 0 ? random_below(g->n) : 0;

	for (unsigned i = 0; i < g->n; i++) {
		struct mesh_gateway *gateway = &g->list[(first + i) % g->n];
		const struct mesh_peer *peer =
		    mesh_find_by_hash(g->mesh, gateway->name_hash);

		if (now_ms >= gateway->avoid_until_ms && peer != NULL &&
		    peer_eligible(g->mesh, peer, now_ms))
			return (gateway);
	}
	return (NULL);
}

/* Chooses the better one of two random daemons. */
static bool
gateway_choose(void *arg, struct net_gateway *out)
{
	struct mesh_gateways *g = arg;
	uint64_t now = clock_loop_ms(g->mesh->loop);
	struct mesh_gateway *one, *two;
	const struct mesh_peer *peer, *other;

	if (g->refreshed_ms == 0 || now - g->refreshed_ms >= REFRESH_MS)
		gateways_refresh(g, now);
	one = gateway_draw(g, now);
	two = gateway_draw(g, now);
	if (one == NULL || two == NULL)
		return (false);
	peer = mesh_find_by_hash(g->mesh, one->name_hash);
	other = mesh_find_by_hash(g->mesh, two->name_hash);
	if (gateway_cost(g->mesh, two, other) <
	    gateway_cost(g->mesh, one, peer)) {
		one = two;
		peer = other;
	}
	one->recent++;
	out->addr = peer->addr;
	out->addr.sin_port = htons(g->port);
	out->incarnation = peer->incarnation;
	out->name_hash = peer->name_hash;
	out->requester = g->mesh->name_hash;
	return (true);
}

static const char *
gateway_name(void *arg, const struct net_gateway *gateway)
{
	const struct mesh_gateways *g = arg;
	const struct mesh_peer *peer =
	    mesh_find_by_hash(g->mesh, gateway->name_hash);

	return (peer != NULL ? peer->name : "-");
}

static void
gateway_report(void *arg, const struct net_gateway *out,
    enum tunnel_result result)
{
	struct mesh_gateways *g = arg;
	struct mesh_gateway *gateway = gateway_find(g, out->name_hash);

	/* A gateway that an endpoint declines may reach others. */
	if (gateway == NULL || result == TUNNEL_DECLINED)
		return;
	if (result == TUNNEL_OPEN) {
		gateway->failures = 0;
		return;
	}
	gateway->avoid_until_ms = clock_loop_ms(g->mesh->loop) +
	    (AVOID_MIN_MS << MIN(gateway->failures, AVOID_DOUBLINGS));
	gateway->failures++;
	log_debug("tunnel_not_opened", "gateway=%s result=%s failures=%u",
	    gateway_name(g, out), tunnel_result_name(result),
	    gateway->failures);
}

static bool
gateway_usable(void *arg, const struct net_gateway *out)
{
	const struct mesh_gateways *g = arg;
	const struct mesh_peer *peer =
	    mesh_find_by_hash(g->mesh, out->name_hash);

	return (peer != NULL && peer->incarnation == out->incarnation &&
	    peer_eligible(g->mesh, peer, clock_loop_ms(g->mesh->loop)));
}

static const struct net_gateway_ops gateway_ops = {
	.choose = gateway_choose,
	.report = gateway_report,
	.usable = gateway_usable,
	.name = gateway_name,
};

/**
 * mesh_gateways_init() - initialize the choice of gateways.
 * @g: zeroed
 * @mesh: the other daemons
 * @port: port at which all daemons accept tunnels
 */
void
mesh_gateways_init(struct mesh_gateways *g, struct mesh *mesh, uint16_t port)
{
	g->mesh = mesh;
	g->port = port;
	g->tunnels.ops = &gateway_ops;
	g->tunnels.arg = g;
}
