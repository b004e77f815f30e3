/* Puts the chunks of a stream in order, each once. */
#include "chunk-order.h"

/* A stream that runs further ahead than this breaks the protocol. */
#define HELD_MAX 256

/**
 * chunk_order_init() - begin before the first chunk.
 * @order: the order
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
 * chunk_order_clear() - free what is held.
 * @order: the order
 */
void
chunk_order_clear(struct chunk_order *order)
{
	g_clear_pointer(&order->held, g_hash_table_unref);
}

/**
 * chunk_order_add() - take a chunk as it came.
 * @order: the order
 * @index: its index
 * @text: its text; copied
 *
 * A chunk that came before is dropped.
 *
 * Return: false when the stream breaks the protocol.
 */
bool
chunk_order_add(struct chunk_order *order, int64_t index, const char *text)
{
	if (index < 0 || index >= order->next + HELD_MAX ||
	    (order->end >= 0 && index >= order->end))
		return (false);
	if (index < order->next || g_hash_table_contains(order->held, &index))
		return (true);
	g_hash_table_insert(order->held, g_memdup2(&index, sizeof index),
	    g_strdup(text));
	return (true);
}

/**
 * chunk_order_set_end() - take the end mark.
 * @order: the order
 * @count: how many chunks the stream has in all
 *
 * Return: false when more came already.
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
 * chunk_order_take() - the next chunk, if it is there; free with g_free().
 * @order: the order
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
 * chunk_order_complete() - whether the end mark and all before it were given
 * on.
 * @order: the order
 */
bool
chunk_order_complete(const struct chunk_order *order)
{
	return (order->end >= 0 && order->next == order->end);
}
