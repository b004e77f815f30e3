/* Copies of models that are being made, and loads that may start. */
#include <string.h>

#include "placer.h"

/* Loads are counted over this period, as the platform counts them. */
#define LOADS_WINDOW_MS 5000
/* Share of the platform's bound on loads that is used. */
#define LOADS_USED_SHARE 0.8
/* Number of loads that may start where none bounds them. */
#define LOADS_UNLIMITED 1000
/*
 * Time allowed for a copy, as a multiple of the load time of the model: copies
 * that are made at the same time slow each other down.
 */
#define COPY_TIME_FACTOR 1.5
/*
 * An order to copy that was not answered is sent again after this time. An
 * answer takes some milliseconds, and a repeated order has no further effect.
 */
#define COPY_RETRY_MS 300

/**
 * placer_copy_free() - free the state of a copy that is being made.
 * @data: the struct placer_copy
 */
void
placer_copy_free(void *data)
{
	struct placer_copy *copy = data;

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
copy_in_progress(const struct placer_copy *copy, const struct endpoint *ep,
    uint64_t now_ms)
{
	if (ep == NULL || ep->gone || ep->draining || ep->lapsed_ms != 0 ||
	    ep->report.started_ms != copy->started_ms)
		return (false);
	return (now_ms < copy->deadline_ms &&
	    !report_has_copy(&ep->report, copy->model));
}

/* Sends an order to copy again if it was not answered. */
static void
copy_retry_order(struct placer *p, const char *host, struct placer_copy *copy,
    uint64_t now_ms)
{
	if (copy->acknowledged || copy->order_pending ||
	    now_ms - copy->ordered_ms < COPY_RETRY_MS)
		return;
	copy->ordered_ms = now_ms;
	copy->order_pending = placer_order_stage(p, host, copy->model);
}

/**
 * placer_copies_update() - drop copies that are complete or lost, and repeat
 * orders that may not have arrived.
 * @p: the placer; its lease was verified just before
 * @now_ms: loop time, in ms
 */
void
placer_copies_update(struct placer *p, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer host, value;

	g_hash_table_iter_init(&iter, p->copies);
	while (g_hash_table_iter_next(&iter, &host, &value)) {
		struct endpoint *ep = fleet_find(&p->registry->fleet, host);

		if (copy_in_progress(value, ep, now_ms))
			copy_retry_order(p, host, value, now_ms);
		else
			g_hash_table_iter_remove(&iter);
	}
}

/**
 * placer_copy_start() - have a host copy a model beside its other work.
 * @p: the placer
 * @host: id of the host
 * @m: the model
 * @now_ms: loop time, in ms
 */
void
placer_copy_start(struct placer *p, const char *host,
    const struct model_profile *m, uint64_t now_ms)
{
	const struct endpoint *ep = fleet_find(&p->registry->fleet, host);
	struct placer_copy *copy = g_new0(struct placer_copy, 1);

	copy->started_ms = ep != NULL ? ep->report.started_ms : 0;
	copy->model = g_strdup(m->name);
	copy->deadline_ms = now_ms + (uint64_t)(COPY_TIME_FACTOR * m->load_ms);
	copy->ordered_ms = now_ms;
	g_hash_table_replace(p->copies, g_strdup(host), copy);
	g_array_append_val(p->load_starts, now_ms);
	copy->order_pending = placer_order_stage(p, host, m->name);
}

/**
 * placer_copy_note_result() - note the result of an order to copy.
 * @p: the placer
 * @host: id of the host
 * @result: result of the order
 *
 * ORDER_BAD_STATE means that the host is making the copy already.
 */
void
placer_copy_note_result(struct placer *p, const char *host,
    enum order_result result)
{
	struct placer_copy *copy = g_hash_table_lookup(p->copies, host);

	if (copy == NULL)
		return;
	copy->order_pending = false;
	if (result == ORDER_ACCEPTED || result == ORDER_BAD_STATE)
		copy->acknowledged = true;
	else if (result != ORDER_UNKNOWN)
		g_hash_table_remove(p->copies, host);
}

/**
 * placer_copying() - the model that is being copied to a host.
 * @p: the placer
 * @host: id of the host
 *
 * Return: name of the model, or NULL.
 */
const char *
placer_copying(const struct placer *p, const char *host)
{
	const struct placer_copy *copy = g_hash_table_lookup(p->copies, host);

	return (copy != NULL ? copy->model : NULL);
}

/* Whether a member still has to be ordered to join, and loads the model from
 * the weight store then. */
static bool
member_will_load(const struct placer *p, const struct replica *r,
    const struct replica_member *m)
{
	const struct endpoint *ep = fleet_find(&p->registry->fleet, m->id);

	return (m->ordered_ms == 0 && ep != NULL &&
	    g_strcmp0(ep->loaded_model, r->model) != 0 &&
	    !report_has_copy(&ep->report, r->model));
}

/* Number of loads by hosts that are planned into replicas and have not been
 * ordered to join yet. */
static unsigned
loads_planned(const struct placer *p)
{
	const struct replica *r;
	unsigned n = 0;

	TAILQ_FOREACH(r, &p->replicas, entry) {
		for (unsigned i = 0; i < r->n && replica_active(r); i++)
			n += member_will_load(p, r, &r->members[i]);
	}
	return (n);
}

/* Number of loads that started within the period of the bound. */
static unsigned
loads_started(struct placer *p, uint64_t now_ms)
{
	while (p->load_starts->len > 0 &&
	    now_ms - g_array_index(p->load_starts, uint64_t, 0) >=
		LOADS_WINDOW_MS)
		g_array_remove_index(p->load_starts, 0);
	return (p->load_starts->len);
}

/* Maximum number of loads that may start within that period. */
static double
loads_max(const struct engine_profile *e)
{
	return (e->loads_per_s * LOADS_WINDOW_MS / 1000 * LOADS_USED_SHARE);
}

/* Whether loads are bounded. Before the first request they are quick, do not
 * slow each other down (40 at once took as long as one) and are not counted. */
static bool
loads_bounded(const struct placer *p, const struct engine_profile *e)
{
	return (p->served && e->loads_per_s > 0);
}

/**
 * placer_join_allowed() - whether a member may be ordered to join now, by the
 * bound on loads from the weight store.
 * @p: the placer
 * @r: the replica
 * @m: its member
 * @now_ms: loop time, in ms
 *
 * The bound is checked again here, since the order may be sent long after the
 * replica was planned, and the first request may have come in between.
 */
bool
placer_join_allowed(struct placer *p, const struct replica *r,
    const struct replica_member *m, uint64_t now_ms)
{
	const struct catalog_service *service =
	    catalog_find_service(p->registry->catalog, r->service);

	if (service == NULL || service->engine == NULL ||
	    !loads_bounded(p, service->engine) || !member_will_load(p, r, m))
		return (true);
	return (loads_started(p, now_ms) < loads_max(service->engine));
}

/**
 * placer_join_note() - count the load of a member that is ordered to join.
 * @p: the placer
 * @r: the replica
 * @m: its member, to which the order has not been sent yet
 * @now_ms: loop time, in ms
 */
void
placer_join_note(struct placer *p, const struct replica *r,
    const struct replica_member *m, uint64_t now_ms)
{
	if (member_will_load(p, r, m))
		g_array_append_val(p->load_starts, now_ms);
}

/**
 * placer_loads_available() - number of loads from the weight store that may
 * start now.
 * @p: the placer
 * @e: the engine profile
 * @now_ms: loop time, in ms
 */
unsigned
placer_loads_available(struct placer *p, const struct engine_profile *e,
    uint64_t now_ms)
{
	unsigned n_copies = g_hash_table_size(p->copies);
	double left;

	if (!loads_bounded(p, e))
		return (LOADS_UNLIMITED);
	left = loads_max(e) - loads_started(p, now_ms) - loads_planned(p);
	/* More loads at once would only slow each other down. */
	if (n_copies >= e->loads_at_once || left <= 0)
		return (0);
	return (MIN(e->loads_at_once - n_copies, (unsigned)left));
}
