/*
 * bench choice: what one routing choice among 50 replicas costs, as a ratio to
 * round robin in the same run, and with 8 threads reading under RCU while the
 * set is replaced all the time.
 */
#include <stdio.h>
#include <urcu-bp.h>

#include "bench.h"
#include "clock.h"
#include "resource.h"
#include "route-set.h"

#define REPLICAS 50
#define CHOICES 400000
#define THREADS 8
#define RUNS 5

static struct route_set *shared;
static atomic_bool stop;

/* A set of REPLICAS targets that are valid for the whole run. */
static struct route_set *
set_make(const struct route_policy *policy, struct target **targets)
{
	json_auto_t *spec = json_pack("{s:{s:i}}", "split", policy->name, 100);
	json_auto_t *none = json_object();
	struct resource *routing = resource_create("routing", "r", 1, spec);
	struct resource *res = resource_create("deployment", "d", 2, none);
	struct route_set *set = route_set_create(res, routing, "a", 9);

	for (int i = 0; i < REPLICAS; i++)
		g_ptr_array_add(set->targets, target_ref(targets[i]));
	resource_free(routing);
	resource_free(res);
	return (set);
}

static void
choose(struct route_set *set, uint64_t i, uint64_t now)
{
	struct route_request req = { .prefix = route_mix(i % 200) | 1,
		.random = route_mix(i) };
	const struct route_policy *policy;
	struct target *target;

	target = route_set_choose(set, &req, NULL, now, &policy);
	if (target != NULL)
		target_unref(target);
}

/* Nanoseconds of one choice, the least of several runs. */
static double
cost_ns(const struct route_policy *policy, struct target **targets)
{
	struct route_set *set = set_make(policy, targets);
	uint64_t now = clock_now_ms(), began, took, least = UINT64_MAX;

	for (int run = 0; run < RUNS; run++) {
		began = clock_now_us();
		for (uint64_t i = 0; i < CHOICES; i++)
			choose(set, i, now);
		took = clock_now_us() - began;
		if (took < least)
			least = took;
	}
	route_set_free(set);
	return ((double)least * 1000 / CHOICES);
}

static gpointer
reader(gpointer arg)
{
	uint64_t now = clock_now_ms(), began = clock_now_us();
	uint64_t *ns = arg;

	for (uint64_t i = 0; i < CHOICES; i++) {
		rcu_read_lock();
		choose(rcu_dereference(shared), i, now);
		rcu_read_unlock();
	}
	*ns = (clock_now_us() - began) * 1000 / CHOICES;
	return (NULL);
}

/* Replaces the set as fast as the readers let it. */
static gpointer
writer(gpointer arg)
{
	struct target **targets = arg;
	uint64_t *replaced = g_new0(uint64_t, 1);

	while (!atomic_load(&stop)) {
		struct route_set *old = shared;

		rcu_assign_pointer(shared,
		    set_make(&route_prefix_affinity, targets));
		synchronize_rcu();
		route_set_free(old);
		(*replaced)++;
	}
	return (replaced);
}

static void
run_threads(struct target **targets)
{
	GThread *readers[THREADS], *w;
	uint64_t ns[THREADS], sum = 0;
	g_autofree uint64_t *replaced = NULL;

	shared = set_make(&route_prefix_affinity, targets);
	w = g_thread_new("writer", writer, targets);
	for (int i = 0; i < THREADS; i++)
		readers[i] = g_thread_new("reader", reader, &ns[i]);
	for (int i = 0; i < THREADS; i++) {
		g_thread_join(readers[i]);
		sum += ns[i];
	}
	atomic_store(&stop, true);
	replaced = g_thread_join(w);
	route_set_free(shared);
	printf("%d threads under RCU, set replaced %llu times: %llu ns a "
	       "choice and thread\n",
	    THREADS, (unsigned long long)*replaced,
	    (unsigned long long)(sum / THREADS));
}

static int
bench_choice_exec(int argc, const char **argv)
{
	struct target *targets[REPLICAS];
	uint64_t now = clock_now_ms();
	double base;

	for (int i = 0; i < REPLICAS; i++) {
		targets[i] =
		    target_create("t", "http://x", "a", (uint64_t)i + 1, 1);
		target_update_evidence(targets[i], now, true, 3600000);
		target_update_load(targets[i], now, (uint32_t)i % 7);
	}
	base = cost_ns(&route_round_robin, targets);
	printf("one choice among %d replicas\n", REPLICAS);
	for (size_t i = 0; route_policy_at(i) != NULL; i++) {
		double ns = cost_ns(route_policy_at(i), targets);

		printf("  %-16s %6.0f ns, %.2f of round robin\n",
		    route_policy_at(i)->name, ns, ns / base);
	}
	run_threads(targets);
	for (int i = 0; i < REPLICAS; i++)
		target_unref(targets[i]);
	return (0);
}

const struct bench_entry bench_choice_entry = {
	.name = "choice",
	.help = "cost of one routing choice, alone and under RCU",
	.exec = bench_choice_exec,
};
