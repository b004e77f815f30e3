/* Simulation, in virtual time, of many daemons that choose among replicas by
 * load reports of some age. */
#ifndef BL_BALANCE_MODEL_H
#define BL_BALANCE_MODEL_H

#include "fwd-choose.h"

/* Interval at which loads are recorded, and number of records kept. */
#define BALANCE_RECORD_MS 10
#define BALANCE_RECORDS 64
/* Objective for the first event. */
#define BALANCE_OBJECTIVE_MS 250

/**
 * struct balance_request - a request at a replica.
 * @daemon: index of the daemon that sent it
 * @sent_ms: when it was sent
 * @heard_ms: when its last event came
 * @mark: its position in the daemon's prefill backlog
 * @unread: prompt tokens that are not prefilled yet
 * @unsent: response tokens that are not decoded yet
 * @started: its first event has come
 */
struct balance_request {
	unsigned daemon;
	uint64_t sent_ms;
	uint64_t heard_ms;
	double mark;
	double unread;
	double unsent;
	bool started;
};

/**
 * struct balance_replica - one replica.
 * @open: it serves
 * @slow: factor on all its times
 * @pass_end_ms: end of its current pass
 * @requests: the requests that it has, oldest first, of struct balance_request
 * @first_ms: times to the first event since the last reset, of double
 */
struct balance_replica {
	bool open;
	double slow;
	double pass_end_ms;
	GArray *requests;
	GArray *first_ms;
};

/**
 * struct balance_load - a daemon's load at a replica.
 * @inflight: its requests
 * @pending: prompt tokens of those without a first event
 */
struct balance_load {
	unsigned inflight;
	double pending;
};

/**
 * struct balance_daemon - one daemon.
 * @fleet: its view of the replicas
 * @endpoints: the replicas in @fleet, by index
 * @estimate: its estimates
 * @domain: name of its failure domain
 * @asked: requests that arrived at it since the last reset
 * @in_time: first events in time since then
 * @as_of_ms: time as of which it knows other daemons' loads
 * @records: its own loads at the last times, by time and replica
 */
struct balance_daemon {
	struct fleet fleet;
	struct endpoint **endpoints;
	struct fwd_estimate estimate;
	const char *domain;
	unsigned asked;
	unsigned in_time;
	uint64_t as_of_ms;
	struct balance_load *records[BALANCE_RECORDS];
};

/**
 * struct balance_setup - what is simulated.
 * @daemons: number of daemons
 * @replicas: number of replicas
 * @seed: added to the seed of the random numbers
 * @rate: requests per second of all daemons
 * @excess: percentage of the other failure domains' requests that come from
 *	the first one instead
 * @prompt: tokens of a prompt
 * @response: tokens of a response
 * @age_min_ms: age of other daemons' loads when they are received
 * @period_ms: time from one reception to the next
 * @spread: setting balance-spread
 * @domains: setting balance-domains
 */
struct balance_setup {
	unsigned daemons;
	unsigned replicas;
	unsigned seed;
	double rate;
	unsigned excess;
	double prompt;
	double response;
	uint64_t age_min_ms;
	uint64_t period_ms;
	bool spread;
	bool domains;
};

/**
 * struct balance_model - daemons, replicas and their requests.
 * @setup: what is simulated
 * @engine: profile of the replicas
 * @model: the model that they serve
 * @loop: event loop that the fleets refer to; it is not run
 * @now_ms: virtual time
 * @random: state of the random numbers
 * @daemons: the daemons
 * @replicas: the replicas
 * @cut: failure domain that is cut off from the others; NULL for none
 * @refused: requests that were not sent, since the last reset
 * @crossed: requests sent to another failure domain since then
 * @samples: samples of loads since then
 * @skew: sum of the largest load over the mean load in these
 * @skew_max: largest of these
 */
struct balance_model {
	struct balance_setup setup;
	struct engine_profile engine;
	struct model_profile model;
	uv_loop_t loop;
	uint64_t now_ms;
	uint64_t random;
	struct balance_daemon *daemons;
	struct balance_replica *replicas;
	const char *cut;
	unsigned refused;
	unsigned crossed;
	unsigned samples;
	double skew;
	double skew_max;
};

struct balance_model *balance_model_new(const struct balance_setup *);
void balance_model_free(struct balance_model *);
void balance_model_set_open(struct balance_model *, unsigned, bool);
void balance_model_cut(struct balance_model *, const char *);
void balance_model_run(struct balance_model *, uint64_t);
void balance_model_reset(struct balance_model *);

/* balance-model-replica.c: the replicas. */
void balance_replica_step(struct balance_model *, unsigned);
unsigned balance_model_in_time(const struct balance_model *, const char *,
    unsigned *);
double balance_model_first(const struct balance_model *, unsigned, double);

#endif
