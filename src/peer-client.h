/* Calls to other daemons over ONC RPC. */
#ifndef BL_PEER_CLIENT_H
#define BL_PEER_CLIENT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "peer_rpc.h"

struct server;

bool peer_pull(struct server *, uint32_t, uint16_t);
bool peer_pull_hosts(struct server *, uint32_t, uint16_t);
json_t *peer_fetch_state(struct server *, uint64_t);
bool peer_claim(uint32_t, uint16_t, struct claim_request *,
    struct claim_answer *, unsigned);
void peer_send_decision(uint32_t, uint16_t, struct claim_decision *);

#endif
