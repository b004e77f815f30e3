/* Demand by service, model and priority, as counted by this daemon. Pure. */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "fwd-demand.h"

/* Time constant of the moving averages. */
#define DECAY_MS 1000.0
#define MS_PER_S 1000.0
/* Rates and numbers of requests are sent in thousandths. */
#define MILLI 1000.0
/* A row whose rates add up to less than this is dropped. */
#define RATE_MIN_PER_S 0.001

/**
 * fwd_demand_key() - key of a row.
 * @service: name of the service
 * @model: name of the model, or NULL
 * @priority: priority of the requests
 */
uint32_t
fwd_demand_key(const char *service, const char *model, int priority)
{
	g_autofree char *text = g_strdup_printf("%s\n%s\n%d", service,
	    model != NULL ? model : "", fwd_priority_normalize(priority));

	return (XXH32(text, strlen(text), 0));
}

/**
 * fwd_customer_key() - key of a customer's row.
 * @service: name of the service
 * @customer: name of the customer
 */
uint32_t
fwd_customer_key(const char *service, const char *customer)
{
	g_autofree char *text = g_strdup_printf("%s\n%s", service, customer);

	return (XXH32(text, strlen(text), 0));
}

/* Lets the moving averages of a row decay, and drops the returns that were due.
 */
static void
row_decay(struct fwd_demand_row *row, uint64_t now_ms)
{
	uint64_t bucket = now_ms / FWD_DUE_BUCKET_MS;
	double factor;

	if (now_ms > row->decayed_ms) {
		factor = exp(-(double)(now_ms - row->decayed_ms) / DECAY_MS);
		for (unsigned i = 0; i < DEMAND_RATES; i++)
			row->sums[i] *= factor;
		row->tokens *= factor;
		row->decayed_ms = now_ms;
	}
	if (bucket >= row->due_from + FWD_DUE_BUCKETS) {
		memset(row->due, 0, sizeof row->due);
		row->due_from = bucket;
	}
	for (; row->due_from < bucket; row->due_from++)
		row->due[row->due_from % FWD_DUE_BUCKETS] = 0;
}

/* Number of clients that are to return. */
static double
row_due(const struct fwd_demand_row *row)
{
	double due = 0;

	for (unsigned i = 0; i < FWD_DUE_BUCKETS; i++)
		due += row->due[i];
	return (due);
}

/* Sum of all rates of a row, as of its last decay. */
static double
row_rate(const struct fwd_demand_row *row)
{
	double sum = 0;

	for (unsigned i = 0; i < DEMAND_RATES; i++)
		sum += row->sums[i];
	return (sum * MS_PER_S / DECAY_MS);
}

/* The row to replace in a full table: the one with the lowest rates. */
static struct fwd_demand_row *
smallest_row(struct fwd_demand *demand)
{
	struct fwd_demand_row *smallest = &demand->rows[0];

	for (unsigned i = 1; i < demand->n; i++) {
		if (row_rate(&demand->rows[i]) < row_rate(smallest))
			smallest = &demand->rows[i];
	}
	return (smallest);
}

/* Finds or adds the row of a key, as of @now_ms. */
static struct fwd_demand_row *
demand_row(struct fwd_demand *demand, uint32_t key, uint64_t now_ms)
{
	struct fwd_demand_row *row = NULL;

	for (unsigned i = 0; i < demand->n && row == NULL; i++) {
		if (demand->rows[i].key == key)
			row = &demand->rows[i];
	}
	if (row == NULL) {
		row = demand->n < FWD_DEMAND_ROWS ? &demand->rows[demand->n++] :
						    smallest_row(demand);
		memset(row, 0, sizeof *row);
		row->key = key;
	}
	row_decay(row, now_ms);
	return (row);
}

/**
 * fwd_demand_count() - count an event.
 * @demand: the counts
 * @key: key of the row
 * @what: the kind of event, below DEMAND_RATES
 * @now_ms: loop time
 */
void
fwd_demand_count(struct fwd_demand *demand, uint32_t key,
    enum demand_value what, uint64_t now_ms)
{
	demand_row(demand, key, now_ms)->sums[what] += 1;
}

/**
 * fwd_demand_add_tokens() - count the prompt of a first attempt.
 * @demand: the counts
 * @key: key of the row
 * @tokens: length of the prompt
 * @now_ms: loop time
 */
void
fwd_demand_add_tokens(struct fwd_demand *demand, uint32_t key, double tokens,
    uint64_t now_ms)
{
	demand_row(demand, key, now_ms)->tokens += tokens;
}

/**
 * fwd_demand_add_due() - count a client that was told to return.
 * @demand: the counts
 * @key: key of the row
 * @at_ms: loop time at which it is to return
 * @now_ms: loop time
 */
void
fwd_demand_add_due(struct fwd_demand *demand, uint32_t key, uint64_t at_ms,
    uint64_t now_ms)
{
	struct fwd_demand_row *row = demand_row(demand, key, now_ms);
	uint64_t last = row->due_from + FWD_DUE_BUCKETS - 1;
	uint64_t bucket = at_ms / FWD_DUE_BUCKET_MS;

	if (bucket < row->due_from)
		bucket = row->due_from;
	row->due[(bucket < last ? bucket : last) % FWD_DUE_BUCKETS]++;
}

/**
 * fwd_demand_clear_queued() - forget the queued requests, to count them again.
 * @demand: the counts
 */
void
fwd_demand_clear_queued(struct fwd_demand *demand)
{
	for (unsigned i = 0; i < demand->n; i++)
		demand->rows[i].queued = 0;
}

/**
 * fwd_demand_add_queued() - count a queued request.
 * @demand: the counts
 * @key: key of the row
 * @now_ms: loop time
 */
void
fwd_demand_add_queued(struct fwd_demand *demand, uint32_t key, uint64_t now_ms)
{
	demand_row(demand, key, now_ms)->queued++;
}

/* Writes a row as it is sent to other daemons. */
static void
row_fill(const struct fwd_demand_row *row, struct sum_row *out)
{
	for (unsigned i = 0; i < DEMAND_RATES; i++)
		out->values[i] = (uint32_t)lround(
		    row->sums[i] * MS_PER_S / DECAY_MS * MILLI);
	out->values[DEMAND_QUEUED] = (uint32_t)(row->queued * MILLI);
	out->values[DEMAND_DUE] = (uint32_t)(row_due(row) * MILLI);
	out->values[DEMAND_TOKENS] =
	    (uint32_t)lround(row->tokens * MS_PER_S / DECAY_MS);
}

/**
 * fwd_demand_fill() - fill in the sums of this daemon.
 * @demand: the counts; rows without recent events are dropped
 * @table: replaced
 * @now_ms: loop time
 */
void
fwd_demand_fill(struct fwd_demand *demand, struct sum_table *table,
    uint64_t now_ms)
{
	unsigned kept = 0;

	table->n = 0;
	for (unsigned i = 0; i < demand->n; i++) {
		struct fwd_demand_row *row = &demand->rows[i];

		row_decay(row, now_ms);
		if (row_rate(row) < RATE_MIN_PER_S && row->queued == 0 &&
		    row_due(row) == 0)
			continue;
		row_fill(row, sum_table_find(table, row->key));
		if (kept != i)
			demand->rows[kept] = *row;
		kept++;
	}
	demand->n = kept;
}

/**
 * fwd_demand_fill_customers() - fill in the sums of this daemon's customers.
 * @demand: counts by customer; rows without recent events are dropped
 * @table: replaced
 * @now_ms: loop time
 */
void
fwd_demand_fill_customers(struct fwd_demand *demand, struct sum_table *table,
    uint64_t now_ms)
{
	fwd_demand_fill(demand, table, now_ms);
	for (uint32_t i = 0; i < table->n; i++) {
		struct sum_row all = table->rows[i];
		struct sum_row *row = &table->rows[i];

		memset(row->values, 0, sizeof row->values);
		row->values[CUSTOMER_ASKED] = all.values[DEMAND_ASKED];
		row->values[CUSTOMER_ADMITTED] = all.values[DEMAND_ADMITTED];
	}
}

/* Adds a row of a table, if it has one. */
static bool
add_row(const struct sum_table *table, uint32_t key, struct fleet_demand *d)
{
	const struct sum_row *row = sum_table_get(table, key);

	if (row == NULL)
		return (false);
	d->asked += row->values[DEMAND_ASKED] / MILLI;
	d->returned += row->values[DEMAND_RETURNED] / MILLI;
	d->admitted += row->values[DEMAND_ADMITTED] / MILLI;
	d->late += row->values[DEMAND_LATE] / MILLI;
	d->refused += row->values[DEMAND_REFUSED] / MILLI;
	d->queued += row->values[DEMAND_QUEUED] / MILLI;
	d->due += row->values[DEMAND_DUE] / MILLI;
	d->tokens += row->values[DEMAND_TOKENS];
	return (true);
}

/**
 * fleet_demand_row() - demand for a service and model, of one priority.
 * @table: sums of SUM_DEMAND, of all daemons or of one
 * @service: name of the service
 * @model: name of the model, or NULL
 * @priority: the priority
 * @demand: filled in; zero if there is none
 *
 * Return: whether the table has a row of it.
 */
bool
fleet_demand_row(const struct sum_table *table, const char *service,
    const char *model, int priority, struct fleet_demand *demand)
{
	memset(demand, 0, sizeof *demand);
	return (
	    add_row(table, fwd_demand_key(service, model, priority), demand));
}

/**
 * fleet_demand_total() - demand for a service and model, of all priorities.
 * @table: sums of SUM_DEMAND, of all daemons or of one
 * @service: name of the service
 * @model: name of the model, or NULL
 * @demand: filled in; zero if there is none
 *
 * Return: whether the table has a row of it.
 */
bool
fleet_demand_total(const struct sum_table *table, const char *service,
    const char *model, struct fleet_demand *demand)
{
	bool found = false;

	memset(demand, 0, sizeof *demand);
	for (int priority = 0; priority < FWD_PRIORITIES; priority++)
		found |= add_row(table,
		    fwd_demand_key(service, model, priority), demand);
	return (found);
}

/**
 * fleet_demand_queued_elsewhere() - number of requests queued at other daemons
 *	that go before a request.
 * @sums: sums over all daemons
 * @service: name of its service
 * @model: name of its model, or NULL
 * @priority: its priority
 *
 * Return: number of requests of the same or of higher priority that are queued
 * at other daemons.
 */
double
fleet_demand_queued_elsewhere(const struct fleet_sums *sums,
    const char *service, const char *model, int priority)
{
	double queued = 0;

	for (int p = 0; p <= priority; p++) {
		struct fleet_demand all, own;

		fleet_demand_row(&sums->total[SUM_DEMAND], service, model, p,
		    &all);
		fleet_demand_row(&sums->own[SUM_DEMAND], service, model, p,
		    &own);
		queued += fmax(all.queued - own.queued, 0);
	}
	return (queued);
}

/**
 * fleet_customer() - requests of a customer.
 * @table: sums of SUM_CUSTOMERS
 * @service: name of the service
 * @customer: name of the customer
 * @value: which requests
 *
 * Return: requests per second; 0 if the table has no row of the customer.
 */
double
fleet_customer(const struct sum_table *table, const char *service,
    const char *customer, enum customer_value value)
{
	const struct sum_row *row =
	    sum_table_get(table, fwd_customer_key(service, customer));

	return (row != NULL ? row->values[value] / MILLI : 0);
}
