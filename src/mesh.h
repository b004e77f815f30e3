/* The other daemons: who lives, what they do, what they know. */
#ifndef BL_MESH_H
#define BL_MESH_H

#include "registry.h"
#include "fwd-budget.h"
#include "mesh-entries.h"
#include "mesh-message.h"

/* How often a daemon with work reports it; a load is this old at its relay at
 * most. Three of these are well below the shortest objective. */
#define MESH_ROUND_MS 100
/* Silence of a relay after which another takes its place: four of its words.
 * With three, one datagram lost in forty moved two daemons of 295 from their
 * relays in a minute; with four, none. */
#define MESH_RELAY_TIMEOUT_MS 900
/* Silence after which a daemon counts as dead; three of its rounds without
 * work, and a lost datagram. */
#define MESH_PEER_TIMEOUT_MS 1500
/* Reports kept until the relay's answer shows which one it had last: longer
 * than the longest round of a relay. */
#define MESH_REPORTS_MAX 16
/* Where a daemon gives its configuration to others. */
#define MESH_CONFIG_PATH "/config"
/* Datagrams of entries kept for those that missed one. */
#define MESH_SENT_ENTRIES_MAX 64

/**
 * struct mesh_peer - another daemon.
 * @name: its name
 * @domain: its failure domain
 * @name_hash: short name of it
 * @capacity: thousandths of a core that it has
 * @addr: where it listens
 * @incarnation: of its current run
 * @sequence: of its newest datagram
 * @ping: of its newest datagram
 * @heard_ms: time of that; 0 for never
 * @first_seen_ms: when this daemon first knew of it
 * @last_report_ms: of its newest report to this daemon; 0 for never
 * @relay_heard_ms: of its newest datagram as a relay; 0 for never
 * @relay_gap_ms: moving mean of the time between two of these
 * @listed_ms: when a relay last said that it lives; 0 for never
 * @redirected_ms: when it was last named as a relay; 0 for never
 * @trial_ms: when this daemon began to report to it on trial; 0 for never
 * @n_alive: daemons that its newest datagram spoke for
 * @config_current: its relay said that it has the newest configuration
 * @self: what it says of itself
 * @config_version: in force there
 * @config_offset: its place in the store
 * @config_proof_ms: time as of which it was the newest; 0 for unknown
 * @loads: of struct mesh_load, as they are counted in the fleet
 * @loads_ms: when they were counted
 * @loads_in_cell: they are counted as the cell's
 * @pool: connections to it
 * @entry: in the mesh
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
	GArray *loads;
	uint64_t loads_ms;
	bool loads_in_cell;
	struct net_pool pool;
	TAILQ_ENTRY(mesh_peer) entry;
};

TAILQ_HEAD(mesh_peer_list, mesh_peer);

/**
 * struct mesh_report - a report that this daemon sent.
 * @sequence: of the datagram
 * @sent_ms: when
 * @loads: the work in it, of struct mesh_load
 */
struct mesh_report {
	uint64_t sequence;
	uint64_t sent_ms;
	GArray *loads;
};

/**
 * struct mesh_holder - what is known of the daemon that places.
 * @name_hash: short name of it
 * @term: of its lease
 * @heard_ms: when it last said so; 0 for never
 * @can_place: it reaches the store and is not leaving
 * @gap_ms: moving mean of the time between two such words
 */
struct mesh_holder {
	uint32_t name_hash;
	int64_t term;
	uint64_t heard_ms;
	bool can_place;
	double gap_ms;
};

/**
 * struct mesh_sent_entries - a datagram of entries, kept for those that missed
 * it.
 * @from: its records are all that changed from this offset
 * @end: to this one
 * @bytes: the datagram
 */
struct mesh_sent_entries {
	uint64_t from;
	uint64_t end;
	GBytes *bytes;
};

/**
 * struct mesh - all of them.
 * @now_ms: the time, set by whoever calls in
 * @opened_ms: when this daemon began
 * @send_datagram: sends a datagram
 * @send_arg: for @send_datagram
 * @loop: the event loop
 * @registry: what is known of the deployment
 * @name: of this daemon
 * @domain: its failure domain
 * @name_hash: short name of it
 * @capacity: thousandths of a core that it has
 * @addr: where it listens
 * @incarnation: drawn at its start
 * @sequence: of its newest datagram
 * @udp: socket
 * @timer: when to tell
 * @peers: the others
 * @by_name: name to struct mesh_peer
 * @by_name_hash: short name to struct mesh_peer
 * @n_peers: how many
 * @records_read_ms: when the records of the daemons were first read; 0 before
 * @n_others: others that live, by own or others' knowledge, as of this round
 * @cells_heard_ms: when a daemon of the own failure domain last spoke or was
 *spoken to as a relay of a cell; 0 for never
 * @relay: whom this daemon reports to; NULL where it is a relay itself
 * @self: what this daemon says of itself
 * @held_term: of the lease that this daemon holds while self.placer is set
 * @holder: another daemon that places
 * @round: rounds of telling so far
 * @sent_ms: when this daemon last told as a relay
 * @n_sent: how often it did
 * @send_interval_ms: between two such times
 * @reports: the newest reports, by their sequence
 * @last_entries_from: the last datagrams of entries told of records from here
 * @last_entries: these records, told once more with the next
 * @sent_entries: the newest datagrams of entries
 * @n_sent_entries: how many were kept so far
 * @forwarded_from: of the newest datagram of entries that was told on
 * @forwarded_end: of the same
 * @forwarded_ms: when
 * @feed_end: newest offset that any peer's entries are complete up to
 * @missing_since_ms: since when entries are missing here; 0 while none are
 * @resend_asked_ms: when a peer was last asked for them
 * @fetching_entries: entries are being fetched from the relay
 * @fetching_config: a configuration is being fetched from a peer
 * @fetched_version: the one that it had when it was asked
 * @fetched_offset: its place in the store
 * @fetched_proof_ms: time as of which it was the newest; 0 for unknown
 * @newest_version: newest version of the configuration that any peer had
 * @behind_since_ms: since when that is newer than the own one; 0 while it is
 *not
 * @cell_hashes: short names of the others of the own cell, as its relay told
 *them
 * @n_cell_hashes: how many
 * @alive_peak: the most daemons that lived lately
 * @alive_min: the fewest since @alive_since_ms
 * @alive_since_ms: when that began to be counted
 * @newcomer_ms: when a daemon was first heard that starts or had not been
 *	heard; 0 for never
 * @limits_sent_ms: when some limits were last told of again, by kind of
 *	datagram; 0 for never
 * @limits_next: how many come before those that are next, by kind
 * @poison_sent_ms: when some suspected work was last told of again, by kind of
 *	datagram; 0 for never
 * @poison_next: how much of it comes before what is next, by kind
 * @missed: told when entries are missing that no peer could give
 * @missed_arg: for @missed
 * @avoided: told when a peer says that an endpoint is to be avoided
 * @avoided_arg: for @avoided
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
	uv_timer_t timer;
	struct mesh_peer_list peers;
	GHashTable *by_name;
	GHashTable *by_name_hash;
	unsigned n_peers;
	uint64_t records_read_ms;
	unsigned n_others;
	uint64_t cells_heard_ms;
	struct mesh_peer *relay;
	struct mesh_self self;
	int64_t held_term;
	struct mesh_holder holder;
	uint64_t round;
	uint64_t sent_ms;
	uint64_t n_sent;
	uint64_t send_interval_ms;
	struct mesh_report reports[MESH_REPORTS_MAX];
	uint64_t last_entries_from;
	GArray *last_entries;
	struct mesh_sent_entries sent_entries[MESH_SENT_ENTRIES_MAX];
	unsigned n_sent_entries;
	uint64_t forwarded_from;
	uint64_t forwarded_end;
	uint64_t forwarded_ms;
	uint64_t feed_end;
	uint64_t missing_since_ms;
	uint64_t resend_asked_ms;
	bool fetching_entries;
	bool fetching_config;
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
	void (*missed)(void *);
	void *missed_arg;
	void (*avoided)(void *, struct endpoint *);
	void *avoided_arg;
};

/* mesh.c: the socket and the timer. */
int mesh_open(struct mesh *, uv_loop_t *, const struct sockaddr_in *);
void mesh_send_now(struct mesh *);
void mesh_limit_announce(struct mesh *, struct endpoint *);
void mesh_begin(struct mesh *);

/* mesh-peers.c: the daemons that are known. */
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
bool mesh_serving(const struct mesh *);

/* mesh-role.c: who relays, who reads the store, who may place. */
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

/* mesh-loads.c: the others' work, counted at the endpoints. */
void mesh_remove_loads(struct mesh *, struct mesh_peer *);
void mesh_add_loads(struct mesh *, struct mesh_peer *,
    const struct mesh_message *, bool);
void mesh_set_fleet_loads(struct mesh *, struct mesh_peer *,
    const struct mesh_message *);
void mesh_fill_loads(const struct mesh *, struct mesh_message *);
void mesh_save_report(struct mesh *, const struct mesh_message *);
const struct mesh_report *mesh_acked_report(const struct mesh *,
    const struct mesh_message *);

/* mesh-shares.c: who has what share of the limits that endpoints name. */
void mesh_share_limits(struct mesh *);
void mesh_limit_changed(struct mesh *, struct endpoint *);

/* mesh-limits.c: who is told of these limits. */
void mesh_fill_limits(struct mesh *, struct mesh_message *);
void mesh_apply_limits(struct mesh *, const struct mesh_peer *,
    const struct mesh_message *);

/* mesh-poison.c: work that is suspected of ending endpoints. */
void mesh_fill_poison(struct mesh *, struct mesh_message *);
void mesh_apply_poison(struct mesh *, const struct mesh_peer *,
    const struct mesh_message *);

/* mesh-send.c: who is told what, and when. */
void mesh_round(struct mesh *);
void mesh_send(struct mesh *);
void mesh_send_to(struct mesh *, struct mesh_peer *, enum mesh_kind);

/* mesh-receive.c: what a datagram changes. */
void mesh_receive(struct mesh *, char *, size_t, const struct sockaddr_in *);

/* mesh-feed.c: which entries were read and changed. */
void mesh_send_entries(struct mesh *, uint64_t, uint64_t, const GArray *);
bool mesh_receive_entries(struct mesh *, char *, size_t,
    const struct sockaddr_in *);
void mesh_feed_check(struct mesh *, const struct mesh_peer *, uint64_t);
void mesh_feed_clear(struct mesh *);

/* mesh-config.c: fetching a newer configuration from a peer. */
void mesh_fetch_config(struct mesh *, struct mesh_peer *);

/* mesh-serve.c: what is given to others, and fetched at the start. */
unsigned mesh_serve(void *, const char *, GString *);
void mesh_fetch_entries(struct mesh *, struct mesh_peer *, uint64_t);

#endif
