/* Copies of models that are being made, and loads that may begin. */
#include <string.h>

#include "placer.h"

/* Loads are counted over this span; the platform's bound is over as much. */
#define LOADS_WINDOW_MS 5000
/* Part of the bound on loads that is used. */
#define LOADS_SHARE 0.8
/* Without a bound in the engine's profile. */
#define LOADS_ANY 1000
/* A copy with others beside it takes longer than one alone. */
#define STAGE_FACTOR 1.5
/* An order to copy that had no answer is given again after this; the time of
 * an answer is some milliseconds, and a repeat does nothing twice. */
#define STAGE_AGAIN_MS 300

/**
 * placer_copy_free() - free a copy that is being made.
 * @data: the struct placer_copy
 */
void
placer_copy_free(void *data)
{
	struct placer_copy *stage = data;

	g_free(stage->model);
	g_free(stage);
}

/* Whether a host reports a copy of a model. */
static bool
report_staged(const struct endpoint_report *report, const char *model)
{
	for (guint i = 0; i < report->staged->len; i++) {
		if (strcmp(report->staged->pdata[i], model) == 0)
			return (true);
	}
	return (false);
}

/* Whether a copy is still being made, as far as is known of its host. */
static bool
stage_goes_on(const struct placer_copy *stage, const struct endpoint *ep,
    uint64_t now_ms)
{
	if (ep == NULL || ep->gone || ep->draining || ep->lapsed_ms != 0 ||
	    ep->report.started_ms != stage->started_ms)
		return (false);
	return (now_ms < stage->deadline_ms &&
	    !report_staged(&ep->report, stage->model));
}

/* Gives an order again whose answer was lost. */
static void
stage_again(struct placer *k, const char *host, struct placer_copy *stage,
    uint64_t now_ms)
{
	if (stage->acknowledged || stage->order_pending ||
	    now_ms - stage->ordered_ms < STAGE_AGAIN_MS)
		return;
	stage->ordered_ms = now_ms;
	stage->order_pending = placer_order_stage(k, host, stage->model);
}

/**
 * placer_copies_update() - drop copies that were made or lost, ask again for
 * those whose order may not have arrived.
 * @k: the placer; its lease was checked just before
 * @now_ms: loop time
 */
void
placer_copies_update(struct placer *k, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer host, value;

	g_hash_table_iter_init(&iter, k->copies);
	while (g_hash_table_iter_next(&iter, &host, &value)) {
		struct endpoint *ep = fleet_find(&k->registry->fleet, host);

		if (stage_goes_on(value, ep, now_ms))
			stage_again(k, host, value, now_ms);
		else
			g_hash_table_iter_remove(&iter);
	}
}

/**
 * placer_copy_start() - have a host copy a model beside its work.
 * @k: the placer
 * @host: the host
 * @m: the model
 * @now_ms: loop time
 */
void
placer_copy_start(struct placer *k, const char *host,
    const struct model_profile *m, uint64_t now_ms)
{
	const struct endpoint *ep = fleet_find(&k->registry->fleet, host);
	struct placer_copy *stage = g_new0(struct placer_copy, 1);

	stage->started_ms = ep != NULL ? ep->report.started_ms : 0;
	stage->model = g_strdup(m->name);
	stage->deadline_ms = now_ms + (uint64_t)(STAGE_FACTOR * m->load_ms);
	stage->ordered_ms = now_ms;
	g_hash_table_replace(k->copies, g_strdup(host), stage);
	g_array_append_val(k->load_starts, now_ms);
	stage->order_pending = placer_order_stage(k, host, m->name);
}

/**
 * placer_copy_answered() - a host answered the order to copy, or did not.
 * @k: the placer
 * @host: the host
 * @result: what it said
 *
 * An order that does not fit meets a copy that is being made already.
 */
void
placer_copy_answered(struct placer *k, const char *host,
    enum order_result result)
{
	struct placer_copy *stage = g_hash_table_lookup(k->copies, host);

	if (stage == NULL)
		return;
	stage->order_pending = false;
	if (result == ORDER_ACCEPTED || result == ORDER_BAD_STATE)
		stage->acknowledged = true;
	else if (result != ORDER_UNKNOWN)
		g_hash_table_remove(k->copies, host);
}

/**
 * placer_copying() - the model that is being copied to a host.
 * @k: the placer
 * @host: the host
 *
 * Return: its name, or NULL.
 */
const char *
placer_copying(const struct placer *k, const char *host)
{
	const struct placer_copy *stage = g_hash_table_lookup(k->copies, host);

	return (stage != NULL ? stage->model : NULL);
}

/**
 * placer_loads_available() - loads that may begin now.
 * @k: the placer
 * @e: the engine's profile
 * @now_ms: loop time
 */
unsigned
placer_loads_available(struct placer *k, const struct engine_profile *e,
    uint64_t now_ms)
{
	double most = e->loads_per_s * LOADS_WINDOW_MS / 1000 * LOADS_SHARE;
	unsigned staging = g_hash_table_size(k->copies);

	while (k->load_starts->len > 0 &&
	    now_ms - g_array_index(k->load_starts, uint64_t, 0) >=
		LOADS_WINDOW_MS)
		g_array_remove_index(k->load_starts, 0);
	if (e->loads_per_s <= 0)
		return (LOADS_ANY);
	/* Before the first request loads are quick, don't slow each other down
	 * (40 at once took as long as one) and are not counted. */
	if (!k->served)
		return (LOADS_ANY);
	/* More at once only slow each other down. */
	if (staging >= e->loads_at_once || k->load_starts->len >= most)
		return (0);
	return (MIN(e->loads_at_once - staging,
	    (unsigned)(most - k->load_starts->len)));
}
