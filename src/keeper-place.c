/* Forming new replicas from hosts that are free. */
#include <string.h>

#include "event-log.h"
#include "keeper.h"
#include "replica-form.h"

/* Epochs of one lease; a lease that makes more must be taken anew. */
#define EPOCHS_A_TERM 100000
/* Loads are counted over this span; the platform's bound is over as much. */
#define LOADS_WINDOW_MS 5000
/* Part of the bound on loads that is used. */
#define LOADS_SHARE 0.8
/* Without a bound in the engine's profile. */
#define LOADS_ANY 1000

/* Whether a host is a member of a replica that still has a record. */
static bool
host_taken(const struct keeper *k, const char *id)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		for (unsigned i = 0; i < r->n; i++) {
			if (strcmp(r->members[i].id, id) == 0)
				return (true);
		}
	}
	return (false);
}

/* All hosts of a service that live. */
static void
view_add_hosts(const struct keeper *k, const char *service,
    struct form_view *view, uint64_t now_ms)
{
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &k->dir->fleet.endpoints, entry) {
		struct form_host host = { 0 };

		if (strcmp(ep->report.service, service) != 0 || ep->gone ||
		    ep->draining || ep->lapsed_ms != 0)
			continue;
		host.id = ep->report.id;
		host.domain = ep->report.domain;
		host.fabric = ep->report.fabric;
		host.last = ep->report.model;
		host.staged = ep->report.staged;
		host.free = !host_taken(k, ep->report.id) &&
		    now_ms >= ep->rest_until_ms;
		g_array_append_val(view->hosts, host);
	}
}

/* The failure domain of a replica, by its head. */
static const char *
replica_domain(const struct keeper *k, const struct replica *r)
{
	const struct endpoint *head =
	    fleet_find(&k->dir->fleet, r->members[0].id);

	return (head != NULL ? head->report.domain : "-");
}

/* Counts the replicas that are wanted. */
static void
view_count_replicas(const struct keeper *k, const char *service,
    struct form_view *view)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		char *key;
		guint n;

		if (!replica_wanted(r) || strcmp(r->service, service) != 0)
			continue;
		for (guint i = 0; i < view->engine->models->len &&
		     i < G_N_ELEMENTS(view->held);
		     i++) {
			const struct model_profile *m =
			    view->engine->models->pdata[i];

			view->held[i] += strcmp(m->name, r->model) == 0;
		}
		key = g_strdup_printf("%s %s", r->model, replica_domain(k, r));
		n = GPOINTER_TO_UINT(g_hash_table_lookup(view->by_domain, key));
		g_hash_table_replace(view->by_domain, key,
		    GUINT_TO_POINTER(n + 1));
	}
}

/* Loads that may begin now. */
static unsigned
loads_free(struct keeper *k, const struct engine_profile *e, uint64_t now_ms)
{
	double most = e->loads_per_s * LOADS_WINDOW_MS / 1000 * LOADS_SHARE;
	unsigned joining = 0;
	const struct replica *r;

	while (k->loads->len > 0 &&
	    now_ms - g_array_index(k->loads, uint64_t, 0) >= LOADS_WINDOW_MS)
		g_array_remove_index(k->loads, 0);
	if (e->loads_per_s <= 0)
		return (LOADS_ANY);
	/* More at once than this only slow each other down; two replicas'
	 * worth keeps the weight store busy between two looks. */
	TAILQ_FOREACH(r, &k->replicas, entry) {
		for (unsigned i = 0; i < r->n && replica_wanted(r); i++)
			joining += !r->members[i].here ||
			    r->members[i].state == GROUP_JOINING;
	}
	if (joining >= 2 * e->loads_at_once)
		return (0);
	/* Before the first request loads are quick and not counted. */
	if (!mesh_serving(k->mesh))
		return (LOADS_ANY);
	return (k->loads->len >= most ? 0 : (unsigned)(most - k->loads->len));
}

/* Makes a replica of a plan and has its record written. */
static void
place_make(struct keeper *k, const char *service, const struct form_view *view,
    const struct form_plan *plan, uint64_t now_ms)
{
	int64_t epoch = k->term * EPOCHS_A_TERM + ++k->groups;
	g_autofree char *name = g_strdup_printf("g%lld", (long long)epoch);
	struct replica *r =
	    replica_create(name, service, plan->model->name, epoch);

	r->made_ms = now_ms;
	for (guint i = 0; i < plan->members->len; i++) {
		guint at = g_array_index(plan->members, guint, i);
		const struct form_host *h =
		    &g_array_index(view->hosts, struct form_host, at);
		const struct endpoint *ep = fleet_find(&k->dir->fleet, h->id);

		replica_add_member(r, h->id, &ep->report.address);
	}
	for (unsigned i = 0; i < plan->loads; i++)
		g_array_append_val(k->loads, now_ms);
	event_log(LOG_NOTICE, "group_planned",
	    "group=%s epoch=%lld model=%s hosts=%u loads=%u head=%s fabric=%s",
	    name, (long long)epoch, r->model, r->n, plan->loads,
	    r->members[0].id,
	    g_array_index(view->hosts, struct form_host,
		g_array_index(plan->members, guint, 0))
		.fabric);
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
	keeper_record_replica(k, r, false);
}

/* Forms what can be formed for one service; false when nothing was. */
static bool
place_service(struct keeper *k, const struct catalog_service *service,
    uint64_t now_ms)
{
	struct form_view view = { .engine = service->engine };
	struct form_plan plan = { 0 };
	bool formed;

	view.hosts = g_array_new(FALSE, TRUE, sizeof(struct form_host));
	view.by_domain =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	view_add_hosts(k, service->name, &view, now_ms);
	view_count_replicas(k, service->name, &view);
	view.loads = loads_free(k, service->engine, now_ms);
	formed = form_next(&view, &plan);
	if (formed) {
		place_make(k, service->name, &view, &plan, now_ms);
		g_array_free(plan.members, TRUE);
	}
	g_array_free(view.hosts, TRUE);
	g_hash_table_destroy(view.by_domain);
	return (formed);
}

/**
 * keeper_place() - form new replicas of all services that have models.
 * @k: the keeper
 * @now_ms: loop time
 */
void
keeper_place(struct keeper *k, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, k->dir->catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct catalog_service *service = value;

		if (service->engine == NULL ||
		    service->engine->models->len == 0)
			continue;
		while (k->groups < EPOCHS_A_TERM - 1 &&
		    place_service(k, service, now_ms))
			;
	}
}
