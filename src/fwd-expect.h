/* When an endpoint's next events are expected. Pure. */
#ifndef BL_FWD_EXPECT_H
#define BL_FWD_EXPECT_H

#include "registry-fleet.h"

/**
 * struct fwd_estimate - what answers showed beside the engine's profile.
 * @overhead_ms: how much later they come than the profile's passes account for:
 *	the engine's own start of an answer, and the way there and back
 * @n_overhead: first events that it was learned from
 * @duration_ms: how long a request holds its place
 * @n_duration: requests that this was learned from
 *
 * One for each model, and for each service without models, over all endpoints:
 *an endpoint that is slower than others has a slowness of its own.
 */
struct fwd_estimate {
	double overhead_ms;
	unsigned n_overhead;
	double duration_ms;
	unsigned n_duration;
};

/**
 * struct fwd_workload - a request's work for an engine.
 * @engine: the engine's profile
 * @model: the model's profile
 * @prompt: tokens of its prompt
 * @overhead_ms: learned of the model; see struct fwd_estimate
 * @now_ms: loop time
 */
struct fwd_workload {
	const struct engine_profile *engine;
	const struct model_profile *model;
	double prompt;
	double overhead_ms;
	uint64_t now_ms;
};

double fwd_expect_running(const struct endpoint *);
double fwd_expect_backlog(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_rate(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_first(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_gap(const struct endpoint *, const struct engine_profile *,
    const struct model_profile *);
void fwd_estimate_add_first(struct fwd_estimate *, double);
void fwd_estimate_add_duration(struct fwd_estimate *, double);

#endif
