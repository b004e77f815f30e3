/* The other daemons: who lives, what they do, what they know. */
#ifndef BL_MESH_H
#define BL_MESH_H

#include "dir.h"
#include "mesh-news.h"

/* Silence after which a peer that tells in each round counts as dead. */
#define MESH_PEER_DEAD_MS 1500

/**
 * struct mesh_peer - another daemon.
 * @name: its name
 * @domain: its failure domain
 * @addr: where it listens
 * @life: of its current run
 * @sequence: of its newest datagram
 * @ping: of its newest datagram
 * @heard_ms: loop time of that; 0 for never
 * @met_ms: when this daemon first knew of it
 * @self: what it says of itself
 * @config_version: in force there
 * @config_offset: its place in the store
 * @config_proof_ms: loop time as of which it was the newest; 0 for unknown
 * @loads: of struct mesh_load, as they are counted in the fleet
 * @pool: connections to it
 * @entry: in the mesh
 */
struct mesh_peer {
	char *name;
	char *domain;
	struct sockaddr_in addr;
	uint64_t life;
	uint64_t sequence;
	uint64_t ping;
	uint64_t heard_ms;
	uint64_t met_ms;
	struct mesh_self self;
	int64_t config_version;
	uint64_t config_offset;
	uint64_t config_proof_ms;
	GArray *loads;
	struct net_pool pool;
	TAILQ_ENTRY(mesh_peer) entry;
};

TAILQ_HEAD(mesh_peer_list, mesh_peer);

/**
 * struct mesh - all of them.
 * @loop: the event loop
 * @dir: what is known of the deployment
 * @name: of this daemon
 * @domain: its failure domain
 * @addr: where it listens
 * @life: drawn at its start
 * @sequence: of its newest datagram
 * @udp: socket
 * @timer: when to tell
 * @peers: the others
 * @n_peers: how many
 * @self: what this daemon says of itself
 * @round: rounds of telling so far
 * @told_from: the last datagrams of entries told of records from here
 * @told: these records, told once more with the next
 * @fetching: a configuration is being fetched from a peer
 * @fetched_version: the one that it had when it was asked
 * @fetched_offset: its place in the store
 * @fetched_proof_ms: loop time as of which it was the newest; 0 for unknown
 * @newest: newest version of the configuration that any peer had
 * @behind_ms: since when that is newer than the own one; 0 while it is not
 * @avoided: told when a peer says that an endpoint is to be avoided
 * @avoided_arg: for @avoided
 */
struct mesh {
	uv_loop_t *loop;
	struct dir *dir;
	const char *name;
	const char *domain;
	struct sockaddr_in addr;
	uint64_t life;
	uint64_t sequence;
	uv_udp_t udp;
	uv_timer_t timer;
	struct mesh_peer_list peers;
	unsigned n_peers;
	struct mesh_self self;
	uint64_t round;
	uint64_t told_from;
	GArray *told;
	bool fetching;
	int64_t fetched_version;
	uint64_t fetched_offset;
	uint64_t fetched_proof_ms;
	int64_t newest;
	uint64_t behind_ms;
	void (*avoided)(void *, struct endpoint *);
	void *avoided_arg;
};

int mesh_open(struct mesh *, uv_loop_t *, const struct sockaddr_in *);
void mesh_add(struct mesh *, const char *, const char *,
    const struct sockaddr_in *);
void mesh_tell_now(struct mesh *);

/* mesh-relay.c: telling them which entries were read and changed. */
void mesh_tell_entries(struct mesh *, uint64_t, uint64_t, const GArray *);

/* mesh-config.c: fetching a newer configuration from a peer. */
void mesh_fetch_config(struct mesh *, struct mesh_peer *);
unsigned mesh_serve_config(void *, const char *, GString *);

/* mesh-peers.c: what is known of them. */
bool mesh_peer_near(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_lives(const struct mesh *, const struct mesh_peer *);
unsigned mesh_living(const struct mesh *);
bool mesh_placer_heard(const struct mesh *, uint64_t);
unsigned mesh_rank(const struct mesh *);
bool mesh_first_reader(const struct mesh *);
bool mesh_serving(const struct mesh *);

#endif
