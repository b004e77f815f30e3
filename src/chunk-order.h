/*
 * Puts the chunks of a stream in index order and drops duplicates. Has no side
 * effects outside the struct.
 */
#ifndef BL_CHUNK_ORDER_H
#define BL_CHUNK_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct chunk_order - reorder buffer for the chunks of one stream.
 * @next: index of the next chunk in order
 * @held: index to text of the chunks that are received but not taken
 * @end: number of chunks according to the end marker, -1 before it
 */
struct chunk_order {
	int64_t next;
	GHashTable *held;
	int64_t end;
};

void chunk_order_init(struct chunk_order *);
void chunk_order_clear(struct chunk_order *);
bool chunk_order_add(struct chunk_order *, int64_t, const char *);
bool chunk_order_set_end(struct chunk_order *, int64_t);
char *chunk_order_take(struct chunk_order *);
bool chunk_order_complete(const struct chunk_order *);

#endif
