/* Puts the chunks of a stream in index order and drops duplicates. */
#include "chunk-order.h"

/* A chunk further ahead of the next in order violates the protocol. */
#define CHUNKS_AHEAD_MAX 256

/**
 * chunk_order_init() - initialize, to expect the first chunk.
 * @order: the reorder buffer
 */
void
chunk_order_init(struct chunk_order *order)
{
	order->next = 0;
	order->end = -1;
	order->held =
	    g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/**
 * chunk_order_clear() - free the chunks that were not taken.
 * @order: the reorder buffer
 */
void
chunk_order_clear(struct chunk_order *order)
{
	g_clear_pointer(&order->held, g_hash_table_unref);
}

/**
 * chunk_order_add() - add a received chunk.
 * @order: the reorder buffer
 * @index: index of the chunk
 * @text: text of the chunk; copied
 *
 * A duplicate is dropped.
 *
 * Return: false if the chunk violates the protocol: its index is negative, too
 * far ahead or beyond the end marker.
 */
bool
chunk_order_add(struct chunk_order *order, int64_t index, const char *text)
{
	if (index < 0 || index >= order->next + CHUNKS_AHEAD_MAX ||
	    (order->end >= 0 && index >= order->end))
		return (false);
	if (index < order->next || g_hash_table_contains(order->held, &index))
		return (true);
	g_hash_table_insert(order->held, g_memdup2(&index, sizeof index),
	    g_strdup(text));
	return (true);
}

/**
 * chunk_order_set_end() - process the end marker.
 * @order: the reorder buffer
 * @count: number of chunks of the whole stream
 *
 * Return: false if more chunks were taken already, or if an earlier end marker
 * had a different count.
 */
bool
chunk_order_set_end(struct chunk_order *order, int64_t count)
{
	if (count < order->next || (order->end >= 0 && order->end != count))
		return (false);
	order->end = count;
	return (true);
}

/**
 * chunk_order_take() - take the next chunk in order.
 * @order: the reorder buffer
 *
 * Return: the text, to be freed with g_free(), or NULL if the chunk was not
 * received yet.
 */
char *
chunk_order_take(struct chunk_order *order)
{
	gpointer key, text;

	if (!g_hash_table_steal_extended(order->held, &order->next, &key,
		&text))
		return (NULL);
	g_free(key);
	order->next++;
	return (text);
}

/**
 * chunk_order_complete() - whether the end marker was received and all chunks
 * before it were taken.
 * @order: the reorder buffer
 */
bool
chunk_order_complete(const struct chunk_order *order)
{
	return (order->end >= 0 && order->next == order->end);
}
