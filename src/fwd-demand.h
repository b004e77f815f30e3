/* Demand by service, model and priority, as counted by this daemon. Pure. */
#ifndef BL_FWD_DEMAND_H
#define BL_FWD_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet-sums.h"
#include "fwd-priority.h"

/* Rows of one daemon: services, models and priorities with requests in the last
 * seconds. */
#define FWD_DEMAND_ROWS 64
/* Times at which clients were told to return are counted in buckets of this
 * length, up to this many ahead; later ones count in the last. */
#define FWD_DUE_BUCKET_MS 100
#define FWD_DUE_BUCKETS 64

/**
 * enum demand_value - values of a row of SUM_DEMAND.
 * @DEMAND_ASKED: first attempts per second, in thousandths
 * @DEMAND_RETURNED: attempts after a refusal, likewise
 * @DEMAND_ADMITTED: requests that were sent for the first time, likewise
 * @DEMAND_LATE: first events after the objective, likewise
 * @DEMAND_REFUSED: requests refused for lack of capacity, likewise
 * @DEMAND_QUEUED: requests queued now, in thousandths
 * @DEMAND_DUE: clients that were told to return and are not due yet, in
 *	thousandths
 * @DEMAND_TOKENS: prompt tokens of first attempts per second
 * @DEMAND_RATES: number of values that are rates of events; these come first
 * @DEMAND_VALUES: number of all values
 */
enum demand_value {
	DEMAND_ASKED,
	DEMAND_RETURNED,
	DEMAND_ADMITTED,
	DEMAND_LATE,
	DEMAND_REFUSED,
	DEMAND_RATES,
	DEMAND_QUEUED = DEMAND_RATES,
	DEMAND_DUE,
	DEMAND_TOKENS,
	DEMAND_VALUES,
};

/**
 * struct fwd_demand_row - counts of one service, model and priority.
 * @key: see fwd_demand_key()
 * @sums: decaying numbers of events, by enum demand_value up to DEMAND_RATES
 * @tokens: decaying number of prompt tokens
 * @decayed_ms: loop time as of which these have decayed
 * @queued: requests queued now
 * @due: clients that are to return, by time in buckets
 * @due_from: bucket of the time up to which @due has been cleared
 */
struct fwd_demand_row {
	uint32_t key;
	double sums[DEMAND_RATES];
	double tokens;
	uint64_t decayed_ms;
	unsigned queued;
	uint32_t due[FWD_DUE_BUCKETS];
	uint64_t due_from;
};

/**
 * struct fwd_demand - demand as counted by this daemon; zeroed at the start.
 * @n: number of @rows
 * @rows: the rows
 */
struct fwd_demand {
	unsigned n;
	struct fwd_demand_row rows[FWD_DEMAND_ROWS];
};

uint32_t fwd_demand_key(const char *, const char *, int);
uint32_t fwd_customer_key(const char *, const char *);
void fwd_demand_count(struct fwd_demand *, uint32_t, enum demand_value,
    uint64_t);
void fwd_demand_add_tokens(struct fwd_demand *, uint32_t, double, uint64_t);
void fwd_demand_add_due(struct fwd_demand *, uint32_t, uint64_t, uint64_t);
void fwd_demand_clear_queued(struct fwd_demand *);
void fwd_demand_add_queued(struct fwd_demand *, uint32_t, uint64_t);
void fwd_demand_fill(struct fwd_demand *, struct sum_table *, uint64_t);
void fwd_demand_fill_customers(struct fwd_demand *, struct sum_table *,
    uint64_t);

/**
 * enum customer_value - values of a row of SUM_CUSTOMERS.
 * @CUSTOMER_ASKED: first attempts per second, in thousandths
 * @CUSTOMER_ADMITTED: requests that were sent for the first time, likewise
 */
enum customer_value {
	CUSTOMER_ASKED,
	CUSTOMER_ADMITTED,
};

/**
 * struct fleet_demand - demand as read from a table of SUM_DEMAND.
 * @asked: first attempts per second
 * @returned: attempts after a refusal per second
 * @admitted: requests sent for the first time per second
 * @late: first events after the objective per second
 * @refused: requests refused for lack of capacity per second
 * @queued: requests queued
 * @due: clients that were told to return and are not due yet
 * @tokens: prompt tokens of first attempts per second
 */
struct fleet_demand {
	double asked;
	double returned;
	double admitted;
	double late;
	double refused;
	double queued;
	double due;
	double tokens;
};

bool fleet_demand_row(const struct sum_table *, const char *, const char *, int,
    struct fleet_demand *);
bool fleet_demand_total(const struct sum_table *, const char *, const char *,
    struct fleet_demand *);
double fleet_customer(const struct sum_table *, const char *, const char *,
    enum customer_value);
double fleet_demand_queued_elsewhere(const struct fleet_sums *, const char *,
    const char *, int);

#endif
