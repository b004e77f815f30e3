/* Logs why hosts are in no replica, one line for each change. */
#include <string.h>

#include "event-log.h"
#include "placer-idle.h"

/**
 * idle_log_init() - initialize a log state without any hosts.
 * @log: the log state
 */
void
idle_log_init(struct idle_log *log)
{
	log->logged =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * idle_log_clear() - free the contents of a log state.
 * @log: the log state
 */
void
idle_log_clear(struct idle_log *log)
{
	g_hash_table_destroy(log->logged);
}

/*
 * Counts the free hosts of a fabric domain that can join a replica of a model
 * without a load from the weight store.
 */
static unsigned
fabric_hosts_with_model(const struct planner_view *view, unsigned fabric,
    const struct model_profile *m)
{
	unsigned n = 0;

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct planner_host *h = planner_host_at(view, i);

		n += h->free && h->fabric_index == fabric &&
		    planner_host_has_model(h, m);
	}
	return (n);
}

/*
 * Whether a replica that includes the host can be formed without a load from
 * the weight store.
 */
static bool
host_can_form(const struct planner_view *view, const struct planner_host *h)
{
	const GPtrArray *models = view->engine->models;

	for (guint i = 0; i < models->len; i++) {
		const struct model_profile *m = models->pdata[i];

		if (planner_host_has_model(h, m) &&
		    fabric_hosts_with_model(view, h->fabric_index, m) >=
			m->size)
			return (true);
	}
	return (false);
}

/**
 * idle_reason() - why a host is in no replica.
 * @view: the planner's view of the service
 * @h: the host, which is in no replica
 *
 * Return: the reason, as logged; a string constant.
 */
const char *
idle_reason(const struct planner_view *view, const struct planner_host *h)
{
	if (!h->free)
		return ("unfit");
	if (h->warming)
		return ("warming");
	if (h->copying != NULL)
		return ("copying");
	if (h->loaded_model == NULL && h->staged->len == 0)
		return ("no_copy");
	return (host_can_form(view, h) ? "kept" : "alone");
}

/* Logs the use of a host if it has changed. */
static void
idle_log_host(struct idle_log *log, const struct planner_view *view,
    const struct planner_host *h)
{
	const char *reason = "in_replica";

	if (h->group == NULL)
		reason = idle_reason(view, h);
	if (g_hash_table_lookup(log->logged, h->id) == reason)
		return;
	g_hash_table_replace(log->logged, g_strdup(h->id), (gpointer)reason);
	event_log(LOG_INFO, "host_use",
	    "host=%s fabric=%s use=%s model=%s memory=%s copy=%s copying=%s",
	    h->id, h->fabric != NULL ? h->fabric : "-", reason,
	    h->group != NULL ? h->group->model : "-",
	    h->loaded_model != NULL ? h->loaded_model : "-",
	    h->staged->len > 0 ? (char *)h->staged->pdata[0] : "-",
	    h->copying != NULL ? h->copying : "-");
}

/**
 * idle_log_update() - log each host whose use has changed.
 * @log: the log state
 * @view: the planner's view of the service
 */
void
idle_log_update(struct idle_log *log, const struct planner_view *view)
{
	for (guint i = 0; i < view->hosts->len; i++)
		idle_log_host(log, view, planner_host_at(view, i));
}
