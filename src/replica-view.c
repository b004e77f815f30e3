/* What placement decisions count: hosts, copies and replicas. Pure. */
#include <math.h>
#include <string.h>

#include "replica-form.h"

/* Caps are raised until the largest model gets this part of its share. */
#define SHARE_LEAST 0.6
#define CAP_MOST 8

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

static unsigned
fabric_hosts(const struct form_view *view, const char *fabric)
{
	unsigned n = 0;

	for (guint i = 0; i < view->hosts->len; i++)
		n += g_strcmp0(g_array_index(view->hosts, struct form_host, i)
				   .fabric,
			 fabric) == 0;
	return (n);
}

/* Replicas of the largest model that a fabric domain may hold. */
static unsigned
cap_of(const struct form_view *view, unsigned hosts, unsigned cap)
{
	const struct model_profile *m =
	    view->engine->models->pdata[view->largest];
	unsigned fit = hosts / m->size;
	/* A domain that has lost some hosts keeps its replica. */
	unsigned half = (hosts + m->size - 1) / (2 * m->size);

	return (MIN(fit, MAX(half, 1) * cap));
}

/**
 * form_fabric_cap() - replicas of the largest model for a fabric domain.
 * @view: what is there
 * @fabric: the fabric domain
 */
unsigned
form_fabric_cap(const struct form_view *view, const char *fabric)
{
	return (cap_of(view, fabric_hosts(view, fabric), view->cap));
}

/* The sum of all caps, with a given factor. */
static unsigned
cap_sum(const struct form_view *view, unsigned cap)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned sum = 0;

	for (guint i = 0; i < view->hosts->len; i++) {
		const char *fabric =
		    g_array_index(view->hosts, struct form_host, i).fabric;

		if (fabric == NULL)
			fabric = "-";
		if (g_hash_table_add(seen, (gpointer)fabric))
			sum += cap_of(view, fabric_hosts(view, fabric), cap);
	}
	return (sum);
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
 * form_targets() - how many replicas of each model the hosts should form.
 * @view: hosts and engine are filled in; sets @wanted, @largest and @cap
 *
 * Shares of the hosts, except that the largest model leaves hosts of smaller
 * replicas in each fabric domain: these serve, and donate a host when the
 * large replica beside them loses one, which is far quicker than a load.
 */
void
form_targets(struct form_view *view)
{
	const GPtrArray *models = view->engine->models;
	const struct model_profile *big;
	double hosts = view->hosts->len, rest, shares = 0, want;

	view->largest = largest_model(view->engine);
	big = models->pdata[view->largest];
	want = big->share * hosts / big->size;
	view->cap = 1;
	while (view->cap < CAP_MOST &&
	    (models->len == 1 || cap_sum(view, view->cap) < SHARE_LEAST * want))
		view->cap++;
	want = MIN(want, cap_sum(view, view->cap));
	rest = hosts - want * big->size;
	for (guint i = 0; i < models->len && i < FORM_MODELS_MAX; i++) {
		const struct model_profile *m = models->pdata[i];

		shares += i == view->largest ? 0 : m->share;
	}
	for (guint i = 0; i < models->len && i < FORM_MODELS_MAX; i++) {
		const struct model_profile *m = models->pdata[i];

		view->wanted[i] =
		    shares > 0 ? rest * m->share / shares / m->size : 0;
	}
	view->wanted[view->largest] = want;
}
