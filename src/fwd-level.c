/* Levels of the proxy: one for each service and model with requests. */
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "event-log.h"
#include "fwd-admission.h"
#include "fwd-exchange.h"
#include "overload-capacity.h"
#include "retry-schedule.h"

/* A level without requests is dropped after this time. */
#define UNUSED_MS 10000
/* A change of the level by this much is logged, once in this time. */
#define LOGGED_CHANGE 0.25
#define LOGGED_INTERVAL_MS 1000
/* Value of a level that refuses nothing. */
#define LEVEL_OPEN ((double)FWD_PRIORITIES)

/* The level as one number: the priority from which on first attempts are
 * refused, plus the fraction of that priority that is not. */
static double
level_value(const struct overload_level *level)
{
	if (level->updated_ms == 0 || level->priority == FWD_PRIORITIES)
		return (LEVEL_OPEN);
	return (level->priority + 1 - level->fraction);
}

static const char *
exchange_model(const struct fwd_exchange *ex)
{
	return (ex->model != NULL ? ex->model->name : NULL);
}

/* Finds the level of an exchange; NULL if there is none. */
static struct fwd_level *
level_find(const struct fwd_exchange *ex)
{
	struct fwd_level *l;

	TAILQ_FOREACH(l, &ex->fwd->levels, entry) {
		if (strcmp(l->service, ex->service) == 0 &&
		    g_strcmp0(l->model, exchange_model(ex)) == 0)
			break;
	}
	return (l);
}

static struct fwd_level *
level_create(struct fwd_exchange *ex)
{
	struct fwd_level *l = g_new0(struct fwd_level, 1);

	l->service = g_strdup(ex->service);
	l->model = g_strdup(exchange_model(ex));
	l->logged = LEVEL_OPEN;
	TAILQ_INSERT_TAIL(&ex->fwd->levels, l, entry);
	return (l);
}

static void
level_free(struct fwd *fwd, struct fwd_level *l)
{
	TAILQ_REMOVE(&fwd->levels, l, entry);
	g_free(l->service);
	g_free(l->model);
	g_free(l);
}

/* Whether the settings call for levels to be computed. */
static bool
levels_used(const struct fwd *fwd)
{
	return (fwd->set.overload_levels || fwd->set.retry_schedule);
}

/**
 * fwd_level_note() - note a request that has arrived, with its objective.
 * @ex: the exchange
 */
void
fwd_level_note(struct fwd_exchange *ex)
{
	double objective = (double)ex->route->objective_ms;
	struct fwd_level *l;

	if (!levels_used(ex->fwd))
		return;
	l = level_find(ex);
	if (l == NULL)
		l = level_create(ex);
	if (l->used_ms == 0 || l->version != ex->catalog->version)
		l->objective_ms = objective;
	l->objective_ms = MIN(l->objective_ms, objective);
	l->version = ex->catalog->version;
	l->used_ms = ex->arrived_ms;
}

/* Whether a level is recent enough to decide by. */
static bool
level_current(const struct fwd_level *l, uint64_t now_ms)
{
	return (l != NULL && l->level.updated_ms != 0 &&
	    now_ms - l->level.updated_ms <= OVERLOAD_HOLD_MS);
}

/**
 * fwd_level_refuses() - whether the level refuses a request that has arrived.
 * @ex: the exchange, which was not queued or sent yet
 * @choice: the endpoint chosen for it
 *
 * Only first attempts are refused, and none while an endpoint with a low load
 * was found for it.
 */
bool
fwd_level_refuses(const struct fwd_exchange *ex,
    const struct fwd_choice *choice)
{
	const struct fwd_level *l = level_find(ex);
	double fraction;

	if (!ex->fwd->set.overload_levels || ex->resubmitted ||
	    ex->last_event >= 0 || !level_current(l, ex->arrived_ms) ||
	    (choice->endpoint != NULL && choice->load < FWD_BUSY_LOAD))
		return (false);
	fraction = overload_level_fraction(&l->level, ex->priority);
	return (overload_refuses(fwd_share_fraction(ex, l, fraction),
	    XXH32(ex->id, strlen(ex->id), 0)));
}

/* Time until the first slot is free, or the first replica serves. */
static double
capacity_ms(const struct fwd_admission *a)
{
	const struct fwd_choice *choice = a->choice;
	const struct fwd_criteria *criteria = a->criteria;

	if (choice->known == 0 && criteria->model != NULL)
		return (criteria->model->warm_ms + criteria->engine->form_ms);
	if (choice->endpoint != NULL || choice->running <= 0)
		return (0);
	return (a->duration_ms / choice->running * (a->ahead + 1));
}

/**
 * fwd_level_retry_ms() - time after which a refused client should return.
 * @ex: the exchange
 * @a: the request and the endpoints' state
 *
 * Endpoints that ask for a backoff or name a rate limit tell themselves when
 * they have capacity.
 */
int64_t
fwd_level_retry_ms(const struct fwd_exchange *ex, const struct fwd_admission *a)
{
	const struct fwd_level *l = level_find(ex);
	struct retry_input in = { .objective_ms = a->objective_ms,
		.left_ms = a->left_ms,
		.draw = a->draw };

	if (!ex->fwd->set.retry_schedule ||
	    !level_current(l, a->criteria->now_ms) ||
	    fwd_choice_only_limited(a->choice) ||
	    fwd_choice_all_unavailable(a->choice))
		return (fwd_admission_retry_ms(a));
	in.asked_per_s = l->asked_per_s;
	in.served_per_s = l->served_per_s;
	in.capacity_ms = capacity_ms(a);
	for (int p = 0; p < FWD_PRIORITIES; p++) {
		in.due += l->due[p];
		in.due_higher += p < ex->priority ? l->due[p] : 0;
	}
	in.due_same = l->due[ex->priority];
	return (retry_schedule_ms(&in));
}

/* Fills in what the sums tell of a service and model. */
static void
input_fill_demand(struct fwd_level *l, const struct fleet_sums *sums,
    struct overload_input *in)
{
	const struct sum_table *table = &sums->total[SUM_DEMAND];
	struct fleet_demand d;

	for (int p = 0; p < FWD_PRIORITIES; p++) {
		fleet_demand_row(table, l->service, l->model, p, &d);
		in->asked[p] = d.asked;
		l->due[p] = d.due;
	}
	fleet_demand_total(table, l->service, l->model, &d);
	in->returned = d.returned;
	in->admitted = d.admitted;
	in->late = d.late;
	in->queued = d.queued;
	in->told = sums->told;
	l->asked_per_s = d.asked;
}

/* Fills in the capacity. Returns false if the configuration has no such service
 * or model any more. */
static bool
input_fill_capacity(const struct fwd *fwd, const struct fwd_level *l,
    uint64_t now_ms, struct overload_input *in)
{
	const struct catalog_service *service =
	    catalog_find_service(fwd->registry->catalog, l->service);
	const struct fwd_estimate *estimate =
	    g_hash_table_lookup(fwd->estimates,
		l->model != NULL ? l->model : l->service);
	struct fwd_criteria criteria = { .service = l->service,
		.now_ms = now_ms };
	struct overload_capacity capacity;

	if (l->model != NULL) {
		criteria.engine = service != NULL ? service->engine : NULL;
		if (criteria.engine == NULL)
			return (false);
		criteria.model = engine_find_model(criteria.engine, l->model);
		if (criteria.model == NULL)
			return (false);
	}
	if (estimate != NULL) {
		criteria.overhead_ms = estimate->overhead_ms;
		in->duration_ms = estimate->duration_ms;
	}
	overload_capacity_measure(&fwd->registry->fleet, &criteria,
	    l->objective_ms,
	    l->level.duration_ms > 0 ? l->level.duration_ms : in->duration_ms,
	    &capacity);
	in->running = capacity.running;
	in->capacity = capacity.in_time;
	in->slots = capacity.slots;
	return (true);
}

/* Logs a change of a level, unless the last line is too recent. */
static void
level_log(struct fwd_level *l, uint64_t now_ms)
{
	double value = level_value(&l->level);

	if (fabs(value - l->logged) < LOGGED_CHANGE ||
	    now_ms - l->logged_ms < LOGGED_INTERVAL_MS)
		return;
	l->logged = value;
	l->logged_ms = now_ms;
	event_log(LOG_NOTICE, "level_changed",
	    "service=%s model=%s priority=%d fraction=%.2f asked=%.1f "
	    "room=%.1f",
	    l->service, l->model != NULL ? l->model : "-", l->level.priority,
	    l->level.fraction, l->asked_per_s, l->level.room_per_s);
}

static void
level_update(struct fwd *fwd, struct fwd_level *l, uint64_t now_ms)
{
	struct overload_input in = { 0 };

	if (now_ms - l->used_ms > UNUSED_MS ||
	    !input_fill_capacity(fwd, l, now_ms, &in)) {
		level_free(fwd, l);
		return;
	}
	input_fill_demand(l, &fwd->registry->sums, &in);
	overload_level_update(&l->level, &in, now_ms);
	fwd_share_update(fwd, l, now_ms);
	l->served_per_s = l->level.room_per_s + in.returned;
	if (fwd->set.overload_levels)
		level_log(l, now_ms);
}

/**
 * fwd_level_update_all() - update the levels that are due.
 * @fwd: the proxy
 * @now_ms: loop time
 */
void
fwd_level_update_all(struct fwd *fwd, uint64_t now_ms)
{
	struct fwd_level *l, *next;

	if (fwd->registry->catalog == NULL)
		return;
	for (l = TAILQ_FIRST(&fwd->levels); l != NULL; l = next) {
		next = TAILQ_NEXT(l, entry);
		if (!levels_used(fwd))
			level_free(fwd, l);
		else if (overload_level_due(&l->level, now_ms))
			level_update(fwd, l, now_ms);
	}
}

/* Clients of a service, of all its models, that are to return. */
static double
service_due(const struct fwd *fwd, const char *service)
{
	const struct fwd_level *l;
	double due = 0;

	TAILQ_FOREACH(l, &fwd->levels, entry) {
		for (int p = 0; p < FWD_PRIORITIES; p++)
			due += strcmp(l->service, service) == 0 ? l->due[p] : 0;
	}
	return (due);
}

/**
 * fwd_level_first() - whether no level before this one is of the same service.
 * @fwd: the proxy
 * @l: the level
 */
bool
fwd_level_first(const struct fwd *fwd, const struct fwd_level *l)
{
	const struct fwd_level *other = TAILQ_FIRST(&fwd->levels);

	while (strcmp(other->service, l->service) != 0)
		other = TAILQ_NEXT(other, entry);
	return (other == l);
}

/**
 * fwd_level_print() - append the levels in the text format of metrics.
 * @fwd: the proxy
 * @out: text to append to
 */
void
fwd_level_print(const struct fwd *fwd, GString *out)
{
	const struct fwd_level *l = TAILQ_FIRST(&fwd->levels);

	for (; l != NULL; l = TAILQ_NEXT(l, entry)) {
		const char *model = l->model != NULL ? l->model : "";

		g_string_append_printf(out,
		    "banklift_level{service=\"%s\",model=\"%s\"} %.3f\n",
		    l->service, model, level_value(&l->level));
		if (isfinite(l->level.room_per_s))
			g_string_append_printf(out,
			    "banklift_room{service=\"%s\",model=\"%s\"} %.1f\n",
			    l->service, model, l->level.room_per_s);
		if (fwd_level_first(fwd, l))
			g_string_append_printf(out,
			    "banklift_told_to_return{service=\"%s\"} %.0f\n",
			    l->service, service_due(fwd, l->service));
	}
}
