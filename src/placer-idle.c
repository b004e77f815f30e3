/* Why hosts are in no replica: one line of the log for each change. */
#include <string.h>

#include "event-log.h"
#include "placer-idle.h"

/**
 * idle_log_init() - begin with nothing said.
 * @watch: the watch
 */
void
idle_log_init(struct idle_log *watch)
{
	watch->logged =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * idle_log_clear() - free what a watch holds.
 * @watch: the watch
 */
void
idle_log_clear(struct idle_log *watch)
{
	g_hash_table_destroy(watch->logged);
}

/* Free hosts of a fabric domain that can join a model without a load. */
static unsigned
free_with(const struct planner_view *view, unsigned at,
    const struct model_profile *m)
{
	unsigned n = 0;

	for (guint i = 0; i < view->hosts->len; i++) {
		const struct planner_host *h = planner_host_at(view, i);

		n += h->free && h->fabric_index == at &&
		    planner_host_has_model(h, m);
	}
	return (n);
}

/* Whether a replica could form around a host without a load. */
static bool
host_has_company(const struct planner_view *view, const struct planner_host *h)
{
	const GPtrArray *models = view->engine->models;

	for (guint i = 0; i < models->len; i++) {
		const struct model_profile *m = models->pdata[i];

		if (planner_host_has_model(h, m) &&
		    free_with(view, h->fabric_index, m) >= m->size)
			return (true);
	}
	return (false);
}

/**
 * idle_reason() - why a host that is in no replica is in none.
 * @view: what the placer sees
 * @h: the host
 *
 * Return: one word.
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
	return (host_has_company(view, h) ? "kept" : "alone");
}

/* Says why a host is idle, if that has changed. */
static void
watch_host(struct idle_log *watch, const struct planner_view *view,
    const struct planner_host *h)
{
	const char *reason = "in_replica";

	if (h->group == NULL)
		reason = idle_reason(view, h);
	if (g_hash_table_lookup(watch->logged, h->id) == reason)
		return;
	g_hash_table_replace(watch->logged, g_strdup(h->id), (gpointer)reason);
	event_log(LOG_INFO, "host_use",
	    "host=%s fabric=%s use=%s model=%s memory=%s copy=%s copying=%s",
	    h->id, h->fabric != NULL ? h->fabric : "-", reason,
	    h->group != NULL ? h->group->model : "-",
	    h->loaded_model != NULL ? h->loaded_model : "-",
	    h->staged->len > 0 ? (char *)h->staged->pdata[0] : "-",
	    h->copying != NULL ? h->copying : "-");
}

/**
 * idle_log_update() - say what hosts do that do something else than before.
 * @watch: the watch
 * @view: what the placer sees
 */
void
idle_log_update(struct idle_log *watch, const struct planner_view *view)
{
	for (guint i = 0; i < view->hosts->len; i++)
		watch_host(watch, view, planner_host_at(view, i));
}
