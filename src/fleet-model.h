/* Many daemons' knowledge of each other in one process, in virtual time. */
#ifndef BL_FLEET_MODEL_H
#define BL_FLEET_MODEL_H

#include "mesh.h"

/* Failure domains of a model. */
#define MODEL_DOMAINS_MAX 16

/**
 * struct model_daemon - one daemon.
 * @mesh: what it knows of the others
 * @registry: what it knows of the endpoints
 * @model: it is part of
 * @at: its index, and its address
 * @domain: its failure domain
 * @up: it runs
 * @starts_ms: when it starts
 * @reads_ms: when it reads the records of the daemons; 0 once it has
 * @sent: datagrams since the counts began
 * @sent_bytes: bytes of them
 * @heard: datagrams that reached it
 * @heard_bytes: bytes of them
 * @moves: changes of its relay
 * @reads: that it had to make of the entries for itself
 * @alone: questions to the store because nobody told it of what is there
 * @relay: as of its last round
 */
struct model_daemon {
	struct mesh mesh;
	struct registry registry;
	struct fleet_model *model;
	unsigned at;
	unsigned domain;
	bool up;
	uint64_t starts_ms;
	uint64_t reads_ms;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t heard;
	uint64_t heard_bytes;
	unsigned moves;
	unsigned reads;
	unsigned alone;
	const struct mesh_peer *relay;
};

/**
 * struct fleet_model - all of them, and the links between them.
 * @now_ms: virtual time
 * @daemons: of them
 * @n: how many
 * @n_domains: failure domains, in which they take turns
 * @n_endpoints: endpoints that all know
 * @loss: lost datagrams, in thousandths
 * @cut: whether the link from a domain to another is cut
 * @seed: of the random numbers
 * @coming: datagrams that arrive in the next millisecond
 * @counted_ms: when the counts began
 */
struct fleet_model {
	uint64_t now_ms;
	struct model_daemon *daemons;
	unsigned n;
	unsigned n_domains;
	unsigned n_endpoints;
	unsigned loss;
	bool cut[MODEL_DOMAINS_MAX][MODEL_DOMAINS_MAX];
	uint64_t seed;
	GPtrArray *coming;
	uint64_t counted_ms;
};

/**
 * struct model_sight - how far the daemons' pictures differ from the truth.
 * @up: daemons that run
 * @relays: of them, that relay
 * @living_least: fewest daemons that one takes for living, itself included
 * @living_most: most
 * @readers: that would read the store for the others
 * @firsts: that would place first
 * @holder: that know of a placer that serves
 * @off_mean: mean difference of an endpoint's requests from the truth
 * @off_most: the largest
 * @moves: changes of a relay since the counts began
 * @reads: of entries that daemons made for themselves since then
 * @alone: questions to the store for want of others' news, since then
 * @age_most_ms: oldest proof of the configuration
 * @fed_most_ms: longest since a daemon was told of entries
 * @sent_s: datagrams a second that a daemon sends, mean
 * @sent_most_s: the same of the daemon that sends most
 * @heard_s: datagrams a second that reach a daemon, mean
 * @heard_bytes_s: bytes a second that reach a daemon, mean
 * @sent_bytes_most_s: bytes a second of the daemon that sends most
 */
struct model_sight {
	unsigned up;
	unsigned relays;
	unsigned living_least;
	unsigned living_most;
	unsigned readers;
	unsigned firsts;
	unsigned holder;
	double off_mean;
	unsigned off_most;
	unsigned moves;
	unsigned reads;
	unsigned alone;
	uint64_t age_most_ms;
	uint64_t fed_most_ms;
	double sent_s;
	double sent_most_s;
	double heard_s;
	double heard_bytes_s;
	double sent_bytes_most_s;
};

struct fleet_model *fleet_model_new(unsigned, unsigned, unsigned, uint64_t);
void fleet_model_free(struct fleet_model *);
void fleet_model_run(struct fleet_model *, uint64_t);
void fleet_model_start(struct fleet_model *, unsigned, uint64_t);
void fleet_model_stop(struct fleet_model *, unsigned);
void fleet_model_work(struct fleet_model *, unsigned);
uint32_t fleet_model_draw(struct fleet_model *, uint32_t);
void fleet_model_count(struct fleet_model *);
void fleet_model_see(const struct fleet_model *, struct model_sight *);
struct model_daemon *fleet_model_find(const struct fleet_model *, const char *);

#endif
