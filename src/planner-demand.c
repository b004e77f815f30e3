/*
 * How much of the work each model of a service has, as it is seen. Pure.
 *
 * Answers work whose split between the models is another than the one that was
 * configured: replicas of the large model nearly idle, those of the small one
 * full. One replica at a time is given up or regained, since each costs its
 * hosts some seconds.
 */
#include <math.h>
#include <string.h>

#include "planner-demand.h"

/* Time over which the requests are averaged: bursts of some seconds pass before
 * a replica that moves for them would serve. */
#define DEMAND_MEAN_MS 5000
/* Requests are seen for this long before anything moves. */
#define DEMAND_SETTLE_MS 2500
/* Between two moves: a replica closes, its hosts join others, these open. */
#define DEMAND_MOVE_MS 2500
/* Part of the shares that follows the work that is seen; the rest stays as
 * configured, for the bursts that the configuration allows for. */
#define DEMAND_SEEN 0.5
/* The bound moves when what is wanted is this far off, in replicas; more than
 * half of one, so that it does not swing between two. */
#define DEMAND_MARGIN 0.75
/* The largest model keeps as many replicas as leave them this busy at most. */
#define DEMAND_BUSY_MOST 0.4
/* There is no bound within this much of what the configured share gives. */
#define DEMAND_FULL 0.25

/* Requests that would run at a model's replicas, in hosts that they fill; what
 * was seen before where all have limits, since those hide what is asked for. */
static double
demand_hosts(const struct planner_demand *d, const struct planner_view *view,
    unsigned model, const struct demand_sample *seen)
{
	double slots = MAX(view->engine->slots, 1);
	double running = seen->running;

	if (seen->limited > 0 && seen->unlimited == 0)
		return (d->busy_hosts[model]);
	if (seen->limited > 0)
		running *= 1 + (double)seen->limited / seen->unlimited;
	return (running / slots * planner_model(view, model)->size);
}

/**
 * planner_demand_update() - note the requests that run now.
 * @d: the demand
 * @view: the service's models
 * @seen: of each model
 * @now_ms: loop time
 */
void
planner_demand_update(struct planner_demand *d, const struct planner_view *view,
    const struct demand_sample *seen, uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	double weight = 1.0;

	if (d->updated_ms == 0)
		d->first_ms = now_ms;
	else
		weight =
		    -expm1(-(double)(now_ms - d->updated_ms) / DEMAND_MEAN_MS);
	d->updated_ms = MAX(now_ms, 1);
	for (unsigned i = 0; i < n; i++) {
		double hosts = demand_hosts(d, view, i, &seen[i]);

		d->busy_hosts[i] += weight * (hosts - d->busy_hosts[i]);
	}
}

/* What the largest model's replicas are bound to; all that it may have where
 * there is no bound. */
static unsigned
demand_most(const struct planner_demand *d, double full)
{
	return (
	    d->largest_max != 0 ? d->largest_max : (unsigned)floor(full + 0.5));
}

/* Moves the bound on replicas of the largest model by one, where it is due. */
static void
demand_move(struct planner_demand *d, struct planner_view *view, double share,
    uint64_t now_ms)
{
	double size = planner_model(view, view->largest)->size;
	double full = planner_view_choose_cap(view);
	double want = share * view->hosts->len / size;
	double least = d->busy_hosts[view->largest] / size / DEMAND_BUSY_MOST;
	unsigned most = demand_most(d, full);

	if (now_ms - d->bound_changed_ms < DEMAND_MOVE_MS)
		return;
	if (most > 1 && want < most - DEMAND_MARGIN && least <= most - 1.0)
		most--;
	else if (d->largest_max != 0 &&
	    (want > most + DEMAND_MARGIN || least > most))
		most++;
	else
		return;
	d->bound_changed_ms = now_ms;
	d->largest_max = most < full - DEMAND_FULL ? most : 0;
}

/**
 * planner_demand_apply() - derive shares and the bound on the largest model.
 * @d: the demand
 * @view: its hosts were counted; its shares of the work are set
 * @now_ms: loop time
 *
 * Where the configured shares fit what is seen, nothing changes.
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
	if (sum <= 0 || now_ms - d->first_ms < DEMAND_SETTLE_MS)
		return;
	for (unsigned i = 0; i < n; i++)
		work[i] = (1 - DEMAND_SEEN) * view->work_share[i] +
		    DEMAND_SEEN * d->busy_hosts[i] / sum;
	demand_move(d, view, work[view->largest], now_ms);
	view->largest_max = d->largest_max;
	if (d->largest_max != 0)
		memcpy(view->work_share, work, n * sizeof work[0]);
}
