/* Which free hosts form which new replicas. Pure. */
#include <math.h>
#include <string.h>

#include "planner.h"

/* Ways for a host to get a model, cheapest first. */
enum load_rank {
	LOAD_LAST,
	LOAD_STAGED,
	LOAD_STORE,
};

/* A load takes about ten times as long as a join from the host's copy. */
#define LOAD_WEIGHT 1.0

/* A candidate: some free hosts of one fabric domain for one model. */
struct form_try {
	const struct model_profile *model;
	unsigned index;
	unsigned at;
	unsigned loads;
	double score;
};

static enum load_rank
host_rank(const struct planner_host *h, const struct model_profile *m)
{
	if (g_strcmp0(h->loaded_model, m->name) == 0)
		return (LOAD_LAST);
	return (planner_host_has_model(h, m) ? LOAD_STAGED : LOAD_STORE);
}

/*
 * Whether copies of the largest model are kept for it: its replica is missing
 * in the fabric domain and can be formed from what is there.
 */
static bool
fabric_keeps(const struct planner_view *view, const struct planner_fabric *f)
{
	return (f->replicas < f->max_replicas &&
	    f->ready >= planner_model(view, view->largest)->size);
}

/*
 * Whether a free host that holds the largest model may serve a smaller one. It
 * may go back to what it served; it gives up the largest model only where
 * there are other spares for it, or for a model that is served worse.
 */
static bool
host_gives_up(const struct planner_view *view, const struct planner_host *h,
    const struct form_try *try)
{
	const struct planner_fabric *f =
	    planner_fabric_at(view, h->fabric_index);

	if (fabric_keeps(view, f) &&
	    planner_supply_ratio(view, view->largest) <=
		planner_supply_ratio(view, try->index))
		return (false);
	return (g_strcmp0(h->loaded_model, try->model->name) == 0 ||
	    !view->serving || planner_fabric_has_spares(f) ||
	    planner_supply_ratio(view, try->index) <
		planner_supply_ratio(view, view->largest));
}

/*
 * Whether a free host may be taken for a model. While requests come, hosts
 * get their models by copies made before they join.
 */
static bool
host_offered(const struct planner_view *view, const struct planner_host *h,
    const struct form_try *try)
{
	const struct model_profile *big = planner_model(view, view->largest);

	if (!h->free || h->fabric_index != try->at)
		return (false);
	if (try->model != big && planner_host_has_model(h, big) &&
	    !host_gives_up(view, h, try))
		return (false);
	if (planner_host_has_model(h, try->model) ||
	    view->engine->models->len == 1)
		return (true);
	return (!view->serving && h->copying == NULL &&
	    (try->model == big || !planner_host_has_model(h, big)));
}

/* Free hosts of a fabric domain, and how many need no load. */
static void
fabric_count(const struct planner_view *view, const struct form_try *try,
    unsigned *free, unsigned *local)
{
	*free = 0;
	*local = 0;
	for (guint n = 0; n < planner_fabric_at(view, try->at)->hosts; n++) {
		const struct planner_host *h = planner_host_at(view,
		    planner_fabric_host(view, try->at, n));

		if (!host_offered(view, h, try))
			continue;
		(*free)++;
		*local += planner_host_has_model(h, try->model);
	}
}

/*
 * A replica is worth more the further its model is below what is wanted, and
 * in the failure domain that has fewest of it; loads cost time and money.
 */
static double
try_score(const struct planner_view *view, const struct form_try *try)
{
	double wanted = MAX(view->wanted[try->index], 0.5);
	double here = planner_domain_replicas(view, try->model,
			  planner_fabric_at(view, try->at)->domain) /
	    wanted;

	return (planner_shortage(view, try->index) / wanted - here -
	    LOAD_WEIGHT * try->loads / try->model->size);
}

/* Whether hosts of this fabric domain may be taken for the model at all. */
static bool
try_allowed(const struct planner_view *view, const struct form_try *try)
{
	const struct planner_fabric *f = planner_fabric_at(view, try->at);
	bool largest = try->index == view->largest;

	/* Small replicas take what large ones leave, once all hosts are there.
	 */
	if (!view->serving && !view->hosts_stable && !largest)
		return (false);
	if (largest && f->replicas >= f->max_replicas)
		return (false);
	/* Hosts that hold the model already may as well serve it. */
	if (try->loads == 0)
		return (true);
	return (try->loads <= view->loads_free &&
	    planner_shortage(view, try->index) > PLANNER_SHORTAGE_MIN);
}

/* Weighs one fabric domain for one model. */
static bool
try_weigh(const struct planner_view *view, struct form_try *try)
{
	unsigned free, local, size = try->model->size;

	fabric_count(view, try, &free, &local);
	if (free < size)
		return (false);
	try->loads = size - MIN(size, local);
	if (!try_allowed(view, try))
		return (false);
	try->score = try_score(view, try);
	return (true);
}

/* Takes the members, those that need least first. */
static void
plan_take(const struct planner_view *view, const struct form_try *try,
    struct replica_plan *plan)
{
	plan->model = try->model;
	plan->loads = try->loads;
	plan->members = g_array_new(FALSE, FALSE, sizeof(guint));
	for (int rank = LOAD_LAST; rank <= LOAD_STORE; rank++) {
		for (guint n = 0; n < planner_fabric_at(view, try->at)->hosts;
		     n++) {
			guint i = planner_fabric_host(view, try->at, n);
			const struct planner_host *h = planner_host_at(view, i);

			if (plan->members->len == try->model->size)
				return;
			if (host_offered(view, h, try) &&
			    host_rank(h, try->model) == (enum load_rank)rank)
				g_array_append_val(plan->members, i);
		}
	}
}

/**
 * planner_plan_replica() - the next replica to form.
 * @view: what is there
 * @plan: filled in; the caller frees its members
 *
 * Return: false where none should be formed now.
 */
bool
planner_plan_replica(const struct planner_view *view, struct replica_plan *plan)
{
	struct form_try best = { .score = -INFINITY };
	const GPtrArray *models = view->engine->models;

	for (guint k = 0; k < models->len && k < PLANNER_MODELS_MAX; k++) {
		for (guint at = 0; at < view->fabrics->len; at++) {
			struct form_try try = { .model = models->pdata[k],
				.index = k,
				.at = at };

			if (try_weigh(view, &try) && try.score > best.score)
				best = try;
		}
	}
	if (best.model == NULL)
		return (false);
	plan_take(view, &best, plan);
	return (true);
}

/*
 * Whether a smaller model can spare a replica for the largest: it is still
 * served as well afterwards, by the models' shares of the work.
 */
static bool
donor_spared(const struct planner_view *view, const struct replica *donor)
{
	unsigned k = planner_model_index(view, donor->model);
	double after =
	    (view->replicas[k] - 1.0) / MAX(view->share_replicas[k], 0.5);

	return (after >= planner_supply_ratio(view, view->largest));
}

/* The replica in a fabric domain whose hosts are wanted most; or NULL. */
static struct replica *
fabric_donor(const struct planner_view *view, unsigned at)
{
	const struct model_profile *big = planner_model(view, view->largest);

	for (guint n = 0; n < planner_fabric_at(view, at)->hosts; n++) {
		const struct planner_host *h =
		    planner_host_at(view, planner_fabric_host(view, at, n));

		if (planner_host_has_model(h, big) &&
		    planner_host_can_donate(h, big) &&
		    donor_spared(view, h->group))
			return (h->group);
	}
	return (NULL);
}

/**
 * planner_find_donor() - a replica to dissolve so that the largest model can
 * form.
 * @view: what is there
 *
 * Return: NULL where none need or could be.
 */
struct replica *
planner_find_donor(const struct planner_view *view)
{
	unsigned size = planner_model(view, view->largest)->size;

	if (planner_shortage(view, view->largest) < 0.5)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct planner_fabric *f = planner_fabric_at(view, at);
		struct replica *donor = NULL;

		if (f->replicas < f->max_replicas && f->ready < size &&
		    f->ready + f->donors >= size)
			donor = fabric_donor(view, at);
		if (donor != NULL)
			return (donor);
	}
	return (NULL);
}

/**
 * planner_find_surplus() - a replica of the largest model to dissolve, since
 * its hosts serve more requests as replicas of others.
 * @view: what is there
 *
 * Return: NULL where none should be.
 */
struct replica *
planner_find_surplus(const struct planner_view *view)
{
	const struct model_profile *big = planner_model(view, view->largest);

	if (view->largest_max == 0 ||
	    view->replicas[view->largest] <= view->largest_max)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct planner_fabric *f = planner_fabric_at(view, at);

		if (f->replicas <= f->max_replicas)
			continue;
		for (guint n = 0; n < f->hosts; n++) {
			const struct planner_host *h = planner_host_at(view,
			    planner_fabric_host(view, at, n));

			if (h->group != NULL && replica_active(h->group) &&
			    h->group->opened &&
			    strcmp(h->group->model, big->name) == 0)
				return (h->group);
		}
	}
	return (NULL);
}
