/* Membership: the daemons known, and the newest evidence that each is alive. */
#ifndef BL_MEMBERS_H
#define BL_MEMBERS_H

#include <sys/queue.h>

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "setting.h"

/**
 * struct member - one daemon.
 * @name: its name
 * @domain: its failure domain
 * @ip: IPv4 address in host byte order
 * @port: its peer port
 * @incarnation: number of its run, new at every start
 * @next_offset: first configuration offset that it has not applied
 * @draining: it is draining
 * @as_of_ms: local time; it is known to have been alive at this time or later
 * @name_hash: stable hash of its name
 * @entry: link in the list of members
 */
struct member {
	char *name;
	char *domain;
	uint32_t ip;
	uint16_t port;
	uint64_t incarnation;
	uint64_t next_offset;
	bool draining;
	uint64_t as_of_ms;
	uint64_t name_hash;
	TAILQ_ENTRY(member) entry;
};

TAILQ_HEAD(member_list, member);

/**
 * struct members - this daemon and the others.
 * @lock: guards the fields below
 * @self: this daemon; its @as_of_ms is not used
 * @others: the other daemons
 * @by_name: the other daemons by name
 * @dead_ms: silence after which a daemon counts as dead
 * @rotation: counter of rounds; selects which members a reply names, and
 *	which daemon of each other failure domain is queried
 * @remote_rotation: counter; selects which other failure domain is queried
 */
struct members {
	GMutex lock;
	struct member self;
	struct member_list others;
	GHashTable *by_name;
	uint64_t dead_ms;
	unsigned rotation;
	unsigned remote_rotation;
};

void members_init(struct members *, const struct settings *, const char *);
void members_destroy(struct members *);
void members_update(struct members *, const struct member *, uint64_t);
void members_refresh(struct members *, uint32_t, bool, uint64_t);
void members_introduce(struct members *, const struct member *, uint64_t);
bool member_alive(const struct members *, const struct member *, uint64_t);
unsigned members_count_sharing(struct members *, uint64_t);
uint64_t member_name_hash(const char *);
unsigned members_rank(struct members *, uint64_t, uint64_t, uint64_t);
bool members_owner(struct members *, uint64_t, uint64_t, const GArray *,
    struct member *);
void members_forget(struct members *, uint64_t);
void members_select_local(struct members *, uint64_t, uint64_t, GArray *);
void members_select_share(struct members *, unsigned, unsigned, GArray *);
void members_select_remote(struct members *, GArray *);
void members_select_each_remote(struct members *, GArray *);
bool members_most_advanced(struct members *, uint64_t, uint64_t,
    struct member *);

#endif
