/* Choice of other daemons as gateways to endpoints. */
#ifndef BL_MESH_GATEWAY_H
#define BL_MESH_GATEWAY_H

#include "mesh.h"
#include "net-link.h"

/* Daemons that are considered at a time: those that this daemon hears, and
 * those that other gateways named. */
#define MESH_GATEWAYS_HEARD_MAX 16
#define MESH_GATEWAYS_NAMED_MAX 8
#define MESH_GATEWAYS_MAX (MESH_GATEWAYS_HEARD_MAX + MESH_GATEWAYS_NAMED_MAX)

/**
 * struct mesh_gateway - a daemon that is considered as a gateway.
 * @gateway: how to reach it
 * @named_ms: loop time at which another gateway named it; 0 if it is heard
 * @recent: tunnels that were recently opened through it; fades
 * @failures: requests in a row that it did not grant
 * @avoid_until_ms: loop time before which it is not chosen
 */
struct mesh_gateway {
	struct net_gateway gateway;
	uint64_t named_ms;
	double recent;
	unsigned failures;
	uint64_t avoid_until_ms;
};

/**
 * struct mesh_gateways - the daemons that are considered.
 * @mesh: the other daemons
 * @port: port at which all daemons accept tunnels
 * @tunnels: passed to the pools of endpoints
 * @list: the daemons
 * @n: number of these
 * @refreshed_ms: loop time at which they were last chosen; 0 for never
 * @asked_ms: loop time at which one was last asked to name others
 * @asking: the request for that, or NULL
 * @names: its response, as far as it was read
 * @n_names: bytes of it that were read
 */
struct mesh_gateways {
	struct mesh *mesh;
	uint16_t port;
	struct net_tunnels tunnels;
	struct mesh_gateway list[MESH_GATEWAYS_MAX];
	unsigned n;
	uint64_t refreshed_ms;
	uint64_t asked_ms;
	struct net_link *asking;
	char names[TUNNEL_LIST_BYTES];
	size_t n_names;
};

void mesh_gateways_init(struct mesh_gateways *, struct mesh *, uint16_t);
bool mesh_gateway_eligible(const struct mesh *, const struct mesh_peer *,
    uint64_t);
struct tunnel_gateway mesh_gateway_of(const struct mesh_peer *);
void mesh_gateway_set(const struct mesh_gateways *, struct mesh_gateway *,
    const struct tunnel_gateway *);
struct mesh_gateway *mesh_gateway_find(struct mesh_gateways *, uint32_t);

/* mesh-gateway-names.c: gateways that other gateways name. */
void mesh_gateways_ask(struct mesh_gateways *, uint64_t);
unsigned mesh_gateways_list(const struct mesh *,
    struct tunnel_gateway[TUNNEL_LIST_MAX]);

#endif
