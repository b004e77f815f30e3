/*
 * Heads that were left behind: their group was dissolved without them, so they
 * make no progress until the platform breaks the group, but may still accept
 * requests.
 */
#ifndef BL_PLACER_LEFT_HEADS_H
#define BL_PLACER_LEFT_HEADS_H

#include "registry-fleet.h"
#include "replica.h"

/**
 * struct left_head - a head that was left behind.
 * @id: id of the host's incarnation
 * @epoch: epoch of the group
 * @until_ms: loop time until which others are warned of it
 * @entry: in the list
 */
struct left_head {
	char *id;
	int64_t epoch;
	uint64_t until_ms;
	TAILQ_ENTRY(left_head) entry;
};

TAILQ_HEAD(left_head_list, left_head);

/**
 * struct left_heads - heads that were left behind.
 * @list: these heads, the one that was noted first in front
 * @n: their number
 */
struct left_heads {
	struct left_head_list list;
	unsigned n;
};

void left_heads_init(struct left_heads *);
void left_heads_clear(struct left_heads *);
void left_heads_note(struct left_heads *, const struct replica *,
    const struct fleet *, uint64_t, uint64_t);
void left_heads_update(struct left_heads *, const struct fleet *, uint64_t);
void endpoint_warn_of_head(struct endpoint *, uint64_t, uint64_t);

#endif
