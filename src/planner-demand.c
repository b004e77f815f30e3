/*
 * The share of a service's work that each model has, measured by the requests
 * that run. Pure functions.
 *
 * Corrects for work that is split between the models in another way than
 * configured, where the replicas of the large model are nearly idle and those
 * of the small one are full. Replicas are dissolved or formed again one at a
 * time, since each change costs its hosts some seconds.
 */
#include <math.h>
#include <string.h>

#include "fwd-demand.h"
#include "planner-demand.h"

/* Time constant of the moving average: a burst of some seconds is over before a
 * replica that is formed for it would serve. */
#define DEMAND_AVERAGE_MS 5000
/* Time from the first sample until the shares and the bound may change. */
#define DEMAND_OBSERVE_MS 2500
/* Time between two changes of the bound, in which a replica closes, its hosts
 * join others and these open. */
#define DEMAND_CHANGE_INTERVAL_MS 2500
/* Weight of the measured work in the shares; the rest stays as configured, for
 * the bursts that the configuration allows for. */
#define DEMAND_WEIGHT 0.5
/* Difference between the bound and the wanted number, in replicas, from which
 * the bound changes; it is more than one half, so that the bound does not
 * oscillate between two values. */
#define DEMAND_CHANGE_MIN 0.75
/* The bound leaves the largest model enough replicas that their utilization is
 * at most this. */
#define DEMAND_UTILIZATION_MAX 0.4
/* The bound is lifted within this many replicas of the number that the
 * configured share gives. */
#define DEMAND_LIFT_MARGIN 0.25

/*
 * The number of hosts that a model's requests fill. Replicas with a rate limit
 * hide the demand, so they are assumed to have as many requests as those
 * without; where all have a limit, the previous average stands.
 */
static double
demand_hosts(const struct planner_demand *d, const struct planner_view *view,
    unsigned model, const struct demand_sample *sample)
{
	double slots = MAX(view->engine->slots, 1);
	double running = sample->running;

	if (sample->limited > 0 && sample->unlimited == 0)
		return (d->busy_hosts[model]);
	if (sample->limited > 0)
		running *= 1 + (double)sample->limited / sample->unlimited;
	return (running / slots * planner_model(view, model)->size);
}

/**
 * planner_demand_update() - add a sample of the requests that run now.
 * @d: the demand
 * @view: the view, for the service's models
 * @samples: a sample for each model, in the order of the profile
 * @now_ms: loop time
 */
void
planner_demand_update(struct planner_demand *d, const struct planner_view *view,
    const struct demand_sample *samples, uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double weight = 1.0;

	if (d->updated_ms == 0)
		d->first_ms = now_ms;
	else
		weight = -expm1(
		    -(double)(now_ms - d->updated_ms) / DEMAND_AVERAGE_MS);
	d->updated_ms = MAX(now_ms, 1);
	for (unsigned i = 0; i < n; i++) {
		double hosts = demand_hosts(d, view, i, &samples[i]);

		d->busy_hosts[i] += weight * (hosts - d->busy_hosts[i]);
	}
}

/* The bound on replicas of the largest model; without a bound, the number that
 * its configured share gives. */
static unsigned
demand_bound(const struct planner_demand *d, double by_share)
{
	return (d->largest_max != 0 ? d->largest_max :
				      (unsigned)floor(by_share + 0.5));
}

/* Changes the bound on replicas of the largest model by one where that is due.
 */
static void
demand_change_bound(struct planner_demand *d, struct planner_view *view,
    double share, uint64_t now_ms)
{
	double size = planner_model(view, view->largest)->size;
	double by_share = planner_view_choose_cap(view);
	double wanted = share * view->hosts->len / size;
	double needed =
	    d->busy_hosts[view->largest] / size / DEMAND_UTILIZATION_MAX;
	unsigned bound = demand_bound(d, by_share);

	if (now_ms - d->bound_changed_ms < DEMAND_CHANGE_INTERVAL_MS)
		return;
	if (bound > 1 && wanted < bound - DEMAND_CHANGE_MIN &&
	    needed <= bound - 1.0)
		bound--;
	else if (d->largest_max != 0 &&
	    (wanted > bound + DEMAND_CHANGE_MIN || needed > bound))
		bound++;
	else
		return;
	d->bound_changed_ms = now_ms;
	d->largest_max = bound < by_share - DEMAND_LIFT_MARGIN ? bound : 0;
}

/**
 * planner_demand_apply() - set a view's shares of the work and its bound on the
 * largest model from the demand.
 * @d: the demand
 * @view: the view; its hosts have been counted
 * @now_ms: loop time
 *
 * Where the measured work fits the configured shares, nothing changes.
 */
void
planner_demand_apply(struct planner_demand *d, struct planner_view *view,
    uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double work[PLANNER_MODELS_MAX], sum = 0;

	if (n < 2 || d->updated_ms == 0)
		return;
	view->largest_max = d->largest_max;
	for (unsigned i = 0; i < n; i++)
		sum += d->busy_hosts[i];
	if (sum <= 0 || now_ms - d->first_ms < DEMAND_OBSERVE_MS)
		return;
	for (unsigned i = 0; i < n; i++)
		work[i] = (1 - DEMAND_WEIGHT) * view->work_share[i] +
		    DEMAND_WEIGHT * d->busy_hosts[i] / sum;
	demand_change_bound(d, view, work[view->largest], now_ms);
	view->largest_max = d->largest_max;
	if (d->largest_max != 0)
		memcpy(view->work_share, work, n * sizeof work[0]);
}

/**
 * planner_demand_add_sums() - add what all daemons together know to a sample.
 * @samples: a sample for each model, in the order of the profile
 * @view: the view, for the service's models
 * @service: name of the service
 * @sums: sums over all daemons; without those of the others they are a guess,
 *	and nothing is added
 */
void
planner_demand_add_sums(struct demand_sample *samples,
    const struct planner_view *view, const char *service,
    const struct fleet_sums *sums)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);

	for (unsigned i = 0; i < n && sums->told; i++) {
		struct fleet_demand asked;

		if (!fleet_demand_total(&sums->total[SUM_DEMAND], service,
			planner_model(view, i)->name, &asked))
			continue;
		samples[i].queued = asked.queued + asked.due;
	}
}
