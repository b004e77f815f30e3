/* When an endpoint's next events are expected. Pure. */
#ifndef BL_FWD_EXPECT_H
#define BL_FWD_EXPECT_H

#include "registry-fleet.h"

/**
 * struct fwd_learned - what answers showed beside the engine's profile.
 * @extra_ms: how much later they come than the profile's passes account for:
 *	the engine's own start of an answer, and the way there and back
 * @seen: first events that it was learned from
 * @whole_ms: how long a request holds its place
 * @ended: requests that this was learned from
 *
 * One for each model, and for each service without models, over all endpoints:
 *an endpoint that is slower than others has a slowness of its own.
 */
struct fwd_learned {
	double extra_ms;
	unsigned seen;
	double whole_ms;
	unsigned ended;
};

/**
 * struct fwd_work - a request's work for an engine.
 * @engine: the engine's profile
 * @model: the model's profile
 * @prompt: tokens of its prompt
 * @extra_ms: learned of the model; see struct fwd_learned
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
