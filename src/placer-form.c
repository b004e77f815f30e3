/* Forms new replicas from free hosts. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
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
 * Steps per service in one pass, and the time after which no further ones are
 * taken; the next pass continues. Orders are sent between the passes.
 */
#define STEPS_MIN 24
#define STEPS_MAX_US 10000

/**
 * struct step_budget - bound on the steps of a service in one pass.
 * @taken: steps taken so far
 * @began_us: when the first one began, in us
 */
struct step_budget {
	unsigned taken;
	uint64_t began_us;
};

/* Issues an epoch above all that were issued so far. */
static int64_t
next_epoch(struct placer *p)
{
	return (p->term * EPOCHS_PER_TERM + ++p->epochs_issued);
}

/* Adds the replica of a plan, and queues its record; returns it. */
static struct replica *
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
	event_log(LOG_NOTICE, "group_planned",
	    "group=%s epoch=%lld model=%s hosts=%u loads=%u head=%s fabric=%s",
	    name, (long long)epoch, r->model, r->n, plan->loads,
	    r->members[0].id,
	    planner_host_fabric(
		planner_host_at(view, g_array_index(plan->members, guint, 0))));
	TAILQ_INSERT_TAIL(&p->replicas, r, entry);
	placer_record_replica(p, r, false);
	return (r);
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
	struct replica *r;
	bool formed;

	view->loads_free = MIN(loads, loads_free);
	formed = planner_plan_replica(view, &plan);
	view->loads_free = loads_free;
	if (!formed)
		return (false);
	r = replica_add(p, service, view, &plan, now_ms);
	/* With requests the targets also depend on the demand, so that a new
	 * view is built. */
	if (!view->served)
		planner_view_set_formed(view, &plan, r);
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
	    "host=%s model=%s fabric=%s free=%d", h->id, model->name,
	    planner_host_fabric(h), h->free);
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
	    h->id, model->name, planner_host_fabric(h));
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
 * @STEP_UPDATED: a replica was formed, or a host prepares for a model; the view
 *	was updated
 * @STEP_STALE: a replica is being dissolved, or was formed while requests
 *	come; the view is stale
 */
enum step_result {
	STEP_NONE,
	STEP_UPDATED,
	STEP_STALE,
};

/* The result of a step that formed a replica. */
static enum step_result
formed_result(const struct planner_view *view)
{
	return (view->served ? STEP_STALE : STEP_UPDATED);
}

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

	if (try_form(p, service, view, loads, now_ms))
		return (formed_result(view));
	if (view->served &&
	    (try_donate(p, view, now_ms) ||
		try_retire_surplus(p, view, now_ms)))
		return (STEP_STALE);
	if (!placer_call_allowed(p))
		return (STEP_NONE);
	if (try_copy(p, view, now_ms))
		return (STEP_UPDATED);
	if (view->served &&
	    try_form(p, service, view, view->loads_free, now_ms))
		return (formed_result(view));
	return (try_warm(p, view, now_ms) ? STEP_UPDATED : STEP_NONE);
}

/* Whether one more step may be taken in this pass. */
static bool
budget_left(const struct step_budget *budget)
{
	return (budget->taken < STEPS_MIN ||
	    clock_now_us() - budget->began_us < STEPS_MAX_US);
}

/*
 * Takes steps for one service until the view is stale or nothing is left to do.
 * Returns whether to continue with a new view.
 */
static bool
service_run_steps(struct placer *p, const char *service,
    struct planner_view *view, struct step_budget *budget, uint64_t now_ms)
{
	while (budget_left(budget) && p->epochs_issued < EPOCHS_PER_TERM - 1) {
		enum step_result result =
		    service_step(p, service, view, now_ms);

		if (result == STEP_NONE)
			return (false);
		budget->taken++;
		if (result == STEP_STALE)
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
	struct step_budget budget = { .began_us = clock_now_us() };
	bool more, counted = false;

	do {
		struct planner_view view;

		placer_build_view(p, service, &view, now_ms);
		if (!counted)
			service_usage_count(placer_usage(p, service->name),
			    service->name, &view, &p->replicas, now_ms);
		counted = true;
		more =
		    service_run_steps(p, service->name, &view, &budget, now_ms);
		planner_view_clear(&view);
	} while (more);
	return (!budget_left(&budget) || !placer_call_allowed(p));
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
