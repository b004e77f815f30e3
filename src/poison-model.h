/* Simulation, in virtual time, of many daemons that receive requests which
 * crash every endpoint that runs them. */
#ifndef BL_POISON_MODEL_H
#define BL_POISON_MODEL_H

#include "fleet-model.h"

struct poison_model;

/**
 * struct poison_scheme - a way to bound the damage of such requests.
 * @name: its name
 * @refuses: whether a daemon refuses a request now
 * @resends: whether a daemon resends a request whose endpoint crashed
 * @shares: daemons tell each other which requests they suspect
 */
struct poison_scheme {
	const char *name;
	bool (*refuses)(const struct poison_model *, unsigned, uint64_t);
	bool (*resends)(const struct poison_model *, unsigned, uint64_t);
	bool shares;
};

/**
 * struct poison_attempt - one attempt to run a request, at an endpoint.
 * @fingerprint: fingerprint of the request
 * @daemon: index of the daemon that sent it
 * @sends: how often it has been sent
 * @crash_ms: when its endpoint crashes
 */
struct poison_attempt {
	uint64_t fingerprint;
	unsigned daemon;
	unsigned sends;
	uint64_t crash_ms;
};

/**
 * struct poison_model - clients that send such requests, and the endpoints that
 * crash.
 * @fleet: the daemons
 * @scheme: how they bound the damage
 * @per_s: attempts per second of each request, at daemons drawn at random
 * @n_requests: number of such requests
 * @attempts: attempts in progress, of struct poison_attempt
 * @bystanders: fingerprints of the other requests on the endpoint that crashed
 *	last
 * @n_crashes: number of crashes
 * @third_crash_ms: time of the third crash by each request; 0 before
 * @crashes: number of crashes by each request
 * @n_late: sends of each request at least 3 s after its third crash
 * @last_crash_ms: time of the newest crash
 * @next_fingerprint: fingerprint of the next bystander
 */
struct poison_model {
	struct fleet_model *fleet;
	const struct poison_scheme *scheme;
	double per_s;
	unsigned n_requests;
	GArray *attempts;
	GArray *bystanders;
	unsigned n_crashes;
	uint64_t *third_crash_ms;
	unsigned *crashes;
	unsigned *n_late;
	uint64_t last_crash_ms;
	uint64_t next_fingerprint;
};

extern const struct poison_scheme poison_scheme_alone;
extern const struct poison_scheme poison_scheme_two;
extern const struct poison_scheme poison_scheme_once;
extern const struct poison_scheme poison_scheme_told;

struct poison_model *poison_model_new(struct fleet_model *,
    const struct poison_scheme *, double, unsigned);
void poison_model_free(struct poison_model *);
void poison_model_run(struct poison_model *, uint64_t);
unsigned poison_model_crashes_max(const struct poison_model *);
unsigned poison_model_late_max(const struct poison_model *);
unsigned poison_model_refused(const struct poison_model *);

#endif
