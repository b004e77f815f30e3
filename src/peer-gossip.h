/* Gossip messages: members, targets and hosts, each with its age. */
#ifndef BL_PEER_GOSSIP_H
#define BL_PEER_GOSSIP_H

#include <stdbool.h>
#include <stdint.h>

#include "peer_rpc.h"

struct server;

void peer_gossip_fill_self(struct server *, struct peer_member *);
void peer_gossip_introduce(struct server *, const struct peer_member *);
void peer_gossip_fill(struct server *, struct pull_reply *);
void peer_gossip_fill_hosts(struct server *, struct hosts_reply *);
void peer_gossip_apply_hosts(struct server *, const struct hosts_reply *,
    uint64_t);
void peer_gossip_apply(struct server *, const struct pull_reply *, uint64_t);

#endif
