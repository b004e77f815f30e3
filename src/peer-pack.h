/* Packs fields of gossip messages into 32-bit words. */
#ifndef BL_PEER_PACK_H
#define BL_PEER_PACK_H

#include <stdbool.h>
#include <stdint.h>

/* Largest values that the fields hold; the age in ms. */
#define PEER_PACK_AGE_MAX 0xffffu
#define PEER_PACK_LOAD_MAX 0x7fffu

/**
 * struct peer_pack - age, flag and load, packed into one word.
 * @age_ms: 16 bits; saturates at PEER_PACK_AGE_MAX
 * @flag: 1 bit; its meaning depends on the message
 * @load: 15 bits; saturates at PEER_PACK_LOAD_MAX
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
 * @shards: number of ranks, 12 bits
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
