/* Puts the chunks of a stream in order, each once. Pure. */
#ifndef BL_CHUNK_ORDER_H
#define BL_CHUNK_ORDER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct chunk_order - chunks that came, and those given on.
 * @next: index of the chunk to be given next
 * @held: index to text of chunks that came too early
 * @end: count of chunks by the end mark, -1 before it came
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
