/* What daemons tell each other in one datagram. */
#ifndef BL_MESH_NEWS_H
#define BL_MESH_NEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Endpoints in one datagram; 600 of them fill 7 KB. */
#define MESH_LOADS_MAX 600
/* Endpoints to avoid in one datagram. */
#define MESH_AVOID_MAX 64
#define MESH_NAME_MAX 64
/* Largest datagram. */
#define MESH_BYTES 16384
/* Age of a proof that there never was. */
#define MESH_NO_PROOF UINT32_MAX

/**
 * struct mesh_load - one daemon's work at one endpoint.
 * @key: short name of the endpoint
 * @inflight: requests
 * @reading: prompt tokens without a first event yet
 * @heard_ms: how long ago it last sent anything
 */
struct mesh_load {
	uint32_t key;
	uint32_t inflight;
	uint32_t reading;
	uint32_t heard_ms;
};

/**
 * struct mesh_self - what a daemon says of itself.
 * @placer: it holds the placer's lease
 * @leaving: it is about to end
 * @store_ok: the store answers it
 * @serving: it has had requests from callers
 * @term: of the placer's lease that it knows of
 */
struct mesh_self {
	bool placer;
	bool leaving;
	bool store_ok;
	bool serving;
	int64_t term;
};

/**
 * struct mesh_news - one datagram.
 * @name: of the sender
 * @domain: its failure domain
 * @life: drawn at its start
 * @sequence: grows with each datagram
 * @ping: the sender's clock when it sent this
 * @pong: the newest @ping that it had from the receiver
 * @self: what the sender says of itself
 * @config_version: in force there; -1 for none
 * @config_offset: its place in the store
 * @config_age_ms: how old its proof is that this is the newest
 * @loads: its work
 * @n_loads: how many
 * @avoid: endpoints that fell silent there or are being closed
 * @n_avoid: how many
 */
struct mesh_news {
	char name[MESH_NAME_MAX];
	char domain[MESH_NAME_MAX];
	uint64_t life;
	uint64_t sequence;
	uint64_t ping;
	uint64_t pong;
	struct mesh_self self;
	int64_t config_version;
	uint64_t config_offset;
	uint32_t config_age_ms;
	struct mesh_load loads[MESH_LOADS_MAX];
	uint32_t n_loads;
	uint32_t avoid[MESH_AVOID_MAX];
	uint32_t n_avoid;
};

size_t mesh_news_encode(const struct mesh_news *, char *, size_t);
bool mesh_news_decode(struct mesh_news *, char *, size_t);

#endif
