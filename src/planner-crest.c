/*
 * The hosts that each model of a service needs at its recent peaks, and the
 * number of replicas of the largest model that balances the models. Pure
 * functions.
 *
 * The demand is judged by its peaks, since a replica takes seconds to form: the
 * bound on the largest model is meant to hold over a whole wave or burst. It
 * changes only while some model can't be served in time, and for a clear gain.
 */
#include <math.h>
#include <string.h>

#include "planner-balance.h"

#define MS_PER_S 1000
/* Time constant of the average whose maximum is the crest. */
#define CREST_AVERAGE_MS 1000
/* Time constant of the average number of requests, by which models count. */
#define REQUESTS_AVERAGE_MS 5000
/* Time for which a model must have been short. Requests for a large model run
 * longer, so after a rise of the load its demand shows later. */
#define CREST_SHORT_MS 1200
/* Time between two changes of the bound, and between two in opposite
 * directions. */
#define CREST_CHANGE_INTERVAL_MS 4000
#define CREST_REVERSE_INTERVAL_MS 12000
/*
 * A change must lower the cost to this part of the present one. The first
 * corrects the configured shares, a later one comes on top of it; for more
 * replicas of the largest model, copies must be loaded.
 */
#define CREST_GAIN_FIRST 0.85
#define CREST_GAIN_LOWER 0.75
#define CREST_GAIN_RAISE 0.4
/* The bound stands while fewer than this part of the most hosts seen is alive:
 * those of a failure domain that is cut off usually return. The time constant
 * is that of the decay of the number seen, for those that don't. */
#define CREST_HOSTS_MIN 0.8
#define CREST_HOSTS_DECAY_MS 45000
/* Time for which the rise of the last second is assumed to continue. */
#define CREST_AHEAD_S 2
/* The hosts that a model's requests need; negative if it can't be told. Those
 * with a rate limit hide the demand, so they count as the others. */
static double
sample_hosts(const struct planner_view *view, unsigned model,
    const struct demand_sample *s)
{
	const struct engine_profile *e = view->engine;
	const struct model_profile *m = planner_model(view, model);
	double requests = s->running + s->queued, running;

	if (s->unlimited == 0)
		return (-1);
	running = s->running / s->unlimited;
	requests += s->refused * planner_duration_ms(e, m, running) / MS_PER_S;
	return (planner_utilization(e, m, requests / s->unlimited) *
	    (s->unlimited + s->limited) * m->size);
}

/* Weight of a sample in a moving average. */
static double
sample_weight(uint64_t elapsed_ms, double constant_ms)
{
	return (-expm1(-(double)elapsed_ms / constant_ms));
}

/* Clears the peaks of the seconds that have begun since the last sample. */
static void
peaks_advance(struct model_crest *c, uint64_t from_ms, uint64_t now_ms)
{
	uint64_t from = from_ms / MS_PER_S, now = now_ms / MS_PER_S;

	for (uint64_t s = from + 1; s <= now && s <= from + CREST_SPAN_S; s++)
		c->peaks[s % CREST_SPAN_S] = 0;
}

/**
 * planner_crest_update() - add a sample of the requests that run now.
 * @crest: the demand
 * @view: the view, for the service's models
 * @samples: a sample for each model, in the order of the profile
 * @now_ms: loop time
 */
void
planner_crest_update(struct planner_crest *crest,
    const struct planner_view *view, const struct demand_sample *samples,
    uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	uint64_t last_ms = crest->updated_ms != 0 ? crest->updated_ms : now_ms;

	crest->most_hosts *=
	    1 - sample_weight(now_ms - last_ms, CREST_HOSTS_DECAY_MS);
	crest->most_hosts = MAX(crest->most_hosts, view->hosts->len);
	for (unsigned i = 0; i < n; i++) {
		struct model_crest *c = &crest->models[i];
		double hosts = sample_hosts(view, i, &samples[i]);
		double *peak = &c->peaks[now_ms / MS_PER_S % CREST_SPAN_S];

		peaks_advance(c, last_ms, now_ms);
		if (hosts >= 0) {
			c->hosts +=
			    sample_weight(now_ms - last_ms, CREST_AVERAGE_MS) *
			    (hosts - c->hosts);
			c->requests += sample_weight(now_ms - last_ms,
					   REQUESTS_AVERAGE_MS) *
			    (samples[i].running + samples[i].queued -
				c->requests);
		}
		*peak = MAX(*peak, c->hosts);
	}
	crest->updated_ms = MAX(now_ms, 1);
}

/**
 * planner_crest_hosts() - hosts that a model needs at its recent peaks.
 * @crest: the demand
 * @model: index of the model
 */
double
planner_crest_hosts(const struct planner_crest *crest, unsigned model)
{
	double max = 0;

	for (unsigned i = 0; i < CREST_SPAN_S; i++)
		max = MAX(max, crest->models[model].peaks[i]);
	return (max);
}

/**
 * planner_crest_hosts_ahead() - hosts that a model needs at its recent peaks,
 * or shortly if its demand is rising.
 * @crest: the demand
 * @model: index of the model
 */
double
planner_crest_hosts_ahead(const struct planner_crest *crest, unsigned model)
{
	const struct model_crest *c = &crest->models[model];
	uint64_t second = crest->updated_ms / MS_PER_S + CREST_SPAN_S - 1;
	double rise = c->hosts - c->peaks[second % CREST_SPAN_S];

	return (MAX(planner_crest_hosts(crest, model),
	    c->hosts + CREST_AHEAD_S * MAX(rise, 0)));
}

/* Whether the bound may change now in this direction. */
static bool
change_allowed(const struct planner_crest *crest,
    const struct planner_view *view, bool lower, uint64_t now_ms)
{
	uint64_t interval = lower == crest->lowered ? CREST_CHANGE_INTERVAL_MS :
						      CREST_REVERSE_INTERVAL_MS;

	return (view->hosts->len >= CREST_HOSTS_MIN * crest->most_hosts &&
	    now_ms - crest->short_since_ms >= CREST_SHORT_MS &&
	    (crest->changed_ms == 0 || now_ms - crest->changed_ms >= interval));
}

/* The part of the present cost that a change must reach. */
static double
change_gain(bool lower, bool corrected)
{
	if (!lower)
		return (CREST_GAIN_RAISE);
	return (corrected ? CREST_GAIN_LOWER : CREST_GAIN_FIRST);
}

/* Changes the bound on replicas of the largest model where that is due. */
static void
crest_change_bound(struct planner_crest *crest, struct planner_balance *b,
    unsigned *largest_max, struct planner_view *view, uint64_t now_ms)
{
	unsigned by_share = (unsigned)(planner_view_choose_cap(view) + 0.5);
	unsigned fit = planner_balance_fit(b, view), best;
	unsigned bound = *largest_max != 0 ? MIN(*largest_max, fit) : by_share;

	if (bound == 0)
		return;
	if (!planner_balance_short(b, view, bound)) {
		crest->short_since_ms = 0;
		return;
	}
	if (crest->short_since_ms == 0)
		crest->short_since_ms = now_ms;
	planner_balance_set_reserves(b, view, bound);
	best = planner_balance_best(b, view, bound, fit, *largest_max != 0);
	if (best == bound ||
	    !change_allowed(crest, view, best < bound, now_ms) ||
	    planner_balance_cost(b, view, best) >
		change_gain(best < bound, *largest_max != 0) *
		    planner_balance_cost(b, view, bound))
		return;
	crest->changed_ms = now_ms;
	crest->lowered = best < bound;
	/* Without a bound, surplus replicas would stay. */
	*largest_max = best == by_share && !crest->lowered ? 0 : best;
}

/* Sets the shares of the work by what each model's crests and the loss of a
 * replica need. */
static void
crest_set_shares(const struct planner_crest *crest, struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double need[PLANNER_MODELS_MAX], sum = 0;

	for (unsigned i = 0; i < n; i++) {
		need[i] = planner_crest_hosts(crest, i) +
		    CREST_RESERVE * planner_model(view, i)->size;
		sum += need[i];
	}
	for (unsigned i = 0; i < n && sum > 0; i++)
		view->work_share[i] = need[i] / sum;
}

/* Sets which models have too few replicas for their crests, and which have
 * enough also after a loss. */
static void
crest_set_short(const struct planner_crest *crest, struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);

	for (unsigned i = 0; i < n; i++) {
		double size = planner_model(view, i)->size;
		double needed =
		    planner_crest_hosts(crest, i) / size / CREST_SHORT;

		view->short_of_hosts[i] = needed > view->replicas[i];
		view->demand_met[i] =
		    needed + CREST_RESERVE <= view->replicas[i];
	}
}

/**
 * planner_crest_apply() - set a view's shares of the work and its bound on the
 * largest model from the demand.
 * @crest: the demand
 * @largest_max: maximum number of replicas of the largest model, which is
 *	updated; 0 for no bound
 * @view: the view; its hosts have been counted
 * @now_ms: loop time
 *
 * Where all models have been served in time, nothing changes.
 */
void
planner_crest_apply(struct planner_crest *crest, unsigned *largest_max,
    struct planner_view *view, uint64_t now_ms)
{
	struct planner_balance b;

	if (view->engine->models->len < 2 || crest->updated_ms == 0)
		return;
	crest_set_short(crest, view);
	planner_balance_init(&b, crest, view);
	crest_change_bound(crest, &b, largest_max, view, now_ms);
	view->largest_max = *largest_max;
	view->by_demand = true;
	if (*largest_max != 0 || crest->short_since_ms != 0)
		crest_set_shares(crest, view);
}
