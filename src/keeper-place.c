/* Forming new replicas from hosts that are free. */
#include <string.h>

#include "event-log.h"
#include "keeper.h"
#include "replica-form.h"

/* Epochs of one lease; a lease that makes more must be taken anew. */
#define EPOCHS_A_TERM 100000
/* A host that has not taken a model into memory after this is told again; well
 * above the time of a join from the host's own copy. */
#define WARM_AGAIN_MS 5000
/* Hosts appear one by one at the start, over about two of their beats; when no
 * new one has for this long, small replicas may take what large ones leave. */
#define SETTLE_MS 600

/* The replica with a record that a host is a member of, or NULL. */
static struct replica *
host_group(const struct keeper *k, const char *id,
    const struct replica_member **member)
{
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		for (unsigned i = 0; i < r->n; i++) {
			*member = &r->members[i];
			if (strcmp(r->members[i].id, id) == 0)
				return (r);
		}
	}
	*member = NULL;
	return (NULL);
}

/* Whether a host is taking a model into memory. */
static bool
host_warming(const struct keeper *k, const char *id, uint64_t now_ms)
{
	const uint64_t *until = g_hash_table_lookup(k->warming, id);

	return (until != NULL && now_ms < *until);
}

/* All hosts of a service that live. */
static void
view_add_hosts(struct keeper *k, const char *service, struct form_view *view,
    uint64_t now_ms)
{
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &k->dir->fleet.endpoints, entry) {
		struct form_host host = { 0 };
		const struct replica_member *m;

		if (strcmp(ep->report.service, service) != 0 || ep->gone ||
		    ep->draining || ep->lapsed_ms != 0)
			continue;
		host.id = ep->report.id;
		host.domain = ep->report.domain;
		host.fabric = ep->report.fabric;
		host.last = ep->memory;
		host.staged = ep->report.staged;
		host.staging = keeper_staging(k, ep->report.id);
		host.warming = host_warming(k, ep->report.id, now_ms);
		host.group = host_group(k, ep->report.id, &m);
		host.free = host.group == NULL && now_ms >= ep->unfit_until_ms;
		host.soon = host.group != NULL && m->life < MEMBER_SILENT &&
		    replica_ends_soon(host.group, now_ms, k->stall_ms);
		g_array_append_val(view->hosts, host);
	}
}

/* Counts the replicas that are wanted. */
static void
view_add_replicas(const struct keeper *k, const char *service,
    struct form_view *view)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&k->dir->fleet, r->members[0].id);

		if (replica_wanted(r) && strcmp(r->service, service) == 0)
			form_view_add_replica(view, r,
			    head != NULL ? head->report.domain : NULL,
			    head != NULL ? head->report.fabric : NULL);
	}
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
		const struct form_host *h = form_host_at(view, at);
		const struct endpoint *ep = fleet_find(&k->dir->fleet, h->id);

		replica_add_member(r, h->id, &ep->report.address);
	}
	for (unsigned i = 0; i < plan->loads; i++)
		g_array_append_val(k->loads, now_ms);
	event_log(LOG_NOTICE, "group_planned",
	    "group=%s epoch=%lld model=%s hosts=%u loads=%u head=%s fabric=%s",
	    name, (long long)epoch, r->model, r->n, plan->loads,
	    r->members[0].id,
	    form_host_at(view, g_array_index(plan->members, guint, 0))->fabric);
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
	keeper_record_replica(k, r, false);
}

/* Forms a replica with up to some loads; false where there is none to form. */
static bool
place_form(struct keeper *k, const char *service, struct form_view *view,
    unsigned loads, uint64_t now_ms)
{
	unsigned free = view->loads;
	struct form_plan plan = { 0 };
	bool formed;

	view->loads = MIN(loads, free);
	formed = form_next(view, &plan);
	view->loads = free;
	if (!formed)
		return (false);
	place_make(k, service, view, &plan, now_ms);
	g_array_free(plan.members, TRUE);
	return (true);
}

/* Has a host get a copy of a model; false where none should. */
static bool
place_copy(struct keeper *k, const struct form_view *view, uint64_t now_ms)
{
	const struct model_profile *model;
	const struct form_host *h = form_stage(view, &model);

	if (h == NULL)
		return (false);
	event_log(LOG_NOTICE, "copy_planned",
	    "host=%s model=%s fabric=%s free=%d", h->id, model->name, h->fabric,
	    h->free);
	keeper_stage_begin(k, h->id, model, now_ms);
	return (true);
}

/* Has an idle host take a model into memory; false where none should. */
static bool
place_warm(struct keeper *k, const struct form_view *view, uint64_t now_ms)
{
	const struct model_profile *big = form_model(view, view->largest);
	const struct form_host *h = form_warm(view);
	uint64_t until = now_ms + WARM_AGAIN_MS;

	if (h == NULL)
		return (false);
	event_log(LOG_INFO, "warming_planned", "host=%s model=%s fabric=%s",
	    h->id, big->name, h->fabric);
	g_hash_table_replace(k->warming, g_strdup(h->id),
	    g_memdup2(&until, sizeof until));
	keeper_order_warm(k, h->id, big->name,
	    k->term * EPOCHS_A_TERM + ++k->groups);
	return (true);
}

/* Dissolves a replica whose hosts the largest model needs. */
static bool
place_donate(struct keeper *k, const struct form_view *view, uint64_t now_ms)
{
	struct replica *donor = form_donor(view);

	if (donor == NULL)
		return (false);
	replica_donate(donor, now_ms);
	keeper_doomed(k, donor, now_ms);
	return (true);
}

/*
 * Forms one replica, or prepares one; false when nothing is left to do. What
 * needs no load goes first, then hosts and copies for the largest model,
 * then loads for others.
 */
static bool
place_step(struct keeper *k, const char *service, struct form_view *view,
    uint64_t now_ms)
{
	if (!view->serving)
		return (place_form(k, service, view, view->loads, now_ms) ||
		    place_copy(k, view, now_ms) || place_warm(k, view, now_ms));
	return (place_form(k, service, view, 0, now_ms) ||
	    place_donate(k, view, now_ms) || place_copy(k, view, now_ms) ||
	    place_form(k, service, view, view->loads, now_ms) ||
	    place_warm(k, view, now_ms));
}

/* The counts of a service. */
static struct service_usage *
place_usage(struct keeper *k, const char *service)
{
	struct service_usage *u = g_hash_table_lookup(k->usage, service);

	if (u == NULL) {
		u = service_usage_create();
		g_hash_table_insert(k->usage, g_strdup(service), u);
	}
	return (u);
}

/* Takes the next step for one service; false when nothing is left to do. */
static bool
place_service(struct keeper *k, const struct catalog_service *service,
    uint64_t now_ms)
{
	struct form_view view;
	bool more;

	form_view_init(&view, service->engine);
	view_add_hosts(k, service->name, &view, now_ms);
	view_add_replicas(k, service->name, &view);
	form_view_finish(&view);
	service_usage_count(place_usage(k, service->name), service->name, &view,
	    &k->replicas, now_ms);
	view.serving = k->served;
	view.settled = now_ms - k->grew_ms >= SETTLE_MS;
	view.loads = keeper_loads_free(k, service->engine, now_ms);
	more = place_step(k, service->name, &view, now_ms);
	form_view_clear(&view);
	return (more);
}

/**
 * keeper_place() - form new replicas of all services that have models.
 * @k: the keeper
 * @now_ms: loop time
 */
void
keeper_place(struct keeper *k, uint64_t now_ms)
{
	unsigned hosts = g_hash_table_size(k->dir->fleet.by_id);
	GHashTableIter iter;
	gpointer value;

	if (mesh_serving(k->mesh))
		keeper_record_served(k);
	keeper_stage_look(k, now_ms);
	if (hosts > k->hosts)
		k->grew_ms = now_ms;
	k->hosts = hosts;
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
