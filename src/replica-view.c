/* What placement decisions count: hosts, copies and replicas. Pure. */
#include <math.h>
#include <string.h>

#include "replica-form.h"

/* Caps are raised until the largest model gets this part of its share. */
#define SHARE_LEAST 0.6
#define CAP_MOST 8

/**
 * form_model() - a model of the view's engine.
 * @view: what is there
 * @index: in the order of the profile
 */
const struct model_profile *
form_model(const struct form_view *view, unsigned index)
{
	return (view->engine->models->pdata[index]);
}

/**
 * form_host_at() - a host of the view.
 * @view: what is there
 * @index: of the host
 */
const struct form_host *
form_host_at(const struct form_view *view, unsigned index)
{
	return (&g_array_index(view->hosts, struct form_host, index));
}

/**
 * form_fabric_at() - a fabric domain of the view.
 * @view: what is there
 * @index: of the fabric domain
 */
const struct form_fabric *
form_fabric_at(const struct form_view *view, unsigned index)
{
	return (&g_array_index(view->fabrics, struct form_fabric, index));
}

/**
 * form_fabric_host() - a host of a fabric domain.
 * @view: what is there
 * @at: index of the fabric domain
 * @nth: which of its hosts
 *
 * Return: the host's index in the view.
 */
unsigned
form_fabric_host(const struct form_view *view, unsigned at, unsigned nth)
{
	return (g_array_index(view->order, guint,
	    form_fabric_at(view, at)->first + nth));
}

/**
 * form_view_staging() - a host is being given a copy.
 * @view: what is there; kept up
 * @h: the host
 * @m: the model
 */
void
form_view_staging(struct form_view *view, const struct form_host *h,
    const struct model_profile *m)
{
	struct form_host *host = &g_array_index(view->hosts, struct form_host,
	    (guint)(h - form_host_at(view, 0)));
	struct form_fabric *f =
	    &g_array_index(view->fabrics, struct form_fabric, h->at);

	host->staging = m->name;
	if (m == form_model(view, view->largest) && !form_host_has(h, m))
		f->coming++;
	view->loads -= MIN(view->loads, 1);
}

/**
 * form_view_warming() - a host is being told to take a model into memory.
 * @view: what is there; kept up
 * @h: the host
 */
void
form_view_warming(struct form_view *view, const struct form_host *h)
{
	g_array_index(view->hosts, struct form_host,
	    (guint)(h - form_host_at(view, 0)))
	    .warming = true;
}

/**
 * form_fabric_spares() - whether there are more spares for the largest model
 * than are kept.
 * @f: the fabric domain
 */
bool
form_fabric_spares(const struct form_fabric *f)
{
	return (f->held >= f->cap && f->ready > FORM_SPARES_KEPT);
}

/**
 * form_host_has() - whether a host can join a model without a load.
 * @h: the host
 * @m: the model
 */
bool
form_host_has(const struct form_host *h, const struct model_profile *m)
{
	if (g_strcmp0(h->last, m->name) == 0)
		return (true);
	for (guint i = 0; h->staged != NULL && i < h->staged->len; i++) {
		if (strcmp(h->staged->pdata[i], m->name) == 0)
			return (true);
	}
	return (false);
}

/**
 * form_host_donates() - whether a host serves in a replica that could go.
 * @h: the host
 * @m: the model that needs hosts
 */
bool
form_host_donates(const struct form_host *h, const struct model_profile *m)
{
	return (h->group != NULL && replica_wanted(h->group) &&
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
 * form_fabric_held() - replicas of a model in a fabric domain.
 * @view: what is there
 * @m: the model
 * @fabric: the fabric domain
 */
unsigned
form_fabric_held(const struct form_view *view, const struct model_profile *m,
    const char *fabric)
{
	return (count_of(view->by_fabric, m, fabric));
}

/**
 * form_domain_held() - replicas of a model in a failure domain.
 * @view: what is there
 * @m: the model
 * @domain: the failure domain
 */
unsigned
form_domain_held(const struct form_view *view, const struct model_profile *m,
    const char *domain)
{
	return (count_of(view->by_domain, m, domain));
}

/**
 * form_short() - how short a model is of what is wanted, in replicas.
 * @view: what is there
 * @index: of the model
 */
double
form_short(const struct form_view *view, unsigned index)
{
	return (view->wanted[index] - (double)view->held[index]);
}

/**
 * form_served() - how well a model is served, against its share of the work.
 * @view: what is there
 * @index: of the model
 *
 * Return: 1 where it has the replicas that its share alone would give it.
 */
double
form_served(const struct form_view *view, unsigned index)
{
	return (view->held[index] / MAX(view->shares[index], 0.5));
}

/**
 * form_model_index() - index of a model in the engine's profile.
 * @view: what is there
 * @name: of the model
 *
 * Return: the last index where it is not there.
 */
unsigned
form_model_index(const struct form_view *view, const char *name)
{
	unsigned n = MIN(view->engine->models->len, FORM_MODELS_MAX);
	unsigned i = 0;

	while (i + 1 < n && strcmp(form_model(view, i)->name, name) != 0)
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
 * form_view_init() - a view without hosts.
 * @view: the view
 * @engine: the service's engine profile
 */
void
form_view_init(struct form_view *view, const struct engine_profile *engine)
{
	memset(view, 0, sizeof *view);
	view->engine = engine;
	view->largest = largest_model(engine);
	for (guint i = 0; i < engine->models->len && i < FORM_MODELS_MAX; i++)
		view->work[i] = form_model(view, i)->share;
	view->hosts = g_array_new(FALSE, TRUE, sizeof(struct form_host));
	view->order = g_array_new(FALSE, TRUE, sizeof(guint));
	view->fabrics = g_array_new(FALSE, TRUE, sizeof(struct form_fabric));
	view->by_domain =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view->by_fabric =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * form_view_clear() - free what a view holds.
 * @view: the view
 */
void
form_view_clear(struct form_view *view)
{
	g_array_free(view->hosts, TRUE);
	g_array_free(view->order, TRUE);
	g_array_free(view->fabrics, TRUE);
	g_hash_table_destroy(view->by_domain);
	g_hash_table_destroy(view->by_fabric);
}

/**
 * form_view_add_replica() - count a replica that is wanted.
 * @view: the view
 * @r: the replica
 * @domain: failure domain of its head, or NULL
 * @fabric: fabric domain of its head, or NULL
 */
void
form_view_add_replica(struct form_view *view, const struct replica *r,
    const char *domain, const char *fabric)
{
	const GPtrArray *models = view->engine->models;

	for (guint i = 0; i < models->len && i < FORM_MODELS_MAX; i++)
		view->held[i] +=
		    strcmp(form_model(view, i)->name, r->model) == 0;
	count_add(view->by_domain, r->model, domain);
	count_add(view->by_fabric, r->model, fabric);
}

/* The view's fabric domain of a host; a new one where it is the first. */
static unsigned
fabric_of(struct form_view *view, const struct form_host *h)
{
	struct form_fabric f = { .name = h->fabric, .domain = h->domain };

	for (guint i = 0; i < view->fabrics->len; i++) {
		if (g_strcmp0(form_fabric_at(view, i)->name, h->fabric) == 0)
			return (i);
	}
	g_array_append_val(view->fabrics, f);
	return (view->fabrics->len - 1);
}

/* Counts the hosts and copies of each fabric domain. */
static void
fabrics_count(struct form_view *view)
{
	const struct model_profile *big = form_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);
		struct form_fabric *f;

		h->at = fabric_of(view, h);
		f = &g_array_index(view->fabrics, struct form_fabric, h->at);
		f->hosts++;
		if (!form_host_has(h, big))
			f->coming += g_strcmp0(h->staging, big->name) == 0;
		else if (h->free || h->soon)
			f->ready++;
		else
			f->donors += form_host_donates(h, big);
	}
}

/* Puts the hosts of each fabric domain together, in the order they are in. */
static void
fabrics_order(struct form_view *view)
{
	unsigned first = 0;

	for (guint at = 0; at < view->fabrics->len; at++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, at);

		f->first = first;
		first += f->hosts;
		f->hosts = 0;
	}
	g_array_set_size(view->order, first);
	for (guint i = 0; i < view->hosts->len; i++) {
		struct form_fabric *f = &g_array_index(view->fabrics,
		    struct form_fabric, form_host_at(view, i)->at);

		g_array_index(view->order, guint, f->first + f->hosts++) = i;
	}
}

/* Replicas of the largest model that a fabric domain may hold. */
static unsigned
cap_of(const struct form_view *view, unsigned hosts, unsigned cap)
{
	unsigned size = form_model(view, view->largest)->size;
	unsigned fit = hosts / size;
	/* A domain that has lost some hosts keeps its replica. */
	unsigned half = (hosts + size - 1) / (2 * size);

	return (MIN(fit, MAX(half, 1) * cap));
}

/* The sum of all caps, with a given factor. */
static unsigned
cap_sum(const struct form_view *view, unsigned cap)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++)
		sum += cap_of(view, form_fabric_at(view, i)->hosts, cap);
	return (sum);
}

/**
 * form_view_full() - replicas of the largest model by its configured share.
 * @view: its hosts were counted; sets how many a fabric domain may hold
 *
 * It leaves hosts of smaller replicas in each fabric domain. These serve, and
 * donate hosts when the large replica beside them loses one, which is far
 * quicker than a load.
 */
double
form_view_full(struct form_view *view)
{
	const GPtrArray *models = view->engine->models;
	const struct model_profile *big = form_model(view, view->largest);
	double want = big->share * view->hosts->len / big->size;

	view->cap = 1;
	while (view->cap < CAP_MOST &&
	    (models->len == 1 || cap_sum(view, view->cap) < SHARE_LEAST * want))
		view->cap++;
	return (MIN(want, cap_sum(view, view->cap)));
}

/* How many replicas of each model the hosts should form. */
static void
view_targets(struct form_view *view)
{
	unsigned n = MIN(view->engine->models->len, FORM_MODELS_MAX);
	const struct model_profile *big = form_model(view, view->largest);
	double hosts = view->hosts->len, rest, shares = 0;
	double want = form_view_full(view);

	if (view->most > 0)
		want = MIN(want, view->most);
	rest = hosts - want * big->size;
	for (unsigned i = 0; i < n; i++)
		shares += i == view->largest ? 0 : view->work[i];
	for (unsigned i = 0; i < n; i++) {
		unsigned size = form_model(view, i)->size;

		view->shares[i] = view->work[i] * hosts / size;
		view->wanted[i] =
		    shares > 0 ? rest * view->work[i] / shares / size : 0;
	}
	view->wanted[view->largest] = want;
}

/* Replicas of the largest model that a failure domain was given so far. */
static unsigned
domain_given(const struct form_view *view, const char *domain)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct form_fabric *f = form_fabric_at(view, i);

		if (g_strcmp0(f->domain, domain) == 0)
			sum += f->given;
	}
	return (sum);
}

/* How soon a fabric domain could hold one more than it was given. */
static unsigned
fabric_readiness(const struct form_view *view, const struct form_fabric *f)
{
	unsigned size = form_model(view, view->largest)->size;

	if (f->held > f->given)
		return (3);
	if (f->ready >= size)
		return (2);
	return (f->ready + f->donors + f->coming >= size);
}

/* Whether one fabric domain comes before another for the next replica: where
 * one stands or could soon, then in the failure domain that was given fewest.
 */
static bool
fabric_before(const struct form_view *view, const struct form_fabric *a,
    const struct form_fabric *b)
{
	unsigned a_ready = fabric_readiness(view, a);
	unsigned b_ready = fabric_readiness(view, b);

	if (a_ready != b_ready)
		return (a_ready > b_ready);
	return (domain_given(view, a->domain) < domain_given(view, b->domain));
}

/* The fabric domain that is given the next replica; NULL where none fits. One
 * that stands counts also where hosts have gone since. */
static struct form_fabric *
fabric_next(const struct form_view *view)
{
	struct form_fabric *best = NULL;

	for (guint i = 0; i < view->fabrics->len; i++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, i);

		if (f->given < MAX(f->cap, f->held) &&
		    (best == NULL || fabric_before(view, f, best)))
			best = f;
	}
	return (best);
}

/* Shares the bound on replicas of the largest model among fabric domains. */
static void
fabrics_limit(struct form_view *view)
{
	struct form_fabric *f;

	for (unsigned k = 0; k < view->most; k++) {
		f = fabric_next(view);
		if (f != NULL)
			f->given++;
	}
	for (guint i = 0; i < view->fabrics->len; i++) {
		f = &g_array_index(view->fabrics, struct form_fabric, i);
		f->cap = f->given;
	}
}

/**
 * form_view_count() - count the hosts of each fabric domain.
 * @view: hosts and replicas were added
 */
void
form_view_count(struct form_view *view)
{
	fabrics_count(view);
	fabrics_order(view);
}

/**
 * form_view_finish() - derive targets.
 * @view: its hosts were counted
 */
void
form_view_finish(struct form_view *view)
{
	const struct model_profile *big;

	big = form_model(view, view->largest);
	view_targets(view);
	for (guint i = 0; i < view->fabrics->len; i++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, i);

		f->held = form_fabric_held(view, big, f->name);
		f->cap = cap_of(view, f->hosts, view->cap);
	}
	if (view->most > 0)
		fabrics_limit(view);
}
