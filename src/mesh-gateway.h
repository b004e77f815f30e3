/* Choice of other daemons as gateways to endpoints. */
#ifndef BL_MESH_GATEWAY_H
#define BL_MESH_GATEWAY_H

#include "mesh.h"

/* Daemons that are considered at a time. */
#define MESH_GATEWAYS_MAX 16

/**
 * struct mesh_gateway - a daemon that is considered as a gateway.
 * @name_hash: hash of its name
 * @recent: tunnels that were recently opened through it; fades
 * @failures: requests in a row that it did not grant
 * @avoid_until_ms: loop time before which it is not chosen
 */
struct mesh_gateway {
	uint32_t name_hash;
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
 */
struct mesh_gateways {
	struct mesh *mesh;
	uint16_t port;
	struct net_tunnels tunnels;
	struct mesh_gateway list[MESH_GATEWAYS_MAX];
	unsigned n;
	uint64_t refreshed_ms;
};

void mesh_gateways_init(struct mesh_gateways *, struct mesh *, uint16_t);

#endif
