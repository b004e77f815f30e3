/* The other daemons: who lives, what they do, what they know. */
#ifndef BL_MESH_H
#define BL_MESH_H

#include "registry.h"
#include "fwd-budget.h"
#include "mesh-entries.h"
#include "mesh-news.h"

/* How often a daemon with work reports it; a load is this old at its relay at
 * most. Three of these are well below the shortest objective. */
#define MESH_ROUND_MS 100
/* Silence of a relay after which another takes its place: four of its words.
 * With three, one datagram lost in forty moved two daemons of 295 from their
 * relays in a minute; with four, none. */
#define MESH_RELAY_LOST_MS 900
/* Silence after which a daemon counts as dead; three of its rounds without
 * work, and a lost datagram. */
#define MESH_PEER_DEAD_MS 1500
/* Reports kept until the relay's answer shows which one it had last: longer
 * than the longest round of a relay. */
#define MESH_REPORTS 16
/* Where a daemon gives its configuration to others. */
#define MESH_CONFIG_PATH "/config"
/* Datagrams of entries kept for those that missed one. */
#define MESH_ENTRIES_KEPT 64

/**
 * struct mesh_peer - another daemon.
 * @name: its name
 * @domain: its failure domain
 * @key: short name of it
 * @capacity: thousandths of a core that it has
 * @addr: where it listens
 * @life: of its current run
 * @sequence: of its newest datagram
 * @ping: of its newest datagram
 * @heard_ms: time of that; 0 for never
 * @met_ms: when this daemon first knew of it
 * @reported_ms: of its newest report to this daemon; 0 for never
 * @relayed_ms: of its newest datagram as a relay; 0 for never
 * @gap_ms: moving mean of the time between two of these
 * @listed_ms: when a relay last said that it lives; 0 for never
 * @pointed_ms: when it was last named as a relay; 0 for never
 * @tried_ms: when this daemon began to report to it on trial; 0 for never
 * @living: daemons that its newest datagram spoke for
 * @newest: its relay said that it has the newest configuration
 * @self: what it says of itself
 * @config_version: in force there
 * @config_offset: its place in the store
 * @config_proof_ms: time as of which it was the newest; 0 for unknown
 * @loads: of struct mesh_load, as they are counted in the fleet
 * @loads_ms: when they were counted
 * @loads_cell: they are counted as the cell's
 * @pool: connections to it
 * @entry: in the mesh
 */
struct mesh_peer {
	char *name;
	char *domain;
	uint32_t key;
	uint32_t capacity;
	struct sockaddr_in addr;
	uint64_t life;
	uint64_t sequence;
	uint64_t ping;
	uint64_t heard_ms;
	uint64_t met_ms;
	uint64_t reported_ms;
	uint64_t relayed_ms;
	double gap_ms;
	uint64_t listed_ms;
	uint64_t pointed_ms;
	uint64_t tried_ms;
	uint32_t living;
	bool newest;
	struct mesh_self self;
	int64_t config_version;
	uint64_t config_offset;
	uint64_t config_proof_ms;
	GArray *loads;
	uint64_t loads_ms;
	bool loads_cell;
	struct net_pool pool;
	TAILQ_ENTRY(mesh_peer) entry;
};

TAILQ_HEAD(mesh_peer_list, mesh_peer);

/**
 * struct mesh_told - a report that this daemon sent.
 * @sequence: of the datagram
 * @sent_ms: when
 * @loads: the work in it, of struct mesh_load
 */
struct mesh_told {
	uint64_t sequence;
	uint64_t sent_ms;
	GArray *loads;
};

/**
 * struct mesh_holder - what is known of the daemon that places.
 * @key: short name of it
 * @term: of its lease
 * @heard_ms: when it last said so; 0 for never
 * @fit: it reaches the store and is not leaving
 * @gap_ms: moving mean of the time between two such words
 */
struct mesh_holder {
	uint32_t key;
	int64_t term;
	uint64_t heard_ms;
	bool fit;
	double gap_ms;
};

/**
 * struct mesh_kept - a datagram of entries, kept for those that missed it.
 * @from: its records are all that changed from this offset
 * @end: to this one
 * @bytes: the datagram
 */
struct mesh_kept {
	uint64_t from;
	uint64_t end;
	GBytes *bytes;
};

/**
 * struct mesh - all of them.
 * @now_ms: the time, set by whoever calls in
 * @opened_ms: when this daemon began
 * @send: sends a datagram
 * @send_arg: for @send
 * @loop: the event loop
 * @registry: what is known of the deployment
 * @name: of this daemon
 * @domain: its failure domain
 * @key: short name of it
 * @capacity: thousandths of a core that it has
 * @addr: where it listens
 * @life: drawn at its start
 * @sequence: of its newest datagram
 * @udp: socket
 * @timer: when to tell
 * @peers: the others
 * @by_name: name to struct mesh_peer
 * @by_key: short name to struct mesh_peer
 * @n_peers: how many
 * @known_ms: when the records of the daemons were first read; 0 before
 * @size: others that live, by own or others' knowledge, as of this round
 * @fleet_ms: when a daemon of the own failure domain last spoke or was spoken
 *	to as a relay of a cell; 0 for never
 * @relay: whom this daemon reports to; NULL where it is a relay itself
 * @self: what this daemon says of itself
 * @held_term: of the lease that this daemon holds while self.placer is set
 * @holder: another daemon that places
 * @round: rounds of telling so far
 * @told_ms: when this daemon last told as a relay
 * @n_told: how often it did
 * @tell_ms: between two such times
 * @reports: the newest reports, by their sequence
 * @told_from: the last datagrams of entries told of records from here
 * @told: these records, told once more with the next
 * @kept: the newest datagrams of entries
 * @n_kept: how many were kept so far
 * @forwarded_from: of the newest datagram of entries that was told on
 * @forwarded_end: of the same
 * @forwarded_ms: when
 * @feed_end: newest offset that any peer's entries are complete up to
 * @gap_ms: since when entries are missing here; 0 while none are
 * @asked_ms: when a peer was last asked for them
 * @fetching_entries: entries are being fetched from the relay
 * @fetching: a configuration is being fetched from a peer
 * @fetched_version: the one that it had when it was asked
 * @fetched_offset: its place in the store
 * @fetched_proof_ms: time as of which it was the newest; 0 for unknown
 * @newest: newest version of the configuration that any peer had
 * @behind_ms: since when that is newer than the own one; 0 while it is not
 * @cell_keys: short names of the others of the own cell, as its relay told them
 * @n_cell_keys: how many
 * @lived: the most daemons that lived lately
 * @lived_least: the fewest since @lived_since_ms
 * @lived_since_ms: when that began to be counted
 * @newcomer_ms: when a daemon was first heard that starts or had not been
 *	heard; 0 for never
 * @limits_told_ms: when some limits were last told of again, by kind of
 *	datagram; 0 for never
 * @limits_next: how many come before those that are next, by kind
 * @poison_told_ms: when some suspected work was last told of again, by kind of
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
	void (*send)(void *, const struct sockaddr_in *, const char *, size_t);
	void *send_arg;
	uv_loop_t *loop;
	struct registry *registry;
	const char *name;
	const char *domain;
	uint32_t key;
	uint32_t capacity;
	struct sockaddr_in addr;
	uint64_t life;
	uint64_t sequence;
	uv_udp_t udp;
	uv_timer_t timer;
	struct mesh_peer_list peers;
	GHashTable *by_name;
	GHashTable *by_key;
	unsigned n_peers;
	uint64_t known_ms;
	unsigned size;
	uint64_t fleet_ms;
	struct mesh_peer *relay;
	struct mesh_self self;
	int64_t held_term;
	struct mesh_holder holder;
	uint64_t round;
	uint64_t told_ms;
	uint64_t n_told;
	uint64_t tell_ms;
	struct mesh_told reports[MESH_REPORTS];
	uint64_t told_from;
	GArray *told;
	struct mesh_kept kept[MESH_ENTRIES_KEPT];
	unsigned n_kept;
	uint64_t forwarded_from;
	uint64_t forwarded_end;
	uint64_t forwarded_ms;
	uint64_t feed_end;
	uint64_t gap_ms;
	uint64_t asked_ms;
	bool fetching_entries;
	bool fetching;
	int64_t fetched_version;
	uint64_t fetched_offset;
	uint64_t fetched_proof_ms;
	int64_t newest;
	uint64_t behind_ms;
	uint32_t cell_keys[MESH_MEMBERS_MAX];
	unsigned n_cell_keys;
	struct fwd_sharers lived;
	unsigned lived_least;
	uint64_t lived_since_ms;
	uint64_t newcomer_ms;
	uint64_t limits_told_ms[MESH_KINDS];
	unsigned limits_next[MESH_KINDS];
	uint64_t poison_told_ms[MESH_KINDS];
	unsigned poison_next[MESH_KINDS];
	void (*missed)(void *);
	void *missed_arg;
	void (*avoided)(void *, struct endpoint *);
	void *avoided_arg;
};

/* mesh.c: the socket and the timer. */
int mesh_open(struct mesh *, uv_loop_t *, const struct sockaddr_in *);
void mesh_tell_now(struct mesh *);
void mesh_limit_now(struct mesh *, struct endpoint *);
void mesh_begin(struct mesh *);

/* mesh-peers.c: the daemons that are known. */
void mesh_init(struct mesh *, uint64_t, uint64_t);
void mesh_clear(struct mesh *);
struct mesh_peer *mesh_add(struct mesh *, const char *, const char *, uint32_t,
    const struct sockaddr_in *);
void mesh_known(struct mesh *);
struct mesh_peer *mesh_find(const struct mesh *, const char *);
struct mesh_peer *mesh_find_key(const struct mesh *, uint32_t);
void mesh_peer_free(struct mesh *, struct mesh_peer *);
bool mesh_peer_near(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_relays(const struct mesh *, const struct mesh_peer *);
void mesh_peer_relayed(const struct mesh *, struct mesh_peer *);
bool mesh_peer_reports(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_hinted(const struct mesh *, const struct mesh_peer *);
bool mesh_led(const struct mesh *);
unsigned mesh_living(const struct mesh *);
bool mesh_serving(const struct mesh *);

/* mesh-role.c: who relays, who reads the store, who may place. */
bool mesh_flat(const struct mesh *);
bool mesh_before(const struct mesh *, const struct mesh_peer *);
bool mesh_peer_before(const struct mesh_peer *, const struct mesh_peer *);
struct mesh_peer *mesh_choose_relay(struct mesh *);
void mesh_note_holder(struct mesh *, const struct mesh_news *);
bool mesh_placer_heard(const struct mesh *);
bool mesh_lease_outdone(const struct mesh *);
unsigned mesh_rank(const struct mesh *);
bool mesh_first_reader(const struct mesh *);
unsigned mesh_patience_ms(const struct mesh *, unsigned, unsigned);

/* mesh-loads.c: the others' work, counted at the endpoints. */
void mesh_uncount(struct mesh *, struct mesh_peer *);
void mesh_count(struct mesh *, struct mesh_peer *, const struct mesh_news *,
    bool);
void mesh_count_fleet(struct mesh *, struct mesh_peer *,
    const struct mesh_news *);
void mesh_fill_loads(const struct mesh *, struct mesh_news *);
void mesh_keep_report(struct mesh *, const struct mesh_news *);
const struct mesh_told *mesh_answered_report(const struct mesh *,
    const struct mesh_news *);

/* mesh-shares.c: who has what share of the limits that endpoints name. */
void mesh_share_limits(struct mesh *);
void mesh_limit_heard(struct mesh *, struct endpoint *);

/* mesh-limits.c: who is told of these limits. */
void mesh_fill_limits(struct mesh *, struct mesh_news *);
void mesh_take_limits(struct mesh *, const struct mesh_peer *,
    const struct mesh_news *);

/* mesh-poison.c: work that is suspected of ending endpoints. */
void mesh_fill_poison(struct mesh *, struct mesh_news *);
void mesh_take_poison(struct mesh *, const struct mesh_peer *,
    const struct mesh_news *);

/* mesh-tell.c: who is told what, and when. */
void mesh_round(struct mesh *);
void mesh_tell(struct mesh *);
void mesh_tell_peer(struct mesh *, struct mesh_peer *, enum mesh_kind);

/* mesh-take.c: what a datagram changes. */
void mesh_take(struct mesh *, char *, size_t, const struct sockaddr_in *);

/* mesh-feed.c: which entries were read and changed. */
void mesh_tell_entries(struct mesh *, uint64_t, uint64_t, const GArray *);
bool mesh_take_entries(struct mesh *, char *, size_t,
    const struct sockaddr_in *);
void mesh_feed_look(struct mesh *, const struct mesh_peer *, uint64_t);
void mesh_feed_clear(struct mesh *);

/* mesh-config.c: fetching a newer configuration from a peer. */
void mesh_fetch_config(struct mesh *, struct mesh_peer *);

/* mesh-serve.c: what is given to others, and fetched at the start. */
unsigned mesh_serve(void *, const char *, GString *);
void mesh_fetch_entries(struct mesh *, struct mesh_peer *, uint64_t);

#endif
