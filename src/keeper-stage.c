/* Copies of models that are being made, and loads that may start. */
#include <string.h>

#include "keeper.h"

/* Loads are counted over this period; the platform's bound is over as long. */
#define LOADS_WINDOW_MS 5000
/* Share of the platform's bound on loads that is used. */
#define LOADS_USED_SHARE 0.8
/* Number of loads that may start where none bounds them. */
#define LOADS_UNLIMITED 1000
/* Time allowed for a copy, over the load time of one alone: copies that run at
 * the same time slow each other down. */
#define COPY_TIME_FACTOR 1.5
/* An order to copy that was not answered is sent again after this; an answer
 * takes some milliseconds, and a repeated order has no further effect. */
#define COPY_RETRY_MS 300

/**
 * keeper_stage_free() - free the state of a copy that is being made.
 * @data: the struct keeper_stage
 */
void
keeper_stage_free(void *data)
{
	struct keeper_stage *copy = data;

	g_free(copy->model);
	g_free(copy);
}

/* Whether a host reports a copy of a model. */
static bool
report_has_copy(const struct endpoint_report *report, const char *model)
{
	for (guint i = 0; i < report->staged->len; i++) {
		if (strcmp(report->staged->pdata[i], model) == 0)
			return (true);
	}
	return (false);
}

/* Whether a copy may still be in progress, as far as is known of its host. */
static bool
copy_in_progress(const struct keeper_stage *copy, const struct endpoint *ep,
    uint64_t now_ms)
{
	if (ep == NULL || ep->gone || ep->draining || ep->lapsed_ms != 0 ||
	    ep->report.started_ms != copy->started_ms)
		return (false);
	return (now_ms < copy->until_ms &&
	    !report_has_copy(&ep->report, copy->model));
}

/* Sends an order to copy again if it was not answered. */
static void
copy_retry_order(struct keeper *p, const char *host, struct keeper_stage *copy,
    uint64_t now_ms)
{
	if (copy->known || copy->asking ||
	    now_ms - copy->asked_ms < COPY_RETRY_MS)
		return;
	copy->asked_ms = now_ms;
	copy->asking = keeper_order_stage(p, host, copy->model);
}

/**
 * keeper_stage_look() - drop copies that are complete or lost, and repeat
 * orders that may not have arrived.
 * @p: the placer; its lease was verified just before
 * @now_ms: loop time, in ms
 */
void
keeper_stage_look(struct keeper *p, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer host, value;

	g_hash_table_iter_init(&iter, p->staging);
	while (g_hash_table_iter_next(&iter, &host, &value)) {
		struct endpoint *ep = fleet_find(&p->dir->fleet, host);

		if (copy_in_progress(value, ep, now_ms))
			copy_retry_order(p, host, value, now_ms);
		else
			g_hash_table_iter_remove(&iter);
	}
}

/**
 * keeper_stage_begin() - have a host copy a model beside its other work.
 * @p: the placer
 * @host: id of the host
 * @m: the model
 * @now_ms: loop time, in ms
 */
void
keeper_stage_begin(struct keeper *p, const char *host,
    const struct model_profile *m, uint64_t now_ms)
{
	const struct endpoint *ep = fleet_find(&p->dir->fleet, host);
	struct keeper_stage *copy = g_new0(struct keeper_stage, 1);

	copy->started_ms = ep != NULL ? ep->report.started_ms : 0;
	copy->model = g_strdup(m->name);
	copy->until_ms = now_ms + (uint64_t)(COPY_TIME_FACTOR * m->load_ms);
	copy->asked_ms = now_ms;
	g_hash_table_replace(p->staging, g_strdup(host), copy);
	g_array_append_val(p->loads, now_ms);
	copy->asking = keeper_order_stage(p, host, m->name);
}

/**
 * keeper_stage_answered() - handle the result of an order to copy.
 * @p: the placer
 * @host: id of the host
 * @result: result of the order
 *
 * ORDER_UNFIT means that the host is making the copy already.
 */
void
keeper_stage_answered(struct keeper *p, const char *host,
    enum order_result result)
{
	struct keeper_stage *copy = g_hash_table_lookup(p->staging, host);

	if (copy == NULL)
		return;
	copy->asking = false;
	if (result == ORDER_TAKEN || result == ORDER_UNFIT)
		copy->known = true;
	else if (result != ORDER_UNKNOWN)
		g_hash_table_remove(p->staging, host);
}

/**
 * keeper_staging() - the model that is being copied to a host.
 * @p: the placer
 * @host: id of the host
 *
 * Return: name of the model, or NULL.
 */
const char *
keeper_staging(const struct keeper *p, const char *host)
{
	const struct keeper_stage *copy = g_hash_table_lookup(p->staging, host);

	return (copy != NULL ? copy->model : NULL);
}

/**
 * keeper_loads_free() - number of loads from the weight store that may start
 * now.
 * @p: the placer
 * @e: the engine profile
 * @now_ms: loop time, in ms
 */
unsigned
keeper_loads_free(struct keeper *p, const struct engine_profile *e,
    uint64_t now_ms)
{
	double max_loads =
	    e->loads_per_s * LOADS_WINDOW_MS / 1000 * LOADS_USED_SHARE;
	unsigned staging = g_hash_table_size(p->staging);

	while (p->loads->len > 0 &&
	    now_ms - g_array_index(p->loads, uint64_t, 0) >= LOADS_WINDOW_MS)
		g_array_remove_index(p->loads, 0);
	if (e->loads_per_s <= 0)
		return (LOADS_UNLIMITED);
	/*
	 * Before the first request loads are quick, do not slow each other down
	 * (40 at once took as long as one) and are not counted.
	 */
	if (!p->served)
		return (LOADS_UNLIMITED);
	/* More loads at once would only slow each other down. */
	if (staging >= e->loads_at_once || p->loads->len >= max_loads)
		return (0);
	return (MIN(e->loads_at_once - staging,
	    (unsigned)(max_loads - p->loads->len)));
}
