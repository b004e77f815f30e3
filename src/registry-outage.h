/* When the store was last away: for all daemons, or for this one alone. */
#ifndef BL_REGISTRY_OUTAGE_H
#define BL_REGISTRY_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct store_outage - what is known of the store's newest outage.
 * @answered_ms: newest loop time as of which the store is known to have
 *	answered any daemon; 0 for never
 * @failed_ms: loop time of the newest failed call of this daemon; 0 for none
 * @heard_ms: loop time at which another daemon was last heard; 0 for never
 * @from_ms: start of the newest long gap between two answers
 * @until_ms: end of it; 0 for no gap yet
 * @regained_ms: loop time at which that gap proved to be an outage, which is
 *	over; 0 if it was none
 */
struct store_outage {
	uint64_t answered_ms;
	uint64_t failed_ms;
	uint64_t heard_ms;
	uint64_t from_ms;
	uint64_t until_ms;
	uint64_t regained_ms;
};

void outage_note_failed(struct store_outage *, uint64_t);
void outage_note_heard(struct store_outage *, uint64_t);
bool outage_note_answered(struct store_outage *, uint64_t, uint64_t);
bool outage_note_told(struct store_outage *, uint64_t);
bool outage_active(const struct store_outage *, uint64_t);
bool outage_caused(const struct store_outage *, uint64_t, uint64_t);
bool outage_recovering(const struct store_outage *, uint64_t);

#endif
