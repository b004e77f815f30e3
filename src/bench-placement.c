/*
 * Benchmark placement TRACE...: replays failure traces through the placement
 * policies in virtual time and measures group downtime and stranded
 * accelerators for each policy.
 */
#include <stdio.h>
#include <string.h>

#include "bench-trace.h"
#include "bench.h"
#include "cleanup.h"
#include "place.h"

#define TICK_MS 500
/* A host that has been silent for this long counts as dead. */
#define DEAD_MS 5000
/* A host that left a group or came back without memory is reusable only after
 * this time, when older evidence about it has expired. */
#define EVIDENCE_MS 2500
/* Time to set up a group anew for a host that still has its shard. */
#define REINIT_MS 5000
/* Accelerators of each host. */
#define ACCELERATORS 2
/* A leaving host counts as lost for this long already. */
#define LEAVING_LOST_MS 3600000
/* Length of the arrays of hosts and of groups, of which there is one more. */
#define HOSTS_MAX 64
/* Weights of downtime against stranded time in the two columns of scores. */
#define DOWNTIME_WEIGHT_CARRERA 0.8
#define DOWNTIME_WEIGHT_NITRA 0.2

/*
 * A host in the replay. shard is the rank whose weights it holds, group the
 * index of its group or -1, last_busy_ms the time at which it last came back
 * without memory or left a group.
 */
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
	uint64_t last_busy_ms;
};

/* A group in the replay; an entry that is not active is free. */
struct group_sim {
	bool active;
	int fabric;
	char name[16];
};

/* The replay of one trace with one policy, and what it measures. */
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

/* Whether all hosts of a group are up and ready. */
static bool
group_intact(const struct replay *r, int g)
{
	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		if (h->group == g && (!h->up || !h->ready))
			return (false);
	}
	return (true);
}

/* Marks hosts of a group as not ready; the survivors set it up anew later. */
static void
group_mark_unready(struct replay *r, int g)
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
		h->last_busy_ms = r->now;
		group_mark_unready(r, h->group);
		break;
	case TRACE_RESUME:
		h->up = true;
		break;
	case TRACE_LEAVE:
		h->leaving = true;
		break;
	}
}

/* Returns the number of loads that run or wait for the weight store. */
static int
count_pending_loads(const struct replay *r)
{
	int n = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		n += h->group >= 0 && h->up && !h->ready && h->shard != h->rank;
	}
	return (n);
}

/* Returns the number of loads that a group needs before it is ready. */
static int
group_loads_left(const struct replay *r, int g)
{
	int n = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		n += h->group == g && !h->ready && h->shard != h->rank;
	}
	return (n);
}

/* Whether a host in a group has not started to load its shard or set up. */
static bool
load_not_started(const struct host_sim *h)
{
	return (h->group >= 0 && h->up && !h->ready && !h->loading);
}

/* Starts the load of a shard, or the set-up of a host that has it. */
static void
load_start(struct replay *r, struct host_sim *h)
{
	bool has_shard = h->shard == h->rank;

	r->loads += !has_shard;
	h->loading = true;
	h->load_end_ms = r->now + (has_shard ? REINIT_MS : r->trace->load_ms);
}

/*
 * Returns the host to load next, -1 for none: one of the group with the fewest
 * loads left, as that ends most downtime.
 */
static int
next_load_host(const struct replay *r)
{
	int best = -1, best_left = 0;

	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];
		int left;

		if (!load_not_started(h) || h->shard == h->rank)
			continue;
		left = group_loads_left(r, h->group);
		if (best < 0 || left < best_left) {
			best = i;
			best_left = left;
		}
	}
	return (best);
}

/* Starts and ends loads; the weight store serves a limited number at once. */
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
		if (load_not_started(h) && h->shard == h->rank)
			load_start(r, h);
	}
	while (running < r->trace->parallel && (i = next_load_host(r)) >= 0) {
		load_start(r, &r->hosts[i]);
		running++;
	}
}

static void
view_fill_host(const struct replay *r, int i, const int *view_index,
    struct place_host *out)
{
	const struct host_sim *h = &r->hosts[i];
	uint64_t silent_ms = h->up ? 0 : r->now - h->down_ms;

	out->name = "";
	out->fabric = r->trace->fabric[i];
	out->group = h->group >= 0 ? view_index[h->group] : PLACE_NO_GROUP;
	out->alive = silent_ms < DEAD_MS && !h->leaving;
	out->lost_ms = h->leaving ? LEAVING_LOST_MS :
	    out->alive		  ? 0 :
				    silent_ms;
	out->reusable = out->alive && h->up && h->group < 0 &&
	    r->now >= h->last_busy_ms + EVIDENCE_MS;
	out->shard = h->shard;
}

static void
group_dissolve(struct replay *r, int g)
{
	r->groups[g].active = false;
	for (int i = 0; i < r->trace->n_hosts; i++) {
		struct host_sim *h = &r->hosts[i];

		if (h->group != g)
			continue;
		h->group = -1;
		h->ready = false;
		h->loading = false;
		h->last_busy_ms = r->now;
	}
}

static void
group_form(struct replay *r, const GArray *ranks)
{
	int g = 0;

	while (r->groups[g].active)
		g++;
	r->groups[g].active = true;
	for (guint k = 0; k < ranks->len; k++) {
		int i = g_array_index(ranks, int, k);

		r->hosts[i].group = g;
		r->hosts[i].rank = (int)k;
		r->groups[g].fabric = r->trace->fabric[i];
	}
}

/* Builds the policy's view, plans, and carries out the actions. */
static void
step_policy(struct replay *r)
{
	struct place_host hosts[HOSTS_MAX] = { 0 };
	struct place_group groups[HOSTS_MAX] = { 0 };
	int view_index[HOSTS_MAX] = { 0 }, sim_index[HOSTS_MAX] = { 0 };
	struct place_view view = { 0 };
	g_autoptr(GArray) actions = NULL;

	for (int g = 0; g < r->n_groups; g++) {
		if (!r->groups[g].active)
			continue;
		view_index[g] = view.n_groups;
		sim_index[view.n_groups] = g;
		groups[view.n_groups].name = r->groups[g].name;
		groups[view.n_groups].fabric = r->groups[g].fabric;
		groups[view.n_groups++].intact = group_intact(r, g);
	}
	for (int i = 0; i < r->trace->n_hosts; i++)
		view_fill_host(r, i, view_index, &hosts[i]);
	view.hosts = hosts;
	view.n_hosts = r->trace->n_hosts;
	view.groups = groups;
	view.n_fabrics = r->trace->n_fabrics;
	view.size = r->trace->size;
	view.wanted = r->trace->wanted;
	view.spares = 1;
	view.downtime_weight = r->weight;
	view.load_ms = r->trace->load_ms;
	view.loads_free = r->trace->parallel - count_pending_loads(r);
	actions = place_plan(r->policy, &view);
	for (guint i = 0; i < actions->len; i++) {
		struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_DISSOLVE)
			group_dissolve(r, sim_index[a->group]);
	}
	for (guint i = 0; i < actions->len; i++) {
		struct place_action *a =
		    &g_array_index(actions, struct place_action, i);

		if (a->kind == PLACE_FORM)
			group_form(r, a->hosts);
	}
}

/* Returns the maximum number of replicas that hosts which are up can form. */
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

/* Adds one tick to downtime, unavoidable downtime and stranded time. */
static void
measure_tick(struct replay *r)
{
	int intact = 0, stranded_hosts = 0;

	for (int g = 0; g < r->n_groups; g++)
		intact += r->groups[g].active && group_intact(r, g);
	for (int i = 0; i < r->trace->n_hosts; i++) {
		const struct host_sim *h = &r->hosts[i];

		if (!h->up)
			continue;
		if (h->group >= 0 ? !group_intact(r, h->group) :
				    r->now < h->last_busy_ms + EVIDENCE_MS)
			stranded_hosts++;
	}
	r->unavoidable_s +=
	    MAX(r->trace->wanted - replicas_possible(r), 0) * TICK_MS / 1000.0;
	r->down_s += MAX(r->trace->wanted - intact, 0) * TICK_MS / 1000.0;
	r->stranded_s += stranded_hosts * ACCELERATORS * TICK_MS / 1000.0;
}

/* Replays a trace after a warm-up in which the first groups become intact. */
static void
replay_run(struct replay *r)
{
	const struct trace *t = r->trace;
	uint64_t warmup_ms = t->load_ms * (uint64_t)t->n_hosts + 60000;
	guint next = 0;

	r->hosts = g_new0(struct host_sim, t->n_hosts);
	r->n_groups = t->n_hosts + 1;
	r->groups = g_new0(struct group_sim, r->n_groups);
	for (int i = 0; i < t->n_hosts; i++) {
		r->hosts[i].up = true;
		r->hosts[i].group = -1;
		r->hosts[i].shard = PLACE_NO_SHARD;
	}
	for (r->now = 10000; r->now < warmup_ms + t->end_ms;
	     r->now += TICK_MS) {
		while (next < t->events->len &&
		    g_array_index(t->events, struct trace_event, next).at_ms +
			    warmup_ms <=
			r->now)
			apply_event(r,
			    &g_array_index(t->events, struct trace_event,
				next++));
		step_policy(r);
		step_loads(r);
		if (r->now >= warmup_ms)
			measure_tick(r);
	}
	g_free(r->hosts);
	g_free(r->groups);
}

/* Returns avoidable downtime and stranded time as one figure, in
 * replica-seconds. */
static double
replay_score(const struct replay *r, double weight)
{
	return (weight * (r->down_s - r->unavoidable_s) +
	    (1 - weight) * r->stranded_s / (r->trace->size * ACCELERATORS));
}

/* Sums of the scores over all traces, by policy and downtime weight. */
static double totals[5][2];

/* Replays a trace with a policy at both weights and prints its row. */
static void
run_policy(const struct trace *trace, const char *name, int row)
{
	const double weights[] = { DOWNTIME_WEIGHT_CARRERA,
		DOWNTIME_WEIGHT_NITRA };

	printf("  %-10s", name);
	for (int k = 0; k < 2; k++) {
		struct replay r = { .trace = trace,
			.policy = place_policy_find(name),
			.weight = weights[k] };

		replay_run(&r);
		if (k == 0 || strcmp(name, "weighted") == 0)
			printf(" %9.0f %10.0f %6u", r.down_s, r.stranded_s,
			    r.loads);
		totals[row][k] += replay_score(&r, weights[k]);
		printf(" %9.0f", replay_score(&r, weights[k]));
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
	    DOWNTIME_WEIGHT_CARRERA, DOWNTIME_WEIGHT_NITRA);
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
