/* How many replicas of each model there should be, and where. Pure functions.
 */
#include <math.h>

#include "planner.h"

/* The cap factor is raised until the largest model gets this part of its
 * share, up to CAP_FACTOR_MAX. */
#define LARGEST_SHARE_MIN 0.6
#define CAP_FACTOR_MAX 8

/* Maximum number of replicas of the largest model in a fabric domain. */
static unsigned
fabric_max_replicas(const struct planner_view *view, unsigned hosts,
    unsigned factor)
{
	unsigned size = planner_model(view, view->largest)->size;
	unsigned fit = hosts / size;
	/* Fewer than size hosts may be missing: a domain that has lost some
	 * keeps its replica. */
	unsigned half = (hosts + size - 1) / (2 * size);

	return (MIN(fit, MAX(half, 1) * factor));
}

/* The sum of that maximum over all fabric domains. */
static unsigned
sum_max_replicas(const struct planner_view *view, unsigned factor)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++)
		sum += fabric_max_replicas(view,
		    planner_fabric_at(view, i)->hosts, factor);
	return (sum);
}

/**
 * planner_view_choose_cap() - choose the cap factor of a view.
 * @view: the view; its hosts have been counted
 *
 * The factor leaves hosts for smaller replicas in each fabric domain. These
 * serve requests, and donate hosts when the large replica beside them loses
 * one, which is far quicker than a load.
 *
 * Return: the number of replicas of the largest model by its configured share,
 * limited to what all fabric domains together may have.
 */
double
planner_view_choose_cap(struct planner_view *view)
{
	const GPtrArray *models = view->engine->models;
	const struct model_profile *largest =
	    planner_model(view, view->largest);
	double wanted = largest->share * view->hosts->len / largest->size;

	view->cap_factor = 1;
	while (view->cap_factor < CAP_FACTOR_MAX &&
	    (models->len == 1 ||
		sum_max_replicas(view, view->cap_factor) <
		    LARGEST_SHARE_MIN * wanted))
		view->cap_factor++;
	return (MIN(wanted, sum_max_replicas(view, view->cap_factor)));
}

/*
 * The wanted replicas of the largest model under a bound. One by the demand may
 * exceed the configured share, so the cap factor is raised until they fit.
 */
static double
view_bound_largest(struct planner_view *view, double by_share)
{
	if (!view->by_demand || view->largest_max <= by_share)
		return (MIN(by_share, view->largest_max));
	while (view->cap_factor < CAP_FACTOR_MAX &&
	    sum_max_replicas(view, view->cap_factor) < view->largest_max)
		view->cap_factor++;
	return (
	    MIN(view->largest_max, sum_max_replicas(view, view->cap_factor)));
}

/* Sets how many replicas of each model the hosts should form. */
static void
view_set_wanted(struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	const struct model_profile *largest =
	    planner_model(view, view->largest);
	double hosts = view->hosts->len, rest, shares = 0;
	double wanted = planner_view_choose_cap(view);

	if (view->largest_max > 0)
		wanted = view_bound_largest(view, wanted);
	rest = hosts - wanted * largest->size;
	for (unsigned i = 0; i < n; i++)
		shares += i == view->largest ? 0 : view->work_share[i];
	for (unsigned i = 0; i < n; i++) {
		unsigned size = planner_model(view, i)->size;

		view->share_replicas[i] = view->work_share[i] * hosts / size;
		view->wanted[i] =
		    shares > 0 ? rest * view->work_share[i] / shares / size : 0;
	}
	view->wanted[view->largest] = wanted;
}

/* How soon a fabric domain could have one more replica of the largest model
 * than it has been assigned; a higher value is sooner. */
static unsigned
fabric_readiness(const struct planner_view *view,
    const struct planner_fabric *f)
{
	unsigned size = planner_model(view, view->largest)->size;

	if (f->replicas > f->assigned)
		return (3);
	if (f->ready >= size)
		return (2);
	return (f->ready + f->donors + f->copying >= size);
}

/*
 * Whether one fabric domain is preferred to another for the next replica: first
 * where one exists or could form soon, then in the failure domain that has been
 * assigned fewest.
 */
static bool
fabric_preferred(const struct planner_view *view,
    const struct planner_fabric *a, const struct planner_fabric *b)
{
	unsigned a_ready = fabric_readiness(view, a);
	unsigned b_ready = fabric_readiness(view, b);

	if (a_ready != b_ready)
		return (a_ready > b_ready);
	return (a->domain_assigned < b->domain_assigned);
}

/* The fabric domain to assign the next replica to, or NULL where none has room.
 * A replica that exists counts even if hosts have left since it formed. */
static struct planner_fabric *
fabric_next(const struct planner_view *view)
{
	struct planner_fabric *best = NULL;

	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

		if (f->assigned < MAX(f->max_replicas, f->replicas) &&
		    (best == NULL || fabric_preferred(view, f, best)))
			best = f;
	}
	return (best);
}

/* Assigns one replica to a fabric domain. */
static void
fabric_assign(struct planner_view *view, struct planner_fabric *to)
{
	to->assigned++;
	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

		if (g_strcmp0(f->domain, to->domain) == 0)
			f->domain_assigned++;
	}
}

/* Divides the bound on replicas of the largest model among fabric domains. */
static void
fabrics_divide_bound(struct planner_view *view)
{
	struct planner_fabric *f;

	for (unsigned k = 0; k < view->largest_max; k++) {
		f = fabric_next(view);
		if (f == NULL)
			break;
		fabric_assign(view, f);
	}
	for (guint i = 0; i < view->fabrics->len; i++) {
		f = &g_array_index(view->fabrics, struct planner_fabric, i);
		f->max_replicas = f->assigned;
	}
}

/**
 * planner_view_set_targets() - set the wanted replicas of each model, and the
 * maximum number of the largest in each fabric domain.
 * @view: the view; its hosts have been counted
 */
void
planner_view_set_targets(struct planner_view *view)
{
	view_set_wanted(view);
	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

		f->assigned = 0;
		f->domain_assigned = 0;
		f->replicas = f->in_fabric->replicas[view->largest];
		f->max_replicas =
		    fabric_max_replicas(view, f->hosts, view->cap_factor);
	}
	if (view->largest_max > 0)
		fabrics_divide_bound(view);
}
