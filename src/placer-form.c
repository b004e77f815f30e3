/* Forms new replicas from free hosts. */
#include <string.h>

#include "event-log.h"
#include "fwd-expect.h"
#include "placer.h"
#include "planner.h"

/* Epochs available under one lease; for more, it must be taken again. */
#define EPOCHS_PER_TERM 100000
/*
 * A host that has not loaded a model into memory within this time is ordered
 * again; it is well above the time of a join from the host's own copy.
 */
#define WARM_RETRY_MS 5000
/*
 * Hosts appear one by one at the start, over about two of their heartbeats.
 * When none has appeared for this long, small replicas may use the hosts that
 * large ones leave.
 */
#define HOSTS_STABLE_MS 600

/*
 * Maximum number of steps per service in one pass; the next pass continues.
 * Without this bound a pass over 925 hosts took seconds and blocked the event
 * loop; with it, orders are sent between the passes.
 */
#define STEPS_PER_PASS 24

/**
 * struct host_membership - the replica that a host is a member of.
 * @replica: the replica
 * @member: the host as its member
 */
struct host_membership {
	struct replica *replica;
	const struct replica_member *member;
};

/*
 * Whether a member is still bound to its replica. A member that has left a head
 * that cannot be reached, and cannot come back, is not.
 */
static bool
member_bound(const struct replica *r, unsigned i)
{
	return (r->dissolve_reason == NULL || i == 0 ||
	    !replica_member_released(&r->members[i]));
}

/* Maps the id of each host that is bound to a replica to its membership. */
static GHashTable *
host_memberships(const struct placer *p)
{
	GHashTable *memberships =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		for (unsigned i = 0; i < r->n; i++) {
			struct host_membership *membership;

			/* A host in two replicas counts for the oldest. */
			if (!member_bound(r, i) ||
			    g_hash_table_contains(memberships,
				r->members[i].id))
				continue;
			membership = g_new(struct host_membership, 1);
			membership->replica = r;
			membership->member = &r->members[i];
			g_hash_table_insert(memberships, r->members[i].id,
			    membership);
		}
	}
	return (memberships);
}

/* Names of the groups of all replicas. */
static GHashTable *
group_names(const struct placer *p)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry)
		g_hash_table_add(names, r->name);
	return (names);
}

/*
 * Whether a host without a replica may join one. A host that reports the group
 * of a replica has joined it by an order that was meant for another
 * incarnation, or has not yet reported that it left. A host that may be the
 * head of a group without a record has to be closed first.
 */
static bool
host_available(const struct endpoint *ep, GHashTable *names, uint64_t now_ms)
{
	const char *group = ep->report.group;

	return (ep->unreadable_ms == 0 && now_ms >= ep->unfit_until_ms &&
	    !placer_is_active_head(ep) &&
	    (group == NULL || !g_hash_table_contains(names, group)));
}

/* Whether a host is loading a model into memory. */
static bool
host_warming(const struct placer *p, const char *id, uint64_t now_ms)
{
	const uint64_t *until = g_hash_table_lookup(p->warming, id);

	return (until != NULL && now_ms < *until);
}

/* Adds the live hosts of a service to the view, but for those in evacuated
 * failure domains: no replica is formed there. */
static void
view_add_hosts(struct placer *p, const char *service, struct planner_view *view,
    uint64_t now_ms)
{
	g_autoptr(GHashTable) memberships = host_memberships(p);
	g_autoptr(GHashTable) names = group_names(p);
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &p->registry->fleet.endpoints, entry) {
		struct planner_host host = { 0 };
		const struct host_membership *membership;

		if (strcmp(ep->report.service, service) != 0 || ep->gone ||
		    ep->draining || ep->lapsed_ms != 0 || ep->evacuated)
			continue;
		host.id = ep->report.id;
		host.domain = ep->report.domain;
		host.fabric = ep->report.fabric;
		host.loaded_model = ep->loaded_model;
		host.staged = ep->report.staged;
		host.copying = placer_copying(p, ep->report.id);
		host.warming = host_warming(p, ep->report.id, now_ms);
		membership = g_hash_table_lookup(memberships, ep->report.id);
		host.group = membership != NULL ? membership->replica : NULL;
		host.free =
		    membership == NULL && host_available(ep, names, now_ms);
		host.free_soon = membership != NULL &&
		    membership->member->liveness < MEMBER_SILENT &&
		    replica_ends_soon(membership->replica, now_ms);
		g_array_append_val(view->hosts, host);
	}
}

/* Adds the replicas of a service that are not being dissolved to the view.
 * Those in evacuated failure domains stand but serve nothing, so they don't
 * count. */
static void
view_add_replicas(const struct placer *p, const char *service,
    struct planner_view *view)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&p->registry->fleet, r->members[0].id);

		if (replica_active(r) && strcmp(r->service, service) == 0 &&
		    (head == NULL || !head->evacuated))
			planner_view_add_replica(view, r,
			    head != NULL ? head->report.domain : NULL,
			    head != NULL ? head->report.fabric : NULL);
	}
}

/* Issues an epoch above all that were issued so far. */
static int64_t
next_epoch(struct placer *p)
{
	return (p->term * EPOCHS_PER_TERM + ++p->epochs_issued);
}

/* Adds the replica of a plan and queues its record. */
static void
replica_add(struct placer *p, const char *service,
    const struct planner_view *view, const struct replica_plan *plan,
    uint64_t now_ms)
{
	int64_t epoch = next_epoch(p);
	g_autofree char *name = g_strdup_printf("g%lld", (long long)epoch);
	struct replica *r =
	    replica_create(name, service, plan->model->name, epoch);

	r->known_ms = now_ms;
	for (guint i = 0; i < plan->members->len; i++) {
		guint index = g_array_index(plan->members, guint, i);
		const struct planner_host *h = planner_host_at(view, index);
		const struct endpoint *ep =
		    fleet_find(&p->registry->fleet, h->id);

		replica_add_member(r, h->id, &ep->report.address);
	}
	for (unsigned i = 0; i < plan->loads; i++)
		g_array_append_val(p->load_starts, now_ms);
	event_log(LOG_NOTICE, "group_planned",
	    "group=%s epoch=%lld model=%s hosts=%u loads=%u head=%s fabric=%s",
	    name, (long long)epoch, r->model, r->n, plan->loads,
	    r->members[0].id,
	    planner_host_at(view, g_array_index(plan->members, guint, 0))
		->fabric);
	TAILQ_INSERT_TAIL(&p->replicas, r, entry);
	placer_record_replica(p, r, false);
}

/*
 * Forms a replica that needs at most the given number of loads from the weight
 * store; returns whether one was formed.
 */
static bool
try_form(struct placer *p, const char *service, struct planner_view *view,
    unsigned loads, uint64_t now_ms)
{
	unsigned loads_free = view->loads_free;
	struct replica_plan plan = { 0 };
	bool formed;

	view->loads_free = MIN(loads, loads_free);
	formed = planner_plan_replica(view, &plan);
	view->loads_free = loads_free;
	if (!formed)
		return (false);
	replica_add(p, service, view, &plan, now_ms);
	g_array_free(plan.members, TRUE);
	return (true);
}

/* Has a host copy a model; returns whether one was chosen. */
static bool
try_copy(struct placer *p, struct planner_view *view, uint64_t now_ms)
{
	const struct model_profile *model;
	const struct planner_host *h = planner_plan_copy(view, &model);

	if (h == NULL)
		return (false);
	planner_view_set_copying(view, h, model);
	event_log(LOG_NOTICE, "copy_planned",
	    "host=%s model=%s fabric=%s free=%d", h->id, model->name, h->fabric,
	    h->free);
	placer_copy_start(p, h->id, model, now_ms);
	return (true);
}

/* Has an idle host load a model into memory; returns whether one was chosen. */
static bool
try_warm(struct placer *p, struct planner_view *view, uint64_t now_ms)
{
	const struct model_profile *model = planner_model(view, view->largest);
	const struct planner_host *h;
	uint64_t until = now_ms + WARM_RETRY_MS;

	/*
	 * This join has no record. While the end of a group is not yet recorded
	 * either, another placer may take over the group again.
	 */
	if (p->store_busy || p->pending->len > 0)
		return (false);
	h = planner_plan_warming(view);
	if (h == NULL)
		return (false);
	planner_view_set_warming(view, h);
	event_log(LOG_INFO, "warming_planned", "host=%s model=%s fabric=%s",
	    h->id, model->name, h->fabric);
	g_hash_table_replace(p->warming, g_strdup(h->id),
	    g_memdup2(&until, sizeof until));
	placer_order_warm(p, h->id, model->name, next_epoch(p));
	return (true);
}

/*
 * Begins to dissolve a replica whose hosts the largest model needs; returns
 * whether there was one.
 */
static bool
try_donate(struct placer *p, const struct planner_view *view, uint64_t now_ms)
{
	struct replica *donor = planner_find_donor(view);

	if (donor == NULL)
		return (false);
	replica_donate(donor, now_ms);
	placer_announce_dissolve(p, donor, now_ms);
	return (true);
}

/*
 * Begins to dissolve a surplus replica of the largest model; returns whether
 * there was one.
 */
static bool
try_retire_surplus(struct placer *p, const struct planner_view *view,
    uint64_t now_ms)
{
	struct replica *r = planner_find_surplus(view);

	if (r == NULL)
		return (false);
	replica_retire(r, now_ms);
	placer_announce_dissolve(p, r, now_ms);
	return (true);
}

/**
 * enum step_result - what a placement step did.
 * @STEP_NONE: nothing was left to do
 * @STEP_PREPARED: a host prepares for a model; the view was updated
 * @STEP_CHANGED: a replica was formed or is being dissolved; the view is stale
 */
enum step_result {
	STEP_NONE,
	STEP_PREPARED,
	STEP_CHANGED,
};

/*
 * Takes one placement step for a service. Replicas that need no load come
 * first, then hosts and copies for the largest model, then replicas that need
 * loads.
 */
static enum step_result
service_step(struct placer *p, const char *service, struct planner_view *view,
    uint64_t now_ms)
{
	unsigned loads = view->served ? 0 : view->loads_free;

	if (try_form(p, service, view, loads, now_ms) ||
	    (view->served &&
		(try_donate(p, view, now_ms) ||
		    try_retire_surplus(p, view, now_ms))))
		return (STEP_CHANGED);
	if (!placer_call_allowed(p))
		return (STEP_NONE);
	if (try_copy(p, view, now_ms))
		return (STEP_PREPARED);
	if (view->served &&
	    try_form(p, service, view, view->loads_free, now_ms))
		return (STEP_CHANGED);
	return (try_warm(p, view, now_ms) ? STEP_PREPARED : STEP_NONE);
}

/**
 * placer_usage() - the counts of a service, which are created if needed.
 * @p: the placer
 * @service: name of the service
 */
struct service_usage *
placer_usage(struct placer *p, const char *service)
{
	struct service_usage *u = g_hash_table_lookup(p->usage, service);

	if (u == NULL) {
		u = service_usage_create();
		g_hash_table_insert(p->usage, g_strdup(service), u);
	}
	return (u);
}

/* Counts the requests of each model that run now, over all heads. */
static void
demand_sample_service(const struct placer *p, const char *service,
    const struct planner_view *view, struct demand_sample *samples,
    uint64_t now_ms)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&p->registry->fleet, r->members[0].id);

		struct demand_sample *sample;

		if (head == NULL || head->evacuated || !r->opened ||
		    (p->placement_demand && !replica_active(r)) ||
		    strcmp(r->service, service) != 0)
			continue;
		sample = &samples[planner_model_index(view, r->model)];
		if (endpoint_limit_active(&head->limit, now_ms)) {
			sample->limited++;
			continue;
		}
		sample->unlimited++;
		sample->running += fwd_expect_running(head);
	}
}

/*
 * Updates the demand of a service and applies it to the view. If this changes
 * the bound on the replicas of the largest model, the bound is recorded.
 */
static void
view_apply_demand(struct placer *p, const char *service,
    struct planner_view *view, uint64_t now_ms)
{
	struct service_usage *u = placer_usage(p, service);
	struct planner_demand *d = &u->demand;
	struct demand_sample samples[PLANNER_MODELS_MAX] = { 0 };
	unsigned old_max = d->largest_max;

	if (!p->served)
		return;
	/* A pass builds many views but counts the requests once. */
	if (d->updated_ms != now_ms) {
		demand_sample_service(p, service, view, samples, now_ms);
		planner_demand_update(d, view, samples, now_ms);
		if (p->placement_demand)
			planner_peak_update(&u->peak, view, samples, now_ms);
		else
			memset(&u->peak, 0, sizeof u->peak);
	}
	if (p->placement_demand)
		planner_peak_apply(&u->peak, &d->largest_max, view, now_ms);
	else
		planner_demand_apply(d, view, now_ms);
	if (d->largest_max == old_max)
		return;
	placer_record_bound(p, service, d->largest_max);
	event_log(LOG_NOTICE, "share_moved",
	    "service=%s model=%s most=%u was=%u share=%.2f busy=%.1f", service,
	    planner_model(view, view->largest)->name, d->largest_max, old_max,
	    view->work_share[view->largest], d->busy_hosts[view->largest]);
}

/* Builds the planner's view of a service. */
static void
service_view_build(struct placer *p, const struct catalog_service *service,
    struct planner_view *view, uint64_t now_ms)
{
	planner_view_init(view, service->engine);
	view_add_hosts(p, service->name, view, now_ms);
	view_add_replicas(p, service->name, view);
	planner_view_count_hosts(view);
	view_apply_demand(p, service->name, view, now_ms);
	planner_view_set_targets(view);
	view->served = p->served;
	view->hosts_stable = now_ms - p->grew_ms >= HOSTS_STABLE_MS;
	view->loads_free = placer_loads_available(p, service->engine, now_ms);
}

/*
 * Takes steps for one service until the view is stale or nothing is left to do.
 * Returns whether to continue with a new view.
 */
static bool
service_run_steps(struct placer *p, const char *service,
    struct planner_view *view, unsigned *steps, uint64_t now_ms)
{
	while (*steps > 0 && p->epochs_issued < EPOCHS_PER_TERM - 1) {
		enum step_result result =
		    service_step(p, service, view, now_ms);

		if (result == STEP_NONE)
			return (false);
		(*steps)--;
		if (result == STEP_CHANGED)
			return (true);
	}
	return (false);
}

/*
 * Takes steps for one service; returns whether some may be left for the next
 * pass.
 */
static bool
service_form_replicas(struct placer *p, const struct catalog_service *service,
    uint64_t now_ms)
{
	unsigned steps = STEPS_PER_PASS;
	bool more, counted = false;

	do {
		struct planner_view view;

		service_view_build(p, service, &view, now_ms);
		if (!counted)
			service_usage_count(placer_usage(p, service->name),
			    service->name, &view, &p->replicas, now_ms);
		counted = true;
		more =
		    service_run_steps(p, service->name, &view, &steps, now_ms);
		planner_view_clear(&view);
	} while (more);
	return (steps == 0 || !placer_call_allowed(p));
}

/**
 * placer_form_replicas() - form new replicas for all services that have models.
 * @p: the placer
 * @now_ms: loop time, in ms
 */
void
placer_form_replicas(struct placer *p, uint64_t now_ms)
{
	unsigned hosts = g_hash_table_size(p->registry->fleet.by_id);
	GHashTableIter iter;
	gpointer value;

	if (mesh_has_served(p->mesh))
		placer_record_served(p);
	placer_copies_update(p, now_ms);
	if (hosts > p->n_hosts)
		p->grew_ms = now_ms;
	p->n_hosts = hosts;
	p->unfinished = false;
	g_hash_table_iter_init(&iter, p->registry->catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct catalog_service *service = value;

		if (service->engine == NULL ||
		    service->engine->models->len == 0)
			continue;
		p->unfinished |= service_form_replicas(p, service, now_ms);
	}
	if (p->unfinished)
		placer_schedule_pass(p);
}
