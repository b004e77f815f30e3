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

/* A candidate: some free hosts of one fabric domain for one model. */
struct form_try {
	const struct model_profile *model;
	const char *fabric;
	const char *domain;
	unsigned loads;
	double score;
};

static bool
staged_holds(const GPtrArray *staged, const char *model)
{
	for (guint i = 0; staged != NULL && i < staged->len; i++) {
		if (strcmp(staged->pdata[i], model) == 0)
			return (true);
	}
	return (false);
}

static enum load_rank
host_rank(const struct form_host *h, const struct model_profile *m)
{
	if (g_strcmp0(h->last, m->name) == 0)
		return (LOAD_LAST);
	return (staged_holds(h->staged, m->name) ? LOAD_STAGED : LOAD_STORE);
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

		if (!h->free || g_strcmp0(h->fabric, try->fabric) != 0)
			continue;
		(*free)++;
		*local += host_rank(h, try->model) != LOAD_STORE;
	}
}

/* Replicas of a model in a failure domain. */
static unsigned
domain_held(const struct form_view *view, const struct model_profile *m,
    const char *domain)
{
	g_autofree char *key = g_strdup_printf("%s %s", m->name, domain);

	return (GPOINTER_TO_UINT(g_hash_table_lookup(view->by_domain, key)));
}

/* How short a model is of its share of the hosts, in replicas. */
static double
model_deficit(const struct form_view *view, unsigned index)
{
	const struct model_profile *m = view->engine->models->pdata[index];

	return (
	    m->share * view->hosts->len / m->size - (double)view->held[index]);
}

/*
 * A replica is worth more the further its model is below its share, and in
 * the failure domain that has fewest of it; loads cost time and money.
 */
static double
try_score(const struct form_view *view, unsigned index,
    const struct form_try *try)
{
	const struct model_profile *m = try->model;
	double wanted = MAX(m->share * view->hosts->len / m->size, 0.5);
	double short_of = model_deficit(view, index) / wanted;
	double here = domain_held(view, m, try->domain) / wanted;

	return (short_of - here - 0.2 * try->loads / m->size);
}

/* Whether hosts may be taken for the model at all. */
static bool
try_allowed(const struct form_view *view, unsigned index,
    const struct form_try *try)
{
	double deficit = model_deficit(view, index);

	/* Hosts that hold the model already may as well serve it. */
	if (try->loads == 0)
		return (true);
	return (try->loads <= view->loads && deficit > 0.25);
}

/* Weighs one fabric domain for one model. */
static bool
try_weigh(const struct form_view *view, unsigned index, struct form_try *try)
{
	unsigned free, local, size = try->model->size;

	fabric_count(view, try, &free, &local);
	if (free < size)
		return (false);
	try->loads = size - MIN(size, local);
	if (!try_allowed(view, index, try))
		return (false);
	try->score = try_score(view, index, try);
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
			if (h->free && g_strcmp0(h->fabric, try->fabric) == 0 &&
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

	for (guint k = 0; k < models->len; k++) {
		for (guint i = 0; i < view->hosts->len; i++) {
			const struct form_host *h =
			    &g_array_index(view->hosts, struct form_host, i);
			struct form_try try = { models->pdata[k], h->fabric,
				h->domain, 0, 0 };

			if (h->free && try_weigh(view, k, &try) &&
			    try.score > best.score)
				best = try;
		}
	}
	if (best.model == NULL)
		return (false);
	plan_take(view, &best, plan);
	return (true);
}
