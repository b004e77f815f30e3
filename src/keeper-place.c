/* Forming new replicas from hosts that are free. */
#include <string.h>

#include "event-log.h"
#include "fwd-expect.h"
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
	return (
	    r->doomed == NULL || i == 0 || !replica_member_out(&r->members[i]));
}

/* All hosts that are members of replicas, by their id. */
static GHashTable *
place_seats(const struct keeper *k)
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
place_names(const struct keeper *k)
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
	    !keeper_heads(ep) &&
	    (group == NULL || !g_hash_table_contains(names, group)));
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
	g_autoptr(GHashTable) seats = place_seats(k);
	g_autoptr(GHashTable) names = place_names(k);
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &k->registry->fleet.endpoints, entry) {
		struct form_host host = { 0 };
		const struct place_seat *seat;

		if (strcmp(ep->report.service, service) != 0 || ep->gone ||
		    ep->draining || ep->lapsed_ms != 0)
			continue;
		host.id = ep->report.id;
		host.domain = ep->report.domain;
		host.fabric = ep->report.fabric;
		host.last = ep->loaded_model;
		host.staged = ep->report.staged;
		host.staging = keeper_staging(k, ep->report.id);
		host.warming = host_warming(k, ep->report.id, now_ms);
		seat = g_hash_table_lookup(seats, ep->report.id);
		host.group = seat != NULL ? seat->replica : NULL;
		host.free = seat == NULL && host_free(ep, names, now_ms);
		host.soon = seat != NULL &&
		    seat->member->life < MEMBER_SILENT &&
		    replica_ends_soon(seat->replica, now_ms);
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
		    fleet_find(&k->registry->fleet, r->members[0].id);

		if (replica_wanted(r) && strcmp(r->service, service) == 0)
			form_view_add_replica(view, r,
			    head != NULL ? head->report.domain : NULL,
			    head != NULL ? head->report.fabric : NULL);
	}
}

/* An epoch above all that were given so far. */
static int64_t
next_epoch(struct keeper *k)
{
	return (k->term * EPOCHS_A_TERM + ++k->groups);
}

/* Makes a replica of a plan and has its record written. */
static void
place_make(struct keeper *k, const char *service, const struct form_view *view,
    const struct form_plan *plan, uint64_t now_ms)
{
	int64_t epoch = next_epoch(k);
	g_autofree char *name = g_strdup_printf("g%lld", (long long)epoch);
	struct replica *r =
	    replica_create(name, service, plan->model->name, epoch);

	r->made_ms = now_ms;
	for (guint i = 0; i < plan->members->len; i++) {
		guint at = g_array_index(plan->members, guint, i);
		const struct form_host *h = form_host_at(view, at);
		const struct endpoint *ep =
		    fleet_find(&k->registry->fleet, h->id);

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
place_copy(struct keeper *k, struct form_view *view, uint64_t now_ms)
{
	const struct model_profile *model;
	const struct form_host *h = form_stage(view, &model);

	if (h == NULL)
		return (false);
	form_view_staging(view, h, model);
	event_log(LOG_NOTICE, "copy_planned",
	    "host=%s model=%s fabric=%s free=%d", h->id, model->name, h->fabric,
	    h->free);
	keeper_stage_begin(k, h->id, model, now_ms);
	return (true);
}

/* Has an idle host take a model into memory; false where none should. */
static bool
place_warm(struct keeper *k, struct form_view *view, uint64_t now_ms)
{
	const struct model_profile *big = form_model(view, view->largest);
	const struct form_host *h;
	uint64_t until = now_ms + WARM_AGAIN_MS;

	/* This join has no record. As long as the end of a group has none
	 * either, another placer may take the group up again. */
	if (k->writing || k->records->len > 0)
		return (false);
	h = form_warm(view);
	if (h == NULL)
		return (false);
	form_view_warming(view, h);
	event_log(LOG_INFO, "warming_planned", "host=%s model=%s fabric=%s",
	    h->id, big->name, h->fabric);
	g_hash_table_replace(k->warming, g_strdup(h->id),
	    g_memdup2(&until, sizeof until));
	keeper_order_warm(k, h->id, big->name, next_epoch(k));
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

/* Dissolves a replica of the largest model that is one too many. */
static bool
place_surplus(struct keeper *k, const struct form_view *view, uint64_t now_ms)
{
	struct replica *r = form_surplus(view);

	if (r == NULL)
		return (false);
	replica_give_up(r, now_ms);
	keeper_doomed(k, r, now_ms);
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
place_step(struct keeper *k, const char *service, struct form_view *view,
    uint64_t now_ms)
{
	unsigned loads = view->serving ? 0 : view->loads;

	if (place_form(k, service, view, loads, now_ms) ||
	    (view->serving &&
		(place_donate(k, view, now_ms) ||
		    place_surplus(k, view, now_ms))))
		return (PLACE_CHANGED);
	if (!keeper_calls_free(k))
		return (PLACE_NOTHING);
	if (place_copy(k, view, now_ms))
		return (PLACE_PREPARED);
	if (view->serving && place_form(k, service, view, view->loads, now_ms))
		return (PLACE_CHANGED);
	return (place_warm(k, view, now_ms) ? PLACE_PREPARED : PLACE_NOTHING);
}

/**
 * keeper_usage() - the counts of a service.
 * @k: the keeper
 * @service: its name
 */
struct service_usage *
keeper_usage(struct keeper *k, const char *service)
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
demand_count(const struct keeper *k, const char *service,
    const struct form_view *view, struct form_seen *seen)
{
	const struct replica *r;

	TAILQ_FOREACH(r, &k->replicas, entry) {
		const struct endpoint *head =
		    fleet_find(&k->registry->fleet, r->members[0].id);

		struct form_seen *of;

		if (head == NULL || !r->opened ||
		    strcmp(r->service, service) != 0)
			continue;
		of = &seen[form_model_index(view, r->model)];
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
view_set_work(struct keeper *k, const char *service, struct form_view *view,
    uint64_t now_ms)
{
	struct form_demand *d = &keeper_usage(k, service)->demand;
	struct form_seen seen[FORM_MODELS_MAX] = { 0 };
	unsigned most = d->most;

	if (!k->served)
		return;
	/* A look makes many views, and counts the requests once. */
	if (d->noted_ms != now_ms) {
		demand_count(k, service, view, seen);
		form_demand_note(d, view, seen, now_ms);
	}
	form_demand_apply(d, view, now_ms);
	if (d->most == most)
		return;
	keeper_record_bound(k, service, d->most);
	event_log(LOG_NOTICE, "share_moved",
	    "service=%s model=%s most=%u was=%u share=%.2f busy=%.1f", service,
	    form_model(view, view->largest)->name, d->most, most,
	    view->work[view->largest], d->busy[view->largest]);
}

/* Sees all hosts and replicas of a service. */
static void
place_view(struct keeper *k, const struct catalog_service *service,
    struct form_view *view, uint64_t now_ms)
{
	form_view_init(view, service->engine);
	view_add_hosts(k, service->name, view, now_ms);
	view_add_replicas(k, service->name, view);
	form_view_count(view);
	view_set_work(k, service->name, view, now_ms);
	form_view_finish(view);
	view->serving = k->served;
	view->settled = now_ms - k->grew_ms >= SETTLE_MS;
	view->loads = keeper_loads_free(k, service->engine, now_ms);
}

/* Takes steps for one service while the view holds; whether to go on. */
static bool
place_some(struct keeper *k, const char *service, struct form_view *view,
    unsigned *steps, uint64_t now_ms)
{
	while (*steps > 0 && k->groups < EPOCHS_A_TERM - 1) {
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
place_service(struct keeper *k, const struct catalog_service *service,
    uint64_t now_ms)
{
	unsigned steps = STEPS_A_LOOK;
	bool more, counted = false;

	do {
		struct form_view view;

		place_view(k, service, &view, now_ms);
		if (!counted)
			service_usage_count(keeper_usage(k, service->name),
			    service->name, &view, &k->replicas, now_ms);
		counted = true;
		more = place_some(k, service->name, &view, &steps, now_ms);
		form_view_clear(&view);
	} while (more);
	return (steps == 0 || !keeper_calls_free(k));
}

/**
 * keeper_place() - form new replicas of all services that have models.
 * @k: the keeper
 * @now_ms: loop time
 */
void
keeper_place(struct keeper *k, uint64_t now_ms)
{
	unsigned hosts = g_hash_table_size(k->registry->fleet.by_id);
	GHashTableIter iter;
	gpointer value;

	if (mesh_serving(k->mesh))
		keeper_record_served(k);
	keeper_stage_look(k, now_ms);
	if (hosts > k->hosts)
		k->grew_ms = now_ms;
	k->hosts = hosts;
	k->more = false;
	g_hash_table_iter_init(&iter, k->registry->catalog->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct catalog_service *service = value;

		if (service->engine == NULL ||
		    service->engine->models->len == 0)
			continue;
		k->more |= place_service(k, service, now_ms);
	}
	if (k->more)
		keeper_look_soon(k);
}
