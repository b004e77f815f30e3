/* Forming new replicas from hosts that are free. */
#include <string.h>

#include "event-log.h"
#include "fwd-expect.h"
#include "placer.h"
#include "planner.h"

/* Epochs of one lease; a lease that makes more must be taken anew. */
#define EPOCHS_A_TERM 100000
/* A host that has not taken a model into memory after this is told again; well
 * above the time of a join from the host's own copy. */
#define WARM_AGAIN_MS 5000
/* Hosts appear one by one at the start, over about two of their beats; when no
 * new one has for this long, small replicas may take what large ones leave. */
#define SETTLE_MS 600

/* Steps of one look; the next look goes on. Formed one by one, with orders
 * that go out between the looks, a fleet of hundreds of hosts holds nothing
 * up: a look over 925 hosts took seconds without this bound. */
#define STEPS_A_LOOK 24

/**
 * struct place_seat - the replica with a record that a host is a member of.
 * @replica: the replica
 * @member: the host in it
 */
struct place_seat {
	struct replica *replica;
	const struct replica_member *member;
};

/* Whether a host is still bound to a replica. One that has left a head that
 * can't be reached, and can't come back, is not. */
static bool
member_bound(const struct replica *r, unsigned i)
{
	return (r->dissolve_reason == NULL || i == 0 ||
	    !replica_member_released(&r->members[i]));
}

/* All hosts that are members of replicas, by their id. */
static GHashTable *
place_seats(const struct placer *k)
{
	GHashTable *seats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		for (unsigned i = 0; i < r->n; i++) {
			struct place_seat *seat;

			/* The oldest has a host that is in two. */
			if (!member_bound(r, i) ||
			    g_hash_table_contains(seats, r->members[i].id))
				continue;
			seat = g_new(struct place_seat, 1);
			seat->replica = r;
			seat->member = &r->members[i];
			g_hash_table_insert(seats, r->members[i].id, seat);
		}
	}
	return (seats);
}

/* Names of the groups that have a record. */
static GHashTable *
place_names(const struct placer *k)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry)
		g_hash_table_add(names, r->name);
	return (names);
}

/*
 * Whether a host without a replica may join one. One that reports a group with
 * a record was taken into it by an order that was meant for another
 * incarnation, or has not reported yet that it left. One that may be the head
 * of a group without a record has to be closed first.
 */
static bool
host_free(const struct endpoint *ep, GHashTable *names, uint64_t now_ms)
{
	const char *group = ep->report.group;

	return (ep->unreadable_ms == 0 && now_ms >= ep->unfit_until_ms &&
	    !placer_is_active_head(ep) &&
	    (group == NULL || !g_hash_table_contains(names, group)));
}

/* Whether a host is taking a model into memory. */
static bool
host_warming(const struct placer *k, const char *id, uint64_t now_ms)
{
	const uint64_t *until = g_hash_table_lookup(k->warming, id);

	return (until != NULL && now_ms < *until);
}

/* All hosts of a service that live. */
static void
view_add_hosts(struct placer *k, const char *service, struct planner_view *view,
    uint64_t now_ms)
{
	g_autoptr(GHashTable) seats = place_seats(k);
	g_autoptr(GHashTable) names = place_names(k);
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &k->registry->fleet.endpoints, entry) {
		struct planner_host host = { 0 };
		const struct place_seat *seat;

		if (strcmp(ep->report.service, service) != 0 || ep->gone ||
		    ep->draining || ep->lapsed_ms != 0)
			continue;
		host.id = ep->report.id;
		host.domain = ep->report.domain;
		host.fabric = ep->report.fabric;
		host.loaded_model = ep->loaded_model;
		host.staged = ep->report.staged;
		host.copying = placer_copying(k, ep->report.id);
		host.warming = host_warming(k, ep->report.id, now_ms);
		seat = g_hash_table_lookup(seats, ep->report.id);
		host.group = seat != NULL ? seat->replica : NULL;
		host.free = seat == NULL && host_free(ep, names, now_ms);
		host.free_soon = seat != NULL &&
		    seat->member->liveness < MEMBER_SILENT &&
		    replica_ends_soon(seat->replica, now_ms);
		g_array_append_val(view->hosts, host);
	}
}

/* Counts the replicas that are wanted. */
static void
view_add_replicas(const struct placer *k, const char *service,
    struct planner_view *view)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&k->registry->fleet, r->members[0].id);

		if (replica_active(r) && strcmp(r->service, service) == 0)
			planner_view_add_replica(view, r,
			    head != NULL ? head->report.domain : NULL,
			    head != NULL ? head->report.fabric : NULL);
	}
}

/* An epoch above all that were given so far. */
static int64_t
next_epoch(struct placer *k)
{
	return (k->term * EPOCHS_A_TERM + ++k->epochs_issued);
}

/* Makes a replica of a plan and has its record written. */
static void
place_make(struct placer *k, const char *service,
    const struct planner_view *view, const struct replica_plan *plan,
    uint64_t now_ms)
{
	int64_t epoch = next_epoch(k);
	g_autofree char *name = g_strdup_printf("g%lld", (long long)epoch);
	struct replica *r =
	    replica_create(name, service, plan->model->name, epoch);

	r->known_ms = now_ms;
	for (guint i = 0; i < plan->members->len; i++) {
		guint at = g_array_index(plan->members, guint, i);
		const struct planner_host *h = planner_host_at(view, at);
		const struct endpoint *ep =
		    fleet_find(&k->registry->fleet, h->id);

		replica_add_member(r, h->id, &ep->report.address);
	}
	for (unsigned i = 0; i < plan->loads; i++)
		g_array_append_val(k->load_starts, now_ms);
	event_log(LOG_NOTICE, "group_planned",
	    "group=%s epoch=%lld model=%s hosts=%u loads=%u head=%s fabric=%s",
	    name, (long long)epoch, r->model, r->n, plan->loads,
	    r->members[0].id,
	    planner_host_at(view, g_array_index(plan->members, guint, 0))
		->fabric);
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
	placer_record_replica(k, r, false);
}

/* Forms a replica with up to some loads; false where there is none to form. */
static bool
place_form(struct placer *k, const char *service, struct planner_view *view,
    unsigned loads, uint64_t now_ms)
{
	unsigned free = view->loads_free;
	struct replica_plan plan = { 0 };
	bool formed;

	view->loads_free = MIN(loads, free);
	formed = planner_plan_replica(view, &plan);
	view->loads_free = free;
	if (!formed)
		return (false);
	place_make(k, service, view, &plan, now_ms);
	g_array_free(plan.members, TRUE);
	return (true);
}

/* Has a host get a copy of a model; false where none should. */
static bool
place_copy(struct placer *k, struct planner_view *view, uint64_t now_ms)
{
	const struct model_profile *model;
	const struct planner_host *h = planner_plan_copy(view, &model);

	if (h == NULL)
		return (false);
	planner_view_set_copying(view, h, model);
	event_log(LOG_NOTICE, "copy_planned",
	    "host=%s model=%s fabric=%s free=%d", h->id, model->name, h->fabric,
	    h->free);
	placer_copy_start(k, h->id, model, now_ms);
	return (true);
}

/* Has an idle host take a model into memory; false where none should. */
static bool
place_warm(struct placer *k, struct planner_view *view, uint64_t now_ms)
{
	const struct model_profile *big = planner_model(view, view->largest);
	const struct planner_host *h;
	uint64_t until = now_ms + WARM_AGAIN_MS;

	/* This join has no record. As long as the end of a group has none
	 * either, another placer may take the group up again. */
	if (k->store_busy || k->pending->len > 0)
		return (false);
	h = planner_plan_warming(view);
	if (h == NULL)
		return (false);
	planner_view_set_warming(view, h);
	event_log(LOG_INFO, "warming_planned", "host=%s model=%s fabric=%s",
	    h->id, big->name, h->fabric);
	g_hash_table_replace(k->warming, g_strdup(h->id),
	    g_memdup2(&until, sizeof until));
	placer_order_warm(k, h->id, big->name, next_epoch(k));
	return (true);
}

/* Dissolves a replica whose hosts the largest model needs. */
static bool
place_donate(struct placer *k, const struct planner_view *view, uint64_t now_ms)
{
	struct replica *donor = planner_find_donor(view);

	if (donor == NULL)
		return (false);
	replica_donate(donor, now_ms);
	placer_announce_dissolve(k, donor, now_ms);
	return (true);
}

/* Dissolves a replica of the largest model that is one too many. */
static bool
place_surplus(struct placer *k, const struct planner_view *view,
    uint64_t now_ms)
{
	struct replica *r = planner_find_surplus(view);

	if (r == NULL)
		return (false);
	replica_retire(r, now_ms);
	placer_announce_dissolve(k, r, now_ms);
	return (true);
}

/**
 * enum place_result - what a step did.
 * @PLACE_NOTHING: nothing is left to do
 * @PLACE_PREPARED: a host prepares for a model; the view was kept up
 * @PLACE_CHANGED: a replica was made or dissolved; the view is old
 */
enum place_result {
	PLACE_NOTHING,
	PLACE_PREPARED,
	PLACE_CHANGED,
};

/*
 * Forms one replica, or prepares one. What needs no load goes first, then
 * hosts and copies for the largest model, then loads for others.
 */
static enum place_result
place_step(struct placer *k, const char *service, struct planner_view *view,
    uint64_t now_ms)
{
	unsigned loads = view->serving ? 0 : view->loads_free;

	if (place_form(k, service, view, loads, now_ms) ||
	    (view->serving &&
		(place_donate(k, view, now_ms) ||
		    place_surplus(k, view, now_ms))))
		return (PLACE_CHANGED);
	if (!placer_call_allowed(k))
		return (PLACE_NOTHING);
	if (place_copy(k, view, now_ms))
		return (PLACE_PREPARED);
	if (view->serving &&
	    place_form(k, service, view, view->loads_free, now_ms))
		return (PLACE_CHANGED);
	return (place_warm(k, view, now_ms) ? PLACE_PREPARED : PLACE_NOTHING);
}

/**
 * placer_usage() - the counts of a service.
 * @k: the placer
 * @service: its name
 */
struct service_usage *
placer_usage(struct placer *k, const char *service)
{
	struct service_usage *u = g_hash_table_lookup(k->usage, service);

	if (u == NULL) {
		u = service_usage_create();
		g_hash_table_insert(k->usage, g_strdup(service), u);
	}
	return (u);
}

/* Counts the requests of each model that run now, at all heads. */
static void
demand_count(const struct placer *k, const char *service,
    const struct planner_view *view, struct demand_sample *seen)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&k->registry->fleet, r->members[0].id);

		struct demand_sample *of;

		if (head == NULL || !r->opened ||
		    strcmp(r->service, service) != 0)
			continue;
		of = &seen[planner_model_index(view, r->model)];
		if (head->limit.active) {
			of->limited++;
			continue;
		}
		of->unlimited++;
		of->running += fwd_expect_running(head);
	}
}

/* Lets the shares of the models follow the requests that are seen. */
static void
view_set_work(struct placer *k, const char *service, struct planner_view *view,
    uint64_t now_ms)
{
	struct planner_demand *d = &placer_usage(k, service)->demand;
	struct demand_sample seen[PLANNER_MODELS_MAX] = { 0 };
	unsigned most = d->largest_max;

	if (!k->served)
		return;
	/* A look makes many views, and counts the requests once. */
	if (d->updated_ms != now_ms) {
		demand_count(k, service, view, seen);
		planner_demand_update(d, view, seen, now_ms);
	}
	planner_demand_apply(d, view, now_ms);
	if (d->largest_max == most)
		return;
	placer_record_bound(k, service, d->largest_max);
	event_log(LOG_NOTICE, "share_moved",
	    "service=%s model=%s most=%u was=%u share=%.2f busy=%.1f", service,
	    planner_model(view, view->largest)->name, d->largest_max, most,
	    view->work_share[view->largest], d->busy_hosts[view->largest]);
}

/* Sees all hosts and replicas of a service. */
static void
place_view(struct placer *k, const struct catalog_service *service,
    struct planner_view *view, uint64_t now_ms)
{
	planner_view_init(view, service->engine);
	view_add_hosts(k, service->name, view, now_ms);
	view_add_replicas(k, service->name, view);
	planner_view_count_hosts(view);
	view_set_work(k, service->name, view, now_ms);
	planner_view_set_targets(view);
	view->serving = k->served;
	view->hosts_stable = now_ms - k->grew_ms >= SETTLE_MS;
	view->loads_free = placer_loads_available(k, service->engine, now_ms);
}

/* Takes steps for one service while the view holds; whether to go on. */
static bool
place_some(struct placer *k, const char *service, struct planner_view *view,
    unsigned *steps, uint64_t now_ms)
{
	while (*steps > 0 && k->epochs_issued < EPOCHS_A_TERM - 1) {
		enum place_result result = place_step(k, service, view, now_ms);

		if (result == PLACE_NOTHING)
			return (false);
		(*steps)--;
		if (result == PLACE_CHANGED)
			return (true);
	}
	return (false);
}

/* Takes steps for one service; true where some are left for the next look. */
static bool
place_service(struct placer *k, const struct catalog_service *service,
    uint64_t now_ms)
{
	unsigned steps = STEPS_A_LOOK;
	bool more, counted = false;

	do {
		struct planner_view view;

		place_view(k, service, &view, now_ms);
		if (!counted)
			service_usage_count(placer_usage(k, service->name),
			    service->name, &view, &k->replicas, now_ms);
		counted = true;
		more = place_some(k, service->name, &view, &steps, now_ms);
		planner_view_clear(&view);
	} while (more);
	return (steps == 0 || !placer_call_allowed(k));
}

/**
 * placer_form_replicas() - form new replicas of all services that have models.
 * @k: the placer
 * @now_ms: loop time
 */
void
placer_form_replicas(struct placer *k, uint64_t now_ms)
{
	unsigned hosts = g_hash_table_size(k->registry->fleet.by_id);
	GHashTableIter iter;
	gpointer value;

	if (mesh_serving(k->mesh))
		placer_record_served(k);
	placer_copies_update(k, now_ms);
	if (hosts > k->n_hosts)
		k->grew_ms = now_ms;
	k->n_hosts = hosts;
	k->unfinished = false;
	g_hash_table_iter_init(&iter, k->registry->catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct catalog_service *service = value;

		if (service->engine == NULL ||
		    service->engine->models->len == 0)
			continue;
		k->unfinished |= place_service(k, service, now_ms);
	}
	if (k->unfinished)
		placer_schedule_pass(k);
}
