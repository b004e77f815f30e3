/* Gateways that other gateways name: in a large fleet a daemon hears few others
 * itself, which may all be cut off from the endpoints as well. */
#include <arpa/inet.h>
#include <string.h>

#include "clock.h"
#include "mesh-gateway.h"
#include "random-sample.h"
#include "random.h"

/* Pause between two requests for names while gateways are wanted. */
#define ASK_PAUSE_MS 200
/* With this many named gateways that fail no requests, none is asked. */
#define NAMED_ENOUGH 4
/* Relays of other cells in a list. */
#define LIST_RELAYS_MAX 4

/* Number of named gateways that fail no requests. */
static unsigned
count_named(const struct mesh_gateways *g)
{
	unsigned n = 0;

	for (unsigned i = 0; i < g->n; i++)
		n += g->list[i].named_ms != 0 && g->list[i].failures == 0;
	return (n);
}

/* Returns where to put a named gateway: at a free place, or instead of the one
 * that failed most. */
static struct mesh_gateway *
named_place(struct mesh_gateways *g)
{
	struct mesh_gateway *worst = NULL;
	unsigned n = 0;

	for (unsigned i = 0; i < g->n; i++) {
		struct mesh_gateway *gateway = &g->list[i];

		if (gateway->named_ms == 0)
			continue;
		n++;
		if (worst == NULL || gateway->failures > worst->failures)
			worst = gateway;
	}
	if (n < MESH_GATEWAYS_NAMED_MAX && g->n < MESH_GATEWAYS_MAX)
		return (&g->list[g->n++]);
	return (worst != NULL && worst->failures > 0 ? worst : NULL);
}

/* Considers a gateway that another one named. */
static void
named_add(struct mesh_gateways *g, const struct tunnel_gateway *named)
{
	struct mesh_gateway *place;

	if (named->name_hash == g->mesh->name_hash ||
	    mesh_gateway_find(g, named->name_hash) != NULL)
		return;
	place = named_place(g);
	if (place == NULL)
		return;
	memset(place, 0, sizeof *place);
	place->named_ms = clock_loop_ms(g->mesh->loop);
	mesh_gateway_set(g, place, named);
}

static void
on_failed(struct net_link *link, enum tunnel_result result)
{
	struct mesh_gateways *g = link->owner;

	g->asking = NULL;
}

static void
on_readable(struct net_link *link, const char *at, size_t length)
{
	struct mesh_gateways *g = link->owner;
	size_t n = MIN(length, sizeof g->names - g->n_names);

	memcpy(g->names + g->n_names, at, n);
	g->n_names += n;
}

static void
on_ended(struct net_link *link, bool clean)
{
	struct mesh_gateways *g = link->owner;
	struct tunnel_gateway list[TUNNEL_LIST_MAX];
	unsigned n = 0;

	g->asking = NULL;
	net_link_close(link);
	if (clean)
		n = tunnel_list_decode(list, g->names, g->n_names);
	for (unsigned i = 0; i < n; i++)
		named_add(g, &list[i]);
}

static const struct net_link_ops ask_ops = {
	.failed = on_failed,
	.readable = on_readable,
	.ended = on_ended,
};

/**
 * mesh_gateways_ask() - ask a gateway to name others, if this daemon is in a
 *	cell and knows too few.
 * @g: the gateways
 * @now_ms: loop time
 */
void
mesh_gateways_ask(struct mesh_gateways *g, uint64_t now_ms)
{
	const struct tunnel_request request = { .kind = TUNNEL_LIST };

	if (g->n == 0 || mesh_flat(g->mesh) ||
	    now_ms - MIN(g->asked_ms, now_ms) < ASK_PAUSE_MS ||
	    count_named(g) >= NAMED_ENOUGH)
		return;
	if (g->asking != NULL)
		net_link_close(g->asking);
	g->asked_ms = now_ms;
	g->n_names = 0;
	g->asking = net_link_open_tunnel(g->mesh->loop,
	    &g->list[random_below(g->n)].gateway, &request, &ask_ops, g);
}

/* Adds a daemon to a list, or puts it in the place of another one. */
static void
list_add(struct tunnel_gateway *list, struct random_sample *sample,
    const struct mesh_peer *peer)
{
	unsigned at = random_sample_place(sample);

	if (at < sample->max)
		list[at] = mesh_gateway_of(peer);
}

/**
 * mesh_gateways_list() - name gateways to another daemon: relays of other
 *	cells, which are not cut off with this one, and members of this cell.
 * @mesh: the mesh
 * @list: filled in with random ones
 *
 * Return: their number.
 */
unsigned
mesh_gateways_list(const struct mesh *mesh,
    struct tunnel_gateway list[TUNNEL_LIST_MAX])
{
	uint64_t now = clock_loop_ms(mesh->loop);
	struct tunnel_gateway members[TUNNEL_LIST_MAX];
	struct random_sample relays = { .max = LIST_RELAYS_MAX };
	struct random_sample in_cell = { .max = TUNNEL_LIST_MAX };
	const struct mesh_peer *peer;
	unsigned n;

	TAILQ_FOREACH(peer, &mesh->peers, entry) {
		if (!mesh_gateway_eligible(mesh, peer, now))
			continue;
		if (mesh_peer_in_cell(mesh, peer))
			list_add(members, &in_cell, peer);
		else
			list_add(list, &relays, peer);
	}
	n = relays.n;
	for (unsigned i = 0; i < in_cell.n && n < TUNNEL_LIST_MAX; i++)
		list[n++] = members[i];
	return (n);
}
