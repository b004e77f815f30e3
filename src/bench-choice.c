/*
 * Benchmark choice: the time of one routing choice among 50 replicas, also as a
 * ratio to round robin in the same run, and with 8 threads that read the route
 * set under RCU while it is replaced continuously.
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

/* The route set that reader threads use, replaced by the writer. */
static struct route_set *current_set;
static atomic_bool stop;

/* Creates a set of targets that are valid for the whole run. */
static struct route_set *
set_create(const struct route_policy *policy, struct target **targets)
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

/* Makes one choice for a request with one of 200 prefixes. */
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

/* Returns the time of one choice in ns, the minimum over several runs. */
static double
measure_choice_ns(const struct route_policy *policy, struct target **targets)
{
	struct route_set *set = set_create(policy, targets);
	uint64_t now = clock_now_ms(), start_us, elapsed_us,
		 min_us = UINT64_MAX;

	for (int run = 0; run < RUNS; run++) {
		start_us = clock_now_us();
		for (uint64_t i = 0; i < CHOICES; i++)
			choose(set, i, now);
		elapsed_us = clock_now_us() - start_us;
		if (elapsed_us < min_us)
			min_us = elapsed_us;
	}
	route_set_free(set);
	return ((double)min_us * 1000 / CHOICES);
}

/* Thread that makes choices under RCU and stores the time of one in ns. */
static gpointer
reader(gpointer arg)
{
	uint64_t now = clock_now_ms(), start_us = clock_now_us();
	uint64_t *ns = arg;

	for (uint64_t i = 0; i < CHOICES; i++) {
		rcu_read_lock();
		choose(rcu_dereference(current_set), i, now);
		rcu_read_unlock();
	}
	*ns = (clock_now_us() - start_us) * 1000 / CHOICES;
	return (NULL);
}

/* Thread that replaces the set as fast as grace periods allow. */
static gpointer
writer(gpointer arg)
{
	struct target **targets = arg;
	uint64_t *replaced = g_new0(uint64_t, 1);

	while (!atomic_load(&stop)) {
		struct route_set *old = current_set;

		rcu_assign_pointer(current_set,
		    set_create(&route_prefix_affinity, targets));
		synchronize_rcu();
		route_set_free(old);
		(*replaced)++;
	}
	return (replaced);
}

/* Measures choices by several readers beside the writer. */
static void
run_threads(struct target **targets)
{
	GThread *readers[THREADS], *w;
	uint64_t ns[THREADS], sum = 0;
	g_autofree uint64_t *replaced = NULL;

	current_set = set_create(&route_prefix_affinity, targets);
	w = g_thread_new("writer", writer, targets);
	for (int i = 0; i < THREADS; i++)
		readers[i] = g_thread_new("reader", reader, &ns[i]);
	for (int i = 0; i < THREADS; i++) {
		g_thread_join(readers[i]);
		sum += ns[i];
	}
	atomic_store(&stop, true);
	replaced = g_thread_join(w);
	route_set_free(current_set);
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
	double baseline_ns;

	for (int i = 0; i < REPLICAS; i++) {
		targets[i] =
		    target_create("t", "http://x", "a", (uint64_t)i + 1, 1);
		target_update_evidence(targets[i], now, true, 3600000);
		target_update_load(targets[i], now, (uint32_t)i % 7);
	}
	baseline_ns = measure_choice_ns(&route_round_robin, targets);
	printf("one choice among %d replicas\n", REPLICAS);
	for (size_t i = 0; route_policy_at(i) != NULL; i++) {
		double ns = measure_choice_ns(route_policy_at(i), targets);

		printf("  %-16s %6.0f ns, %.2f of round robin\n",
		    route_policy_at(i)->name, ns, ns / baseline_ns);
	}
	run_threads(targets);
	for (int i = 0; i < REPLICAS; i++)
		target_unref(targets[i]);
	return (0);
}

const struct bench_entry bench_choice_entry = {
	.name = "choice",
	.help = "time of one routing choice, alone and under RCU",
	.exec = bench_choice_exec,
};
