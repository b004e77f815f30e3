/* Which hosts form new replicas and which replicas are dissolved for them. Pure
 * functions. */
#include <math.h>
#include <string.h>

#include "planner.h"

/* Where a host gets a model from, cheapest first. */
enum model_source {
	SOURCE_MEMORY,
	SOURCE_COPY,
	SOURCE_STORE,
};

/* Weight of loads against shortage in the score of a candidate. A load takes
 * about ten times as long as a join from the host's own copy. */
#define LOAD_WEIGHT 1.0

/*
 * A candidate for a new replica: free hosts of one fabric domain for one model.
 * The loads are those from the weight store that the replica would need.
 */
struct replica_candidate {
	const struct model_profile *model;
	unsigned model_index;
	unsigned fabric_index;
	unsigned loads;
	double score;
};

/* Where a host would get a model from. */
static enum model_source
host_source(const struct planner_host *h, const struct model_profile *m)
{
	if (g_strcmp0(h->loaded_model, m->name) == 0)
		return (SOURCE_MEMORY);
	return (planner_host_has_model(h, m) ? SOURCE_COPY : SOURCE_STORE);
}

/*
 * Whether a fabric domain reserves its copies of the largest model: one of that
 * model's replicas is missing there and can be formed from the hosts that have
 * it.
 */
static bool
fabric_reserves_copies(const struct planner_view *view,
    const struct planner_fabric *f)
{
	return (f->replicas < f->max_replicas &&
	    f->ready >= planner_model(view, view->largest)->size);
}

/*
 * Whether a smaller model can spare a replica for the largest: without it, its
 * supply ratio is still at least that of the largest model. It gives none to a
 * largest model whose demand is met, or, if it is short of hosts itself, that
 * isn't short.
 */
static bool
model_can_donate(const struct planner_view *view, unsigned model)
{
	double after = (view->replicas[model] - 1.0) /
	    MAX(view->share_replicas[model], 0.5);

	if (view->demand_met[view->largest] ||
	    (view->short_of_hosts[model] &&
		!view->short_of_hosts[view->largest]))
		return (false);
	return (after >= planner_supply_ratio(view, view->largest));
}

/*
 * Whether hosts that have the largest model would only wait in a fabric domain:
 * a model is short of hosts, and no replica of the largest can form there from
 * free hosts and donors.
 */
static bool
fabric_copies_idle(const struct planner_view *view,
    const struct planner_fabric *f, unsigned model)
{
	unsigned size = planner_model(view, view->largest)->size;

	if (!view->short_of_hosts[model])
		return (false);
	return (f->replicas >= f->max_replicas ||
	    (f->ready < size &&
		(f->ready + f->donors < size ||
		    !model_can_donate(view, model))));
}

/*
 * Whether a free host that has the largest model may serve a smaller one. Where
 * the copies are reserved, only a model with a lower supply ratio gets the
 * host. Elsewhere it may return to the model that it last served; while
 * requests come, it gives up the largest model otherwise only where there are
 * other spares for it, for a model with a lower supply ratio, or where it would
 * only wait.
 */
static bool
host_may_switch(const struct planner_view *view, const struct planner_host *h,
    const struct replica_candidate *c)
{
	const struct planner_fabric *f =
	    planner_fabric_at(view, h->fabric_index);

	if (fabric_reserves_copies(view, f) &&
	    planner_supply_ratio(view, view->largest) <=
		planner_supply_ratio(view, c->model_index))
		return (false);
	return (g_strcmp0(h->loaded_model, c->model->name) == 0 ||
	    !view->served || planner_fabric_has_spares(f) ||
	    fabric_copies_idle(view, f, c->model_index) ||
	    planner_supply_ratio(view, c->model_index) <
		planner_supply_ratio(view, view->largest));
}

/*
 * Whether a candidate may use a host. While requests come, hosts join only with
 * a model that was copied to them before.
 */
static bool
candidate_can_use(const struct planner_view *view, const struct planner_host *h,
    const struct replica_candidate *c)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	if (!h->free || h->fabric_index != c->fabric_index)
		return (false);
	if (c->model != largest && planner_host_has_model(h, largest) &&
	    !host_may_switch(view, h, c))
		return (false);
	if (planner_host_has_model(h, c->model) ||
	    view->engine->models->len == 1)
		return (true);
	return (!view->served && h->copying == NULL &&
	    (c->model == largest || !planner_host_has_model(h, largest)));
}

/* Counts the hosts that a candidate may use, and those that need no load. */
static void
candidate_count_hosts(const struct planner_view *view,
    const struct replica_candidate *c, struct planner_usable *usable)
{
	const struct planner_fabric *f =
	    planner_fabric_at(view, c->fabric_index);

	usable->free = 0;
	usable->with_model = 0;
	for (guint n = 0; n < f->hosts; n++) {
		const struct planner_host *h = planner_host_at(view,
		    planner_fabric_host(view, c->fabric_index, n));

		if (!candidate_can_use(view, h, c))
			continue;
		usable->free++;
		usable->with_model += planner_host_has_model(h, c->model);
	}
}

/*
 * Returns these counts, which are kept in the view. Before requests come they
 * depend on the fabric domain and on which model has the lower supply ratio.
 */
static const struct planner_usable *
candidate_usable(const struct planner_view *view,
    const struct replica_candidate *c)
{
	struct planner_usable *usable = &g_array_index(view->fabrics,
	    struct planner_fabric, c->fabric_index)
					     .usable[c->model_index];
	bool largest_lower = planner_supply_ratio(view, view->largest) <=
	    planner_supply_ratio(view, c->model_index);
	unsigned valid = 1 + largest_lower;

	if (view->served || usable->valid != valid)
		candidate_count_hosts(view, c, usable);
	usable->valid = valid;
	return (usable);
}

/*
 * Scores a candidate: higher the further its model is below the wanted number
 * of replicas and the fewer of them its failure domain has; loads reduce the
 * score because they cost time and money.
 */
static double
candidate_score(const struct planner_view *view,
    const struct replica_candidate *c)
{
	double wanted = MAX(view->wanted[c->model_index], 0.5);
	double in_domain = planner_fabric_at(view, c->fabric_index)
			       ->in_domain->replicas[c->model_index] /
	    wanted;

	return (planner_shortage(view, c->model_index) / wanted - in_domain -
	    LOAD_WEIGHT * c->loads / c->model->size);
}

/* Whether a candidate is permitted at all. */
static bool
candidate_permitted(const struct planner_view *view,
    const struct replica_candidate *c)
{
	const struct planner_fabric *f =
	    planner_fabric_at(view, c->fabric_index);
	bool largest = c->model_index == view->largest;

	/* Before requests come, small replicas wait until all hosts are there
	 * and use those that large ones leave. */
	if (!view->served && !view->hosts_stable && !largest)
		return (false);
	if (largest && f->replicas >= f->max_replicas)
		return (false);
	/* Hosts that have the model may serve it even beyond the wanted number,
	 * since they need no load. */
	if (c->loads == 0)
		return (true);
	return (c->loads <= view->loads_free &&
	    planner_shortage(view, c->model_index) > PLANNER_SHORTAGE_MIN);
}

/* Computes the loads and the score of a candidate. Returns false where it has
 * too few hosts or is not permitted. */
static bool
candidate_evaluate(const struct planner_view *view, struct replica_candidate *c)
{
	const struct planner_usable *usable = candidate_usable(view, c);
	unsigned size = c->model->size;

	if (usable->free < size)
		return (false);
	c->loads = size - MIN(size, usable->with_model);
	if (!candidate_permitted(view, c))
		return (false);
	c->score = candidate_score(view, c);
	return (true);
}

/* Selects the members of a candidate, those with the cheapest source first. */
static void
plan_select_members(const struct planner_view *view,
    const struct replica_candidate *c, struct replica_plan *plan)
{
	plan->model = c->model;
	plan->loads = c->loads;
	plan->members = g_array_new(FALSE, FALSE, sizeof(guint));
	for (int source = SOURCE_MEMORY; source <= SOURCE_STORE; source++) {
		for (guint n = 0;
		     n < planner_fabric_at(view, c->fabric_index)->hosts; n++) {
			guint i = planner_fabric_host(view, c->fabric_index, n);
			const struct planner_host *h = planner_host_at(view, i);

			if (plan->members->len == c->model->size)
				return;
			if (candidate_can_use(view, h, c) &&
			    host_source(h, c->model) ==
				(enum model_source)source)
				g_array_append_val(plan->members, i);
		}
	}
}

/**
 * planner_plan_replica() - plan the next replica to form.
 * @view: the view
 * @plan: set to the plan; the caller frees its members
 *
 * Return: false where no replica should be formed now.
 */
bool
planner_plan_replica(const struct planner_view *view, struct replica_plan *plan)
{
	struct replica_candidate best = { .score = -INFINITY };
	const GPtrArray *models = view->engine->models;

	for (guint k = 0; k < models->len && k < PLANNER_MODELS_MAX; k++) {
		for (guint i = 0; i < view->fabrics->len; i++) {
			struct replica_candidate c = { .model =
							   models->pdata[k],
				.model_index = k,
				.fabric_index = i };

			if (candidate_evaluate(view, &c) &&
			    c.score > best.score)
				best = c;
		}
	}
	if (best.model == NULL)
		return (false);
	plan_select_members(view, &best, plan);
	return (true);
}

/* The first replica of a fabric domain that may donate its hosts to the largest
 * model, or NULL. */
static struct replica *
fabric_donor(const struct planner_view *view, unsigned fabric_index)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	for (guint n = 0; n < planner_fabric_at(view, fabric_index)->hosts;
	     n++) {
		const struct planner_host *h = planner_host_at(view,
		    planner_fabric_host(view, fabric_index, n));

		if (planner_host_has_model(h, largest) &&
		    planner_host_can_donate(h, largest) &&
		    model_can_donate(view,
			planner_model_index(view, h->group->model)))
			return (h->group);
	}
	return (NULL);
}

/**
 * planner_find_donor() - find a replica to dissolve so that one of the largest
 * model can form.
 * @view: the view
 *
 * Return: the replica, or NULL where none is needed or none would do.
 */
struct replica *
planner_find_donor(const struct planner_view *view)
{
	unsigned size = planner_model(view, view->largest)->size;

	if (planner_shortage(view, view->largest) < 0.5)
		return (NULL);
	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_fabric *f = planner_fabric_at(view, i);
		struct replica *donor = NULL;

		if (f->replicas < f->max_replicas && f->ready < size &&
		    f->ready + f->donors >= size)
			donor = fabric_donor(view, i);
		if (donor != NULL)
			return (donor);
	}
	return (NULL);
}

/**
 * planner_find_surplus() - find a replica of the largest model to dissolve
 * because its hosts serve more requests in replicas of other models.
 * @view: the view
 *
 * Return: the replica, or NULL.
 */
struct replica *
planner_find_surplus(const struct planner_view *view)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	if (view->largest_max == 0 ||
	    view->replicas[view->largest] <= view->largest_max)
		return (NULL);
	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_fabric *f = planner_fabric_at(view, i);

		if (f->replicas <= f->max_replicas)
			continue;
		for (guint n = 0; n < f->hosts; n++) {
			const struct planner_host *h = planner_host_at(view,
			    planner_fabric_host(view, i, n));

			if (h->group != NULL && replica_active(h->group) &&
			    h->group->opened &&
			    strcmp(h->group->model, largest->name) == 0)
				return (h->group);
		}
	}
	return (NULL);
}
