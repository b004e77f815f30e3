/*
 * Decides when a daemon takes and renews a control lease, and how long it holds
 * it. Does no I/O; the time is an argument.
 */
#ifndef BL_LEASE_ELECTOR_H
#define BL_LEASE_ELECTOR_H

#include <stdbool.h>
#include <stdint.h>

struct lease;

/**
 * enum lease_step - what to do about the lease.
 * @LEASE_WAIT: nothing
 * @LEASE_TAKE: append a record that takes the lease
 * @LEASE_RENEW: append a renewal
 */
enum lease_step {
	LEASE_WAIT,
	LEASE_TAKE,
	LEASE_RENEW,
};

/**
 * struct lease_times - the times of a lease, in ms.
 * @renew: time between two renewals
 * @hold: a holder stops this long after it *sent* the last renewal that it has
 *	read back
 * @wait: another daemon takes over this long after it *read* the last renewal
 */
struct lease_times {
	uint64_t renew;
	uint64_t hold;
	uint64_t wait;
};

/**
 * struct lease_elector - one daemon's state for taking and holding a lease.
 * Times are monotonic, in ms.
 * @seen_term: term that was read last
 * @seen_renewed: renewal that was read last
 * @seen_ms: when that renewal was first read
 * @sent_ms: when the last lease record was sent, just before its append
 * @sent_offset: offset of that record; 0 while it is not known
 * @hold_until_ms: this daemon holds the lease before this time; 0 if another
 *	has it
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
void lease_elector_note_sent(struct lease_elector *, uint64_t, uint64_t);
bool lease_elector_holds(const struct lease_elector *, uint64_t);

#endif
