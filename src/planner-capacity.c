/* How many requests a replica serves in time, by the engine profile. Pure
 * functions. */
#include <math.h>

#include "fwd-expect.h"
#include "planner-peak.h"

/*
 * Standard deviations of the requests at one replica that must fit into its
 * slots above their mean. Requests are spread at random, so that their number
 * varies by about its square root; those beyond the slots wait.
 */
#define SLOTS_DEVIATIONS 3.0

/**
 * planner_slots_in_time() - mean number of requests at a replica up to which
 * first events are in time.
 * @e: the engine profile
 */
double
planner_slots_in_time(const struct engine_profile *e)
{
	double slots = MAX(e->slots, 1);
	double root = (sqrt(SLOTS_DEVIATIONS * SLOTS_DEVIATIONS + 4 * slots) -
			  SLOTS_DEVIATIONS) /
	    2;

	return (MAX(root * root, 1));
}

/**
 * planner_duration_ms() - duration of a usual request.
 * @e: the engine profile
 * @m: profile of the model
 * @running: number of requests that run at the replica
 *
 * While it decodes, the prompts of the requests that take the other slots are
 * prefilled.
 *
 * Return: the duration, or 0 if the profile has no times or no usual response.
 */
double
planner_duration_ms(const struct engine_profile *e,
    const struct model_profile *m, double running)
{
	double decode_ms = e->usual_response * fwd_expect_step(e, m, running);
	double prefill_ms = 0;

	if (decode_ms <= 0)
		return (0);
	if (e->prefill_per_ms > 0)
		prefill_ms = e->usual_prompt / e->prefill_per_ms * m->pace;
	return (running * prefill_ms + decode_ms);
}

/**
 * planner_utilization() - the request rate of a replica as a ratio to the rate
 * that it serves in time.
 * @e: the engine profile
 * @m: profile of the model
 * @running: mean number of requests that run or wait at the replica
 *
 * The number that run grows faster than their rate, since each then takes
 * longer. Above the number that is served in time, the ratio of the numbers is
 * used: a full replica completes hardly more requests, however many wait.
 */
double
planner_utilization(const struct engine_profile *e,
    const struct model_profile *m, double running)
{
	double in_time = planner_slots_in_time(e);
	double ratio = running / in_time;
	double duration = planner_duration_ms(e, m, running);

	if (ratio >= 1 || duration <= 0)
		return (ratio);
	return (ratio * planner_duration_ms(e, m, in_time) / duration);
}
