/* Replay, in virtual time, of requests from many daemons to a group of
 * endpoints that exchange evidence. */
#ifndef TESTS_EVIDENCE_REPLAY_H
#define TESTS_EVIDENCE_REPLAY_H

#include "fleet-model.h"
#include "fwd-choose.h"

/**
 * struct replay_endpoint - actual state of an endpoint.
 * @running: requests that it has
 * @sent: requests that it ever had
 * @free_ms: when it has prefilled all prompts
 * @slow: how much slower it is until @slow_until_ms
 * @slow_until_ms: end of that
 * @stalled_until_ms: it sends nothing before then
 */
struct replay_endpoint {
	unsigned running;
	unsigned sent;
	double free_ms;
	double slow;
	double slow_until_ms;
	double stalled_until_ms;
};

/**
 * struct replay_flight - a request at an endpoint.
 * @ep: the endpoint, as its daemon knows it
 * @daemon: index of the daemon
 * @index: index of the endpoint
 * @prompt: length of the prompt, in tokens
 * @mark: its position in the backlog
 * @sent_ms: when it was sent
 * @expected_ms: expected time to its first event
 * @base_ms: the same without evidence
 * @first_ms: when its first event comes
 * @load: part of the endpoint's slots that were in use at the send
 * @answered: the first event came
 */
struct replay_flight {
	struct endpoint *ep;
	unsigned daemon;
	unsigned index;
	double prompt;
	double mark;
	double sent_ms;
	double expected_ms;
	double base_ms;
	double first_ms;
	double load;
	bool answered;
};

/**
 * struct replay - daemons, endpoints and requests.
 * @model: the daemons and their exchange
 * @endpoints: the endpoints
 * @flights: requests at endpoints
 * @draw: random numbers
 * @evidence: estimates are corrected by evidence
 * @load_errors: and by the errors by load
 * @estimates: moving averages of the model, of each daemon
 * @objective_ms: latency objective of first events
 * @fault_interval_ms: time between endpoints that become slow; 0 for none
 * @due: requests that are due to be sent
 * @in_time: first events in time; by whether they were predicted to be late
 * @late: first events after the objective; likewise
 * @refused: requests that found no endpoint
 */
struct replay {
	struct fleet_model *model;
	struct replay_endpoint *endpoints;
	GPtrArray *flights;
	GRand *draw;
	bool evidence;
	bool load_errors;
	struct fwd_estimate *estimates;
	double objective_ms;
	uint64_t fault_interval_ms;
	double due;
	unsigned in_time[2];
	unsigned late[2];
	unsigned refused;
};

struct replay *replay_new(unsigned, unsigned, unsigned, bool);
void replay_free(struct replay *);
void replay_run(struct replay *, uint64_t, double);
double replay_correction_ms(const struct replay *, unsigned, unsigned);
void replay_slow(struct replay *, unsigned, double, uint64_t, double,
    uint64_t *, uint64_t *);

#endif
