/* What daemons tell each other in one datagram. */
#ifndef BL_MESH_MESSAGE_H
#define BL_MESH_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Endpoints in one datagram; so many fill 7 KB. */
#define MESH_LOADS_MAX 900
/* Endpoints to avoid in one datagram. */
#define MESH_AVOID_MAX 64
/* Limits of endpoints in one datagram; more are told of in turn. */
#define MESH_LIMITS_MAX 128
/* Ends of endpoints under suspected work in one datagram; more are told of in
 * turn. */
#define MESH_POISON_MAX 48
/* In place of a limit: the endpoint names none any more. */
#define MESH_NO_LIMIT UINT32_MAX
/* Members of one cell. */
#define MESH_MEMBERS_MAX 512
#define MESH_NAME_MAX 64
/* Largest datagram. */
#define MESH_DATAGRAM_MAX 16384
/* Offset of entries that the sender does not have. */
#define MESH_NO_ENTRIES UINT64_MAX
/* Age of what never was. */
#define MESH_NEVER UINT32_MAX
/* Largest figures of a load that a datagram holds; larger ones are cut. */
#define MESH_INFLIGHT_MAX 1023
#define MESH_PENDING_STEP 16
#define MESH_PENDING_MAX (16383 * MESH_PENDING_STEP)
#define MESH_IDLE_STEP_MS 16
#define MESH_IDLE_MAX_MS (255 * MESH_IDLE_STEP_MS)

/**
 * enum mesh_kind - whom a datagram speaks for.
 * @MESH_REPORT: the sender alone; to its relay
 * @MESH_REDIRECT: nobody; it names the sender's relay to one that did not know
 * @MESH_CELL_SUMMARY: the sender and the daemons that report to it; to other
 * relays
 * @MESH_FLEET_SUMMARY: all daemons that the sender knows of; to those that
 * report to it
 */
enum mesh_kind {
	MESH_REPORT = 1,
	MESH_REDIRECT,
	MESH_CELL_SUMMARY,
	MESH_FLEET_SUMMARY,
};

#define MESH_KINDS (MESH_FLEET_SUMMARY + 1)

/**
 * struct mesh_load - work at one endpoint.
 * @id_hash: short name of the endpoint
 * @inflight: requests
 * @pending: prompt tokens without a first event yet
 * @idle_ms: how long ago it last sent anything
 */
struct mesh_load {
	uint32_t id_hash;
	uint32_t inflight;
	uint32_t pending;
	uint32_t idle_ms;
};

/**
 * struct mesh_avoid - an endpoint that fell silent or is being closed.
 * @id_hash: short name of the endpoint
 * @age_ms: since a daemon found so
 */
struct mesh_avoid {
	uint32_t id_hash;
	uint32_t age_ms;
};

/**
 * struct mesh_limit - the limit that an endpoint names.
 * @id_hash: short name of the endpoint
 * @milli_per_s: thousandths of a request a second, from all daemons together;
 *	MESH_NO_LIMIT where it names none any more
 * @age_ms: since an answer said so
 * @users: daemons of the sender's cell that may use the endpoint
 * @each_micro_per_s: millionths of a request a second that each of these may
 *send
 */
struct mesh_limit {
	uint32_t id_hash;
	uint32_t milli_per_s;
	uint32_t age_ms;
	uint32_t users;
	uint32_t each_micro_per_s;
};

/**
 * enum mesh_poison_kind - what is told of some work.
 * @MESH_POISON_BROKEN: an endpoint broke its connections while it had it
 * @MESH_POISON_SILENT: an endpoint fell silent while it had it
 * @MESH_POISON_CLEARED: it was answered whole
 */
enum mesh_poison_kind {
	MESH_POISON_BROKEN = 1,
	MESH_POISON_SILENT,
	MESH_POISON_CLEARED,
};

/**
 * struct mesh_poison - an endpoint that ended under some work.
 * @fingerprint: fingerprint of the work
 * @id_hash: short name of the endpoint; 0 where the work was cleared
 * @started: low half of the time of day of its incarnation's start, in ms
 * @age_ms: since that
 * @kind: how it showed
 */
struct mesh_poison {
	uint64_t fingerprint;
	uint32_t id_hash;
	uint32_t started;
	uint32_t age_ms;
	enum mesh_poison_kind kind;
};

/**
 * struct mesh_member - a daemon that reports to the sender.
 * @name_hash: short name of the daemon
 * @sequence: low half of that of its newest report
 * @config_current: it has the newest configuration that the sender knows of
 */
struct mesh_member {
	uint32_t name_hash;
	uint16_t sequence;
	bool config_current;
};

/**
 * struct mesh_self - what a daemon says of itself.
 * @placer: it holds the placer's lease
 * @leaving: it is about to end
 * @store_ok: the store answers it
 * @serving: it, or one that it speaks for, has had requests from callers
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
 * struct mesh_placer - the daemon that places, as the sender knows it.
 * @name_hash: short name of it
 * @term: of its lease
 * @age_ms: since it was heard; MESH_NEVER for never
 * @can_place: it reaches the store and is not leaving
 */
struct mesh_placer {
	uint32_t name_hash;
	int64_t term;
	uint32_t age_ms;
	bool can_place;
};

/**
 * struct mesh_relay - the daemon that the sender reports to.
 * @name: its name; empty where the sender is a relay itself
 * @ip: its address, in network order
 * @port: where it listens
 * @capacity: of it
 */
struct mesh_relay {
	char name[MESH_NAME_MAX];
	uint32_t ip;
	uint16_t port;
	uint32_t capacity;
};

/**
 * struct mesh_message - one datagram.
 * @kind: whom it speaks for
 * @name: of the sender
 * @domain: its failure domain
 * @capacity: thousandths of a core that it has
 * @incarnation: drawn at its start
 * @sequence: grows with each datagram
 * @ping: the sender's clock when it sent this
 * @pong: the newest @ping that it had from the receiver; 0 where it is sent
 *	to many
 * @self: what the sender says of itself
 * @placer: what it knows of the placer
 * @relay: whom it reports to
 * @config_version: in force there; -1 for none
 * @config_offset: its place in the store
 * @config_age_ms: how old its proof is that this is the newest
 * @entries_end: its endpoints' entries are complete up to this offset;
 *	MESH_NO_ENTRIES where it has read none
 * @n_alive: daemons that this speaks for
 * @loads: their work
 * @n_loads: how many
 * @avoid: endpoints to avoid
 * @n_avoid: how many
 * @limits: that endpoints name
 * @n_limits: how many
 * @poison: suspected work
 * @n_poison: how many
 * @members: that report to the sender; in MESH_FLEET only
 * @n_members: how many
 */
struct mesh_message {
	enum mesh_kind kind;
	char name[MESH_NAME_MAX];
	char domain[MESH_NAME_MAX];
	uint32_t capacity;
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t ping;
	uint64_t pong;
	struct mesh_self self;
	struct mesh_placer placer;
	struct mesh_relay relay;
	int64_t config_version;
	uint64_t config_offset;
	uint32_t config_age_ms;
	uint64_t entries_end;
	uint32_t n_alive;
	uint32_t n_loads;
	uint32_t n_avoid;
	uint32_t n_limits;
	uint32_t n_poison;
	uint32_t n_members;
	struct mesh_load loads[MESH_LOADS_MAX];
	struct mesh_avoid avoid[MESH_AVOID_MAX];
	struct mesh_limit limits[MESH_LIMITS_MAX];
	struct mesh_poison poison[MESH_POISON_MAX];
	struct mesh_member members[MESH_MEMBERS_MAX];
};

size_t mesh_message_encode(const struct mesh_message *, char *, size_t);
bool mesh_message_decode(struct mesh_message *, char *, size_t);
void mesh_message_clear(struct mesh_message *);

#endif
