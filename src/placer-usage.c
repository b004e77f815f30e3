/* Group downtime and stranded host time of each service. */
#include <string.h>

#include "event-log.h"
#include "placer-usage.h"

/* Minimum time between two log lines for a model. */
#define LOG_INTERVAL_MS 2000

/**
 * service_usage_create() - allocate the counts of a service, all zero.
 */
struct service_usage *
service_usage_create(void)
{
	struct service_usage *u = g_new0(struct service_usage, 1);

	idle_log_init(&u->idle);
	return (u);
}

/**
 * service_usage_free() - free the counts of a service.
 * @data: the struct service_usage
 */
void
service_usage_free(void *data)
{
	struct service_usage *u = data;

	for (unsigned i = 0; i < PLANNER_MODELS_MAX; i++)
		g_free(u->names[i]);
	idle_log_clear(&u->idle);
	g_free(u);
}

/*
 * Sets the models and the number of wanted replicas from the view, and resets
 * the replica counts. The downtime of a model is reset if another model stood
 * in its place in the engine profile before.
 */
static void
usage_set_models(struct service_usage *u, const struct planner_view *view)
{
	const GPtrArray *models = view->engine->models;

	for (unsigned i = 0; i < models->len && i < PLANNER_MODELS_MAX; i++) {
		const struct model_profile *m = models->pdata[i];

		if (g_strcmp0(u->names[i], m->name) != 0) {
			g_free(u->names[i]);
			u->names[i] = g_strdup(m->name);
			u->models[i].down_ms = 0;
		}
		u->models[i].wanted = view->wanted[i];
		u->models[i].open = 0;
		u->models[i].forming = 0;
		u->models[i].dissolving = 0;
	}
	u->n_models = MIN(models->len, PLANNER_MODELS_MAX);
}

/* Counts a replica; returns whether it serves. */
static bool
usage_add_replica(struct service_usage *u, const struct replica *r)
{
	for (unsigned i = 0; i < u->n_models; i++) {
		struct model_usage *m = &u->models[i];

		if (strcmp(u->names[i], r->model) != 0)
			continue;
		if (!replica_active(r))
			m->dissolving++;
		else if (r->opened)
			m->open++;
		else
			m->forming++;
	}
	return (replica_active(r) && r->opened);
}

/* Demand of a model for the log; empty unless replicas are placed by it. */
static char *
usage_demand_fields(const struct service_usage *u, unsigned i)
{
	if (u->peak.updated_ms == 0)
		return (g_strdup(""));
	return (g_strdup_printf(" asked=%.1f peak=%.1f",
	    u->peak.models[i].hosts_needed, planner_peak_hosts(&u->peak, i)));
}

/* Logs the counts of each model, at most once per LOG_INTERVAL_MS. */
static void
usage_log(struct service_usage *u, const char *service, uint64_t now_ms)
{
	if (now_ms - u->logged_ms < LOG_INTERVAL_MS)
		return;
	u->logged_ms = now_ms;
	for (unsigned i = 0; i < u->n_models; i++) {
		const struct model_usage *m = &u->models[i];
		g_autofree char *demand = usage_demand_fields(u, i);

		event_log(LOG_INFO, "placement",
		    "service=%s model=%s wanted=%.1f open=%u forming=%u "
		    "dissolving=%u hosts=%u free=%u down_ms=%.0f "
		    "stranded_ms=%.0f%s",
		    service, u->names[i], m->wanted, m->open, m->forming,
		    m->dissolving, u->hosts, u->free, m->down_ms,
		    u->stranded_ms, demand);
	}
}

/**
 * service_usage_count() - update the counts, adding the time since the last
 * count to downtime and stranded host time.
 * @u: the counts of the service
 * @service: name of the service
 * @view: the planner's view of the service
 * @replicas: all replicas, of all services
 * @now_ms: loop time, in ms
 */
void
service_usage_count(struct service_usage *u, const char *service,
    const struct planner_view *view, const struct replica_list *replicas,
    uint64_t now_ms)
{
	double elapsed =
	    u->counted_ms != 0 ? (double)(now_ms - u->counted_ms) : 0;
	const struct replica *r;
	unsigned serving = 0;

	usage_set_models(u, view);
	u->counted_ms = now_ms;
	u->hosts = view->hosts->len;
	u->free = 0;
	for (guint i = 0; i < view->hosts->len; i++)
		u->free += planner_host_at(view, i)->group == NULL;
	TAILQ_FOREACH(r, replicas, entry) {
		if (strcmp(r->service, service) == 0 && usage_add_replica(u, r))
			serving += r->n;
	}
	u->stranded_ms += elapsed * (u->hosts - MIN(serving, u->hosts));
	for (unsigned i = 0; i < u->n_models; i++) {
		struct model_usage *m = &u->models[i];

		m->down_ms += elapsed * MAX(m->wanted - m->open, 0);
	}
	usage_log(u, service, now_ms);
	idle_log_update(&u->idle, view);
}

/**
 * service_usage_print() - append the counts to the metrics page.
 * @u: the counts of the service
 * @service: name of the service
 * @out: the metrics page
 */
void
service_usage_print(const struct service_usage *u, const char *service,
    GString *out)
{
	g_string_append_printf(out,
	    "banklift_stranded_host_ms{service=\"%s\"} %.0f\n", service,
	    u->stranded_ms);
	for (unsigned i = 0; i < u->n_models; i++)
		g_string_append_printf(out,
		    "banklift_group_downtime_ms{service=\"%s\",model=\"%s\"} "
		    "%.0f\n"
		    "banklift_groups_serving{service=\"%s\",model=\"%s\"} %u\n",
		    service, u->names[i], u->models[i].down_ms, service,
		    u->names[i], u->models[i].open);
	for (unsigned i = 0; i < u->n_models && u->peak.updated_ms != 0; i++)
		g_string_append_printf(out,
		    "banklift_demand_hosts{service=\"%s\",model=\"%s\"} "
		    "%.1f\n",
		    service, u->names[i], planner_peak_hosts(&u->peak, i));
}
