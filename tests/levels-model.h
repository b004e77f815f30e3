/* Replays of load beyond the capacity; see levels-model.c. */
#ifndef TESTS_LEVELS_MODEL_H
#define TESTS_LEVELS_MODEL_H

#include "fwd-demand.h"
#include "overload-level.h"

/* Classes of requests: priorities, or customers of one priority. */
#define CLASSES 3
/* Delays of the sums, by daemon, and of the load reports. */
#define DELAYS 5
#define LOAD_DELAYS 3

/* One attempt of a client. */
struct attempt {
	double at_ms;
	double deadline_ms;
	unsigned class;
	unsigned daemon;
	uint32_t id;
	bool returned;
	bool recognized;
};

/* What became of the requests of a priority. */
struct tally {
	unsigned asked;
	unsigned timely;
	unsigned timely_returned;
	unsigned late;
	unsigned lost;
};

/*
 * One replay. The first part is set by the script: daemons, requests per second
 * by class, a burst of one class, a cut of the capacity to a part, a wave,
 * slots per request that can be served in time, and what the daemons do.
 */
struct replay {
	const char *name;
	unsigned n_daemons;
	double rates[CLASSES];
	double burst_from, burst_to, burst_factor;
	unsigned burst_class;
	double cut_from, cut_to, cut;
	double capacity;
	double slots;
	double wave_ms, wave;
	double length_ms;
	bool levels;
	bool immediate;
	bool schedule;
	bool customers;
	bool shares;
	struct fwd_demand *demand;
	struct fwd_demand *asked;
	struct overload_level *level;
	struct sum_table sums[DELAYS];
	struct sum_table customer_sums[DELAYS];
	double loads[LOAD_DELAYS];
	GArray *ends;
	GArray *queue;
	GArray *returns;
	struct tally tally[CLASSES];
	uint32_t draw;
	double first_refusal, last_refusal;
};

void replay_run(struct replay *);

#endif
