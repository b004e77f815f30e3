/* Whether the placer itself reaches hosts, so that silence tells of a member.
 * Pure functions. */
#ifndef BL_REPLICA_REACH_H
#define BL_REPLICA_REACH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct replica_reach - what hosts that were asked as a sample answered.
 * @lost: less than half of the last sample answered
 * @restored_ms: loop time from which on at least half answered after that, or
 *	no member was silent any more; 0 for never lost
 * @proved_ms: loop time at which the last sample was asked of which at least
 *	half answered; 0 for never
 */
struct replica_reach {
	bool lost;
	uint64_t restored_ms;
	uint64_t proved_ms;
};

bool replica_reach_note(struct replica_reach *, unsigned, unsigned, uint64_t);
bool replica_reach_clear(struct replica_reach *, uint64_t);
bool replica_reach_tells(const struct replica_reach *, uint64_t, uint64_t,
    uint64_t *);

#endif
