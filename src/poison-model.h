/* Work that ends each endpoint that runs it, before many daemons, in virtual
 * time. */
#ifndef BL_POISON_MODEL_H
#define BL_POISON_MODEL_H

#include "fleet-model.h"

struct poison_model;

/**
 * struct poison_scheme - a way to bound what such work does.
 * @name: its name
 * @refuses: whether a daemon refuses some work now
 * @resends: whether a daemon sends work again by itself whose endpoint ended
 * @shares: daemons tell each other what they suspect
 */
struct poison_scheme {
	const char *name;
	bool (*refuses)(const struct poison_model *, unsigned, uint64_t);
	bool (*resends)(const struct poison_model *, unsigned, uint64_t);
	bool shares;
};

/**
 * struct poison_attempt - one attempt, at an endpoint.
 * @fingerprint: what it asks for
 * @daemon: that has it
 * @sends: how often it was sent
 * @crash_ms: when its endpoint ends
 */
struct poison_attempt {
	uint64_t fingerprint;
	unsigned daemon;
	unsigned sends;
	uint64_t crash_ms;
};

/**
 * struct poison_model - callers of such work, and the endpoints' ends.
 * @fleet: the daemons
 * @scheme: how they bound it
 * @per_s: attempts a second of each work, at daemons drawn at random
 * @n_requests: such works at once
 * @attempts: of struct poison_attempt
 * @bystanders: works of the others at the last end
 * @n_crashes: endpoints that ended
 * @third_crash_ms: when the third end by each work was; 0 before
 * @crashes: ends by each work
 * @n_late: sends later than the settling time after the third end
 * @over_most: the most of them by one work
 * @last_crash_ms: time of the last end
 * @next_fingerprint: the next one to be drawn
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
