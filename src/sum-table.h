/* Sums over all daemons, as rows of counters under a key. Pure. */
#ifndef BL_SUM_TABLE_H
#define BL_SUM_TABLE_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum number of values in a row. */
#define SUM_VALUES_MAX 8
/* Maximum number of rows in a table. */
#define SUM_ROWS_MAX 128

/**
 * enum sum_kind - what a table counts; sum_specs has the layout of each.
 * @SUM_DEMAND: requests by service, model and priority
 * @SUM_CUSTOMERS: requests by service and customer
 * @SUM_EVIDENCE: how late first events of an endpoint are
 * @SUM_KINDS: number of kinds
 */
enum sum_kind {
	SUM_DEMAND,
	SUM_CUSTOMERS,
	SUM_EVIDENCE,
	SUM_KINDS,
};

/**
 * struct sum_spec - layout of the tables of a kind.
 * @name: name in log lines
 * @n_values: number of values in a row
 * @sent_max: most rows in one datagram; of more, those with the largest first
 *	value are sent
 * @scaled: a daemon that receives no sums multiplies its own values by the
 *	number of daemons; false where a missing row means that all is well
 */
struct sum_spec {
	const char *name;
	unsigned n_values;
	unsigned sent_max;
	bool scaled;
};

extern const struct sum_spec sum_specs[SUM_KINDS];

/**
 * struct sum_row - counters under a key.
 * @key: hash of what is counted
 * @values: the counters, which can be added over daemons
 */
struct sum_row {
	uint32_t key;
	uint32_t values[SUM_VALUES_MAX];
};

/**
 * struct sum_table - rows with different keys.
 * @n: number of @rows
 * @rows: the rows
 */
struct sum_table {
	uint32_t n;
	struct sum_row rows[SUM_ROWS_MAX];
};

struct sum_row *sum_table_find(struct sum_table *, uint32_t);
const struct sum_row *sum_table_get(const struct sum_table *, uint32_t);
bool sum_table_add(struct sum_table *, const struct sum_row *);
void sum_table_scale(struct sum_table *, unsigned);
void sum_table_truncate(struct sum_table *, unsigned);

#endif
