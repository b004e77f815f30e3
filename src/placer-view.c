/* Builds the planner's view of a service. */
#include <string.h>

#include "event-log.h"
#include "fwd-expect.h"
#include "placer.h"
#include "planner.h"

/*
 * Hosts appear one by one at the start, over about two of their heartbeats.
 * When none has appeared for this long, small replicas may use the hosts that
 * large ones leave.
 */
#define HOSTS_STABLE_MS 600

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

		if (strcmp(ep->report.service, service) != 0 ||
		    !endpoint_expected(ep) || ep->draining || ep->evacuated)
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
		host.free = membership == NULL && ep->lapsed_ms == 0 &&
		    host_available(ep, names, now_ms);
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
		if (p->placement_demand) {
			planner_demand_add_sums(samples, view, service,
			    &p->registry->sums);
			planner_peak_update(&u->peak, view, samples, now_ms);
		} else {
			memset(&u->peak, 0, sizeof u->peak);
		}
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

/**
 * placer_build_view() - build the planner's view of a service.
 * @p: the placer
 * @service: the service; it has models
 * @view: set to the view; the caller clears it
 * @now_ms: loop time
 */
void
placer_build_view(struct placer *p, const struct catalog_service *service,
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
