/* Which free hosts form which new replicas. Pure. */
#include <math.h>
#include <string.h>

#include "replica-form.h"

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
host_rank(const struct form_host *h, const struct model_profile *m)
{
	if (g_strcmp0(h->last, m->name) == 0)
		return (LOAD_LAST);
	return (form_host_has(h, m) ? LOAD_STAGED : LOAD_STORE);
}

/*
 * Whether copies of the largest model are kept for it: its replica is missing
 * in the fabric domain and can be formed from what is there.
 */
static bool
fabric_keeps(const struct form_view *view, const struct form_fabric *f)
{
	return (f->held < f->cap &&
	    f->ready >= form_model(view, view->largest)->size);
}

/*
 * Whether a free host that holds the largest model may serve a smaller one. It
 * may go back to what it served; it gives up the largest model only where
 * there are other spares for it, or for a model that is served worse.
 */
static bool
host_gives_up(const struct form_view *view, const struct form_host *h,
    const struct form_try *try)
{
	const struct form_fabric *f = form_fabric_at(view, h->at);

	if (fabric_keeps(view, f) &&
	    form_served(view, view->largest) <= form_served(view, try->index))
		return (false);
	return (g_strcmp0(h->last, try->model->name) == 0 || !view->serving ||
	    form_fabric_spares(f) ||
	    form_served(view, try->index) < form_served(view, view->largest));
}

/*
 * Whether a free host may be taken for a model. While requests come, hosts
 * get their models by copies made before they join.
 */
static bool
host_offered(const struct form_view *view, const struct form_host *h,
    const struct form_try *try)
{
	const struct model_profile *big = form_model(view, view->largest);

	if (!h->free || h->at != try->at)
		return (false);
	if (try->model != big && form_host_has(h, big) &&
	    !host_gives_up(view, h, try))
		return (false);
	if (form_host_has(h, try->model) || view->engine->models->len == 1)
		return (true);
	return (!view->serving && h->staging == NULL &&
	    (try->model == big || !form_host_has(h, big)));
}

/* Free hosts of a fabric domain, and how many need no load. */
static void
fabric_count(const struct form_view *view, const struct form_try *try,
    unsigned *free, unsigned *local)
{
	*free = 0;
	*local = 0;
	for (guint n = 0; n < form_fabric_at(view, try->at)->hosts; n++) {
		const struct form_host *h =
		    form_host_at(view, form_fabric_host(view, try->at, n));

		if (!host_offered(view, h, try))
			continue;
		(*free)++;
		*local += form_host_has(h, try->model);
	}
}

/*
 * A replica is worth more the further its model is below what is wanted, and
 * in the failure domain that has fewest of it; loads cost time and money.
 */
static double
try_score(const struct form_view *view, const struct form_try *try)
{
	double wanted = MAX(view->wanted[try->index], 0.5);
	double here = form_domain_held(view, try->model,
			  form_fabric_at(view, try->at)->domain) /
	    wanted;

	return (form_short(view, try->index) / wanted - here -
	    LOAD_WEIGHT * try->loads / try->model->size);
}

/* Whether hosts of this fabric domain may be taken for the model at all. */
static bool
try_allowed(const struct form_view *view, const struct form_try *try)
{
	const struct form_fabric *f = form_fabric_at(view, try->at);
	bool largest = try->index == view->largest;

	/* Small replicas take what large ones leave, once all hosts are there.
	 */
	if (!view->serving && !view->settled && !largest)
		return (false);
	if (largest && f->held >= f->cap)
		return (false);
	/* Hosts that hold the model already may as well serve it. */
	if (try->loads == 0)
		return (true);
	return (try->loads <= view->loads &&
	    form_short(view, try->index) > FORM_SHORT_LEAST);
}

/* Weighs one fabric domain for one model. */
static bool
try_weigh(const struct form_view *view, struct form_try *try)
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
plan_take(const struct form_view *view, const struct form_try *try,
    struct form_plan *plan)
{
	plan->model = try->model;
	plan->loads = try->loads;
	plan->members = g_array_new(FALSE, FALSE, sizeof(guint));
	for (int rank = LOAD_LAST; rank <= LOAD_STORE; rank++) {
		for (guint n = 0; n < form_fabric_at(view, try->at)->hosts;
		     n++) {
			guint i = form_fabric_host(view, try->at, n);
			const struct form_host *h = form_host_at(view, i);

			if (plan->members->len == try->model->size)
				return;
			if (host_offered(view, h, try) &&
			    host_rank(h, try->model) == (enum load_rank)rank)
				g_array_append_val(plan->members, i);
		}
	}
}

/**
 * form_next() - the next replica to form.
 * @view: what is there
 * @plan: filled in; the caller frees its members
 *
 * Return: false where none should be formed now.
 */
bool
form_next(const struct form_view *view, struct form_plan *plan)
{
	struct form_try best = { .score = -INFINITY };
	const GPtrArray *models = view->engine->models;

	for (guint k = 0; k < models->len && k < FORM_MODELS_MAX; k++) {
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
donor_spared(const struct form_view *view, const struct replica *donor)
{
	unsigned k = form_model_index(view, donor->model);
	double after = (view->held[k] - 1.0) / MAX(view->shares[k], 0.5);

	return (after >= form_served(view, view->largest));
}

/* The replica in a fabric domain whose hosts are wanted most; or NULL. */
static struct replica *
fabric_donor(const struct form_view *view, unsigned at)
{
	const struct model_profile *big = form_model(view, view->largest);

	for (guint n = 0; n < form_fabric_at(view, at)->hosts; n++) {
		const struct form_host *h =
		    form_host_at(view, form_fabric_host(view, at, n));

		if (form_host_has(h, big) && form_host_donates(h, big) &&
		    donor_spared(view, h->group))
			return (h->group);
	}
	return (NULL);
}

/**
 * form_donor() - a replica to dissolve so that the largest model can form.
 * @view: what is there
 *
 * Return: NULL where none need or could be.
 */
struct replica *
form_donor(const struct form_view *view)
{
	unsigned size = form_model(view, view->largest)->size;

	if (form_short(view, view->largest) < 0.5)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct form_fabric *f = form_fabric_at(view, at);
		struct replica *donor = NULL;

		if (f->held < f->cap && f->ready < size &&
		    f->ready + f->donors >= size)
			donor = fabric_donor(view, at);
		if (donor != NULL)
			return (donor);
	}
	return (NULL);
}

/**
 * form_surplus() - a replica of the largest model to dissolve, since its hosts
 * serve more requests as replicas of others.
 * @view: what is there
 *
 * Return: NULL where none should be.
 */
struct replica *
form_surplus(const struct form_view *view)
{
	const struct model_profile *big = form_model(view, view->largest);

	if (view->most == 0 || view->held[view->largest] <= view->most)
		return (NULL);
	for (guint at = 0; at < view->fabrics->len; at++) {
		const struct form_fabric *f = form_fabric_at(view, at);

		if (f->held <= f->cap)
			continue;
		for (guint n = 0; n < f->hosts; n++) {
			const struct form_host *h =
			    form_host_at(view, form_fabric_host(view, at, n));

			if (h->group != NULL && replica_wanted(h->group) &&
			    h->group->opened &&
			    strcmp(h->group->model, big->name) == 0)
				return (h->group);
		}
	}
	return (NULL);
}
