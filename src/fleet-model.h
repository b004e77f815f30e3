/* Simulation, in virtual time and in one process, of many daemons that exchange
 * state. */
#ifndef BL_FLEET_MODEL_H
#define BL_FLEET_MODEL_H

#include "histogram.h"
#include "mesh.h"

/* Largest number of failure domains of a model. */
#define MODEL_DOMAINS_MAX 16
/* An entry is known late after this time. */
#define MODEL_ENTRY_LATE_MS 1000
/* Key of the sum that the daemons of a model exchange. */
#define MODEL_DEMAND_KEY 1

/**
 * struct model_daemon - one daemon.
 * @mesh: its view of the other daemons
 * @registry: its view of the endpoints
 * @model: the model that it belongs to
 * @index: its index, from which its address follows
 * @domain: index of its failure domain
 * @up: it is running
 * @clock_ahead_ms: how far the clock of its host is ahead of virtual time, in
 *	ms; negative if behind
 * @start_ms: when it starts
 * @read_at_ms: when it reads the addresses in the store; 0 for not again
 * @announce_at_ms: when its own address is in the store; 0 if it is not written
 * @store_calls: calls for addresses since the counters were reset
 * @connected_ms: time from its start until it heard its relay or was one; 0
 *	before
 * @sent: datagrams sent since the counters were reset
 * @sent_bytes: bytes in these
 * @received: datagrams received since then
 * @received_bytes: bytes in these
 * @relay_changes: changes of its relay since then
 * @entry_reads: reads of the entries from the store because datagrams were
 *	missing, since then
 * @store_queries: store queries since then because no peer's state was recent
 *	enough
 * @relay: its relay as of its last round
 * @demand: value that it counts under the key MODEL_DEMAND_KEY
 * @known: for each entry in the store, whether this daemon knows it
 * @known_end: it knows all entries before this offset
 * @n_removed: removals that it applied
 */
struct model_daemon {
	struct mesh mesh;
	struct registry registry;
	struct fleet_model *model;
	unsigned index;
	unsigned domain;
	bool up;
	int64_t clock_ahead_ms;
	uint64_t start_ms;
	uint64_t read_at_ms;
	uint64_t announce_at_ms;
	unsigned store_calls;
	uint64_t connected_ms;
	uint64_t sent;
	uint64_t sent_bytes;
	uint64_t received;
	uint64_t received_bytes;
	unsigned relay_changes;
	unsigned entry_reads;
	unsigned store_queries;
	const struct mesh_peer *relay;
	uint32_t demand;
	GByteArray *known;
	uint64_t known_end;
	unsigned n_removed;
};

/**
 * struct model_stream - entries that change at a steady rate.
 * @records: entries that change at a time
 * @each_ms: interval between two such times
 * @until_ms: virtual time at which that ends
 */
struct model_stream {
	unsigned records;
	unsigned each_ms;
	uint64_t until_ms;
};

/**
 * struct fleet_model - the daemons, and the links between them.
 * @now_ms: virtual time, in ms
 * @daemons: the daemons
 * @n: number of @daemons
 * @n_domains: number of failure domains, to which daemons are assigned in turn
 * @n_endpoints: number of endpoints; every daemon knows all of them
 * @loss: lost datagrams, in thousandths
 * @cut: whether the link from one failure domain to another is cut
 * @seed: state of the random number generator
 * @in_flight: datagrams that arrive in the next millisecond
 * @counted_ms: when the counters were reset
 * @recorded: whether a daemon's address is in the store
 * @n_records: records of endpoints in the store
 * @append_free_ms: when the store takes the next append of an address
 * @written_ms: virtual time at which each entry was written, of uint64_t
 * @stream: entries that change at a steady rate
 * @entry_delays: times in ms from the write of an entry until a daemon knew it
 * @entry_delay_max_ms: the longest of them
 * @n_entries_late: those of them beyond MODEL_ENTRY_LATE_MS
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
	bool *recorded;
	uint64_t n_records;
	uint64_t append_free_ms;
	GArray *written_ms;
	struct model_stream stream;
	struct histogram entry_delays;
	uint64_t entry_delay_max_ms;
	uint64_t n_entries_late;
};

/**
 * struct model_entry_stats - how soon daemons know entries.
 * @n: entries times the daemons that were running when they were written
 * @late: those of them that were not known within MODEL_ENTRY_LATE_MS
 * @lacking: those that are not known yet
 * @longest_ms: longest time from an entry's write until a daemon knew it, or
 *	until now
 */
struct model_entry_stats {
	uint64_t n;
	uint64_t late;
	uint64_t lacking;
	uint64_t longest_ms;
};

/**
 * struct model_stats - the daemons' views compared with the actual state.
 * @up: running daemons
 * @relays: running daemons that are relays
 * @alive_min: fewest live daemons that any daemon counts, itself included
 * @alive_max: most live daemons that any daemon counts
 * @readers: daemons that would read the store for the others
 * @first_ranked: daemons that would be the first to become placer
 * @placer_known: daemons that know of a working placer
 * @load_error_mean: mean difference between a daemon's count of an endpoint's
 *	requests and the actual one
 * @load_error_max: largest such difference
 * @relay_changes: changes of a relay since the counters were reset
 * @entry_reads: reads of the entries that daemons made for themselves since
 *	then
 * @store_queries: store queries since then because no peer's state was recent
 *	enough
 * @store_calls: calls for addresses since then
 * @recorded: addresses in the store
 * @connected_max_ms: longest time from a daemon's start until it heard its
 *relay or was one; UINT64_MAX while one did not
 * @config_age_max_ms: age of the oldest proof of a configuration, in ms
 * @feed_age_max_ms: age of the oldest copy of the entries, in ms
 * @sent_s: mean datagrams per second that a daemon sends
 * @sent_max_s: largest number of datagrams per second that a daemon sends
 * @received_s: mean datagrams per second that a daemon receives
 * @received_bytes_s: mean bytes per second that a daemon receives
 * @sent_bytes_max_s: largest number of bytes per second that a daemon sends
 */
struct model_stats {
	unsigned up;
	unsigned relays;
	unsigned alive_min;
	unsigned alive_max;
	unsigned readers;
	unsigned first_ranked;
	unsigned placer_known;
	double load_error_mean;
	unsigned load_error_max;
	unsigned relay_changes;
	unsigned entry_reads;
	unsigned store_queries;
	unsigned store_calls;
	unsigned recorded;
	uint64_t connected_max_ms;
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
void fleet_model_reboot(struct fleet_model *, unsigned, uint64_t);
uint64_t fleet_model_clock(const struct model_daemon *);
void fleet_model_feed(struct fleet_model *, unsigned, unsigned);
void fleet_model_set_load(struct fleet_model *, unsigned);
uint32_t fleet_model_random(struct fleet_model *, uint32_t);
void fleet_model_reset_counts(struct fleet_model *);
void fleet_model_measure(const struct fleet_model *, struct model_stats *);
void fleet_model_remove(struct fleet_model *, unsigned, unsigned);
void fleet_model_stream(struct fleet_model *, unsigned, unsigned, uint64_t);
void fleet_model_measure_entries(const struct fleet_model *,
    struct model_entry_stats *);
struct model_daemon *fleet_model_find(const struct fleet_model *, const char *);

#endif
