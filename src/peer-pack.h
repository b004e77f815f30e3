/* Packs an age, a flag and a load into one number of a message. */
#ifndef BL_PEER_PACK_H
#define BL_PEER_PACK_H

#include <stdbool.h>
#include <stdint.h>

#define PEER_PACK_AGE_MAX 0xffffu
#define PEER_PACK_LOAD_MAX 0x7fffu

/**
 * struct peer_pack - what is packed.
 * @age_ms: 16 bits; older is sent as the oldest
 * @flag: 1 bit
 * @load: 15 bits; more is sent as the most
 */
struct peer_pack {
	uint64_t age_ms;
	bool flag;
	uint32_t load;
};

/**
 * struct peer_host_state - a host's state and the shard that it holds.
 * @state: an enum host_state, 8 bits
 * @shard: rank, -1 for none; 12 bits
 * @shards: how many ranks there are, 12 bits
 */
struct peer_host_state {
	unsigned state;
	int shard;
	int shards;
};

uint32_t peer_pack_host_state(const struct peer_host_state *);
struct peer_host_state peer_unpack_host_state(uint32_t);
uint32_t peer_pack(const struct peer_pack *);
struct peer_pack peer_unpack(uint32_t);

#endif
