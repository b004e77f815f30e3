/* Latency estimates: first event and gap between events. Pure. */
#ifndef BL_FWD_EXPECT_H
#define BL_FWD_EXPECT_H

#include "fwd-unseen.h"
#include "registry-fleet.h"

/**
 * struct fwd_estimate - moving averages of what responses show beyond the
 *	engine's profile.
 * @overhead_ms: how much later the first event comes than the profile's passes
 *	account for: the engine's own start of a response, and the network
 *	round trip
 * @n_overhead: number of first events in @overhead_ms
 * @duration_ms: time for which a request occupies its slot
 * @n_duration: number of requests in @duration_ms
 * @sends: rate of this daemon's sends
 *
 * There is one for each model and for each plain service, over all endpoints.
 * That one endpoint is slower than others shows in its slowness.
 */
struct fwd_estimate {
	double overhead_ms;
	unsigned n_overhead;
	double duration_ms;
	unsigned n_duration;
	struct fwd_rate sends;
};

/**
 * struct fwd_workload - a request's workload for an engine.
 * @engine: the engine's profile
 * @model: the model's profile
 * @prompt: length of its prompt, in tokens
 * @overhead_ms: measured overhead of the model; see struct fwd_estimate
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
double fwd_expect_slope(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_first(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_gap(const struct endpoint *, const struct engine_profile *,
    const struct model_profile *);
void fwd_estimate_add_first(struct fwd_estimate *, double);
void fwd_estimate_add_duration(struct fwd_estimate *, double);

#endif
