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
/* Copies of the largest model kept beside its replicas in a fabric domain. */
#define COPIES_KEPT 1

/* A candidate: some free hosts of one fabric domain for one model. */
struct form_try {
	const struct model_profile *model;
	unsigned index;
	const char *fabric;
	const char *domain;
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

static bool
host_in(const struct form_host *h, const char *fabric)
{
	return (g_strcmp0(h->fabric, fabric) == 0);
}

/* Hosts beside the large replicas that hold or get the largest model. */
static unsigned
fabric_copies(const struct form_view *view, const struct model_profile *big,
    const char *fabric)
{
	unsigned n = 0;

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);
		bool serves = h->group != NULL && replica_wanted(h->group) &&
		    strcmp(h->group->model, big->name) == 0;

		if (host_in(h, fabric) && !serves)
			n += form_host_has(h, big) ||
			    g_strcmp0(h->staging, big->name) == 0;
	}
	return (n);
}

/*
 * Whether a free host may be taken for a model. While requests come, hosts
 * get their models by copies made before they join. A host that holds a copy
 * of the largest is kept for it where its fabric domain lacks a replica, or
 * where it is the last copy there.
 */
static bool
host_offered(const struct form_view *view, const struct form_host *h,
    const struct form_try *try)
{
	const struct model_profile *big =
	    view->engine->models->pdata[view->largest];

	if (!h->free || !host_in(h, try->fabric))
		return (false);
	if (form_host_has(h, try->model) || view->engine->models->len == 1)
		return (true);
	if (view->serving || h->staging != NULL)
		return (false);
	if (try->model == big)
		return (true);
	if (!form_host_has(h, big))
		return (true);
	return (form_fabric_held(view, big, try->fabric) >=
		form_fabric_cap(view, try->fabric) &&
	    fabric_copies(view, big, try->fabric) > COPIES_KEPT);
}

/* Free hosts of a fabric domain, and how many need no load. */
static void
fabric_count(const struct form_view *view, const struct form_try *try,
    unsigned *free, unsigned *local)
{
	*free = 0;
	*local = 0;
	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);

		if (!host_offered(view, h, try))
			continue;
		(*free)++;
		*local += form_host_has(h, try->model);
	}
}

/* How short a model is of what is wanted, in replicas. */
static double
model_short(const struct form_view *view, unsigned index)
{
	return (view->wanted[index] - (double)view->held[index]);
}

/*
 * A replica is worth more the further its model is below what is wanted, and
 * in the failure domain that has fewest of it; loads cost time and money.
 */
static double
try_score(const struct form_view *view, const struct form_try *try)
{
	double wanted = MAX(view->wanted[try->index], 0.5);
	double here = form_domain_held(view, try->model, try->domain) / wanted;

	return (model_short(view, try->index) / wanted - here -
	    LOAD_WEIGHT * try->loads / try->model->size);
}

/* Whether hosts of this fabric domain may be taken for the model at all. */
static bool
try_allowed(const struct form_view *view, const struct form_try *try)
{
	bool largest = try->index == view->largest;

	if (view->only_largest && !largest)
		return (false);
	if (largest &&
	    form_fabric_held(view, try->model, try->fabric) >=
		form_fabric_cap(view, try->fabric))
		return (false);
	/* Hosts that hold the model already may as well serve it. */
	if (try->loads == 0)
		return (true);
	return (
	    try->loads <= view->loads && model_short(view, try->index) > 0.25);
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
		for (guint i = 0; i < view->hosts->len; i++) {
			const struct form_host *h =
			    &g_array_index(view->hosts, struct form_host, i);

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
		for (guint i = 0; i < view->hosts->len; i++) {
			const struct form_host *h =
			    &g_array_index(view->hosts, struct form_host, i);
			struct form_try try = { models->pdata[k], k, h->fabric,
				h->domain, 0, 0 };

			if (h->free && try_weigh(view, &try) &&
			    try.score > best.score)
				best = try;
		}
	}
	if (best.model == NULL)
		return (false);
	plan_take(view, &best, plan);
	return (true);
}

/* Hosts of a fabric domain that the largest model could have soon. */
static void
fabric_reach(const struct form_view *view, const struct model_profile *big,
    const char *fabric, unsigned *soon, struct replica **donor)
{
	*soon = 0;
	*donor = NULL;
	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);

		if (!host_in(h, fabric) || !form_host_has(h, big))
			continue;
		if (h->free || (h->group != NULL && !replica_wanted(h->group)))
			(*soon)++;
		else if (*donor == NULL && form_host_donates(h, big))
			*donor = h->group;
	}
}

/* Hosts of a replica that hold the largest model. */
static unsigned
donor_hosts(const struct form_view *view, const struct model_profile *big,
    const struct replica *donor)
{
	unsigned n = 0;

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);

		n += h->group == donor && form_host_has(h, big);
	}
	return (n);
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
	const struct model_profile *big =
	    view->engine->models->pdata[view->largest];

	if (model_short(view, view->largest) < 0.5)
		return (NULL);
	for (guint i = 0; i < view->hosts->len; i++) {
		const char *fabric =
		    g_array_index(view->hosts, struct form_host, i).fabric;
		struct replica *donor;
		unsigned soon;

		if (form_fabric_held(view, big, fabric) >=
		    form_fabric_cap(view, fabric))
			continue;
		fabric_reach(view, big, fabric, &soon, &donor);
		if (donor != NULL && soon < big->size &&
		    soon + donor_hosts(view, big, donor) >= big->size)
			return (donor);
	}
	return (NULL);
}

/*
 * A host of a fabric domain to copy the largest model to: an idle one while
 * requests come; before that one that serves, since idle ones are about to
 * form small replicas.
 */
static const struct form_host *
stage_pick(const struct form_view *view, const struct model_profile *big,
    const char *fabric)
{
	const struct form_host *idle = NULL, *donor = NULL;

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);

		if (!host_in(h, fabric) || form_host_has(h, big) ||
		    h->staging != NULL)
			continue;
		if (h->free && idle == NULL)
			idle = h;
		else if (donor == NULL && form_host_donates(h, big))
			donor = h;
	}
	if (view->serving)
		return (idle != NULL ? idle : donor);
	return (donor != NULL ? donor : idle);
}

/* Copies of the largest model: one beside each replica, or all of a missing
 * one. */
static const struct form_host *
stage_largest(const struct form_view *view)
{
	const struct model_profile *big =
	    view->engine->models->pdata[view->largest];

	for (guint i = 0; i < view->hosts->len; i++) {
		const char *fabric =
		    g_array_index(view->hosts, struct form_host, i).fabric;
		unsigned cap = form_fabric_cap(view, fabric);
		unsigned held = form_fabric_held(view, big, fabric);
		unsigned need = held >= cap ? COPIES_KEPT : big->size;
		const struct form_host *h;

		/* Before the first request its hosts are still appearing. */
		if (held < cap && !view->serving)
			continue;
		if (cap == 0 || fabric_copies(view, big, fabric) >= need)
			continue;
		h = stage_pick(view, big, fabric);
		if (h != NULL)
			return (h);
	}
	return (NULL);
}

/* Free hosts of a fabric domain: with a model, getting it, and without. */
static const struct form_host *
free_count(const struct form_view *view, const struct model_profile *m,
    const char *fabric, unsigned *has, unsigned *other)
{
	const struct model_profile *big =
	    view->engine->models->pdata[view->largest];
	const struct form_host *pick = NULL;

	*has = 0;
	*other = 0;
	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);

		if (!h->free || !host_in(h, fabric))
			continue;
		if (form_host_has(h, m) ||
		    g_strcmp0(h->staging, m->name) == 0) {
			(*has)++;
		} else if (h->staging == NULL && !form_host_has(h, big)) {
			(*other)++;
			pick = h;
		}
	}
	return (pick);
}

/*
 * Copies of a small model on idle hosts: as many as a replica lacks where one
 * can be made, or one as a spare. A join with a load would bind the hosts
 * that need none for as long.
 */
static const struct form_host *
stage_small(const struct form_view *view, unsigned index)
{
	const struct model_profile *m = view->engine->models->pdata[index];

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct form_host *at =
		    &g_array_index(view->hosts, struct form_host, i);
		const struct form_host *pick;
		unsigned has, other;

		if (!at->free)
			continue;
		pick = free_count(view, m, at->fabric, &has, &other);
		if (pick == NULL || has >= m->size)
			continue;
		if (has + other >= m->size && model_short(view, index) > 0.25)
			return (pick);
		if (has < COPIES_KEPT &&
		    form_fabric_held(view, m, at->fabric) > 0)
			return (pick);
	}
	return (NULL);
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
	const GPtrArray *models = view->engine->models;
	const struct form_host *h;

	if (view->loads == 0 || models->len < 2)
		return (NULL);
	*model = models->pdata[view->largest];
	h = stage_largest(view);
	if (h != NULL || !view->serving)
		return (h);
	for (guint k = 0; k < models->len && k < FORM_MODELS_MAX; k++) {
		*model = models->pdata[k];
		h = k != view->largest ? stage_small(view, k) : NULL;
		if (h != NULL)
			return (h);
	}
	return (NULL);
}
