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
 * @index: its index, and its address
 * @domain: its failure domain
 * @up: it runs
 * @start_ms: when it starts
 * @read_at_ms: when it reads the records of the daemons; 0 once it has
 * @sent: datagrams since the counts began
 * @sent_bytes: bytes of them
 * @received: datagrams that reached it
 * @received_bytes: bytes of them
 * @relay_changes: changes of its relay
 * @entry_reads: that it had to make of the entries for itself
 * @store_queries: questions to the store because nobody told it of what is
 * there
 * @relay: as of its last round
 */
struct model_daemon {
	struct mesh mesh;
	struct registry registry;
	struct fleet_model *model;
	unsigned index;
	unsigned domain;
	bool up;
	uint64_t start_ms;
	uint64_t read_at_ms;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	unsigned relay_changes;
	unsigned entry_reads;
	unsigned store_queries;
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
 * @in_flight: datagrams that arrive in the next millisecond
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
	GPtrArray *in_flight;
	uint64_t counted_ms;
};

/**
 * struct model_stats - how far the daemons' pictures differ from the truth.
 * @up: daemons that run
 * @relays: of them, that relay
 * @alive_least: fewest daemons that one takes for living, itself included
 * @alive_most: most
 * @readers: that would read the store for the others
 * @first_ranked: that would place first
 * @placer_known: that know of a placer that serves
 * @load_error_mean: mean difference of an endpoint's requests from the truth
 * @load_error_max: the largest
 * @relay_changes: changes of a relay since the counts began
 * @entry_reads: of entries that daemons made for themselves since then
 * @store_queries: questions to the store for want of others' news, since then
 * @config_age_max_ms: oldest proof of the configuration
 * @feed_age_max_ms: longest since a daemon was told of entries
 * @sent_s: datagrams a second that a daemon sends, mean
 * @sent_max_s: the same of the daemon that sends most
 * @received_s: datagrams a second that reach a daemon, mean
 * @received_bytes_s: bytes a second that reach a daemon, mean
 * @sent_bytes_max_s: bytes a second of the daemon that sends most
 */
struct model_stats {
	unsigned up;
	unsigned relays;
	unsigned alive_least;
	unsigned alive_most;
	unsigned readers;
	unsigned first_ranked;
	unsigned placer_known;
	double load_error_mean;
	unsigned load_error_max;
	unsigned relay_changes;
	unsigned entry_reads;
	unsigned store_queries;
	uint64_t config_age_max_ms;
	uint64_t feed_age_max_ms;
	double sent_s;
	double sent_max_s;
	double received_s;
	double received_bytes_s;
	double sent_bytes_max_s;
};

struct fleet_model *fleet_model_new(unsigned, unsigned, unsigned, uint64_t);
void fleet_model_free(struct fleet_model *);
void fleet_model_run(struct fleet_model *, uint64_t);
void fleet_model_start(struct fleet_model *, unsigned, uint64_t);
void fleet_model_stop(struct fleet_model *, unsigned);
void fleet_model_set_load(struct fleet_model *, unsigned);
uint32_t fleet_model_random(struct fleet_model *, uint32_t);
void fleet_model_reset_counts(struct fleet_model *);
void fleet_model_measure(const struct fleet_model *, struct model_stats *);
struct model_daemon *fleet_model_find(const struct fleet_model *, const char *);

#endif
