/*
 * One partition of the claims, with a log stream of its own: batches
 * operations, appends them to the stream and decides them by replaying it.
 */
#ifndef BL_CLAIM_PARTITION_H
#define BL_CLAIM_PARTITION_H

#include "claim-item.h"
#include "log-client.h"

/**
 * struct claim_sink - receiver of the decisions.
 * @decided: called for each decided operation, by the partition's thread
 *	without its lock
 * @arg: first argument of @decided
 */
struct claim_sink {
	void (*decided)(void *, const struct claim_item *,
	    const struct claim_answer *);
	void *arg;
};

struct claim_partition;

struct claim_partition *claim_partition_create(struct log_client *, unsigned,
    uint64_t, const struct claim_sink *);
void claim_partition_free(struct claim_partition *);
enum claim_verdict claim_partition_submit(struct claim_partition *,
    struct claim_item *, struct claim_answer *);
void claim_answer_fill(struct claim_answer *, enum claim_verdict,
    const struct claim *);

#endif
