/* What placement decisions count: hosts, copies and replicas. Pure. */
#include <math.h>
#include <string.h>

#include "planner.h"

/* Caps are raised until the largest model gets this part of its share. */
#define SHARE_LEAST 0.6
#define CAP_MOST 8

/**
 * planner_model() - a model of the view's engine.
 * @view: what is there
 * @index: in the order of the profile
 */
const struct model_profile *
planner_model(const struct planner_view *view, unsigned index)
{
	return (view->engine->models->pdata[index]);
}

/**
 * planner_host_at() - a host of the view.
 * @view: what is there
 * @index: of the host
 */
const struct planner_host *
planner_host_at(const struct planner_view *view, unsigned index)
{
	return (&g_array_index(view->hosts, struct planner_host, index));
}

/**
 * planner_fabric_at() - a fabric domain of the view.
 * @view: what is there
 * @index: of the fabric domain
 */
const struct planner_fabric *
planner_fabric_at(const struct planner_view *view, unsigned index)
{
	return (&g_array_index(view->fabrics, struct planner_fabric, index));
}

/**
 * planner_fabric_host() - a host of a fabric domain.
 * @view: what is there
 * @at: index of the fabric domain
 * @nth: which of its hosts
 *
 * Return: the host's index in the view.
 */
unsigned
planner_fabric_host(const struct planner_view *view, unsigned at, unsigned nth)
{
	return (g_array_index(view->order, guint,
	    planner_fabric_at(view, at)->first + nth));
}

/**
 * planner_view_set_copying() - a host is being given a copy.
 * @view: what is there; kept up
 * @h: the host
 * @m: the model
 */
void
planner_view_set_copying(struct planner_view *view,
    const struct planner_host *h, const struct model_profile *m)
{
	struct planner_host *host = &g_array_index(view->hosts,
	    struct planner_host, (guint)(h - planner_host_at(view, 0)));
	struct planner_fabric *f = &g_array_index(view->fabrics,
	    struct planner_fabric, h->fabric_index);

	host->copying = m->name;
	if (m == planner_model(view, view->largest) &&
	    !planner_host_has_model(h, m))
		f->copying++;
	view->loads_free -= MIN(view->loads_free, 1);
}

/**
 * planner_view_set_warming() - a host is being told to take a model into
 * memory.
 * @view: what is there; kept up
 * @h: the host
 */
void
planner_view_set_warming(struct planner_view *view,
    const struct planner_host *h)
{
	g_array_index(view->hosts, struct planner_host,
	    (guint)(h - planner_host_at(view, 0)))
	    .warming = true;
}

/**
 * planner_fabric_has_spares() - whether there are more spares for the largest
 * model than are kept.
 * @f: the fabric domain
 */
bool
planner_fabric_has_spares(const struct planner_fabric *f)
{
	return (
	    f->replicas >= f->max_replicas && f->ready > PLANNER_SPARE_COPIES);
}

/**
 * planner_host_has_model() - whether a host can join a model without a load.
 * @h: the host
 * @m: the model
 */
bool
planner_host_has_model(const struct planner_host *h,
    const struct model_profile *m)
{
	if (g_strcmp0(h->loaded_model, m->name) == 0)
		return (true);
	for (guint i = 0; h->staged != NULL && i < h->staged->len; i++) {
		if (strcmp(h->staged->pdata[i], m->name) == 0)
			return (true);
	}
	return (false);
}

/**
 * planner_host_can_donate() - whether a host serves in a replica that could go.
 * @h: the host
 * @m: the model that needs hosts
 */
bool
planner_host_can_donate(const struct planner_host *h,
    const struct model_profile *m)
{
	return (h->group != NULL && replica_active(h->group) &&
	    h->group->opened && h->group->n < m->size);
}

static unsigned
count_of(GHashTable *table, const struct model_profile *m, const char *place)
{
	g_autofree char *key =
	    g_strdup_printf("%s %s", m->name, place != NULL ? place : "-");

	return (GPOINTER_TO_UINT(g_hash_table_lookup(table, key)));
}

/* Adds one to the count of a model in a place. */
static void
count_add(GHashTable *table, const char *model, const char *place)
{
	char *key =
	    g_strdup_printf("%s %s", model, place != NULL ? place : "-");
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_replace(table, key, GUINT_TO_POINTER(n + 1));
}

/**
 * planner_fabric_replicas() - replicas of a model in a fabric domain.
 * @view: what is there
 * @m: the model
 * @fabric: the fabric domain
 */
unsigned
planner_fabric_replicas(const struct planner_view *view,
    const struct model_profile *m, const char *fabric)
{
	return (count_of(view->fabric_replicas, m, fabric));
}

/**
 * planner_domain_replicas() - replicas of a model in a failure domain.
 * @view: what is there
 * @m: the model
 * @domain: the failure domain
 */
unsigned
planner_domain_replicas(const struct planner_view *view,
    const struct model_profile *m, const char *domain)
{
	return (count_of(view->domain_replicas, m, domain));
}

/**
 * planner_shortage() - how short a model is of what is wanted, in replicas.
 * @view: what is there
 * @index: of the model
 */
double
planner_shortage(const struct planner_view *view, unsigned index)
{
	return (view->wanted[index] - (double)view->replicas[index]);
}

/**
 * planner_supply_ratio() - how well a model is served, against its share of the
 * work.
 * @view: what is there
 * @index: of the model
 *
 * Return: 1 where it has the replicas that its share alone would give it.
 */
double
planner_supply_ratio(const struct planner_view *view, unsigned index)
{
	return (view->replicas[index] / MAX(view->share_replicas[index], 0.5));
}

/**
 * planner_model_index() - index of a model in the engine's profile.
 * @view: what is there
 * @name: of the model
 *
 * Return: the last index where it is not there.
 */
unsigned
planner_model_index(const struct planner_view *view, const char *name)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	unsigned i = 0;

	while (i + 1 < n && strcmp(planner_model(view, i)->name, name) != 0)
		i++;
	return (i);
}

static unsigned
largest_model(const struct engine_profile *engine)
{
	unsigned best = 0;

	for (guint i = 1; i < engine->models->len; i++) {
		const struct model_profile *a = engine->models->pdata[i];
		const struct model_profile *b = engine->models->pdata[best];

		if (a->size > b->size)
			best = i;
	}
	return (best);
}

/**
 * planner_view_init() - a view without hosts.
 * @view: the view
 * @engine: the service's engine profile
 */
void
planner_view_init(struct planner_view *view,
    const struct engine_profile *engine)
{
	memset(view, 0, sizeof *view);
	view->engine = engine;
	view->largest = largest_model(engine);
	for (guint i = 0; i < engine->models->len && i < PLANNER_MODELS_MAX;
	     i++)
		view->work_share[i] = planner_model(view, i)->share;
	view->hosts = g_array_new(FALSE, TRUE, sizeof(struct planner_host));
	view->order = g_array_new(FALSE, TRUE, sizeof(guint));
	view->fabrics = g_array_new(FALSE, TRUE, sizeof(struct planner_fabric));
	view->domain_replicas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->fabric_replicas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * planner_view_clear() - free what a view holds.
 * @view: the view
 */
void
planner_view_clear(struct planner_view *view)
{
	g_array_free(view->hosts, TRUE);
	g_array_free(view->order, TRUE);
	g_array_free(view->fabrics, TRUE);
	g_hash_table_destroy(view->domain_replicas);
	g_hash_table_destroy(view->fabric_replicas);
}

/**
 * planner_view_add_replica() - count a replica that is wanted.
 * @view: the view
 * @r: the replica
 * @domain: failure domain of its head, or NULL
 * @fabric: fabric domain of its head, or NULL
 */
void
planner_view_add_replica(struct planner_view *view, const struct replica *r,
    const char *domain, const char *fabric)
{
	const GPtrArray *models = view->engine->models;

	for (guint i = 0; i < models->len && i < PLANNER_MODELS_MAX; i++)
		view->replicas[i] +=
		    strcmp(planner_model(view, i)->name, r->model) == 0;
	count_add(view->domain_replicas, r->model, domain);
	count_add(view->fabric_replicas, r->model, fabric);
}

/* The view's fabric domain of a host; a new one where it is the first. */
static unsigned
fabric_of(struct planner_view *view, const struct planner_host *h)
{
	struct planner_fabric f = { .name = h->fabric, .domain = h->domain };

	for (guint i = 0; i < view->fabrics->len; i++) {
		if (g_strcmp0(planner_fabric_at(view, i)->name, h->fabric) == 0)
			return (i);
	}
	g_array_append_val(view->fabrics, f);
	return (view->fabrics->len - 1);
}

/* Counts the hosts and copies of each fabric domain. */
static void
fabrics_count(struct planner_view *view)
{
	const struct model_profile *big = planner_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		struct planner_host *h =
		    &g_array_index(view->hosts, struct planner_host, i);
		struct planner_fabric *f;

		h->fabric_index = fabric_of(view, h);
		f = &g_array_index(view->fabrics, struct planner_fabric,
		    h->fabric_index);
		f->hosts++;
		if (!planner_host_has_model(h, big))
			f->copying += g_strcmp0(h->copying, big->name) == 0;
		else if (h->free || h->free_soon)
			f->ready++;
		else
			f->donors += planner_host_can_donate(h, big);
	}
}

/* Puts the hosts of each fabric domain together, in the order they are in. */
static void
fabrics_order(struct planner_view *view)
{
	unsigned first = 0;

	for (guint at = 0; at < view->fabrics->len; at++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, at);

		f->first = first;
		first += f->hosts;
		f->hosts = 0;
	}
	g_array_set_size(view->order, first);
	for (guint i = 0; i < view->hosts->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric,
			planner_host_at(view, i)->fabric_index);

		g_array_index(view->order, guint, f->first + f->hosts++) = i;
	}
}

/* Replicas of the largest model that a fabric domain may hold. */
static unsigned
cap_of(const struct planner_view *view, unsigned hosts, unsigned cap)
{
	unsigned size = planner_model(view, view->largest)->size;
	unsigned fit = hosts / size;
	/* A domain that has lost some hosts keeps its replica. */
	unsigned half = (hosts + size - 1) / (2 * size);

	return (MIN(fit, MAX(half, 1) * cap));
}

/* The sum of all caps, with a given factor. */
static unsigned
cap_sum(const struct planner_view *view, unsigned cap)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++)
		sum += cap_of(view, planner_fabric_at(view, i)->hosts, cap);
	return (sum);
}

/**
 * planner_view_choose_cap() - replicas of the largest model by its configured
 * share.
 * @view: its hosts were counted; sets how many a fabric domain may hold
 *
 * It leaves hosts of smaller replicas in each fabric domain. These serve, and
 * donate hosts when the large replica beside them loses one, which is far
 * quicker than a load.
 */
double
planner_view_choose_cap(struct planner_view *view)
{
	const GPtrArray *models = view->engine->models;
	const struct model_profile *big = planner_model(view, view->largest);
	double want = big->share * view->hosts->len / big->size;

	view->cap_factor = 1;
	while (view->cap_factor < CAP_MOST &&
	    (models->len == 1 ||
		cap_sum(view, view->cap_factor) < SHARE_LEAST * want))
		view->cap_factor++;
	return (MIN(want, cap_sum(view, view->cap_factor)));
}

/* How many replicas of each model the hosts should form. */
static void
view_targets(struct planner_view *view)
{
	unsigned n = MIN(view->engine->models->len, PLANNER_MODELS_MAX);
	const struct model_profile *big = planner_model(view, view->largest);
	double hosts = view->hosts->len, rest, shares = 0;
	double want = planner_view_choose_cap(view);

	if (view->largest_max > 0)
		want = MIN(want, view->largest_max);
	rest = hosts - want * big->size;
	for (unsigned i = 0; i < n; i++)
		shares += i == view->largest ? 0 : view->work_share[i];
	for (unsigned i = 0; i < n; i++) {
		unsigned size = planner_model(view, i)->size;

		view->share_replicas[i] = view->work_share[i] * hosts / size;
		view->wanted[i] =
		    shares > 0 ? rest * view->work_share[i] / shares / size : 0;
	}
	view->wanted[view->largest] = want;
}

/* Replicas of the largest model that a failure domain was given so far. */
static unsigned
domain_given(const struct planner_view *view, const char *domain)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct planner_fabric *f = planner_fabric_at(view, i);

		if (g_strcmp0(f->domain, domain) == 0)
			sum += f->assigned;
	}
	return (sum);
}

/* How soon a fabric domain could hold one more than it was given. */
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

/* Whether one fabric domain comes before another for the next replica: where
 * one stands or could soon, then in the failure domain that was given fewest.
 */
static bool
fabric_before(const struct planner_view *view, const struct planner_fabric *a,
    const struct planner_fabric *b)
{
	unsigned a_ready = fabric_readiness(view, a);
	unsigned b_ready = fabric_readiness(view, b);

	if (a_ready != b_ready)
		return (a_ready > b_ready);
	return (domain_given(view, a->domain) < domain_given(view, b->domain));
}

/* The fabric domain that is given the next replica; NULL where none fits. One
 * that stands counts also where hosts have gone since. */
static struct planner_fabric *
fabric_next(const struct planner_view *view)
{
	struct planner_fabric *best = NULL;

	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

		if (f->assigned < MAX(f->max_replicas, f->replicas) &&
		    (best == NULL || fabric_before(view, f, best)))
			best = f;
	}
	return (best);
}

/* Shares the bound on replicas of the largest model among fabric domains. */
static void
fabrics_limit(struct planner_view *view)
{
	struct planner_fabric *f;

	for (unsigned k = 0; k < view->largest_max; k++) {
		f = fabric_next(view);
		if (f != NULL)
			f->assigned++;
	}
	for (guint i = 0; i < view->fabrics->len; i++) {
		f = &g_array_index(view->fabrics, struct planner_fabric, i);
		f->max_replicas = f->assigned;
	}
}

/**
 * planner_view_count_hosts() - count the hosts of each fabric domain.
 * @view: hosts and replicas were added
 */
void
planner_view_count_hosts(struct planner_view *view)
{
	fabrics_count(view);
	fabrics_order(view);
}

/**
 * planner_view_set_targets() - derive targets.
 * @view: its hosts were counted
 */
void
planner_view_set_targets(struct planner_view *view)
{
	const struct model_profile *big;

	big = planner_model(view, view->largest);
	view_targets(view);
	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

		f->replicas = planner_fabric_replicas(view, big, f->name);
		f->max_replicas = cap_of(view, f->hosts, view->cap_factor);
	}
	if (view->largest_max > 0)
		fabrics_limit(view);
}
