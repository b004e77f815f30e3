/* Which hosts get copies of which models before they are needed. Pure. */
#include <math.h>
#include <string.h>

#include "planner.h"

/* Whether a host could be given a copy of a model. */
static bool
host_lacks(const struct planner_host *h, const struct model_profile *m)
{
	return (h->copying == NULL && !planner_host_has_model(h, m));
}

/* A host of a fabric domain for a copy of the largest model; idle ones first.
 */
static const struct planner_host *
stage_pick(const struct planner_view *view, unsigned at)
{
	const struct model_profile *big = planner_model(view, view->largest);
	const struct planner_host *donor = NULL;

	for (guint n = 0; n < planner_fabric_at(view, at)->hosts; n++) {
		const struct planner_host *h =
		    planner_host_at(view, planner_fabric_host(view, at, n));

		if (!host_lacks(h, big))
			continue;
		if (h->free)
			return (h);
		if (donor == NULL && planner_host_can_donate(h, big))
			donor = h;
	}
	return (donor);
}

/* Copies of the largest model that a fabric domain lacks. */
static unsigned
fabric_lacks(const struct planner_view *view, const struct planner_fabric *f)
{
	unsigned has = f->ready + f->donors + f->copying;
	unsigned need = f->replicas >= f->max_replicas ?
	    PLANNER_SPARE_COPIES :
	    planner_model(view, view->largest)->size;

	return (f->max_replicas > 0 && has < need ? need - has : 0);
}

/*
 * Copies of the largest model: all of a missing replica, the one that lacks
 * fewest first; then one beside each replica.
 */
static const struct planner_host *
stage_largest(const struct planner_view *view, bool missing)
{
	const struct planner_host *best = NULL;
	unsigned fewest = 0;

	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct planner_fabric *f = planner_fabric_at(view, at);
		unsigned lacks = fabric_lacks(view, f);
		const struct planner_host *h;

		if (lacks == 0 || missing != (f->replicas < f->max_replicas) ||
		    (best != NULL && lacks >= fewest))
			continue;
		h = stage_pick(view, at);
		if (h == NULL)
			continue;
		best = h;
		fewest = lacks;
	}
	return (best);
}

/*
 * Whether an idle host may be given a copy of a smaller model in the place of
 * its copy of the largest: that is in its memory too, or there are others.
 */
static bool
host_spares(const struct planner_view *view, const struct planner_host *h)
{
	const struct model_profile *big = planner_model(view, view->largest);

	if (!planner_host_has_model(h, big) ||
	    g_strcmp0(h->loaded_model, big->name) == 0)
		return (true);
	return (planner_fabric_has_spares(
	    planner_fabric_at(view, h->fabric_index)));
}

/* Free hosts of a fabric domain: with a model or getting it, and without. */
static const struct planner_host *
free_count(const struct planner_view *view, const struct model_profile *m,
    unsigned at, unsigned *has, unsigned *other)
{
	const struct planner_host *pick = NULL;

	*has = 0;
	*other = 0;
	for (guint n = 0; n < planner_fabric_at(view, at)->hosts; n++) {
		const struct planner_host *h =
		    planner_host_at(view, planner_fabric_host(view, at, n));

		if (!h->free)
			continue;
		if (planner_host_has_model(h, m) ||
		    g_strcmp0(h->copying, m->name) == 0) {
			(*has)++;
		} else if (h->copying == NULL && host_spares(view, h)) {
			(*other)++;
			pick = h;
		}
	}
	return (pick);
}

/*
 * Copies of a small model on idle hosts: as many as a replica lacks where one
 * can be made. A join with a load would bind the hosts that need none for as
 * long.
 */
static const struct planner_host *
stage_small(const struct planner_view *view, unsigned index)
{
	const struct model_profile *m = planner_model(view, index);
	const struct planner_host *best = NULL;
	unsigned most = 0;

	if (planner_shortage(view, index) <= PLANNER_SHORTAGE_MIN)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct planner_host *pick;
		unsigned has, other;

		pick = free_count(view, m, at, &has, &other);
		if (pick == NULL || has >= m->size || has + other < m->size ||
		    (best != NULL && has <= most))
			continue;
		best = pick;
		most = has;
	}
	return (best);
}

/* One copy of a small model as a spare where it serves. */
static const struct planner_host *
stage_small_spare(const struct planner_view *view, unsigned index)
{
	const struct model_profile *m = planner_model(view, index);

	for (guint at = 0; at < view->fabrics->len; at++) {
		const char *name = planner_fabric_at(view, at)->name;
		const struct planner_host *pick;
		unsigned has, other;

		pick = free_count(view, m, at, &has, &other);
		if (pick != NULL && has < PLANNER_SPARE_COPIES &&
		    planner_fabric_replicas(view, m, name) > 0)
			return (pick);
	}
	return (NULL);
}

/* The small model that is furthest below what is wanted. */
static unsigned
small_model(const struct planner_view *view)
{
	const GPtrArray *models = view->engine->models;
	unsigned best = view->largest;

	for (guint k = 0; k < models->len && k < PLANNER_MODELS_MAX; k++) {
		if (k != view->largest &&
		    (best == view->largest ||
			planner_shortage(view, k) >
			    planner_shortage(view, best)))
			best = k;
	}
	return (best);
}

/*
 * The model of which a host should have a copy beside what it has in memory;
 * NULL where it has one. Idle hosts begin with the largest.
 */
static const struct model_profile *
host_second(const struct planner_view *view, const struct planner_host *h)
{
	const struct model_profile *big = planner_model(view, view->largest);
	const struct model_profile *small =
	    planner_model(view, small_model(view));

	if (h->group != NULL && !h->group->opened)
		return (NULL);
	if (h->loaded_model != NULL)
		return (strcmp(h->loaded_model, big->name) == 0 ? small : big);
	return (h->staged->len == 0 ? big : NULL);
}

/*
 * Before the first request copies cost nothing, so every host gets one of a
 * model that it does not have in memory: the largest beside a small one, and a
 * small one beside the largest.
 */
static const struct planner_host *
stage_early(const struct planner_view *view, const struct model_profile **model)
{
	for (guint i = 0; i < view->hosts->len; i++) {
		const struct planner_host *h = planner_host_at(view, i);

		*model = host_second(view, h);
		if (*model != NULL && host_lacks(h, *model))
			return (h);
	}
	return (NULL);
}

/**
 * planner_plan_warming() - an idle host that should take the largest model into
 * memory.
 * @view: what is there
 *
 * It joins a replica in a tenth of the time then, and its copy may make room
 * for one of another model.
 *
 * Return: the host, or NULL.
 */
const struct planner_host *
planner_plan_warming(const struct planner_view *view)
{
	const struct model_profile *big = planner_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct planner_host *h = planner_host_at(view, i);

		if (h->free && !h->warming && h->loaded_model == NULL &&
		    h->copying == NULL && planner_host_has_model(h, big))
			return (h);
	}
	return (NULL);
}

/* Copies of what is missing, for the model that is served worst. */
static const struct planner_host *
stage_missing(const struct planner_view *view,
    const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct planner_host *best = NULL;
	double worst = INFINITY;

	for (guint k = 0; k < models->len && k < PLANNER_MODELS_MAX; k++) {
		const struct planner_host *h;

		if (planner_supply_ratio(view, k) >= worst)
			continue;
		h = k == view->largest ? stage_largest(view, true) :
					 stage_small(view, k);
		if (h == NULL)
			continue;
		best = h;
		worst = planner_supply_ratio(view, k);
		*model = models->pdata[k];
	}
	return (best);
}

/* Spare copies beside the replicas that stand. */
static const struct planner_host *
stage_spare(const struct planner_view *view, const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct planner_host *h = stage_largest(view, false);

	*model = planner_model(view, view->largest);
	for (guint k = 0;
	     h == NULL && k < models->len && k < PLANNER_MODELS_MAX; k++) {
		if (k == view->largest)
			continue;
		*model = models->pdata[k];
		h = stage_small_spare(view, k);
	}
	return (h);
}

/**
 * planner_plan_copy() - a host that should get a copy of a model.
 * @view: what is there
 * @model: set to the model
 *
 * Return: the host, or NULL.
 */
const struct planner_host *
planner_plan_copy(const struct planner_view *view,
    const struct model_profile **model)
{
	const struct planner_host *h;

	if (view->loads_free == 0 || view->engine->models->len < 2)
		return (NULL);
	if (!view->serving)
		return (view->hosts_stable ? stage_early(view, model) : NULL);
	h = stage_missing(view, model);
	return (h != NULL ? h : stage_spare(view, model));
}
