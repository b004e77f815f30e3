/* Choice of other daemons as gateways to endpoints. */
#include <arpa/inet.h>
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "mesh-gateway.h"
#include "random-sample.h"
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

/* How long a gateway that another one named is considered, and how many
 * failures in a row it may have. */
#define NAMED_MS 30000
#define NAMED_FAILURES_MAX 3

/**
 * mesh_gateway_eligible() - whether a daemon that was heard can be a gateway.
 * @mesh: the mesh
 * @peer: the daemon
 * @now_ms: loop time
 */
bool
mesh_gateway_eligible(const struct mesh *mesh, const struct mesh_peer *peer,
    uint64_t now_ms)
{
	return (peer->heard_ms != 0 && peer->incarnation != 0 &&
	    now_ms - MIN(peer->heard_ms, now_ms) < MESH_PEER_TIMEOUT_MS &&
	    !peer->self.draining);
}

/**
 * mesh_gateway_find() - find a daemon that is considered.
 * @g: the daemons that are considered
 * @name_hash: hash of its name
 */
struct mesh_gateway *
mesh_gateway_find(struct mesh_gateways *g, uint32_t name_hash)
{
	for (unsigned i = 0; i < g->n; i++) {
		if (g->list[i].gateway.name_hash == name_hash)
			return (&g->list[i]);
	}
	return (NULL);
}

/**
 * mesh_gateway_of() - how a daemon is named as a gateway.
 * @peer: the daemon
 */
struct tunnel_gateway
mesh_gateway_of(const struct mesh_peer *peer)
{
	const struct tunnel_gateway named = { .addr = peer->addr,
		.incarnation = peer->incarnation,
		.name_hash = peer->name_hash };

	return (named);
}

/**
 * mesh_gateway_set() - fill in how a gateway is reached.
 * @g: the daemons that are considered
 * @gateway: the gateway
 * @named: its address, incarnation and name
 */
void
mesh_gateway_set(const struct mesh_gateways *g, struct mesh_gateway *gateway,
    const struct tunnel_gateway *named)
{
	gateway->gateway.addr = named->addr;
	gateway->gateway.addr.sin_port = htons(g->port);
	gateway->gateway.incarnation = named->incarnation;
	gateway->gateway.name_hash = named->name_hash;
	gateway->gateway.requester = g->mesh->name_hash;
}

/* Considers a daemon that was heard; keeps what is known of it. */
static void
gateway_set_heard(struct mesh_gateways *g, const struct mesh_peer *peer,
    struct mesh_gateway *out)
{
	const struct mesh_gateway *known =
	    mesh_gateway_find(g, peer->name_hash);
	const struct tunnel_gateway named = mesh_gateway_of(peer);

	memset(out, 0, sizeof *out);
	if (known != NULL)
		*out = *known;
	out->named_ms = 0;
	out->recent *= RECENT_KEPT;
	mesh_gateway_set(g, out, &named);
}

/* Chooses among the daemons that are heard: all eligible ones, or random ones
 * if there are too many. Returns their number. */
static unsigned
gateways_choose_heard(struct mesh_gateways *g, struct mesh_gateway *out,
    uint64_t now_ms)
{
	struct random_sample sample = { .max = MESH_GATEWAYS_HEARD_MAX };
	const struct mesh_peer *peer;

	TAILQ_FOREACH(peer, &g->mesh->peers, entry) {
		unsigned at;

		if (!mesh_gateway_eligible(g->mesh, peer, now_ms))
			continue;
		at = random_sample_place(&sample);
		if (at < sample.max)
			gateway_set_heard(g, peer, &out[at]);
	}
	return (sample.n);
}

/* Whether a gateway that another one named is considered further. */
static bool
named_is_kept(const struct mesh_gateway *gateway, uint64_t now_ms)
{
	return (gateway->named_ms != 0 &&
	    now_ms - gateway->named_ms < NAMED_MS &&
	    gateway->failures <= NAMED_FAILURES_MAX);
}

/* Chooses anew which daemons are considered. */
static void
gateways_refresh(struct mesh_gateways *g, uint64_t now_ms)
{
	struct mesh_gateway next[MESH_GATEWAYS_MAX] = { 0 };
	unsigned n = gateways_choose_heard(g, next, now_ms);
	unsigned n_heard = n;

	for (unsigned i = 0; i < g->n && n < MESH_GATEWAYS_MAX; i++) {
		bool heard = false;

		for (unsigned k = 0; k < n_heard; k++)
			heard |= next[k].gateway.name_hash ==
			    g->list[i].gateway.name_hash;
		if (heard || !named_is_kept(&g->list[i], now_ms))
			continue;
		next[n] = g->list[i];
		next[n++].recent *= RECENT_KEPT;
	}
	memcpy(g->list, next, n * sizeof *next);
	g->n = n;
	g->refreshed_ms = now_ms;
}

/* Cost of a daemon as a gateway: its recent tunnels and how far it is. */
static double
gateway_cost(const struct mesh *mesh, const struct mesh_gateway *gateway)
{
	const struct mesh_peer *peer =
	    mesh_find_by_hash(mesh, gateway->gateway.name_hash);
	bool local = peer != NULL && strcmp(peer->domain, mesh->domain) == 0;

	return (gateway->recent + (local ? 0 : FOREIGN_TUNNELS));
}

/* Whether a daemon may be chosen. */
static bool
gateway_allowed(const struct mesh_gateways *g,
    const struct mesh_gateway *gateway, uint64_t now_ms)
{
	const struct mesh_peer *peer =
	    mesh_find_by_hash(g->mesh, gateway->gateway.name_hash);

	if (now_ms < gateway->avoid_until_ms)
		return (false);
	return (gateway->named_ms != 0 ||
	    (peer != NULL && mesh_gateway_eligible(g->mesh, peer, now_ms)));
}

/* Draws a daemon that may be chosen, from a random one on. */
static struct mesh_gateway *
gateway_draw(struct mesh_gateways *g, uint64_t now_ms)
{
	unsigned first = g->n > 0 ? random_below(g->n) : 0;

	for (unsigned i = 0; i < g->n; i++) {
		struct mesh_gateway *gateway = &g->list[(first + i) % g->n];

		if (gateway_allowed(g, gateway, now_ms))
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

	if (g->refreshed_ms == 0 || now - g->refreshed_ms >= REFRESH_MS)
		gateways_refresh(g, now);
	mesh_gateways_ask(g, now);
	one = gateway_draw(g, now);
	two = gateway_draw(g, now);
	if (one == NULL)
		return (false);
	if (gateway_cost(g->mesh, two) < gateway_cost(g->mesh, one))
		one = two;
	one->recent++;
	*out = one->gateway;
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
	struct mesh_gateway *gateway = mesh_gateway_find(g, out->name_hash);

	/* A gateway that an endpoint refuses or declines may reach others. */
	if (gateway == NULL || result == TUNNEL_DECLINED ||
	    result == TUNNEL_REFUSED)
		return;
	if (result == TUNNEL_OPEN) {
		gateway->failures = 0;
		return;
	}
	gateway->avoid_until_ms = clock_loop_ms(g->mesh->loop) +
	    (AVOID_MIN_MS << MIN(gateway->failures, AVOID_DOUBLINGS));
	gateway->failures++;
	/* It has been restarted or is gone. */
	if (gateway->named_ms != 0 && result == TUNNEL_NO_REPLY)
		gateway->failures = NAMED_FAILURES_MAX + 1;
	log_debug("tunnel_not_opened", "gateway=%s result=%s failures=%u",
	    gateway_name(g, out), tunnel_result_name(result),
	    gateway->failures);
}

/* Of a gateway that isn't heard, only its tunnels themselves tell. */
static bool
gateway_usable(void *arg, const struct net_gateway *out)
{
	const struct mesh_gateways *g = arg;
	const struct mesh_peer *peer =
	    mesh_find_by_hash(g->mesh, out->name_hash);

	if (peer == NULL || peer->heard_ms == 0)
		return (true);
	return (peer->incarnation == out->incarnation &&
	    mesh_gateway_eligible(g->mesh, peer, clock_loop_ms(g->mesh->loop)));
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
