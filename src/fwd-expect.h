/* Latency estimates: first event and gap between events. Pure. */
#ifndef BL_FWD_EXPECT_H
#define BL_FWD_EXPECT_H

#include "dir-fleet.h"

/**
 * struct fwd_learned - moving averages of what responses show beyond the
 *	engine's profile.
 * @extra_ms: how much later the first event comes than the profile's passes
 *	account for: the engine's own start of a response, and the network
 *	round trip
 * @seen: number of first events in @extra_ms
 * @whole_ms: time for which a request occupies its slot
 * @ended: number of requests in @whole_ms
 *
 * There is one for each model, and for each service without models, over all
 * endpoints. That one endpoint is slower than others is kept in the slowness of
 * that endpoint.
 */
struct fwd_learned {
	double extra_ms;
	unsigned seen;
	double whole_ms;
	unsigned ended;
};

/**
 * struct fwd_work - a request's workload for an engine.
 * @engine: the engine's profile
 * @model: the model's profile
 * @prompt: length of its prompt, in tokens
 * @extra_ms: measured overhead of the model; see struct fwd_learned
 * @now_ms: loop time
 */
struct fwd_work {
	const struct engine_profile *engine;
	const struct model_profile *model;
	double prompt;
	double extra_ms;
	uint64_t now_ms;
};

double fwd_expect_running(const struct endpoint *);
double fwd_expect_backlog(const struct endpoint *, const struct fwd_work *);
double fwd_expect_rate(const struct endpoint *, const struct fwd_work *);
double fwd_expect_first(const struct endpoint *, const struct fwd_work *);
double fwd_expect_gap(const struct endpoint *, const struct engine_profile *,
    const struct model_profile *);
void fwd_learn_first(struct fwd_learned *, double);
void fwd_learn_whole(struct fwd_learned *, double);

#endif
