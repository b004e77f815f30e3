/* A probe whether a gateway still reaches a peer. */
#ifndef BL_NET_PROBE_H
#define BL_NET_PROBE_H

#include "net-link.h"

struct net_pool;

void net_probe_gateway(struct net_pool *, const struct net_gateway *);

#endif
