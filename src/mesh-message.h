/* The state that daemons send each other, one datagram at a time. */
#ifndef BL_MESH_MESSAGE_H
#define BL_MESH_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry-evacuation.h"
#include "sum-table.h"

/* Loads in one datagram; this many fill 7 KB. */
#define MESH_LOADS_MAX 900
/* Avoided endpoints in one datagram. */
#define MESH_AVOID_MAX 64
/* Endpoint limits in one datagram; further ones are sent in rotation. */
#define MESH_LIMITS_MAX 128
/* Endpoint crashes under suspected requests in one datagram; further ones are
 * sent in rotation. */
#define MESH_POISON_MAX 48
/* Value of a limit that means the endpoint no longer names one. */
#define MESH_NO_LIMIT UINT32_MAX
/* Members of one cell: the daemons of one failure domain that report to its
 * relay. */
#define MESH_MEMBERS_MAX 512
/* Members of a cell whose addresses its relay tells the others, so that one of
 * them can replace it; and these with the relays of other cells. */
#define MESH_CANDIDATES_MAX 8
#define MESH_ADDRESSES_MAX 32
/* Size of a name, in bytes, with its terminating NUL. */
#define MESH_NAME_MAX 64
/* Largest datagram, in bytes. */
#define MESH_DATAGRAM_MAX 16384
/* Offset of entries where the sender has read none. */
#define MESH_NO_ENTRIES UINT64_MAX
/* Age of an event that has never happened. */
#define MESH_NEVER UINT32_MAX
/* Largest values of a load that the encoding holds, and their resolution;
 * larger values are clamped. */
#define MESH_INFLIGHT_MAX 1023
#define MESH_PENDING_STEP 16
#define MESH_PENDING_MAX (16383 * MESH_PENDING_STEP)
#define MESH_IDLE_STEP_MS 16
#define MESH_IDLE_MAX_MS (255 * MESH_IDLE_STEP_MS)

/**
 * enum mesh_kind - which daemons a datagram reports on, and who receives it.
 * @MESH_REPORT: the sender alone; sent to its relay
 * @MESH_REDIRECT: none; sent to a daemon that took the sender for a relay, to
 *	name the sender's relay
 * @MESH_CELL_SUMMARY: the sender and the daemons that report to it; sent to
 *	other relays
 * @MESH_FLEET_SUMMARY: all daemons that the sender knows of; sent to those that
 *	report to it
 */
enum mesh_kind {
	MESH_REPORT = 1,
	MESH_REDIRECT,
	MESH_CELL_SUMMARY,
	MESH_FLEET_SUMMARY,
};

/* Size of an array that is indexed by enum mesh_kind. */
#define MESH_KINDS (MESH_FLEET_SUMMARY + 1)

/**
 * struct mesh_load - work in progress at one endpoint.
 * @id_hash: hash of the endpoint's id
 * @inflight: requests in flight
 * @pending: prompt tokens of requests that have had no event yet
 * @idle_ms: time since the endpoint last sent anything, in ms
 */
struct mesh_load {
	uint32_t id_hash;
	uint32_t inflight;
	uint32_t pending;
	uint32_t idle_ms;
};

/**
 * struct mesh_avoid - an endpoint that has gone silent or is being closed.
 * @id_hash: hash of the endpoint's id
 * @age_ms: time since a daemon detected this, in ms
 */
struct mesh_avoid {
	uint32_t id_hash;
	uint32_t age_ms;
};

/**
 * struct mesh_limit - the request rate limit that an endpoint names.
 * @id_hash: hash of the endpoint's id
 * @milli_per_s: limit for all daemons together, in thousandths of a request per
 *	second; MESH_NO_LIMIT where the endpoint no longer names one
 * @age_ms: time since a response of the endpoint said so, in ms
 * @users: daemons of the sender's cell that may use the endpoint
 * @each_micro_per_s: rate of each of these, in millionths of a request per
 *	second
 */
struct mesh_limit {
	uint32_t id_hash;
	uint32_t milli_per_s;
	uint32_t age_ms;
	uint32_t users;
	uint32_t each_micro_per_s;
};

/**
 * enum mesh_poison_kind - what was observed of a suspect.
 * @MESH_POISON_BROKEN: an endpoint broke its connections while running it
 * @MESH_POISON_SILENT: an endpoint went silent while running it
 * @MESH_POISON_CLEARED: an endpoint survived it
 */
enum mesh_poison_kind {
	MESH_POISON_BROKEN = 1,
	MESH_POISON_SILENT,
	MESH_POISON_CLEARED,
};

/**
 * struct mesh_poison - an endpoint crash under a suspected request or part of
 * prompts, or that it was cleared.
 * @fingerprint: fingerprint of the suspect
 * @part: it is a part of prompts
 * @id_hash: hash of the endpoint's id; 0 where the suspect was cleared
 * @started: low 32 bits of the start time of the endpoint's incarnation, in ms
 *	of wall-clock time
 * @age_ms: time since the crash or the clearance, in ms
 * @kind: what was observed
 */
struct mesh_poison {
	uint64_t fingerprint;
	bool part;
	uint32_t id_hash;
	uint32_t started;
	uint32_t age_ms;
	enum mesh_poison_kind kind;
};

/**
 * struct mesh_member - a daemon that reports to the sender.
 * @name_hash: hash of the daemon's name
 * @config_current: it has the newest configuration that the sender knows of
 */
struct mesh_member {
	uint32_t name_hash;
	bool config_current;
};

/**
 * struct mesh_self - what a daemon reports about itself.
 * @placer: it holds the placer's lease
 * @draining: it completes its requests and shuts down
 * @store_ok: the store answers it
 * @served: it, or a daemon that it reports on, has received requests from
 *	clients
 * @sums: it understands sums in datagrams
 * @term: newest term of the placer's lease that it knows of
 */
struct mesh_self {
	bool placer;
	bool draining;
	bool store_ok;
	bool served;
	bool sums;
	int64_t term;
};

/**
 * struct mesh_placer - the holder of the placer's lease, as the sender knows
 * it.
 * @name_hash: hash of the daemon's name
 * @term: term of its lease
 * @age_ms: time since it was last heard, in ms; MESH_NEVER for never
 * @can_place: it reaches the store and is not draining
 */
struct mesh_placer {
	uint32_t name_hash;
	int64_t term;
	uint32_t age_ms;
	bool can_place;
};

/**
 * struct mesh_address - how to reach a daemon.
 * @name: its name; empty for none
 * @domain: its failure domain; empty where the receiver knows it
 * @ip: its IPv4 address, in network order
 * @port: its port, in host order
 * @capacity: its CPU capacity, in thousandths of a core
 */
struct mesh_address {
	char name[MESH_NAME_MAX];
	char domain[MESH_NAME_MAX];
	uint32_t ip;
	uint16_t port;
	uint32_t capacity;
};

/**
 * struct mesh_message - one datagram.
 * @kind: which daemons it reports on
 * @name: name of the sender
 * @domain: failure domain of the sender
 * @capacity: CPU capacity of the sender, in thousandths of a core
 * @incarnation: random number that the sender drew at its start
 * @sequence: sequence number; increases with each datagram of an incarnation
 * @ping: the sender's clock when it sent this, in ms, plus @incarnation, so
 *	that the sender can tell the pings of its runs apart
 * @pong: newest @ping that the sender received from the receiver; 0 in a
 *	datagram that is sent to many
 * @self: what the sender reports about itself
 * @placer: what it knows of the placer
 * @relay: the daemon that it reports to; none where it is a relay itself
 * @config_version: version of the configuration in force there; -1 for none
 * @config_offset: store offset of that configuration
 * @config_age_ms: age of the proof that this configuration is the newest, in ms
 * @entries_end: the sender has all entries of endpoints up to this store
 *	offset; MESH_NO_ENTRIES where it has read none
 * @partial: a MESH_FLEET_SUMMARY without members and with the loads of
 *endpoints in the sender's failure domain only
 * @ack: acknowledgement of the receiver's reports, from the envelope; 0 for
 *none
 * @n_alive: live daemons that this reports on
 * @n_loads: number of @loads
 * @n_avoid: number of @avoid
 * @n_limits: number of @limits
 * @n_poison: number of @poison
 * @n_members: number of @members
 * @n_addresses: number of @addresses
 * @loads: work of these daemons, by endpoint
 * @avoid: endpoints to avoid
 * @limits: limits that endpoints name
 * @poison: crashes under suspected requests
 * @members: daemons that report to the sender; in a whole MESH_FLEET_SUMMARY
 *only
 * @addresses: of members that may become the relay and of relays of other
 *cells, in some MESH_FLEET_SUMMARY only
 * @evacuations: the evacuated failure domains
 * @with_sums: it has @sums; encoded only for daemons that understand them
 * @sums: sums over these daemons, by kind
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
	struct mesh_address relay;
	int64_t config_version;
	uint64_t config_offset;
	uint32_t config_age_ms;
	uint64_t entries_end;
	bool partial;
	uint32_t ack;
	uint32_t n_alive;
	uint32_t n_loads;
	uint32_t n_avoid;
	uint32_t n_limits;
	uint32_t n_poison;
	uint32_t n_members;
	uint32_t n_addresses;
	struct mesh_load loads[MESH_LOADS_MAX];
	struct mesh_avoid avoid[MESH_AVOID_MAX];
	struct mesh_limit limits[MESH_LIMITS_MAX];
	struct mesh_poison poison[MESH_POISON_MAX];
	struct mesh_member members[MESH_MEMBERS_MAX];
	struct mesh_address addresses[MESH_ADDRESSES_MAX];
	struct evacuations evacuations;
	bool with_sums;
	struct sum_table sums[SUM_KINDS];
};

size_t mesh_message_encode(const struct mesh_message *, char *, size_t);
bool mesh_message_decode(struct mesh_message *, char *, size_t);
void mesh_message_init(struct mesh_message *);

#endif
