/* Which hosts get copies of which models before they are needed. Pure. */
#include <math.h>
#include <string.h>

#include "replica-form.h"

/* Whether a host could be given a copy of a model. */
static bool
host_lacks(const struct form_host *h, const struct model_profile *m)
{
	return (h->staging == NULL && !form_host_has(h, m));
}

/* A host of a fabric domain for a copy of the largest model; idle ones first.
 */
static const struct form_host *
stage_pick(const struct form_view *view, unsigned at)
{
	const struct model_profile *big = form_model(view, view->largest);
	const struct form_host *donor = NULL;

	for (guint n = 0; n < form_fabric_at(view, at)->hosts; n++) {
		const struct form_host *h =
		    form_host_at(view, form_fabric_host(view, at, n));

		if (!host_lacks(h, big))
			continue;
		if (h->free)
			return (h);
		if (donor == NULL && form_host_donates(h, big))
			donor = h;
	}
	return (donor);
}

/* Copies of the largest model that a fabric domain lacks. */
static unsigned
fabric_lacks(const struct form_view *view, const struct form_fabric *f)
{
	unsigned has = f->ready + f->donors + f->coming;
	unsigned need = f->held >= f->cap ?
	    FORM_SPARES_KEPT :
	    form_model(view, view->largest)->size;

	return (f->cap > 0 && has < need ? need - has : 0);
}

/*
 * Copies of the largest model: all of a missing replica, the one that lacks
 * fewest first; then one beside each replica.
 */
static const struct form_host *
stage_largest(const struct form_view *view, bool missing)
{
	const struct form_host *best = NULL;
	unsigned fewest = 0;

	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct form_fabric *f = form_fabric_at(view, at);
		unsigned lacks = fabric_lacks(view, f);
		const struct form_host *h;

		if (lacks == 0 || missing != (f->held < f->cap) ||
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
host_spares(const struct form_view *view, const struct form_host *h)
{
	const struct model_profile *big = form_model(view, view->largest);

	if (!form_host_has(h, big) || g_strcmp0(h->last, big->name) == 0)
		return (true);
	return (form_fabric_spares(form_fabric_at(view, h->at)));
}

/* Free hosts of a fabric domain: with a model or getting it, and without. */
static const struct form_host *
free_count(const struct form_view *view, const struct model_profile *m,
    unsigned at, unsigned *has, unsigned *other)
{
	const struct form_host *pick = NULL;

	*has = 0;
	*other = 0;
	for (guint n = 0; n < form_fabric_at(view, at)->hosts; n++) {
		const struct form_host *h =
		    form_host_at(view, form_fabric_host(view, at, n));

		if (!h->free)
			continue;
		if (form_host_has(h, m) ||
		    g_strcmp0(h->staging, m->name) == 0) {
			(*has)++;
		} else if (h->staging == NULL && host_spares(view, h)) {
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
static const struct form_host *
stage_small(const struct form_view *view, unsigned index)
{
	const struct model_profile *m = form_model(view, index);
	const struct form_host *best = NULL;
	unsigned most = 0;

	if (form_short(view, index) <= FORM_SHORT_LEAST)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct form_host *pick;
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
static const struct form_host *
stage_small_spare(const struct form_view *view, unsigned index)
{
	const struct model_profile *m = form_model(view, index);

	for (guint at = 0; at < view->fabrics->len; at++) {
		const char *name = form_fabric_at(view, at)->name;
		const struct form_host *pick;
		unsigned has, other;

		pick = free_count(view, m, at, &has, &other);
		if (pick != NULL && has < FORM_SPARES_KEPT &&
		    form_fabric_held(view, m, name) > 0)
			return (pick);
	}
	return (NULL);
}

/* The small model that is furthest below what is wanted. */
static unsigned
small_model(const struct form_view *view)
{
	const GPtrArray *models = view->engine->models;
	unsigned best = view->largest;

	for (guint k = 0; k < models->len && k < FORM_MODELS_MAX; k++) {
		if (k != view->largest &&
		    (best == view->largest ||
			form_short(view, k) > form_short(view, best)))
			best = k;
	}
	return (best);
}

/*
 * The model of which a host should have a copy beside what it has in memory;
 * NULL where it has one. Idle hosts begin with the largest.
 */
static const struct model_profile *
host_second(const struct form_view *view, const struct form_host *h)
{
	const struct model_profile *big = form_model(view, view->largest);
	const struct model_profile *small = form_model(view, small_model(view));

	if (h->group != NULL && !h->group->opened)
		return (NULL);
	if (h->last != NULL)
		return (strcmp(h->last, big->name) == 0 ? small : big);
	return (h->staged->len == 0 ? big : NULL);
}

/*
 * Before the first request copies cost nothing, so every host gets one of a
 * model that it does not have in memory: the largest beside a small one, and a
 * small one beside the largest.
 */
static const struct form_host *
stage_early(const struct form_view *view, const struct model_profile **model)
{
	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h = form_host_at(view, i);

		*model = host_second(view, h);
		if (*model != NULL && host_lacks(h, *model))
			return (h);
	}
	return (NULL);
}

/**
 * form_warm() - an idle host that should take the largest model into memory.
 * @view: what is there
 *
 * It joins a replica in a tenth of the time then, and its copy may make room
 * for one of another model.
 *
 * Return: the host, or NULL.
 */
const struct form_host *
form_warm(const struct form_view *view)
{
	const struct model_profile *big = form_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h = form_host_at(view, i);

		if (h->free && !h->warming && h->last == NULL &&
		    h->staging == NULL && form_host_has(h, big))
			return (h);
	}
	return (NULL);
}

/* Copies of what is missing, for the model that is served worst. */
static const struct form_host *
stage_missing(const struct form_view *view, const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct form_host *best = NULL;
	double worst = INFINITY;

	for (guint k = 0; k < models->len && k < FORM_MODELS_MAX; k++) {
		const struct form_host *h;

		if (form_served(view, k) >= worst)
			continue;
		h = k == view->largest ? stage_largest(view, true) :
					 stage_small(view, k);
		if (h == NULL)
			continue;
		best = h;
		worst = form_served(view, k);
		*model = models->pdata[k];
	}
	return (best);
}

/* Spare copies beside the replicas that stand. */
static const struct form_host *
stage_spare(const struct form_view *view, const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct form_host *h = stage_largest(view, false);

	*model = form_model(view, view->largest);
	for (guint k = 0; h == NULL && k < models->len && k < FORM_MODELS_MAX;
	     k++) {
		if (k == view->largest)
			continue;
		*model = models->pdata[k];
		h = stage_small_spare(view, k);
	}
	return (h);
}

/**
 * form_stage() - a host that should get a copy of a model.
 * @view: what is there
 * @model: set to the model
 *
 * Return: the host, or NULL.
 */
const struct form_host *
form_stage(const struct form_view *view, const struct model_profile **model)
{
	const struct form_host *h;

	if (view->loads == 0 || view->engine->models->len < 2)
		return (NULL);
	if (!view->serving)
		return (view->settled ? stage_early(view, model) : NULL);
	h = stage_missing(view, model);
	return (h != NULL ? h : stage_spare(view, model));
}
