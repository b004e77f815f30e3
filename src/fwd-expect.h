/* Latency estimates: first event and gap between events. Pure. */
#ifndef BL_FWD_EXPECT_H
#define BL_FWD_EXPECT_H

#include "fwd-unseen.h"
#include "registry-fleet.h"

/* Points of load, from none to all slots, at which errors are learned. */
#define FWD_LOAD_POINTS 6

/**
 * struct fwd_estimate - moving averages of what responses show beyond the
 *	engine's profile.
 * @overhead_ms: how much later the first event comes than the profile's passes
 *	account for: the engine's own start of a response, and the network
 *	round trip
 * @n_overhead: number of first events in @overhead_ms
 * @duration_ms: time for which a request occupies its slot
 * @deviation_ms: mean deviation of those times from @duration_ms
 * @n_duration: number of requests in @duration_ms
 * @load_error_ms: how much later first events come than expected, by the load
 *	of the endpoint at the send: its requests as a part of its slots
 * @sends: rate of this daemon's sends
 *
 * There is one for each model and for each plain service, over all endpoints.
 * That one endpoint is slower than others shows in its slowness.
 */
struct fwd_estimate {
	double overhead_ms;
	unsigned n_overhead;
	double duration_ms;
	double deviation_ms;
	unsigned n_duration;
	double load_error_ms[FWD_LOAD_POINTS];
	struct fwd_rate sends;
};

/**
 * struct fwd_workload - a request's workload for an engine.
 * @engine: the engine's profile
 * @model: the model's profile
 * @prompt: length of its prompt, in tokens
 * @overhead_ms: measured overhead of the model; see struct fwd_estimate
 * @load_error_ms: measured errors of the model by load; see struct
 *	fwd_estimate; NULL if estimates are not corrected
 * @evidence: evidence of all daemons on endpoints, by which estimates are
 *	corrected; NULL if they are not
 * @now_ms: loop time
 */
struct fwd_workload {
	const struct engine_profile *engine;
	const struct model_profile *model;
	double prompt;
	double overhead_ms;
	const double *load_error_ms;
	const struct sum_table *evidence;
	uint64_t now_ms;
};

/**
 * struct fwd_correction - what evidence adds to the expected time to a first
 *	event.
 * @lateness_ms: how late recent first events of the endpoint were
 * @overdue_ms: how long first events of requests in progress are overdue
 *
 * Either estimates how late the next one will be, so the larger one is added.
 */
struct fwd_correction {
	double lateness_ms;
	double overdue_ms;
};

double fwd_expect_step(const struct engine_profile *,
    const struct model_profile *, double);
double fwd_expect_running(const struct endpoint *);
double fwd_expect_backlog(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_rate(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_slope(const struct endpoint *, const struct fwd_workload *);
double fwd_expect_first(const struct endpoint *, const struct fwd_workload *);
void fwd_expect_correction(const struct endpoint *, const struct fwd_workload *,
    struct fwd_correction *);
double fwd_correction_ms(const struct fwd_correction *);
double fwd_expect_gap(const struct endpoint *, const struct engine_profile *,
    const struct model_profile *);
void fwd_estimate_add_first(struct fwd_estimate *, double);
void fwd_estimate_add_load_error(struct fwd_estimate *, double, double);
void fwd_estimate_add_duration(struct fwd_estimate *, double);
double fwd_estimate_longest(const struct fwd_estimate *);

#endif
