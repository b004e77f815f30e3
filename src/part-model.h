/* Simulation, in virtual time, of many daemons that receive requests with a
 * prompt part which crashes every endpoint, beside normal ones. */
#ifndef BL_PART_MODEL_H
#define BL_PART_MODEL_H

#include "fleet-model.h"

/**
 * struct part_load - requests that arrive, at daemons drawn at random.
 * @faulty_per_s: per second, with the part that crashes endpoints
 * @normal_per_s: per second, with the same first part and others in second
 * place
 * @clears: daemons note which parts endpoints survive
 * @withdraws: daemons withdraw what is quarantined once it has been sent
 */
struct part_load {
	double faulty_per_s;
	double normal_per_s;
	bool clears;
	bool withdraws;
};

/**
 * struct part_request - a request at an endpoint.
 * @keys: what of it may be to blame for crashes
 * @daemon: index of the daemon that sent it
 * @sends: how often it has been sent
 * @faulty: its endpoint will crash
 * @sent_ms: when it was sent
 * @due_ms: when its endpoint crashes, or has survived its parts
 */
struct part_request {
	struct poison_keys keys;
	unsigned daemon;
	unsigned sends;
	bool faulty;
	uint64_t sent_ms;
	uint64_t due_ms;
};

/**
 * struct part_model - the requests and what became of them.
 * @fleet: the daemons
 * @load: what arrives
 * @requests: requests in progress, of struct part_request
 * @next_id: fingerprint of the next request
 * @n_crashes: number of crashes
 * @fifth_crash_ms: time of the fifth one; 0 before
 * @n_late: faulty sends PART_STABLE_MS or more after it
 * @n_normal: normal requests that arrived twice that time or more after it
 * @n_refused: those of them that were refused
 * @n_refused_early: normal requests that were refused or withdrawn before
 */
struct part_model {
	struct fleet_model *fleet;
	struct part_load load;
	GArray *requests;
	uint64_t next_id;
	unsigned n_crashes;
	uint64_t fifth_crash_ms;
	unsigned n_late;
	unsigned n_normal;
	unsigned n_refused;
	unsigned n_refused_early;
};

struct part_model *part_model_new(struct fleet_model *,
    const struct part_load *);
void part_model_free(struct part_model *);
void part_model_run(struct part_model *, uint64_t);

#endif
