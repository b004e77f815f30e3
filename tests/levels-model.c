/*
 * Replays of load beyond the capacity: many daemons that know each other's
 * demand by delayed sums, one pool of replicas, and clients that return once
 * after a refusal.
 */
#include <math.h>
#include <string.h>

#include "levels-model.h"
#include "overload-share.h"
#include "retry-schedule.h"

#define STEP_MS 5
#define SUM_MS 100

#define DURATION_MS 1500.0
#define BASE_MS 150.0
/* First events are later by this for each capacity in use beyond one. */
#define SLOPE_MS 1000.0
#define OBJECTIVE_MS 300.0
#define TIMEOUT_MS 6000.0
#define RETRY_MS 1500.0

static double
draw(struct replay *r)
{
	r->draw ^= r->draw << 13;
	r->draw ^= r->draw >> 17;
	r->draw ^= r->draw << 5;
	return (r->draw / (UINT32_MAX + 1.0));
}

/* Capacity at a time. */
static double
capacity_at(const struct replay *r, double now)
{
	return (
	    r->capacity * (now >= r->cut_from && now < r->cut_to ? r->cut : 1));
}

/* Priority of an attempt: its class, unless classes are customers. */
static int
priority_of(const struct replay *r, const struct attempt *a)
{
	return (r->customers ? 0 : (int)a->class);
}

/* Key of the customer that a class stands for. */
static uint32_t
customer_key(unsigned class)
{
	return (class + 1);
}

static void
count(struct replay *r, const struct attempt *a, enum demand_value what,
    double now)
{
	fwd_demand_count(&r->demand[a->daemon],
	    fwd_demand_key("s", "m", priority_of(r, a)), what, (uint64_t)now);
	if (what == DEMAND_ASKED)
		fwd_demand_count(&r->asked[a->daemon], customer_key(a->class),
		    what, (uint64_t)now);
}

/* Time that a refused client is told. */
static double
retry_ms(struct replay *r, const struct attempt *a, double now)
{
	const struct sum_table *sums = &r->sums[a->daemon % DELAYS];
	struct retry_input in = { .objective_ms = OBJECTIVE_MS,
		.left_ms = a->deadline_ms - now };
	struct fleet_demand d;

	if (!r->schedule)
		return (RETRY_MS * (1 + 0.5 * draw(r)));
	for (int p = 0; p <= priority_of(r, a); p++) {
		fleet_demand_row(sums, "s", "m", p, &d);
		in.due_higher += in.due_same;
		in.due_same = d.due;
	}
	fleet_demand_total(sums, "s", "m", &d);
	in.due = d.due;
	in.asked_per_s = d.asked;
	in.served_per_s = capacity_at(r, now) / DURATION_MS * 1000;
	in.draw = (uint32_t)(draw(r) * UINT32_MAX);
	return ((double)retry_schedule_ms(&in));
}

/* Refuses an attempt; a client returns after its first refusal. */
static void
refuse(struct replay *r, const struct attempt *a, double now)
{
	struct attempt next = *a;
	double left = a->deadline_ms - now;
	double wait = r->immediate ? 20 : retry_ms(r, a, now);

	count(r, a, DEMAND_REFUSED, now);
	if (r->first_refusal == 0)
		r->first_refusal = now;
	r->last_refusal = now;
	if (a->returned) {
		r->tally[a->class].lost++;
		return;
	}
	next.at_ms = now + fmin(wait, left / 3);
	next.returned = true;
	fwd_demand_add_due(&r->demand[a->daemon],
	    fwd_demand_key("s", "m", priority_of(r, a)),
	    (uint64_t)(now + fmin(wait, left / 3)), (uint64_t)now);
	next.recognized = next.at_ms - now > OBJECTIVE_MS;
	next.daemon = (unsigned)(draw(r) * r->n_daemons);
	g_array_append_val(r->returns, next);
}

/* Starts an attempt at a replica. */
static void
start(struct replay *r, const struct attempt *a, double now)
{
	struct tally *t = &r->tally[a->class];
	double used = (r->ends->len + 1) / capacity_at(r, now);
	double end = now + DURATION_MS * fmax(1, used);
	double first = now + BASE_MS + SLOPE_MS * fmax(used - 1, 0);

	g_array_append_val(r->ends, end);
	count(r, a, DEMAND_ADMITTED, now);
	if (first - a->at_ms > OBJECTIVE_MS) {
		count(r, a, DEMAND_LATE, now);
		t->late++;
	} else if (a->returned) {
		t->timely_returned++;
	} else {
		t->timely++;
	}
}

/* Input of the level of a daemon. */
static void
fill_input(const struct replay *r, unsigned daemon, double now,
    struct overload_input *in)
{
	const struct sum_table *sums = &r->sums[daemon % DELAYS];
	struct fleet_demand d;

	memset(in, 0, sizeof *in);
	for (int p = 0; p < FWD_PRIORITIES; p++) {
		fleet_demand_row(sums, "s", "m", p, &d);
		in->asked[p] = d.asked;
	}
	fleet_demand_total(sums, "s", "m", &d);
	in->returned = d.returned;
	in->admitted = d.admitted;
	in->late = d.late;
	in->queued = d.queued;
	in->running = r->loads[LOAD_DELAYS - 1];
	in->capacity = capacity_at(r, now);
	in->slots = in->capacity * r->slots;
	/* A daemon with few requests measures slowly. */
	in->duration_ms = DURATION_MS / 2;
	in->told = true;
}

/* Requests queued before one, as its daemon estimates it. */
static double
ahead_of(const struct replay *r, guint i)
{
	const struct attempt *a = &g_array_index(r->queue, struct attempt, i);
	double own = 0;

	if (r->levels)
		return (i);
	for (guint k = 0; k < i; k++)
		own += g_array_index(r->queue, struct attempt, k).daemon ==
		    a->daemon;
	return (own * r->n_daemons);
}

/* Sends, queues or refuses the queued attempts. */
static void
dispatch(struct replay *r, double now)
{
	double slots = capacity_at(r, now) * r->slots;

	for (guint i = 0; i < r->queue->len;) {
		struct attempt a = g_array_index(r->queue, struct attempt, i);
		double wait =
		    DURATION_MS / fmax(r->ends->len, 1) * (ahead_of(r, i) + 1);

		if (r->ends->len < slots)
			start(r, &a, now);
		else if (now - a.at_ms + wait + (a.recognized ? 0 : BASE_MS) >
		    OBJECTIVE_MS)
			refuse(r, &a, now);
		else {
			i++;
			continue;
		}
		g_array_remove_index(r->queue, i);
	}
}

/* Whether the level of its daemon refuses an attempt. */
static bool
level_refuses(const struct replay *r, const struct attempt *a)
{
	const struct sum_table *sums = &r->customer_sums[a->daemon % DELAYS];
	double refused =
	    overload_level_fraction(&r->level[a->daemon], priority_of(r, a));
	struct overload_share share = { 0 };

	for (uint32_t i = 0; i < sums->n && r->shares; i++)
		overload_share_add(&share, sums->rows[i].key,
		    sums->rows[i].values[0] / 1000.0);
	overload_share_finish(&share, 0);
	refused =
	    overload_share_fraction(&share, customer_key(a->class), refused);
	return (overload_refuses(refused, a->id));
}

/* Takes in an attempt: the level refuses it, or it is queued by priority. */
static void
arrive(struct replay *r, const struct attempt *a, double now)
{
	struct overload_level *level = &r->level[a->daemon];
	guint i = 0;

	if (!a->returned)
		r->tally[a->class].asked++;
	count(r, a, a->recognized ? DEMAND_RETURNED : DEMAND_ASKED, now);
	if (r->levels && overload_level_due(level, (uint64_t)now)) {
		struct overload_input in;

		fill_input(r, a->daemon, now, &in);
		overload_level_update(level, &in, (uint64_t)now);
	}
	if (r->levels && !a->recognized && level_refuses(r, a)) {
		refuse(r, a, now);
		return;
	}
	while (i < r->queue->len &&
	    priority_of(r, &g_array_index(r->queue, struct attempt, i)) <=
		priority_of(r, a))
		i++;
	g_array_insert_val(r->queue, i, *a);
}

/* New requests of a step, and clients that return. */
static void
arrivals(struct replay *r, double now)
{
	for (unsigned c = 0; c < CLASSES; c++) {
		bool burst = c == r->burst_class && now >= r->burst_from &&
		    now < r->burst_to;
		double n = r->rates[c] * (burst ? r->burst_factor : 1) *
		    STEP_MS / 1000;

		if (r->wave_ms > 0)
			n *= 1 + r->wave * sin(2 * G_PI * now / r->wave_ms);

		for (unsigned k = 0; k < n; k++) {
			struct attempt a = { .at_ms = now,
				.deadline_ms = now + TIMEOUT_MS,
				.class = c };

			a.daemon = (unsigned)(draw(r) * r->n_daemons);
			a.id = (uint32_t)(draw(r) * UINT32_MAX);
			if (draw(r) < n - k)
				arrive(r, &a, now);
		}
	}
	for (guint i = 0; i < r->returns->len;) {
		struct attempt a = g_array_index(r->returns, struct attempt, i);

		if (a.at_ms > now) {
			i++;
			continue;
		}
		g_array_remove_index_fast(r->returns, i);
		arrive(r, &a, now);
	}
}

/* Every SUM_MS: the sums and loads move on. */
static void
update_sums(struct replay *r, double now)
{
	struct sum_table own;

	memmove(&r->loads[1], &r->loads[0],
	    sizeof r->loads - sizeof r->loads[0]);
	r->loads[0] = r->ends->len;
	memmove(&r->sums[1], &r->sums[0], sizeof r->sums - sizeof r->sums[0]);
	memmove(&r->customer_sums[1], &r->customer_sums[0],
	    sizeof r->sums - sizeof r->sums[0]);
	r->sums[0].n = 0;
	r->customer_sums[0].n = 0;
	for (unsigned i = 0; i < r->n_daemons; i++)
		fwd_demand_clear_queued(&r->demand[i]);
	for (guint i = 0; i < r->queue->len; i++) {
		const struct attempt *a =
		    &g_array_index(r->queue, struct attempt, i);

		fwd_demand_add_queued(&r->demand[a->daemon],
		    fwd_demand_key("s", "m", priority_of(r, a)), (uint64_t)now);
	}
	for (unsigned i = 0; i < r->n_daemons; i++) {
		fwd_demand_fill(&r->demand[i], &own, (uint64_t)now);
		for (uint32_t k = 0; k < own.n; k++)
			sum_table_add(&r->sums[0], &own.rows[k]);
		fwd_demand_fill_customers(&r->asked[i], &own, (uint64_t)now);
		for (uint32_t k = 0; k < own.n; k++)
			sum_table_add(&r->customer_sums[0], &own.rows[k]);
	}
}

void
replay_run(struct replay *r)
{
	r->demand = g_new0(struct fwd_demand, r->n_daemons);
	r->asked = g_new0(struct fwd_demand, r->n_daemons);
	r->level = g_new0(struct overload_level, r->n_daemons);
	r->ends = g_array_new(FALSE, FALSE, sizeof(double));
	r->queue = g_array_new(FALSE, FALSE, sizeof(struct attempt));
	r->returns = g_array_new(FALSE, FALSE, sizeof(struct attempt));
	r->draw = 2463534242u;
	for (uint64_t ms = 1000; ms < 1000 + r->length_ms; ms += STEP_MS) {
		double now = (double)ms;

		for (guint i = 0; i < r->ends->len;) {
			if (g_array_index(r->ends, double, i) <= now)
				g_array_remove_index_fast(r->ends, i);
			else
				i++;
		}
		arrivals(r, now);
		dispatch(r, now);
		if (ms % SUM_MS == 0)
			update_sums(r, now);
	}
	g_array_unref(r->ends);
	g_array_unref(r->queue);
	g_array_unref(r->returns);
	g_free(r->demand);
	g_free(r->asked);
	g_free(r->level);
}
