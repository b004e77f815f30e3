/* Which hosts get copies of which models before these are needed. Pure
 * functions. */
#include <math.h>
#include <string.h>

#include "planner.h"

/* Whether a host lacks a model and can be given a copy of it. */
static bool
host_needs_copy(const struct planner_host *h, const struct model_profile *m)
{
	return (h->copying == NULL && !planner_host_has_model(h, m));
}

/* Selects a host of a fabric domain for a copy of the largest model: a free one
 * or else one of a possible donor. */
static const struct planner_host *
copy_select_host(const struct planner_view *view, unsigned fabric_index)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);
	const struct planner_host *donor = NULL;

	for (guint n = 0; n < planner_fabric_at(view, fabric_index)->hosts;
	     n++) {
		const struct planner_host *h = planner_host_at(view,
		    planner_fabric_host(view, fabric_index, n));

		if (!host_needs_copy(h, largest))
			continue;
		if (h->free)
			return (h);
		if (donor == NULL && planner_host_can_donate(h, largest))
			donor = h;
	}
	return (donor);
}

/* Number of copies of the largest model that a fabric domain lacks. */
static unsigned
fabric_missing_copies(const struct planner_view *view,
    const struct planner_fabric *f)
{
	unsigned have = f->ready + f->donors + f->copying;
	unsigned need = f->replicas >= f->max_replicas ?
	    PLANNER_SPARE_COPIES :
	    planner_model(view, view->largest)->size;

	return (f->max_replicas > 0 && have < need ? need - have : 0);
}

/*
 * Selects a host for a copy of the largest model, in the fabric domain that
 * lacks fewest. Either only those whose replica is missing are considered, or
 * only those that need a spare copy.
 */
static const struct planner_host *
copy_for_largest(const struct planner_view *view, bool missing)
{
	const struct planner_host *best = NULL;
	unsigned fewest = 0;

	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_fabric *f = planner_fabric_at(view, i);
		unsigned missing_copies = fabric_missing_copies(view, f);
		const struct planner_host *h;

		if (missing_copies == 0 ||
		    missing != (f->replicas < f->max_replicas) ||
		    (best != NULL && missing_copies >= fewest))
			continue;
		h = copy_select_host(view, i);
		if (h == NULL)
			continue;
		best = h;
		fewest = missing_copies;
	}
	return (best);
}

/*
 * Whether a copy of a smaller model may replace a free host's copy of the
 * largest: the host has the largest in memory too, or there are other spares.
 */
static bool
host_copy_replaceable(const struct planner_view *view,
    const struct planner_host *h)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	if (!planner_host_has_model(h, largest) ||
	    g_strcmp0(h->loaded_model, largest->name) == 0)
		return (true);
	return (planner_fabric_has_spares(
	    planner_fabric_at(view, h->fabric_index)));
}

/*
 * Counts the free hosts of a fabric domain that have a model or are getting it,
 * and those that could be given it. Returns one of the latter, or NULL.
 */
static const struct planner_host *
count_free_hosts(const struct planner_view *view, const struct model_profile *m,
    unsigned fabric_index, unsigned *have, unsigned *could_get)
{
	const struct planner_host *pick = NULL;

	*have = 0;
	*could_get = 0;
	for (guint n = 0; n < planner_fabric_at(view, fabric_index)->hosts;
	     n++) {
		const struct planner_host *h = planner_host_at(view,
		    planner_fabric_host(view, fabric_index, n));

		if (!h->free)
			continue;
		if (planner_host_has_model(h, m) ||
		    g_strcmp0(h->copying, m->name) == 0) {
			(*have)++;
		} else if (h->copying == NULL &&
		    host_copy_replaceable(view, h)) {
			(*could_get)++;
			pick = h;
		}
	}
	return (pick);
}

/*
 * Selects a free host for a copy of a small model where the free hosts are
 * enough for a replica of it, first where most have it already. The copies are
 * made before the join, since a load during the join would hold the hosts that
 * need none for just as long.
 */
static const struct planner_host *
copy_for_small(const struct planner_view *view, unsigned index)
{
	const struct model_profile *m = planner_model(view, index);
	const struct planner_host *best = NULL;
	unsigned most = 0;

	if (planner_shortage(view, index) <= PLANNER_SHORTAGE_MIN)
		return (NULL);
	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_host *pick;
		unsigned have, could_get;

		pick = count_free_hosts(view, m, i, &have, &could_get);
		if (pick == NULL || have >= m->size ||
		    have + could_get < m->size ||
		    (best != NULL && have <= most))
			continue;
		best = pick;
		most = have;
	}
	return (best);
}

/* Number of spare copies of a small model for each fabric domain; a model that
 * is short of hosts has enough for a replica that loses a third of them. */
static unsigned
small_spare_copies(const struct planner_view *view, unsigned index)
{
	unsigned third = (planner_model(view, index)->size + 2) / 3;

	return (view->short_of_hosts[index] ? MAX(third, PLANNER_SPARE_COPIES) :
					      PLANNER_SPARE_COPIES);
}

/* Selects a free host for a spare copy of a small model in a fabric domain
 * where that model is served. */
static const struct planner_host *
copy_for_small_spare(const struct planner_view *view, unsigned index)
{
	const struct model_profile *m = planner_model(view, index);

	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_fabric *f = planner_fabric_at(view, i);
		const struct planner_host *pick;
		unsigned have, could_get;

		pick = count_free_hosts(view, m, i, &have, &could_get);
		if (pick != NULL && have < small_spare_copies(view, index) &&
		    f->in_fabric->replicas[index] > 0)
			return (pick);
	}
	return (NULL);
}

/* The model with the greatest shortage among all but the largest. */
static unsigned
scarcest_small_model(const struct planner_view *view)
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
 * The model of which a host should have a copy besides the one in its memory;
 * NULL where it needs none now. A host with neither begins with the largest.
 */
static const struct model_profile *
host_second_model(const struct planner_view *view, const struct planner_host *h)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);
	const struct model_profile *small =
	    planner_model(view, scarcest_small_model(view));

	if (h->group != NULL && !h->group->opened)
		return (NULL);
	if (h->loaded_model != NULL)
		return (strcmp(h->loaded_model, largest->name) == 0 ? small :
								      largest);
	return (h->staged->len == 0 ? largest : NULL);
}

/*
 * Selects a host for a copy before the first request. Copies cost nothing then,
 * so every host gets one of a model that it does not have in memory: the
 * largest model besides a small one, and a small one besides the largest.
 */
static const struct planner_host *
copy_before_requests(struct planner_view *view,
    const struct model_profile **model)
{
	for (; view->copies_done < view->hosts->len; view->copies_done++) {
		const struct planner_host *h =
		    planner_host_at(view, view->copies_done);

		*model = host_second_model(view, h);
		if (*model != NULL && host_needs_copy(h, *model))
			return (h);
	}
	return (NULL);
}

/**
 * planner_plan_warming() - find a free host that should load the largest model
 * into memory from its own copy.
 * @view: the view
 *
 * With the model in memory, the host joins a replica in a tenth of the time,
 * and its copy can be replaced by one of another model.
 *
 * Return: the host, or NULL.
 */
const struct planner_host *
planner_plan_warming(const struct planner_view *view)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct planner_host *h = planner_host_at(view, i);

		if (h->free && !h->warming && h->loaded_model == NULL &&
		    h->copying == NULL && planner_host_has_model(h, largest))
			return (h);
	}
	return (NULL);
}

/* Selects a host for a copy that a missing replica needs, for the model with
 * the lowest supply ratio. */
static const struct planner_host *
copy_for_missing(const struct planner_view *view,
    const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct planner_host *best = NULL;
	double worst = INFINITY;

	for (guint k = 0; k < models->len && k < PLANNER_MODELS_MAX; k++) {
		const struct planner_host *h;

		if (planner_supply_ratio(view, k) >= worst)
			continue;
		h = k == view->largest ? copy_for_largest(view, true) :
					 copy_for_small(view, k);
		if (h == NULL)
			continue;
		best = h;
		worst = planner_supply_ratio(view, k);
		*model = models->pdata[k];
	}
	return (best);
}

/* Selects a host for a spare copy, first of the largest model. */
static const struct planner_host *
copy_for_spare(const struct planner_view *view,
    const struct model_profile **model)
{
	const GPtrArray *models = view->engine->models;
	const struct planner_host *h = copy_for_largest(view, false);

	*model = planner_model(view, view->largest);
	for (guint k = 0;
	     h == NULL && k < models->len && k < PLANNER_MODELS_MAX; k++) {
		if (k == view->largest)
			continue;
		*model = models->pdata[k];
		h = copy_for_small_spare(view, k);
	}
	return (h);
}

/**
 * planner_plan_copy() - find a host that should get a copy of a model.
 * @view: the view
 * @model: set to the model, if a host is found
 *
 * Return: the host, or NULL.
 */
const struct planner_host *
planner_plan_copy(struct planner_view *view, const struct model_profile **model)
{
	const struct planner_host *h;

	if (view->loads_free == 0 || view->engine->models->len < 2)
		return (NULL);
	if (!view->served)
		return (view->hosts_stable ? copy_before_requests(view, model) :
					     NULL);
	h = copy_for_missing(view, model);
	return (h != NULL ? h : copy_for_spare(view, model));
}
