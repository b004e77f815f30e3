/* The planner's view of a service: its hosts, copies and replicas, counted, and
 * how many replicas of each model there should be. Pure functions. */
#include <math.h>
#include <string.h>

#include "replica-form.h"

/* The cap factor is raised until the largest model gets this part of its
 * share, up to CAP_FACTOR_MAX. */
#define LARGEST_SHARE_MIN 0.6
#define CAP_FACTOR_MAX 8

/**
 * form_model() - get a model of the view's engine profile.
 * @view: the view
 * @index: its index in the profile
 */
const struct model_profile *
form_model(const struct form_view *view, unsigned index)
{
	return (view->engine->models->pdata[index]);
}

/**
 * form_host_at() - get a host of a view.
 * @view: the view
 * @index: index of the host
 */
const struct form_host *
form_host_at(const struct form_view *view, unsigned index)
{
	return (&g_array_index(view->hosts, struct form_host, index));
}

/**
 * form_fabric_at() - get a fabric domain of a view.
 * @view: the view
 * @index: index of the fabric domain
 */
const struct form_fabric *
form_fabric_at(const struct form_view *view, unsigned index)
{
	return (&g_array_index(view->fabrics, struct form_fabric, index));
}

/**
 * form_fabric_host() - get a host of a fabric domain.
 * @view: the view
 * @fabric: index of the fabric domain
 * @nth: which of its hosts, from 0
 *
 * Return: the host's index in the view.
 */
unsigned
form_fabric_host(const struct form_view *view, unsigned fabric, unsigned nth)
{
	return (g_array_index(view->order, guint,
	    form_fabric_at(view, fabric)->first + nth));
}

/**
 * form_view_staging() - record in a view that a host is getting a copy.
 * @view: the view; its counts are updated
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
 * form_view_warming() - record in a view that a host is loading a model into
 * memory.
 * @view: the view
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
 * form_fabric_spares() - whether a fabric domain has more spare hosts with the
 * largest model than it keeps.
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
 * form_host_donates() - whether a host serves in a replica that may be
 * dissolved for a larger one.
 * @h: the host
 * @m: the model of the larger replica
 */
bool
form_host_donates(const struct form_host *h, const struct model_profile *m)
{
	return (h->group != NULL && replica_wanted(h->group) &&
	    h->group->opened && h->group->n < m->size);
}

/* Gets the count of a model in a failure domain or fabric domain. */
static unsigned
count_get(GHashTable *table, const struct model_profile *m, const char *place)
{
	g_autofree char *key =
	    g_strdup_printf("%s %s", m->name, place != NULL ? place : "-");

	return (GPOINTER_TO_UINT(g_hash_table_lookup(table, key)));
}

/* Adds one to the count of a model in a failure domain or fabric domain. */
static void
count_add(GHashTable *table, const char *model, const char *place)
{
	char *key =
	    g_strdup_printf("%s %s", model, place != NULL ? place : "-");
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(table, key));

	g_hash_table_replace(table, key, GUINT_TO_POINTER(n + 1));
}

/**
 * form_fabric_held() - count the active replicas of a model in a fabric domain.
 * @view: the view
 * @m: the model
 * @fabric: the fabric domain
 */
unsigned
form_fabric_held(const struct form_view *view, const struct model_profile *m,
    const char *fabric)
{
	return (count_get(view->by_fabric, m, fabric));
}

/**
 * form_domain_held() - count the active replicas of a model in a failure
 * domain.
 * @view: the view
 * @m: the model
 * @domain: the failure domain
 */
unsigned
form_domain_held(const struct form_view *view, const struct model_profile *m,
    const char *domain)
{
	return (count_get(view->by_domain, m, domain));
}

/**
 * form_short() - get the number of replicas that a model is short of.
 * @view: the view
 * @index: index of the model
 *
 * Return: the wanted number less the active ones; negative for a surplus.
 */
double
form_short(const struct form_view *view, unsigned index)
{
	return (view->wanted[index] - (double)view->held[index]);
}

/**
 * form_served() - get the ratio of a model's replicas to its share of the work.
 * @view: the view
 * @index: index of the model
 *
 * Return: 1 where it has the replicas that its share alone would give it.
 */
double
form_served(const struct form_view *view, unsigned index)
{
	return (view->held[index] / MAX(view->shares[index], 0.5));
}

/**
 * form_model_index() - get the index of a model in the engine profile.
 * @view: the view
 * @name: name of the model
 *
 * Return: the index; the last one where the profile does not have the model.
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

/* Index of the model with the most hosts in a replica. */
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
 * form_view_init() - initialize a view without hosts.
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
 * form_view_add_replica() - count an active replica.
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

/* Index of a host's fabric domain, which is added to the view where the host is
 * the first of it. */
static unsigned
fabric_index_of(struct form_view *view, const struct form_host *h)
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
fabrics_count_hosts(struct form_view *view)
{
	const struct model_profile *largest = form_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, i);
		struct form_fabric *f;

		h->at = fabric_index_of(view, h);
		f = &g_array_index(view->fabrics, struct form_fabric, h->at);
		f->hosts++;
		if (!form_host_has(h, largest))
			f->coming += g_strcmp0(h->staging, largest->name) == 0;
		else if (h->free || h->soon)
			f->ready++;
		else
			f->donors += form_host_donates(h, largest);
	}
}

/* Groups the hosts by fabric domain without changing their order otherwise. */
static void
fabrics_group_hosts(struct form_view *view)
{
	unsigned first = 0;

	for (guint fabric = 0; fabric < view->fabrics->len; fabric++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, fabric);

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

/* Maximum number of replicas of the largest model in a fabric domain. */
static unsigned
fabric_cap(const struct form_view *view, unsigned hosts, unsigned factor)
{
	unsigned size = form_model(view, view->largest)->size;
	unsigned fit = hosts / size;
	/* Fewer than size hosts may be missing: a domain that has lost some
	 * keeps its replica. */
	unsigned half = (hosts + size - 1) / (2 * size);

	return (MIN(fit, MAX(half, 1) * factor));
}

/* The sum of that maximum over all fabric domains. */
static unsigned
cap_sum(const struct form_view *view, unsigned factor)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++)
		sum += fabric_cap(view, form_fabric_at(view, i)->hosts, factor);
	return (sum);
}

/**
 * form_view_full() - choose the cap factor of a view.
 * @view: the view; its hosts have been counted
 *
 * The factor leaves hosts for smaller replicas in each fabric domain. These
 * serve requests, and donate hosts when the large replica beside them loses
 * one, which is far quicker than a load.
 *
 * Return: the number of replicas of the largest model by its configured share,
 * at most the sum of the caps.
 */
double
form_view_full(struct form_view *view)
{
	const GPtrArray *models = view->engine->models;
	const struct model_profile *largest = form_model(view, view->largest);
	double want = largest->share * view->hosts->len / largest->size;

	view->cap = 1;
	while (view->cap < CAP_FACTOR_MAX &&
	    (models->len == 1 ||
		cap_sum(view, view->cap) < LARGEST_SHARE_MIN * want))
		view->cap++;
	return (MIN(want, cap_sum(view, view->cap)));
}

/* Sets how many replicas of each model the hosts should form. */
static void
view_set_wanted(struct form_view *view)
{
	unsigned n = MIN(view->engine->models->len, FORM_MODELS_MAX);
	const struct model_profile *largest = form_model(view, view->largest);
	double hosts = view->hosts->len, rest, shares = 0;
	double want = form_view_full(view);

	if (view->most > 0)
		want = MIN(want, view->most);
	rest = hosts - want * largest->size;
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

/* Number of replicas of the largest model that a failure domain has been
 * assigned so far. */
static unsigned
domain_assigned(const struct form_view *view, const char *domain)
{
	unsigned sum = 0;

	for (guint i = 0; i < view->fabrics->len; i++) {
		const struct form_fabric *f = form_fabric_at(view, i);

		if (g_strcmp0(f->domain, domain) == 0)
			sum += f->given;
	}
	return (sum);
}

/* How soon a fabric domain could have one more replica of the largest model
 * than it has been assigned; a higher value is sooner. */
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

/*
 * Whether one fabric domain is preferred to another for the next replica: first
 * where one exists or could form soon, then in the failure domain that has been
 * assigned fewest.
 */
static bool
fabric_preferred(const struct form_view *view, const struct form_fabric *a,
    const struct form_fabric *b)
{
	unsigned a_ready = fabric_readiness(view, a);
	unsigned b_ready = fabric_readiness(view, b);

	if (a_ready != b_ready)
		return (a_ready > b_ready);
	return (domain_assigned(view, a->domain) <
	    domain_assigned(view, b->domain));
}

/* The fabric domain to assign the next replica to, or NULL where none has room.
 * A replica that exists counts even if hosts have left since it formed. */
static struct form_fabric *
fabric_next(const struct form_view *view)
{
	struct form_fabric *best = NULL;

	for (guint i = 0; i < view->fabrics->len; i++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, i);

		if (f->given < MAX(f->cap, f->held) &&
		    (best == NULL || fabric_preferred(view, f, best)))
			best = f;
	}
	return (best);
}

/* Divides the bound on replicas of the largest model among fabric domains. */
static void
fabrics_divide_bound(struct form_view *view)
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
 * form_view_count() - count the hosts and copies of each fabric domain.
 * @view: the view; its hosts and replicas have been added
 */
void
form_view_count(struct form_view *view)
{
	fabrics_count_hosts(view);
	fabrics_group_hosts(view);
}

/**
 * form_view_finish() - set the wanted replicas and the caps of a view.
 * @view: the view; its hosts have been counted
 */
void
form_view_finish(struct form_view *view)
{
	const struct model_profile *largest;

	largest = form_model(view, view->largest);
	view_set_wanted(view);
	for (guint i = 0; i < view->fabrics->len; i++) {
		struct form_fabric *f =
		    &g_array_index(view->fabrics, struct form_fabric, i);

		f->held = form_fabric_held(view, largest, f->name);
		f->cap = fabric_cap(view, f->hosts, view->cap);
	}
	if (view->most > 0)
		fabrics_divide_bound(view);
}
