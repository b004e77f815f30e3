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

#include "replica-demand.h"

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
demand_hosts(const struct form_demand *d, const struct form_view *view,
    unsigned model, const struct form_seen *seen)
{
	double slots = MAX(view->engine->slots, 1);
	double running = seen->running;

	if (seen->limited > 0 && seen->unlimited == 0)
		return (d->busy[model]);
	if (seen->limited > 0)
		running *= 1 + (double)seen->limited / seen->unlimited;
	return (running / slots * form_model(view, model)->size);
}

/**
 * form_demand_note() - note the requests that run now.
 * @d: the demand
 * @view: the service's models
 * @seen: of each model
 * @now_ms: loop time
 */
void
form_demand_note(struct form_demand *d, const struct form_view *view,
    const struct form_seen *seen, uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, FORM_MODELS_MAX);
	double weight = 1.0;

	if (d->noted_ms == 0)
		d->begun_ms = now_ms;
	else
		weight =
		    -expm1(-(double)(now_ms - d->noted_ms) / DEMAND_MEAN_MS);
	d->noted_ms = MAX(now_ms, 1);
	for (unsigned i = 0; i < n; i++) {
		double hosts = demand_hosts(d, view, i, &seen[i]);

		d->busy[i] += weight * (hosts - d->busy[i]);
	}
}

/* What the largest model's replicas are bound to; all that it may have where
 * there is no bound. */
static unsigned
demand_most(const struct form_demand *d, double full)
{
	return (d->most != 0 ? d->most : (unsigned)floor(full + 0.5));
}

/* Moves the bound on replicas of the largest model by one, where it is due. */
static void
demand_move(struct form_demand *d, struct form_view *view, double share,
    uint64_t now_ms)
{
	double size = form_model(view, view->largest)->size;
	double full = form_view_full(view);
	double want = share * view->hosts->len / size;
	double least = d->busy[view->largest] / size / DEMAND_BUSY_MOST;
	unsigned most = demand_most(d, full);

	if (now_ms - d->moved_ms < DEMAND_MOVE_MS)
		return;
	if (most > 1 && want < most - DEMAND_MARGIN && least <= most - 1.0)
		most--;
	else if (d->most != 0 && (want > most + DEMAND_MARGIN || least > most))
		most++;
	else
		return;
	d->moved_ms = now_ms;
	d->most = most < full - DEMAND_FULL ? most : 0;
}

/**
 * form_demand_apply() - derive shares and the bound on the largest model.
 * @d: the demand
 * @view: its hosts were counted; its shares of the work are set
 * @now_ms: loop time
 *
 * Where the configured shares fit what is seen, nothing changes.
 */
void
form_demand_apply(struct form_demand *d, struct form_view *view,
    uint64_t now_ms)
{
	unsigned n = MIN(view->engine->models->len, FORM_MODELS_MAX);
	double work[FORM_MODELS_MAX], sum = 0;

	if (n < 2 || d->noted_ms == 0)
		return;
	view->most = d->most;
	for (unsigned i = 0; i < n; i++)
		sum += d->busy[i];
	if (sum <= 0 || now_ms - d->begun_ms < DEMAND_SETTLE_MS)
		return;
	for (unsigned i = 0; i < n; i++)
		work[i] = (1 - DEMAND_SEEN) * view->work[i] +
		    DEMAND_SEEN * d->busy[i] / sum;
	demand_move(d, view, work[view->largest], now_ms);
	view->most = d->most;
	if (d->most != 0)
		memcpy(view->work, work, n * sizeof work[0]);
}
