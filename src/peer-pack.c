/* Packs an age, a flag and a load into one number of a message. */
#include <glib.h>

#include "peer-pack.h"

#define FLAG_SHIFT 16
#define LOAD_SHIFT 17
#define STATE_MASK 0xffu
#define HELD_MASK 0xfffu
#define SHARD_SHIFT 8
#define SHARDS_SHIFT 20

/**
 * peer_pack_host_state() - pack.
 * @h: what is packed
 */
uint32_t
peer_pack_host_state(const struct peer_host_state *h)
{
	uint32_t shard = (uint32_t)(h->shard + 1) & HELD_MASK;
	uint32_t shards = (uint32_t)h->shards & HELD_MASK;

	return ((h->state & STATE_MASK) | shard << SHARD_SHIFT |
	    shards << SHARDS_SHIFT);
}

/**
 * peer_unpack_host_state() - the reverse.
 * @word: what peer_pack_host_state() gave
 */
struct peer_host_state
peer_unpack_host_state(uint32_t word)
{
	struct peer_host_state h = {
		.state = word & STATE_MASK,
		.shard = (int)(word >> SHARD_SHIFT & HELD_MASK) - 1,
		.shards = (int)(word >> SHARDS_SHIFT & HELD_MASK),
	};

	return (h);
}

/**
 * peer_pack() - pack.
 * @p: what is packed
 */
uint32_t
peer_pack(const struct peer_pack *p)
{
	uint32_t age = (uint32_t)MIN(p->age_ms, PEER_PACK_AGE_MAX);
	uint32_t load = MIN(p->load, PEER_PACK_LOAD_MAX);

	return (age | (uint32_t)p->flag << FLAG_SHIFT | load << LOAD_SHIFT);
}

/**
 * peer_unpack() - the reverse.
 * @word: what peer_pack() gave
 */
struct peer_pack
peer_unpack(uint32_t word)
{
	struct peer_pack p = {
		.age_ms = word & PEER_PACK_AGE_MAX,
		.flag = (word >> FLAG_SHIFT & 1) != 0,
		.load = word >> LOAD_SHIFT,
	};

	return (p);
}
