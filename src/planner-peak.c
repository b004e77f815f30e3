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
/* Time constant of the average whose recent maximum is the peak. */
#define PEAK_AVERAGE_MS 1000
/* Time for which a model must have been short. Requests for a large model run
 * longer, so after a rise of the load its demand shows later. */
#define PEAK_SHORT_MS 1200
/* Time between two changes of the bound, and between two in opposite
 * directions. */
#define PEAK_CHANGE_INTERVAL_MS 4000
#define PEAK_REVERSE_INTERVAL_MS 12000
/*
 * A change must lower the cost to this part of the present one. The first
 * corrects the configured shares, a later one comes on top of it; for more
 * replicas of the largest model, copies must be loaded.
 */
#define PEAK_GAIN_FIRST 0.85
#define PEAK_GAIN_LOWER 0.75
#define PEAK_GAIN_RAISE 0.4
/* The bound stands while fewer than this part of the most hosts seen is alive:
 * those of a failure domain that is cut off usually return. The number seen
 * decays with this time constant, for those that don't. */
#define PEAK_HOSTS_MIN 0.9
#define PEAK_HOSTS_DECAY_MS 45000
/* Time for which the rise of the last second is assumed to continue. */
#define PEAK_AHEAD_S 2

/*
 * The hosts that a model's requests need; negative if not known.
 * Replicas with a rate limit don't show the demand, so they are taken to run
 * as much as the others. Requests that wait or were refused are known for all
 * replicas together.
 */
static double
sample_hosts(const struct planner_view *view, unsigned model,
    const struct demand_sample *s)
{
	const struct engine_profile *e = view->engine;
	const struct model_profile *m = planner_model(view, model);
	double replicas = s->unlimited + s->limited, running, waiting;

	if (s->unlimited == 0)
		return (-1);
	running = s->running / s->unlimited;
	waiting = s->queued +
	    s->refused * planner_duration_ms(e, m, running) / MS_PER_S;
	return (planner_utilization(e, m, running + waiting / replicas) *
	    replicas * m->size);
}

/* Weight of a sample in a moving average. */
static double
sample_weight(uint64_t elapsed_ms, double constant_ms)
{
	return (-expm1(-(double)elapsed_ms / constant_ms));
}

/* Clears the peaks of the seconds that have begun since the last sample. */
static void
peaks_advance(struct model_peak *m, uint64_t from_ms, uint64_t now_ms)
{
	uint64_t from = from_ms / MS_PER_S, now = now_ms / MS_PER_S;

	for (uint64_t s = from + 1; s <= now && s <= from + PEAK_SPAN_S; s++)
		m->peaks[s % PEAK_SPAN_S] = 0;
}

/**
 * planner_peak_update() - add a sample of the requests that run now.
 * @peak: the demand
 * @view: the view, for the service's models
 * @samples: a sample for each model, in the order of the profile
 * @now_ms: loop time
 */
void
planner_peak_update(struct planner_peak *peak, const struct planner_view *view,
    const struct demand_sample *samples, uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	uint64_t last_ms = peak->updated_ms != 0 ? peak->updated_ms : now_ms;

	peak->most_hosts *=
	    1 - sample_weight(now_ms - last_ms, PEAK_HOSTS_DECAY_MS);
	peak->most_hosts = MAX(peak->most_hosts, view->hosts->len);
	for (unsigned i = 0; i < n; i++) {
		struct model_peak *m = &peak->models[i];
		double hosts = sample_hosts(view, i, &samples[i]);
		double *max = &m->peaks[now_ms / MS_PER_S % PEAK_SPAN_S];

		peaks_advance(m, last_ms, now_ms);
		if (hosts >= 0) {
			m->hosts_needed +=
			    sample_weight(now_ms - last_ms, PEAK_AVERAGE_MS) *
			    (hosts - m->hosts_needed);
		}
		*max = MAX(*max, m->hosts_needed);
	}
	peak->updated_ms = MAX(now_ms, 1);
}

/**
 * planner_peak_hosts() - hosts that a model needs at its recent peaks.
 * @peak: the demand
 * @model: index of the model
 */
double
planner_peak_hosts(const struct planner_peak *peak, unsigned model)
{
	double max = 0;

	for (unsigned i = 0; i < PEAK_SPAN_S; i++)
		max = MAX(max, peak->models[model].peaks[i]);
	return (max);
}

/**
 * planner_peak_hosts_ahead() - hosts that a model needs at its recent peaks,
 * or shortly if its demand is rising.
 * @peak: the demand
 * @model: index of the model
 */
double
planner_peak_hosts_ahead(const struct planner_peak *peak, unsigned model)
{
	const struct model_peak *m = &peak->models[model];
	uint64_t second = peak->updated_ms / MS_PER_S + PEAK_SPAN_S - 1;
	double rise = m->hosts_needed - m->peaks[second % PEAK_SPAN_S];

	return (MAX(planner_peak_hosts(peak, model),
	    m->hosts_needed + PEAK_AHEAD_S * MAX(rise, 0)));
}

/* Whether the bound may change now in at least one direction. */
static bool
change_allowed(const struct planner_peak *peak, const struct planner_view *view,
    uint64_t now_ms)
{
	return (view->hosts->len >= PEAK_HOSTS_MIN * peak->most_hosts &&
	    now_ms - peak->short_since_ms >= PEAK_SHORT_MS &&
	    (peak->changed_ms == 0 ||
		now_ms - peak->changed_ms >= PEAK_CHANGE_INTERVAL_MS));
}

/* Whether a change in this direction must wait for some time after one in the
 * other. */
static bool
reverse_blocked(const struct planner_peak *peak, bool lower, uint64_t now_ms)
{
	return (lower != peak->lowered && peak->changed_ms != 0 &&
	    now_ms - peak->changed_ms < PEAK_REVERSE_INTERVAL_MS);
}

/* The part of the present cost that a change must reach. */
static double
change_gain(bool lower, bool corrected)
{
	if (!lower)
		return (PEAK_GAIN_RAISE);
	return (corrected ? PEAK_GAIN_LOWER : PEAK_GAIN_FIRST);
}

/* Notes a bound that another placer has set, perhaps just before. */
static void
peak_inherit_bound(struct planner_peak *peak, bool lowered, uint64_t now_ms)
{
	peak->changed_ms = MAX(now_ms, 1);
	peak->lowered = lowered;
}

/* Changes the bound on replicas of the largest model where that is due. */
static void
peak_change_bound(struct planner_peak *peak, struct planner_balance *b,
    unsigned *largest_max, struct planner_view *view, uint64_t now_ms)
{
	unsigned by_share = (unsigned)(planner_view_choose_cap(view) + 0.5);
	unsigned fit = planner_balance_fit(b, view), best;
	unsigned bound = *largest_max != 0 ? MIN(*largest_max, fit) : by_share;

	if (*largest_max != 0 && peak->changed_ms == 0)
		peak_inherit_bound(peak, *largest_max < by_share, now_ms);
	if (bound == 0)
		return;
	if (!planner_balance_short(b, view, bound)) {
		peak->short_since_ms = 0;
		return;
	}
	if (peak->short_since_ms == 0)
		peak->short_since_ms = now_ms;
	if (!change_allowed(peak, view, now_ms))
		return;
	planner_balance_set_reserves(b, view, bound);
	best = planner_balance_best(b, view, bound, fit, *largest_max != 0);
	if (best == bound || reverse_blocked(peak, best < bound, now_ms) ||
	    planner_balance_cost(b, view, best) >
		change_gain(best < bound, *largest_max != 0) *
		    planner_balance_cost(b, view, bound))
		return;
	peak->changed_ms = now_ms;
	peak->lowered = best < bound;
	/* Without a bound, surplus replicas would stay. */
	*largest_max = best == by_share && !peak->lowered ? 0 : best;
}

/* Sets the shares of the work by what each model's peaks and the loss of a
 * replica need. */
static void
peak_set_shares(const struct planner_peak *peak, struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double need[PLANNER_MODELS_MAX], sum = 0;

	for (unsigned i = 0; i < n; i++) {
		need[i] = planner_peak_hosts(peak, i) +
		    PEAK_RESERVE * planner_model(view, i)->size;
		sum += need[i];
	}
	for (unsigned i = 0; i < n && sum > 0; i++)
		view->work_share[i] = need[i] / sum;
}

/* Sets which models have too few replicas for their peaks, and which have
 * enough also after a loss. */
static void
peak_set_short(const struct planner_peak *peak, struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);

	for (unsigned i = 0; i < n; i++) {
		double size = planner_model(view, i)->size;
		double needed = planner_peak_hosts(peak, i) / size / PEAK_SHORT;

		view->short_of_hosts[i] = needed > view->replicas[i];
		view->demand_met[i] =
		    needed + PEAK_RESERVE <= view->replicas[i];
	}
}

/**
 * planner_peak_apply() - set a view's shares of the work and its bound on the
 * largest model from the demand.
 * @peak: the demand
 * @largest_max: maximum number of replicas of the largest model, which is
 *	updated; 0 for no bound
 * @view: the view; its hosts have been counted
 * @now_ms: loop time
 *
 * Where all models have been served in time, nothing changes.
 */
void
planner_peak_apply(struct planner_peak *peak, unsigned *largest_max,
    struct planner_view *view, uint64_t now_ms)
{
	struct planner_balance b;

	if (view->engine->models->len < 2 || peak->updated_ms == 0)
		return;
	peak_set_short(peak, view);
	planner_balance_init(&b, peak, view);
	peak_change_bound(peak, &b, largest_max, view, now_ms);
	view->largest_max = *largest_max;
	view->by_demand = true;
	if (*largest_max != 0 || peak->short_since_ms != 0)
		peak_set_shares(peak, view);
}
