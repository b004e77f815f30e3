/* The view: an immutable snapshot that request threads read under RCU. */
#include <string.h>

#include "admission.h"
#include "group.h"
#include "view.h"

/* State shared by the steps of one build; used: keys of the targets in it. */
struct build {
	struct view_tables *tables;
	const struct state *state;
	struct inventory *inv;
	struct view *view;
	const char *domain;
	unsigned daemons;
	GHashTable *used;
};

/**
 * view_tables_init() - initialize empty tables.
 * @tables: the tables
 */
void
view_tables_init(struct view_tables *tables)
{
	tables->targets = g_hash_table_new_full(g_int64_hash, g_int64_equal,
	    NULL, (GDestroyNotify)target_unref);
	tables->admissions = g_hash_table_new_full(g_str_hash, g_str_equal,
	    NULL, (GDestroyNotify)admission_unref);
	tables->customers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    (GDestroyNotify)customer_unref);
}

/**
 * view_tables_destroy() - free the tables.
 * @tables: the tables
 */
void
view_tables_destroy(struct view_tables *tables)
{
	g_hash_table_unref(tables->targets);
	g_hash_table_unref(tables->customers);
	g_hash_table_unref(tables->admissions);
}

/*
 * Returns the target of a key; creates it if it is new or its URL has
 * changed.
 */
static struct target *
build_target(struct build *b, const char *name, const struct host *host,
    uint64_t key, uint64_t epoch)
{
	struct target *target;

	target = g_hash_table_lookup(b->tables->targets, &key);
	if (target != NULL && strcmp(target->url, host->url) != 0) {
		target_retire(target);
		g_hash_table_remove(b->tables->targets, &key);
		target = NULL;
	}
	if (target == NULL) {
		target =
		    target_create(name, host->url, host->domain, key, epoch);
		g_hash_table_insert(b->tables->targets, &target->key, target);
	}
	atomic_store(&target->daemons, b->daemons);
	g_hash_table_add(b->used, &target->key);
	return (target);
}

/* Whether a host of a group is leaving, or is not in the inventory. */
static bool
group_leaving(struct build *b, const struct group *group)
{
	for (guint i = 0; i < group->hosts->len; i++) {
		struct host *host =
		    inventory_find(b->inv, group->hosts->pdata[i]);

		if (host == NULL || host_leaving(host))
			return (true);
	}
	return (false);
}

/* Adds the targets of groups to the route sets of their deployments. */
static void
build_groups(struct build *b)
{
	struct route_set *set;
	struct target *target;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->state->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct group *group = value;

		set = g_hash_table_lookup(b->view->deployments,
		    group->deployment);
		if (set == NULL || group_leaving(b, group))
			continue;
		target = build_target(b, group->name,
		    inventory_find(b->inv, group->hosts->pdata[0]),
		    group->epoch, group->epoch);
		g_ptr_array_add(set->targets, target_ref(target));
	}
}

/* Adds the targets of a pool's endpoints to the route set of a service. */
static void
build_endpoints(struct build *b, struct route_set *set, const char *pool)
{
	struct target *target;
	struct host *host;

	TAILQ_FOREACH(host, &b->inv->hosts, entry) {
		if (host->kind != HOST_SERVICE || host_leaving(host) ||
		    strcmp(host->pool, pool) != 0)
			continue;
		target = build_target(b, host->name, host, host->name_hash, 0);
		g_ptr_array_add(set->targets, target_ref(target));
	}
}

/* Returns the admission of a deployment; creates it if it is new. */
static struct admission *
build_admission(struct build *b, const char *name)
{
	struct admission *a = g_hash_table_lookup(b->tables->admissions, name);

	if (a == NULL) {
		a = admission_create(name);
		g_hash_table_insert(b->tables->admissions, a->name, a);
	}
	return (a);
}

/*
 * Sets how many requests of each deployment this daemon serves at once: its
 * share of the number that the known replicas serve together.
 */
static void
build_slots(struct build *b)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, b->view->deployments);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct resource *res =
		    state_resource(b->state, "deployment", name);
		struct route_set *set = value;
		uint64_t each =
		    (uint64_t)resource_int(res, "replica_requests", 0);

		admission_set_slots(set->admission,
		    (unsigned)((each * set->targets->len + b->daemons - 1) /
			b->daemons));
	}
}

/* Adds the route set of a deployment or service. */
static void
build_set(struct build *b, const struct resource *res, bool service)
{
	const char *routing = resource_string(res, "routing", "");
	struct route_set *set;

	set =
	    route_set_create(res, state_resource(b->state, "routing", routing),
		b->domain, b->daemons);
	g_hash_table_insert(service ? b->view->services : b->view->deployments,
	    set->name, set);
	if (!service)
		set->admission = admission_ref(build_admission(b, set->name));
	if (service)
		build_endpoints(b, set, resource_string(res, "pool", ""));
}

/* Adds a customer; updates its limits, of which this daemon has a share. */
static void
build_customer(struct build *b, const struct resource *res)
{
	struct customer *customer;

	customer = g_hash_table_lookup(b->tables->customers, res->name);
	if (customer == NULL) {
		customer = customer_create(res->name);
		g_hash_table_insert(b->tables->customers, customer->name,
		    customer);
	}
	customer_update(customer, res, b->daemons);
	g_hash_table_replace(b->view->by_key,
	    g_strdup(resource_string(res, "key_sha256", "")),
	    customer_ref(customer));
}

static void
build_resources(struct build *b)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->state->resources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct resource *res = value;

		if (!resource_exists(res))
			continue;
		if (strcmp(res->type, "deployment") == 0)
			build_set(b, res, false);
		else if (strcmp(res->type, "service") == 0)
			build_set(b, res, true);
		else if (strcmp(res->type, "customer") == 0)
			build_customer(b, res);
	}
}

/* Retires a target that no route set uses, so that it gets no new requests. */
static gboolean
target_unused(gpointer key, gpointer value, gpointer arg)
{
	struct build *b = arg;

	if (g_hash_table_contains(b->used, key))
		return (FALSE);
	target_retire(value);
	return (TRUE);
}

/**
 * view_build() - build a view.
 * @tables: objects that successive views share
 * @state: the configuration, locked
 * @inv: the hosts; not locked
 * @domain: failure domain of this daemon
 * @daemons: number of daemons that share the customers' limits
 */
struct view *
view_build(struct view_tables *tables, const struct state *state,
    struct inventory *inv, const char *domain, unsigned daemons)
{
	g_autoptr(GHashTable) used = NULL;
	struct build b = { tables, state, inv, NULL, domain, daemons, NULL };

	used = g_hash_table_new(g_int64_hash, g_int64_equal);
	b.used = used;
	b.view = g_new0(struct view, 1);
	b.view->next = state->next;
	b.view->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
	    (GDestroyNotify)customer_unref);
	b.view->deployments = g_hash_table_new_full(g_str_hash, g_str_equal,
	    NULL, (GDestroyNotify)route_set_free);
	b.view->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    (GDestroyNotify)route_set_free);
	g_mutex_lock(&inv->lock);
	b.view->hosts_listed = inv->listed_ms != 0;
	build_resources(&b);
	build_groups(&b);
	build_slots(&b);
	g_mutex_unlock(&inv->lock);
	g_hash_table_foreach_remove(tables->targets, target_unused, &b);
	return (b.view);
}

/**
 * view_free() - free a view that no thread reads any longer.
 * @view: the view
 */
void
view_free(struct view *view)
{
	g_hash_table_unref(view->by_key);
	g_hash_table_unref(view->deployments);
	g_hash_table_unref(view->services);
	g_free(view);
}
