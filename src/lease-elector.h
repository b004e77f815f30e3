/* Keeping a control lease: when to take, renew and stop. Pure decisions. */
#ifndef BL_LEASE_ELECTOR_H
#define BL_LEASE_ELECTOR_H

#include <stdbool.h>
#include <stdint.h>

struct lease;

enum lease_step {
	LEASE_WAIT,
	LEASE_TAKE,
	LEASE_RENEW,
};

/**
 * struct lease_times - the bounds, in milliseconds.
 * @renew: between renewals
 * @hold: a holder stops this long after it *sent* its last known renewal
 * @wait: another takes over this long after it *read* the last renewal
 */
struct lease_times {
	uint64_t renew;
	uint64_t hold;
	uint64_t wait;
};

/**
 * struct lease_elector - one daemon's view of one lease.
 * @seen_term: term that was read last
 * @seen_renewed: renewal that was read last
 * @seen_ms: when that renewal was first read
 * @sent_ms: when the record in flight was sent, before its append
 * @sent_offset: offset of that record, 0 while it is not known
 * @hold_until_ms: the holder may act before this time
 */
struct lease_elector {
	uint64_t seen_term;
	uint64_t seen_renewed;
	uint64_t seen_ms;
	uint64_t sent_ms;
	uint64_t sent_offset;
	uint64_t hold_until_ms;
};

void lease_elector_init(struct lease_elector *, uint64_t);
enum lease_step lease_elector_step(struct lease_elector *,
    const struct lease_times *, const struct lease *, const char *, uint64_t,
    uint64_t);
void lease_elector_sent(struct lease_elector *, uint64_t, uint64_t);
bool lease_elector_holds(const struct lease_elector *, uint64_t);

#endif
