/* Sums over all daemons, as rows of counters under a key. Pure. */
#include <stdlib.h>
#include <string.h>

#include "sum-table.h"

const struct sum_spec sum_specs[SUM_KINDS] = {
	[SUM_DEMAND] = { "demand", 8, 32, true },
	[SUM_CUSTOMERS] = { "customers", 2, 24, true },
	[SUM_EVIDENCE] = { "evidence", 4, 24, false },
};

/**
 * sum_table_get() - find the row of a key.
 * @table: the table
 * @key: the key
 *
 * Return: the row, or NULL.
 */
const struct sum_row *
sum_table_get(const struct sum_table *table, uint32_t key)
{
	for (uint32_t i = 0; i < table->n; i++) {
		if (table->rows[i].key == key)
			return (&table->rows[i]);
	}
	return (NULL);
}

/* The row with the smallest first value. */
static struct sum_row *
smallest_row(struct sum_table *table)
{
	struct sum_row *smallest = &table->rows[0];

	for (uint32_t i = 1; i < table->n; i++) {
		if (table->rows[i].values[0] < smallest->values[0])
			smallest = &table->rows[i];
	}
	return (smallest);
}

/**
 * sum_table_find() - find or add the row of a key.
 * @table: the table
 * @key: the key
 *
 * Return: the row; NULL if there is none and the table is full.
 */
struct sum_row *
sum_table_find(struct sum_table *table, uint32_t key)
{
	struct sum_row *row = (struct sum_row *)sum_table_get(table, key);

	if (row != NULL || table->n == SUM_ROWS_MAX)
		return (row);
	row = &table->rows[table->n++];
	memset(row, 0, sizeof *row);
	row->key = key;
	return (row);
}

static uint32_t
add_saturated(uint32_t a, uint32_t b)
{
	return (b > UINT32_MAX - a ? UINT32_MAX : a + b);
}

/**
 * sum_table_add() - add a row to that of the same key.
 * @table: the table
 * @add: the row to add
 *
 * In a full table, a new row replaces the one with the smallest first value.
 *
 * Return: false if a row was lost.
 */
bool
sum_table_add(struct sum_table *table, const struct sum_row *add)
{
	struct sum_row *row = sum_table_find(table, add->key);

	if (row == NULL) {
		row = smallest_row(table);
		if (add->values[0] > row->values[0])
			*row = *add;
		return (false);
	}
	for (unsigned i = 0; i < SUM_VALUES_MAX; i++)
		row->values[i] = add_saturated(row->values[i], add->values[i]);
	return (true);
}

/**
 * sum_table_scale() - multiply all values, to estimate a sum from one part.
 * @table: the table
 * @factor: the factor
 */
void
sum_table_scale(struct sum_table *table, unsigned factor)
{
	for (uint32_t i = 0; i < table->n; i++) {
		uint32_t *values = table->rows[i].values;

		for (unsigned k = 0; k < SUM_VALUES_MAX; k++) {
			uint64_t product = (uint64_t)values[k] * factor;

			values[k] = product > UINT32_MAX ? UINT32_MAX :
							   (uint32_t)product;
		}
	}
}

/* Orders rows by first value, the largest first, and then by key. */
static int
row_compare(const void *a, const void *b)
{
	const struct sum_row *x = a, *y = b;

	if (x->values[0] != y->values[0])
		return (x->values[0] < y->values[0] ? 1 : -1);
	return (x->key < y->key ? -1 : x->key > y->key);
}

/**
 * sum_table_truncate() - keep the rows with the largest first values.
 * @table: the table
 * @max: number of rows to keep
 */
void
sum_table_truncate(struct sum_table *table, unsigned max)
{
	if (table->n <= max)
		return;
	qsort(table->rows, table->n, sizeof table->rows[0], row_compare);
	table->n = max;
}
