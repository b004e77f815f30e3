/*
 * bench routing TRACE: replays a trace of prompts through the routing policies
 * in virtual time. Several daemons choose at once without knowing each other's
 * work; load reports lag; one replica is a straggler. The engines are a model:
 * one prefill at a time, decoding that slows with the batch, and a prefix
 * cache of limited size.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "target.h"

#define DAEMONS 9
#define ENGINES 12
#define STEP_US 2000
#define REPORT_US 500000
#define REPORT_LAG_US 300000
/* The engine's model: tokens a second of prefill; microseconds a token. */
#define PREFILL_PER_S 8000
#define TOKEN_BASE_US 12000
#define TOKEN_BATCH_US 350
#define BATCH_MAX 64
#define CACHE_PREFIXES 24
#define STRAGGLER 5
#define STRAGGLER_FACTOR 3
/* What the engines can bear, in requests a second; see the calibration. */
#define CAPACITY 130.0

struct prompt {
	uint64_t at_us;
	int daemon;
	int prefix;
	int shared;
	int own;
	int answer;
	int engine;
	double prefill_left;
	double credit_us;
	int given;
	uint64_t first_us;
	uint64_t last_us;
	bool cached;
};

struct engine {
	GPtrArray *waiting;
	GPtrArray *running;
	int cache[CACHE_PREFIXES];
	uint64_t used_us[CACHE_PREFIXES];
	int speed;
	uint32_t report;
};

struct replay {
	struct engine engines[ENGINES];
	struct target *targets[DAEMONS][ENGINES];
	uint64_t medians[DAEMONS];
	uint64_t sequence[DAEMONS];
	uint64_t rng;
	uint64_t now_us;
	const struct route_policy *policy;
	GArray *first, *gap;
	unsigned hits, done;
};

static GArray *
prompts_read(const char *path)
{
	GArray *prompts = g_array_new(FALSE, TRUE, sizeof(struct prompt));
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return (prompts);
	lines = g_strsplit(text, "\n", -1);
	for (unsigned i = 0; lines[i] != NULL; i++) {
		struct prompt p = { 0 };
		long ms;

		if (sscanf(lines[i], "%ld,%d,%d,%d,%d,%d", &ms, &p.daemon,
			&p.prefix, &p.shared, &p.own, &p.answer) != 6)
			continue;
		p.at_us = (uint64_t)ms * 1000;
		g_array_append_val(prompts, p);
	}
	return (prompts);
}

/* Looks a prefix up in an engine's cache, and puts it there. */
static bool
cache_use(struct engine *e, int prefix, uint64_t now)
{
	int oldest = 0;

	for (int i = 0; i < CACHE_PREFIXES; i++) {
		if (e->cache[i] == prefix) {
			e->used_us[i] = now;
			return (true);
		}
		if (e->used_us[i] < e->used_us[oldest])
			oldest = i;
	}
	e->cache[oldest] = prefix;
	e->used_us[oldest] = now;
	return (false);
}

static int
choose(struct replay *r, const struct prompt *p)
{
	struct route_candidate c[ENGINES];
	struct route_request req = { 0 };

	r->rng = route_mix(r->rng);
	req.random = r->rng;
	req.daemons = DAEMONS;
	req.sequence = r->sequence[p->daemon]++;
	req.prefix = route_mix((uint64_t)p->prefix) | 1;
	for (int i = 0; i < ENGINES; i++)
		target_candidate(r->targets[p->daemon][i], r->now_us / 1000,
		    r->medians[p->daemon], &c[i]);
	return (r->policy->choose(&req, c, ENGINES));
}

static void
arrive(struct replay *r, struct prompt *p)
{
	struct engine *e;

	p->engine = choose(r, p);
	e = &r->engines[p->engine];
	atomic_fetch_add(&r->targets[p->daemon][p->engine]->inflight, 1);
	p->prefill_left = -1;
	g_ptr_array_add(e->waiting, p);
}

static void
first_token(struct replay *r, struct prompt *p)
{
	uint64_t took = r->now_us - p->at_us;

	p->first_us = p->last_us = r->now_us;
	p->given = 1;
	g_array_append_val(r->first, took);
	target_note_success(r->targets[p->daemon][p->engine], took,
	    r->now_us / 1000);
}

static void
finish(struct replay *r, struct prompt *p)
{
	atomic_fetch_sub(&r->targets[p->daemon][p->engine]->inflight, 1);
	r->done++;
}

/* The prompt at the head of the queue is prefilled, one at a time. */
static void
step_prefill(struct replay *r, struct engine *e)
{
	struct prompt *p;

	if (e->waiting->len == 0 || e->running->len >= BATCH_MAX)
		return;
	p = e->waiting->pdata[0];
	if (p->prefill_left < 0) {
		p->cached = cache_use(e, p->prefix, r->now_us);
		r->hits += p->cached;
		p->prefill_left = p->own + (p->cached ? 0 : p->shared);
	}
	p->prefill_left -= (double)PREFILL_PER_S * STEP_US / 1e6 / e->speed;
	if (p->prefill_left > 0)
		return;
	g_ptr_array_remove_index(e->waiting, 0);
	first_token(r, p);
	g_ptr_array_add(e->running, p);
}

/* All running answers go on by the time that a token takes now. */
static void
step_decode(struct replay *r, struct engine *e)
{
	double token_us =
	    (TOKEN_BASE_US + TOKEN_BATCH_US * (double)e->running->len) *
	    e->speed;

	for (guint i = 0; i < e->running->len;) {
		struct prompt *p = e->running->pdata[i];
		uint64_t gap;

		p->credit_us += STEP_US;
		if (p->credit_us < token_us) {
			i++;
			continue;
		}
		p->credit_us -= token_us;
		gap = r->now_us - p->last_us;
		g_array_append_val(r->gap, gap);
		p->last_us = r->now_us;
		if (++p->given < p->answer) {
			i++;
			continue;
		}
		finish(r, p);
		g_ptr_array_remove_index_fast(e->running, i);
	}
}

static int
compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y ? -1 : x > y);
}

/* Reports are measured now and reach the daemons with a lag. */
static void
step_reports(struct replay *r)
{
	if (r->now_us % REPORT_US == 0) {
		for (int i = 0; i < ENGINES; i++)
			r->engines[i].report = r->engines[i].waiting->len +
			    r->engines[i].running->len;
	}
	if (r->now_us % REPORT_US != REPORT_LAG_US)
		return;
	for (int d = 0; d < DAEMONS; d++) {
		uint64_t us[ENGINES];

		for (int i = 0; i < ENGINES; i++) {
			target_update_load(r->targets[d][i], r->now_us / 1000,
			    r->engines[i].report);
			us[i] = atomic_load(&r->targets[d][i]->latency_us);
		}
		qsort(us, ENGINES, sizeof us[0], compare_u64);
		r->medians[d] = us[ENGINES / 2];
	}
}

static void
replay_begin(struct replay *r, const struct route_policy *policy)
{
	memset(r, 0, sizeof *r);
	r->policy = policy;
	r->rng = 1;
	r->first = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	r->gap = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (int i = 0; i < ENGINES; i++) {
		r->engines[i].waiting = g_ptr_array_new();
		r->engines[i].running = g_ptr_array_new();
		r->engines[i].speed = i == STRAGGLER ? STRAGGLER_FACTOR : 1;
		for (int d = 0; d < DAEMONS; d++)
			r->targets[d][i] =
			    target_create("", "", "", (uint64_t)i + 1, 1);
	}
}

static void
replay_end(struct replay *r)
{
	g_array_unref(r->first);
	g_array_unref(r->gap);
	for (int i = 0; i < ENGINES; i++) {
		g_ptr_array_unref(r->engines[i].waiting);
		g_ptr_array_unref(r->engines[i].running);
		for (int d = 0; d < DAEMONS; d++)
			target_unref(r->targets[d][i]);
	}
}

static double
percentile_ms(GArray *values, double share)
{
	size_t i;

	if (values->len == 0)
		return (0);
	qsort(values->data, values->len, sizeof(uint64_t), compare_u64);
	i = (size_t)(share * (values->len - 1));
	return ((double)g_array_index(values, uint64_t, i) / 1000);
}

/* Replays at a share of capacity by stretching the trace. */
static void
run(GArray *trace, const struct route_policy *policy, double load)
{
	g_autoptr(GArray) prompts = g_array_copy(trace);
	struct prompt *p = (struct prompt *)prompts->data;
	uint64_t span = p[prompts->len - 1].at_us;
	double rate = prompts->len / ((double)span / 1e6);
	double stretch = rate / (CAPACITY * load);
	struct replay r;
	guint next = 0;

	replay_begin(&r, policy);
	while (r.done < prompts->len) {
		for (; next < prompts->len &&
		     (uint64_t)((double)p[next].at_us * stretch) <= r.now_us;
		     next++) {
			p[next].at_us = r.now_us;
			arrive(&r, &p[next]);
		}
		for (int i = 0; i < ENGINES; i++) {
			step_prefill(&r, &r.engines[i]);
			step_decode(&r, &r.engines[i]);
		}
		step_reports(&r);
		r.now_us += STEP_US;
	}
	printf("  %3.0f%% %-16s %8.0f %8.0f %8.0f %7.1f %7.1f %7.1f %6.0f%%\n",
	    load * 100, policy->name, percentile_ms(r.first, 0.5),
	    percentile_ms(r.first, 0.95), percentile_ms(r.first, 0.99),
	    percentile_ms(r.gap, 0.5), percentile_ms(r.gap, 0.95),
	    percentile_ms(r.gap, 0.99), 100.0 * r.hits / prompts->len);
	replay_end(&r);
}

static int
bench_routing_exec(int argc, const char **argv)
{
	static const double loads[] = { 0.5, 0.8, 0.95 };
	g_autoptr(GArray) trace = NULL;

	if (argc != 1) {
		fprintf(stderr, "usage: banklift-bench routing TRACE\n");
		return (2);
	}
	trace = prompts_read(argv[0]);
	if (trace->len == 0) {
		fprintf(stderr, "banklift-bench: %s: no prompts\n", argv[0]);
		return (1);
	}
	printf("%d daemons, %d replicas, replica %d %d times slower; load in "
	       "percent of %g requests/s\n",
	    DAEMONS, ENGINES, STRAGGLER, STRAGGLER_FACTOR, CAPACITY);
	printf("  %-4s %-16s %8s %8s %8s %7s %7s %7s %7s\n", "load", "policy",
	    "first50", "first95", "first99", "gap50", "gap95", "gap99",
	    "cached");
	for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
		for (size_t i = 0; route_policy_at(i) != NULL; i++)
			run(trace, route_policy_at(i), loads[l]);
	}
	return (0);
}

const struct bench_entry bench_routing_entry = {
	.name = "routing",
	.help = "TRACE: time to first token and between tokens, by policy",
	.exec = bench_routing_exec,
};
