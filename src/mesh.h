/* Exchange of state with the other daemons: membership, loads, limits,
 * suspected requests, configuration and entries of endpoints. */
#ifndef BL_MESH_H
#define BL_MESH_H

#include "registry.h"
#include "feed-clock.h"
#include "feed-log.h"
#include "fwd-budget.h"
#include "mesh-directory.h"
#include "mesh-entries.h"
#include "mesh-envelope.h"
#include "mesh-message.h"
#include "mesh-repair.h"

/* Interval of reports of a daemon with work, and so the greatest age of a load
 * at its relay. Three of these are well below the shortest objective. */
#define MESH_ROUND_MS 100
/* Silence after which a relay is replaced: four of its intervals. With three, a
 * loss of one datagram in forty made two of 295 daemons change their relay in a
 * minute; with four, none. */
#define MESH_RELAY_TIMEOUT_MS 900
/* Silence after which a daemon counts as dead: three report intervals of a
 * daemon without work, and a lost datagram. */
#define MESH_PEER_TIMEOUT_MS 1500
/* Reports kept until the relay acknowledges one: more than are sent in the
 * longest interval of a relay. */
#define MESH_REPORTS_MAX 16
/* HTTP path under which a daemon serves its configuration to other daemons. */
#define MESH_CONFIG_PATH "/config"
/* The same, compressed by deflate_pack(). */
#define MESH_CONFIG_PACKED_PATH "/config-packed"

/**
 * struct mesh_peer - another daemon.
 * @name: its name
 * @domain: its failure domain
 * @name_hash: hash of its name
 * @capacity: its CPU capacity, in thousandths of a core
 * @addr: address that it listens on
 * @incarnation: random number of its current run
 * @sequence: sequence number of its newest datagram
 * @ping: the ping of its newest datagram, which is returned to it
 * @heard_ms: arrival of its newest datagram; 0 for never
 * @first_seen_ms: when this daemon first learned of it
 * @last_report_ms: arrival of its newest report to this daemon; 0 for never
 * @relay_heard_ms: arrival of its newest datagram as a relay; 0 for never
 * @relay_gap_ms: moving average of the interval between such datagrams, in ms
 * @listed_ms: when a relay last listed it as a live member; 0 for never
 * @redirected_ms: when another daemon last named it as its relay; 0 for never
 * @trial_ms: when this daemon began to report to it without having heard it as
 *	a relay; 0 for never
 * @n_alive: live daemons that its newest datagram reported on
 * @config_current: its relay says that it has the newest configuration
 * @self: what it reports about itself
 * @config_version: version of the configuration in force there
 * @config_offset: store offset of that configuration
 * @config_proof_ms: time as of which that configuration was the newest; 0 for
 *	unknown
 * @entries_end: it has all entries up to this store offset; MESH_NO_ENTRIES if
 *	it has read none
 * @evacuations_as_of: store offset as of which it knows the evacuated failure
 *	domains
 * @loads: loads that it reported, as added to the endpoints' sums, of struct
 *	mesh_load
 * @loads_ms: when they were added
 * @loads_in_cell: they are also added to the sums of this cell
 * @sums: rows of its newest datagram by kind, of struct sum_row; dropped with
 *	@loads
 * @pool: connections to it
 * @entry: in the mesh's list
 */
struct mesh_peer {
	char *name;
	char *domain;
	uint32_t name_hash;
	uint32_t capacity;
	struct sockaddr_in addr;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t ping;
	uint64_t heard_ms;
	uint64_t first_seen_ms;
	uint64_t last_report_ms;
	uint64_t relay_heard_ms;
	double relay_gap_ms;
	uint64_t listed_ms;
	uint64_t redirected_ms;
	uint64_t trial_ms;
	uint32_t n_alive;
	bool config_current;
	struct mesh_self self;
	int64_t config_version;
	uint64_t config_offset;
	uint64_t config_proof_ms;
	uint64_t entries_end;
	uint64_t evacuations_as_of;
	GArray *loads;
	uint64_t loads_ms;
	bool loads_in_cell;
	GArray *sums[SUM_KINDS];
	struct net_pool pool;
	TAILQ_ENTRY(mesh_peer) entry;
};

TAILQ_HEAD(mesh_peer_list, mesh_peer);

/**
 * struct mesh_report - a report that this daemon sent to its relay.
 * @sequence: sequence number of the datagram
 * @sent_ms: when it was sent
 * @loads: loads in it, of struct mesh_load
 */
struct mesh_report {
	uint64_t sequence;
	uint64_t sent_ms;
	GArray *loads;
};

/**
 * struct mesh_holder - what is known of the holder of the placer's lease.
 * @name_hash: hash of its name
 * @term: term of its lease
 * @heard_ms: time as of which it was last known to hold it; 0 for never
 * @can_place: it reaches the store and is not draining
 * @gap_ms: moving average of the interval between such times, in ms
 */
struct mesh_holder {
	uint32_t name_hash;
	int64_t term;
	uint64_t heard_ms;
	bool can_place;
	double gap_ms;
};

/**
 * struct mesh - this daemon's view of the others, and its exchange with them.
 * @now_ms: loop time, in ms; set by the caller before each call
 * @opened_ms: when this daemon started
 * @send_datagram: sends a datagram
 * @send_arg: argument of @send_datagram
 * @loop: event loop
 * @registry: what is known of the deployment
 * @name: name of this daemon
 * @domain: its failure domain
 * @name_hash: hash of its name
 * @capacity: its CPU capacity, in thousandths of a core
 * @addr: address that it listens on
 * @incarnation: random number drawn at its start
 * @sequence: sequence number of its newest datagram
 * @udp: socket
 * @n_unsent: datagrams that the system did not take
 * @timer: starts a round every MESH_ROUND_MS
 * @peers: the other daemons
 * @by_name: name to struct mesh_peer
 * @by_name_hash: hash of the name to struct mesh_peer
 * @n_peers: number of @peers
 * @directory: the daemons whose addresses are in the store
 * @records_read_ms: when the addresses in the store were first read; 0 before
 * @n_others: other live daemons as of this round, heard directly or reported by
 *	a relay
 * @cells_heard_ms: when this daemon last received a fleet summary, or soon
 *	after its start a report, from its own failure domain; 0 for never
 * @relay: daemon that this one reports to; NULL where it is a relay itself
 * @relay_since_ms: when that last changed; 0 for never
 * @self: what this daemon reports about itself
 * @held_term: term of the lease that this daemon holds while self.placer is set
 * @holder: another daemon that holds the placer's lease
 * @round: number of rounds so far
 * @sent_ms: when this daemon last sent its state as a relay
 * @n_sent: how often it has done so
 * @send_interval_ms: interval between two such times, in ms
 * @summary_bytes: average length of the newest fleet summaries; 0 before
 * @n_spread: number of datagrams sent to the whole cell so far
 * @reports: the newest reports, indexed by sequence number
 * @last_entries_from: offset that @last_entries begin at
 * @last_entries_end: offset that they end at
 * @last_entries: records of the newest datagrams of entries; repeated once with
 *	the next ones
 * @feed_log: the newest datagrams of entries
 * @feed_clocks: clocks of the daemons that read entries for the others
 * @feed_end: newest offset up to which any relay has all entries
 * @repair: repair of gaps in the entries
 * @fetching_entries: entries are being fetched from the relay
 * @fetch_entries_ms: when that began
 * @fetching_config: a configuration is being fetched from a peer
 * @fetch_plain: the peer asked last doesn't serve it compressed
 * @fetched_version: version that the peer had when the fetch began
 * @fetched_offset: store offset of that version
 * @fetched_proof_ms: time as of which that version was the newest; 0 for
 *	unknown
 * @newest_version: newest version of the configuration that any peer had
 * @behind_since_ms: since when this daemon's version is older than that; 0
 *	while it is not
 * @cell_hashes: hashes of the names of the other members of this cell, as its
 *	relay lists them
 * @n_cell_hashes: number of @cell_hashes
 * @alive_peak: highest recent number of live daemons
 * @alive_min: lowest number of live daemons since @alive_since_ms
 * @alive_since_ms: when the current measurement of @alive_min began
 * @newcomer_ms: when a daemon was last heard that has just started or had not
 *	been heard before; 0 for never
 * @limits_sent_ms: when unchanged limits were last repeated, by kind of
 *	datagram; 0 for never
 * @limits_next: index of the limit that is repeated next, by kind of datagram
 * @poison_sent_ms: when unchanged suspected requests were last repeated, by
 *	kind of datagram; 0 for never
 * @poison_next: index of the suspected request that is repeated next, by kind
 *	of datagram
 * @collect_sums: called to fill in what this daemon itself counted
 * @collect_sums_arg: argument of @collect_sums
 * @missed: called when entries are missing and no peer supplied them
 * @missed_arg: argument of @missed
 * @became_relay: called when this daemon has become the relay of its cell
 * @became_relay_arg: argument of @became_relay
 * @avoided: called when a peer reports that an endpoint is to be avoided
 * @avoided_arg: argument of @avoided
 */
struct mesh {
	uint64_t now_ms;
	uint64_t opened_ms;
	void (*send_datagram)(void *, const struct sockaddr_in *, const char *,
	    size_t);
	void *send_arg;
	uv_loop_t *loop;
	struct registry *registry;
	const char *name;
	const char *domain;
	uint32_t name_hash;
	uint32_t capacity;
	struct sockaddr_in addr;
	uint64_t incarnation;
	uint64_t sequence;
	uv_udp_t udp;
	uint64_t n_unsent;
	uv_timer_t timer;
	struct mesh_peer_list peers;
	GHashTable *by_name;
	GHashTable *by_name_hash;
	unsigned n_peers;
	struct mesh_directory directory;
	uint64_t records_read_ms;
	unsigned n_others;
	uint64_t cells_heard_ms;
	struct mesh_peer *relay;
	uint64_t relay_since_ms;
	struct mesh_self self;
	int64_t held_term;
	struct mesh_holder holder;
	uint64_t round;
	uint64_t sent_ms;
	uint64_t n_sent;
	uint64_t send_interval_ms;
	double summary_bytes;
	uint64_t n_spread;
	struct mesh_report reports[MESH_REPORTS_MAX];
	uint64_t last_entries_from;
	uint64_t last_entries_end;
	GArray *last_entries;
	struct feed_log feed_log;
	struct feed_clocks feed_clocks;
	uint64_t feed_end;
	struct mesh_repair repair;
	bool fetching_entries;
	uint64_t fetch_entries_ms;
	bool fetching_config;
	bool fetch_plain;
	int64_t fetched_version;
	uint64_t fetched_offset;
	uint64_t fetched_proof_ms;
	int64_t newest_version;
	uint64_t behind_since_ms;
	uint32_t cell_hashes[MESH_MEMBERS_MAX];
	unsigned n_cell_hashes;
	struct fwd_daemon_peak alive_peak;
	unsigned alive_min;
	uint64_t alive_since_ms;
	uint64_t newcomer_ms;
	uint64_t limits_sent_ms[MESH_KINDS];
	unsigned limits_next[MESH_KINDS];
	uint64_t poison_sent_ms[MESH_KINDS];
	unsigned poison_next[MESH_KINDS];
	void (*collect_sums)(void *, struct sum_table *, uint64_t);
	void *collect_sums_arg;
	void (*missed)(void *);
	void *missed_arg;
	void (*became_relay)(void *);
	void *became_relay_arg;
	void (*avoided)(void *, struct endpoint *);
	void *avoided_arg;
};

/* mesh.c: socket and timer. */
int mesh_open(struct mesh *, uv_loop_t *, const struct sockaddr_in *);
void mesh_send_now(struct mesh *);
void mesh_limit_announce(struct mesh *, struct endpoint *);
void mesh_entries_read(struct mesh *, uint64_t, uint64_t, const GArray *);
void mesh_on_records_read(struct mesh *);

/* mesh-peers.c: table of the other daemons, and which of them are alive. */
void mesh_init(struct mesh *, uint64_t, uint64_t);
void mesh_clear(struct mesh *);
struct mesh_peer *mesh_add(struct mesh *, const char *, const char *, uint32_t,
    const struct sockaddr_in *);
void mesh_set_records_read(struct mesh *);
struct mesh_peer *mesh_find(const struct mesh *, const char *);
struct mesh_peer *mesh_find_by_hash(const struct mesh *, uint32_t);
void mesh_peer_free(struct mesh *, struct mesh_peer *);
bool mesh_peer_in_cell(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_is_relay(const struct mesh *, const struct mesh_peer *);
void mesh_peer_note_relay(const struct mesh *, struct mesh_peer *);
bool mesh_peer_reports(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_maybe_alive(const struct mesh *, const struct mesh_peer *);
bool mesh_relay_alive(const struct mesh *);
unsigned mesh_count_alive(const struct mesh *);
bool mesh_has_served(const struct mesh *);

/* mesh-directory.c: which daemons' addresses are in the store. */
unsigned mesh_directory_delay_ms(const struct mesh *);
bool mesh_directory_lacks_self(const struct mesh *);
void mesh_directory_prune(const struct mesh *, GPtrArray *);

/* mesh-role.c: choice of relays, of the store's reader and of the placer. */
bool mesh_flat(const struct mesh *);
bool mesh_outranks(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_outranks(const struct mesh_peer *, const struct mesh_peer *);
struct mesh_peer *mesh_choose_relay(struct mesh *);
void mesh_update_holder(struct mesh *, const struct mesh_message *);
bool mesh_placer_heard(const struct mesh *);
bool mesh_lease_superseded(const struct mesh *);
unsigned mesh_rank(const struct mesh *);
bool mesh_is_reader(const struct mesh *);
unsigned mesh_stale_after_ms(const struct mesh *, unsigned, unsigned);
unsigned mesh_retry_ms(const struct mesh *, unsigned);

/* mesh-loads.c: the other daemons' loads in the endpoints' sums. */
void mesh_remove_loads(struct mesh *, struct mesh_peer *);
void mesh_add_loads(struct mesh *, struct mesh_peer *,
    const struct mesh_message *, bool);
void mesh_set_fleet_loads(struct mesh *, struct mesh_peer *,
    const struct mesh_message *);
void mesh_fill_loads(const struct mesh *, struct mesh_message *);
void mesh_save_report(struct mesh *, const struct mesh_message *);
const struct mesh_report *mesh_acked_report(const struct mesh *,
    const struct mesh_message *);

/* mesh-sums.c: sums over all daemons. */
void mesh_remove_sums(struct mesh_peer *);
void mesh_set_sums(struct mesh_peer *, const struct mesh_message *);
void mesh_update_sums(struct mesh *);
void mesh_fill_sums(const struct mesh *, struct mesh_message *);

/* mesh-shares.c: shares of the limits that endpoints name. */
void mesh_share_limits(struct mesh *);
void mesh_limit_changed(struct mesh *, struct endpoint *);

/* mesh-limits.c: sending and receiving these limits. */
void mesh_fill_limits(struct mesh *, struct mesh_message *);
void mesh_apply_limits(struct mesh *, const struct mesh_peer *,
    const struct mesh_message *);

/**
 * struct mesh_busiest - the daemon that has most of the demand for a service.
 * @self: it is this daemon
 * @part: its part of the demand, 0 to 1
 */
struct mesh_busiest {
	bool self;
	double part;
};

/* mesh-busiest.c: the daemon that has most of the demand for a service. */
bool mesh_busiest(const struct mesh *, const struct endpoint *,
    struct mesh_busiest *);

/* mesh-poison.c: sending and receiving requests suspected of crashing
 * endpoints. */
void mesh_fill_poison(struct mesh *, struct mesh_message *);
void mesh_apply_poison(struct mesh *, const struct mesh_peer *,
    const struct mesh_message *);

/* mesh-spread.c: datagrams to all members of a cell. */
void mesh_spread(struct mesh *, const struct mesh_peer *, const char *, size_t);
void mesh_spread_to(struct mesh *, const struct mesh_peer *, const char *,
    size_t);
bool mesh_spread_large(const struct mesh *);
unsigned mesh_spread_groups(const struct mesh *);
bool mesh_unwrap(struct mesh *, char **, size_t *, struct sockaddr_in *,
    uint32_t *);

/* mesh-summary.c: what a relay tells its cell. */
void mesh_fill_address(const struct mesh_peer *, struct mesh_address *);
void mesh_fill_summary(const struct mesh *, struct mesh_message *);
size_t mesh_send_summary(struct mesh *);

/* mesh-send.c: which state is sent to whom, and when. */
void mesh_fill_message(struct mesh *, enum mesh_kind, struct mesh_message *);
void mesh_send(struct mesh *);
void mesh_send_to(struct mesh *, struct mesh_peer *, enum mesh_kind);

/* mesh-round.c: who is alive, which daemon is the relay, whether to send. */
void mesh_round(struct mesh *);

/* mesh-receive.c: handling of received datagrams. */
void mesh_receive(struct mesh *, char *, size_t, const struct sockaddr_in *);

/* mesh-feed.c: distribution of the entries that were read from the store. */
void mesh_send_entries(struct mesh *, uint64_t, uint64_t, const GArray *);
bool mesh_receive_entries(struct mesh *, char *, size_t,
    const struct sockaddr_in *);
void mesh_feed_note_end(struct mesh *, struct mesh_peer *, uint64_t);
void mesh_feed_clear(struct mesh *);

/* mesh-repair.c: gaps in these entries. */
void mesh_repair_round(struct mesh *);
void mesh_repair_note_hop(struct mesh *, const struct sockaddr_in *);
void mesh_repair_answer(struct mesh *, const struct mesh_resend *,
    const struct sockaddr_in *);

/* mesh-config.c: fetching a newer configuration from a peer. */
void mesh_fetch_config(struct mesh *, struct mesh_peer *);
void mesh_config_fetched(struct mesh *, const void *, size_t);

/* mesh-serve.c: state served to peers over HTTP, and fetched at the start. */
unsigned mesh_serve(void *, const char *, GString *);
void mesh_fetch_entries(struct mesh *, struct mesh_peer *, uint64_t);

#endif
