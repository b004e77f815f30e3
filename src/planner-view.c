/* The planner's view of a service: its hosts, copies and replicas, counted.
 * Pure functions. */
#include <string.h>

#include "planner.h"

/**
 * planner_model() - get a model of the view's engine profile.
 * @view: the view
 * @index: its index in the profile
 */
const struct model_profile *
planner_model(const struct planner_view *view, unsigned index)
{
	return (view->engine->models->pdata[index]);
}

/**
 * planner_host_at() - get a host of a view.
 * @view: the view
 * @index: index of the host
 */
const struct planner_host *
planner_host_at(const struct planner_view *view, unsigned index)
{
	return (&g_array_index(view->hosts, struct planner_host, index));
}

/**
 * planner_host_fabric() - name of a host's fabric domain, for the log.
 * @h: the host
 *
 * Return: the name; "-" where the host reports none.
 */
const char *
planner_host_fabric(const struct planner_host *h)
{
	return (h->fabric != NULL ? h->fabric : "-");
}

/**
 * planner_fabric_at() - get a fabric domain of a view.
 * @view: the view
 * @index: index of the fabric domain
 */
const struct planner_fabric *
planner_fabric_at(const struct planner_view *view, unsigned index)
{
	return (&g_array_index(view->fabrics, struct planner_fabric, index));
}

/**
 * planner_fabric_host() - get a host of a fabric domain.
 * @view: the view
 * @index: index of the fabric domain
 * @nth: which of its hosts, from 0
 *
 * Return: the host's index in the view.
 */
unsigned
planner_fabric_host(const struct planner_view *view, unsigned index,
    unsigned nth)
{
	return (g_array_index(view->order, guint,
	    planner_fabric_at(view, index)->first + nth));
}

/**
 * planner_view_set_copying() - record in a view that a host is getting a copy.
 * @view: the view; its counts are updated
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
	memset(f->usable, 0, sizeof f->usable);
	if (m == planner_model(view, view->largest) &&
	    !planner_host_has_model(h, m))
		f->copying++;
	view->loads_free -= MIN(view->loads_free, 1);
}

/**
 * planner_view_set_warming() - record in a view that a host is loading a model
 * into memory.
 * @view: the view
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
 * planner_fabric_has_spares() - whether a fabric domain has more spare hosts
 * with the largest model than it keeps.
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
 * planner_host_can_donate() - whether a host serves in a replica that may be
 * dissolved for a larger one.
 * @h: the host
 * @m: the model of the larger replica
 */
bool
planner_host_can_donate(const struct planner_host *h,
    const struct model_profile *m)
{
	return (h->group != NULL && replica_active(h->group) &&
	    h->group->opened && h->group->n < m->size);
}

/* Replicas in a failure domain or fabric domain, which is added where nothing
 * of it is known yet. */
static struct planner_place *
place_find(GHashTable *places, const char *name)
{
	const char *key = name != NULL ? name : "-";
	struct planner_place *place = g_hash_table_lookup(places, key);

	if (place == NULL) {
		place = g_new0(struct planner_place, 1);
		g_hash_table_insert(places, g_strdup(key), place);
	}
	return (place);
}

/**
 * planner_shortage() - get the number of replicas that a model is short of.
 * @view: the view
 * @index: index of the model
 *
 * Return: the wanted number less the active ones; negative for a surplus.
 */
double
planner_shortage(const struct planner_view *view, unsigned index)
{
	return (view->wanted[index] - (double)view->replicas[index]);
}

/**
 * planner_supply_ratio() - get the ratio of a model's replicas to its share of
 * the work.
 * @view: the view
 * @index: index of the model
 *
 * Return: 1 where it has the replicas that its share alone would give it.
 */
double
planner_supply_ratio(const struct planner_view *view, unsigned index)
{
	return (view->replicas[index] / MAX(view->share_replicas[index], 0.5));
}

/**
 * planner_model_index() - get the index of a model in the engine profile.
 * @view: the view
 * @name: name of the model
 *
 * Return: the index; the last one where the profile does not have the model.
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
 * planner_view_init() - initialize a view without hosts.
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
	view->domain_places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	view->fabric_places =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
	g_hash_table_destroy(view->domain_places);
	g_hash_table_destroy(view->fabric_places);
}

/**
 * planner_view_add_replica() - count an active replica.
 * @view: the view
 * @r: the replica
 * @domain: failure domain of its head, or NULL
 * @fabric: fabric domain of its head, or NULL
 */
void
planner_view_add_replica(struct planner_view *view, const struct replica *r,
    const char *domain, const char *fabric)
{
	struct planner_place *in_domain =
	    place_find(view->domain_places, domain);
	struct planner_place *in_fabric =
	    place_find(view->fabric_places, fabric);
	const GPtrArray *models = view->engine->models;

	for (guint i = 0; i < models->len && i < PLANNER_MODELS_MAX; i++) {
		if (strcmp(planner_model(view, i)->name, r->model) != 0)
			continue;
		view->replicas[i]++;
		in_domain->replicas[i]++;
		in_fabric->replicas[i]++;
	}
}

/* Index of a host's fabric domain, which is added to the view where the host is
 * the first of it. */
static unsigned
fabric_index_of(struct planner_view *view, const struct planner_host *h)
{
	struct planner_fabric f = { .domain = h->domain };

	f.in_fabric = place_find(view->fabric_places, h->fabric);
	if (f.in_fabric->position == 0) {
		f.in_domain = place_find(view->domain_places, h->domain);
		g_array_append_val(view->fabrics, f);
		f.in_fabric->position = view->fabrics->len;
	}
	return (f.in_fabric->position - 1);
}

/* Counts the hosts and copies of each fabric domain. */
static void
fabrics_count_hosts(struct planner_view *view)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);

	for (guint i = 0; i < view->hosts->len; i++) {
		struct planner_host *h =
		    &g_array_index(view->hosts, struct planner_host, i);
		struct planner_fabric *f;

		h->fabric_index = fabric_index_of(view, h);
		f = &g_array_index(view->fabrics, struct planner_fabric,
		    h->fabric_index);
		f->hosts++;
		if (!planner_host_has_model(h, largest))
			f->copying += g_strcmp0(h->copying, largest->name) == 0;
		else if (h->free || h->free_soon)
			f->ready++;
		else
			f->donors += planner_host_can_donate(h, largest);
	}
}

/* Groups the hosts by fabric domain without changing their order otherwise. */
static void
fabrics_group_hosts(struct planner_view *view)
{
	unsigned first = 0;

	for (guint i = 0; i < view->fabrics->len; i++) {
		struct planner_fabric *f =
		    &g_array_index(view->fabrics, struct planner_fabric, i);

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

/**
 * planner_view_count_hosts() - count the hosts and copies of each fabric
 * domain.
 * @view: the view; its hosts and replicas have been added
 */
void
planner_view_count_hosts(struct planner_view *view)
{
	fabrics_count_hosts(view);
	fabrics_group_hosts(view);
}

/**
 * planner_view_set_formed() - record in a view that a replica was formed.
 * @view: the view; its counts and targets are updated
 * @plan: the plan of the replica
 * @r: the replica
 */
void
planner_view_set_formed(struct planner_view *view,
    const struct replica_plan *plan, struct replica *r)
{
	const struct model_profile *largest =
	    planner_model(view, view->largest);
	const struct planner_host *head =
	    planner_host_at(view, g_array_index(plan->members, guint, 0));

	for (guint i = 0; i < plan->members->len; i++) {
		struct planner_host *h =
		    &g_array_index(view->hosts, struct planner_host,
			g_array_index(plan->members, guint, i));
		struct planner_fabric *f = &g_array_index(view->fabrics,
		    struct planner_fabric, h->fabric_index);

		h->free = false;
		h->group = r;
		f->ready -= planner_host_has_model(h, largest);
		memset(f->usable, 0, sizeof f->usable);
	}
	planner_view_add_replica(view, r, head->domain, head->fabric);
	planner_view_set_targets(view);
}
