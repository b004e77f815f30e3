/*
 * bench placement TRACE...: replays failure traces through the placement
 * policies in virtual time, and counts group downtime and stranded
 * accelerators for each.
 */
#include <stdio.h>
#include <string.h>

#include "bench-trace.h"
#include "bench.h"
#include "cleanup.h"
#include "place.h"

#define TICK_MS 500
#define DEAD_MS 5000
#define EVIDENCE_MS 2500
/* A host that keeps its shard only sets its group up anew. */
#define REINIT_MS 5000
#define ACCELERATORS 2
#define LEFT_MS 3600000
#define HOSTS_MAX 64
#define CARRERA_WEIGHT 0.8
#define NITRA_WEIGHT 0.2

/* A host in the replay. */
struct host_sim {
	bool up;
	bool leaving;
	uint64_t down_ms;
	int shard;
	int group;
	int rank;
	bool ready;
	bool loading;
	uint64_t load_end_ms;
	uint64_t busy_ms;
};

/* A group in the replay; a free slot has no name. */
struct group_sim {
	bool live;
	int fabric;
	char name[16];
};

struct replay {
	const struct trace *trace;
	const struct place_policy *policy;
	double weight;
	uint64_t now;
	struct host_sim *hosts;
	struct group_sim *groups;
	int n_groups;
	double down_s;
	double unavoidable_s;
	double stranded_s;
	unsigned loads;
};

static bool
group_whole(const struct replay *r, int g)
{
	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		if (h->group == g && (!h->up || !h->ready))
			return (false);
	}
	return (true);
}

/* What a loss does to the group: the survivors set it up anew later. */
static void
group_disturb(struct replay *r, int g)
{
	for (int i = 0; g >= 0 && i < r->trace->n_hosts; i++) {
		if (r->hosts[i].group == g)
			r->hosts[i].ready = false;
	}
}

static void
apply_event(struct replay *r, const struct trace_event *e)
{
	struct host_sim *h = &r->hosts[e->host];

	switch (e->kind) {
	case TRACE_DOWN:
		h->up = false;
		h->down_ms = r->now;
		h->loading = false;
		break;
	case TRACE_UP:
		h->up = true;
		h->leaving = false;
		h->shard = PLACE_NO_SHARD;
		h->busy_ms = r->now;
		group_disturb(r, h->group);
		break;
	case TRACE_RESUME:
		h->up = true;
		break;
	case TRACE_LEAVE:
		h->leaving = true;
		break;
	}
}

/* Loads that run or wait for the weight store. */
static int
loads_due(const struct replay *r)
{
	int n = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		n += h->group >= 0 && h->up && !h->ready && h->shard != h->rank;
	}
	return (n);
}

/* Loads that a group still has to begin. */
static int
repair_loads_left(const struct replay *r, int g)
{
	int n = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		n += h->group == g && !h->ready && h->shard != h->rank;
	}
	return (n);
}

/* Whether a host of a group has yet to begin to load or to set up. */
static bool
load_due(const struct host_sim *h)
{
	return (h->group >= 0 && h->up && !h->ready && !h->loading);
}

static void
load_start(struct replay *r, struct host_sim *h)
{
	bool keeps = h->shard == h->rank;

	r->loads += !keeps;
	h->loading = true;
	h->load_end_ms = r->now + (keeps ? REINIT_MS : r->trace->load_ms);
}

/* The host whose load ends most downtime: of the group with the fewest left. */
static int
next_load(const struct replay *r)
{
	int best = -1, best_left = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];
		int left;

		if (!load_due(h) || h->shard == h->rank)
			continue;
		left = repair_loads_left(r, h->group);
		if (best < 0 || left < best_left) {
			best = i;
			best_left = left;
		}
	}
	return (best);
}

/* Starts and ends loads; the weight store serves a few at once. */
static void
step_loads(struct replay *r)
{
	int running = 0, i;

	for (i = 0; i < r->trace->n_hosts; i++) {
		struct host_sim *h = &r->hosts[i];

		if (h->loading && r->now >= h->load_end_ms) {
			h->loading = false;
			h->ready = true;
			h->shard = h->rank;
		}
		running += h->loading && h->shard != h->rank;
		if (load_due(h) && h->shard == h->rank)
			load_start(r, h);
	}
	while (running < r->trace->parallel && (i = next_load(r)) >= 0) {
		load_start(r, &r->hosts[i]);
		running++;
	}
}

static void
fill_host(const struct replay *r, int i, const int *index,
    struct place_host *out)
{
	const struct host_sim *h = &r->hosts[i];
	uint64_t silent = h->up ? 0 : r->now - h->down_ms;

	out->name = "";
	out->fabric = r->trace->fabric[i];
	out->group = h->group >= 0 ? index[h->group] : PLACE_NO_GROUP;
	out->alive = silent < DEAD_MS && !h->leaving;
	out->lost_ms = h->leaving ? LEFT_MS : out->alive ? 0 : silent;
	out->reusable = out->alive && h->up && h->group < 0 &&
	    r->now >= h->busy_ms + EVIDENCE_MS;
	out->shard = h->shard;
}

static void
dissolve(struct replay *r, int g)
{
	r->groups[g].live = false;
	for (int i = 0; i < r->trace->n_hosts; i++) {
		struct host_sim *h = &r->hosts[i];

		if (h->group != g)
			continue;
		h->group = -1;
		h->ready = false;
		h->loading = false;
		h->busy_ms = r->now;
	}
}

static void
form(struct replay *r, const GArray *ranks)
{
	int g = 0;

	while (r->groups[g].live)
		g++;
	r->groups[g].live = true;
	for (guint k = 0; k < ranks->len; k++) {
		int i = g_array_index(ranks, int, k);

		r->hosts[i].group = g;
		r->hosts[i].rank = (int)k;
		r->groups[g].fabric = r->trace->fabric[i];
	}
}

/* Makes the policy's view, asks it, and carries its actions out. */
static void
step_policy(struct replay *r)
{
	struct place_host hosts[HOSTS_MAX] = { 0 };
	struct place_group groups[HOSTS_MAX] = { 0 };
	int index[HOSTS_MAX] = { 0 }, back[HOSTS_MAX] = { 0 };
	struct place_view view = { 0 };
	g_autoptr(GArray) actions = NULL;

	for (int g = 0; g < r->n_groups; g++) {
		if (!r->groups[g].live)
			continue;
		index[g] = view.n_groups;
		back[view.n_groups] = g;
		groups[view.n_groups].name = r->groups[g].name;
		groups[view.n_groups].fabric = r->groups[g].fabric;
		groups[view.n_groups++].intact = group_whole(r, g);
	}
	for (int i = 0; i < r->trace->n_hosts; i++)
		fill_host(r, i, index, &hosts[i]);
	view.hosts = hosts;
	view.n_hosts = r->trace->n_hosts;
	view.groups = groups;
	view.n_fabrics = r->trace->n_fabrics;
	view.size = r->trace->size;
	view.wanted = r->trace->wanted;
	view.spares = 1;
	view.downtime_weight = r->weight;
	view.load_ms = r->trace->load_ms;
	view.loads_free = r->trace->parallel - loads_due(r);
	actions = place_plan(r->policy, &view);
	for (guint i = 0; i < actions->len; i++) {
		struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_DISSOLVE)
			dissolve(r, back[a->group]);
	}
	for (guint i = 0; i < actions->len; i++) {
		struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_FORM)
			form(r, a->hosts);
	}
}

/* Replicas that the hosts which are up could hold at best. */
static int
replicas_possible(const struct replay *r)
{
	int n = 0;

	for (int f = 0; f < r->trace->n_fabrics; f++) {
		int up = 0;

		for (int i = 0; i < r->trace->n_hosts; i++)
			up += r->trace->fabric[i] == f && r->hosts[i].up;
		n += up / r->trace->size;
	}
	return (n);
}

/* Adds the time of one tick to the measures. */
static void
count(struct replay *r)
{
	int whole = 0, held = 0;

	for (int g = 0; g < r->n_groups; g++)
		whole += r->groups[g].live && group_whole(r, g);
	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		if (!h->up)
			continue;
		if (h->group >= 0 ? !group_whole(r, h->group) :
				    r->now < h->busy_ms + EVIDENCE_MS)
			held++;
	}
	r->unavoidable_s +=
	    MAX(r->trace->wanted - replicas_possible(r), 0) * TICK_MS / 1000.0;
	r->down_s += MAX(r->trace->wanted - whole, 0) * TICK_MS / 1000.0;
	r->stranded_s += held * ACCELERATORS * TICK_MS / 1000.0;
}

/* Replays a trace; the first groups are whole before counting begins. */
static void
run(struct replay *r)
{
	const struct trace *t = r->trace;
	uint64_t warm = t->load_ms * (uint64_t)t->n_hosts + 60000;
	guint next = 0;

	r->hosts = g_new0(struct host_sim, t->n_hosts);
	r->n_groups = t->n_hosts + 1;
	r->groups = g_new0(struct group_sim, r->n_groups);
	for (int i = 0; i < t->n_hosts; i++) {
		r->hosts[i].up = true;
		r->hosts[i].group = -1;
		r->hosts[i].shard = PLACE_NO_SHARD;
	}
	for (r->now = 10000; r->now < warm + t->end_ms; r->now += TICK_MS) {
		while (next < t->events->len &&
		    g_array_index(t->events, struct trace_event, next).at_ms +
			    warm <=
			r->now)
			apply_event(r,
			    &g_array_index(t->events, struct trace_event,
				next++));
		step_policy(r);
		step_loads(r);
		if (r->now >= warm)
			count(r);
	}
	g_free(r->hosts);
	g_free(r->groups);
}

/* Avoidable downtime and stranded time as one figure, in replica-seconds. */
static double
score(const struct replay *r, double weight)
{
	return (weight * (r->down_s - r->unavoidable_s) +
	    (1 - weight) * r->stranded_s / (r->trace->size * ACCELERATORS));
}

static double totals[5][2];

static void
run_policy(const struct trace *trace, const char *name, int row)
{
	const double weights[] = { CARRERA_WEIGHT, NITRA_WEIGHT };

	printf("  %-10s", name);
	for (int k = 0; k < 2; k++) {
		struct replay r = { .trace = trace,
			.policy = place_policy_find(name),
			.weight = weights[k] };

		run(&r);
		if (k == 0 || strcmp(name, "weighted") == 0)
			printf(" %9.0f %10.0f %6u", r.down_s, r.stranded_s,
			    r.loads);
		totals[row][k] += score(&r, weights[k]);
		printf(" %9.0f", score(&r, weights[k]));
	}
	putchar('\n');
}

static int
bench_placement_exec(int argc, const char **argv)
{
	static const char *const names[] = { "replace", "reform", "spare",
		"weighted" };

	printf("downtime: seconds x replicas short of the wanted count; "
	       "stranded: accelerator-seconds;\nloads: shards from the weight "
	       "store; score: replica-seconds at downtime weight %g and %g\n",
	    CARRERA_WEIGHT, NITRA_WEIGHT);
	for (int i = 0; i < argc; i++) {
		CLEANUP(trace_clear) struct trace trace;
		g_autoptr(GError) error = NULL;

		if (!trace_read(&trace, argv[i], &error)) {
			fprintf(stderr, "banklift-bench: %s\n", error->message);
			return (1);
		}
		if (trace.n_hosts >= HOSTS_MAX) {
			fprintf(stderr, "banklift-bench: too many hosts\n");
			return (1);
		}
		printf("%s\n", argv[i]);
		printf("  %-10s %9s %10s %6s %9s %9s\n", "policy", "downtime",
		    "stranded", "loads", "Carrera", "Nitra");
		for (int k = 0; k < 4; k++)
			run_policy(&trace, names[k], k);
	}
	printf("all traces: score for Carrera, for Nitra\n");
	for (int k = 0; k < 4; k++)
		printf("  %-10s %9.0f %9.0f\n", names[k], totals[k][0],
		    totals[k][1]);
	return (0);
}

const struct bench_entry bench_placement_entry = {
	.name = "placement",
	.help = "TRACE...: group downtime and stranded accelerators",
	.exec = bench_placement_exec,
};
