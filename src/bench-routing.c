/*
 * Benchmark routing TRACE: replays a trace of prompts through the routing
 * policies in virtual time. Several daemons choose at once without knowing each
 * other's requests, load reports lag, and one replica is a straggler. The
 * engines are a model: one prefill at a time, decoding that slows down with the
 * size of the batch, and a prefix cache of limited size.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"
#include "target.h"

#define DAEMONS 9
#define ENGINES 12
/* Step of virtual time. */
#define STEP_US 2000
/* Interval of load reports, and their delay until daemons receive them. */
#define REPORT_US 500000
#define REPORT_LAG_US 300000
/* Engine model: prompt tokens prefilled per second, and time to decode a token:
 * a base and an addition for each request in the batch. */
#define PREFILL_PER_S 8000
#define TOKEN_BASE_US 12000
#define TOKEN_BATCH_US 350
/* Maximum number of completions that an engine decodes at once. */
#define BATCH_MAX 64
/* Prefixes that an engine's cache holds. */
#define CACHE_PREFIXES 24
/* Index of the engine that is slower, and by which factor. */
#define STRAGGLER 5
#define STRAGGLER_FACTOR 3
/* Requests per second that the engines sustain, by calibration. */
#define CAPACITY_PER_S 130.0

/*
 * A prompt of the trace and its progress. prefix is shared with other prompts
 * and has so many tokens, to which own ones are added; decode_us is the
 * decoding time not used for a token yet, prefill_left counts tokens, -1 before
 * the prefill.
 */
struct prompt {
	uint64_t at_us;
	int daemon;
	int prefix;
	int prefix_tokens;
	int own_tokens;
	int completion_tokens;
	int engine;
	double prefill_left;
	double decode_us;
	int decoded_tokens;
	uint64_t first_us;
	uint64_t last_us;
	bool cached;
};

/* An engine; its times to prefill and decode are multiplied by slowdown. */
struct engine {
	GPtrArray *queued;
	GPtrArray *running;
	int cache[CACHE_PREFIXES];
	uint64_t cache_used_us[CACHE_PREFIXES];
	int slowdown;
	uint32_t reported_load;
};

/* The replay with one policy and load; the arrays hold times. */
struct replay {
	struct engine engines[ENGINES];
	struct target *targets[DAEMONS][ENGINES];
	uint64_t medians[DAEMONS];
	uint64_t sequence[DAEMONS];
	uint64_t rng;
	uint64_t now_us;
	const struct route_policy *policy;
	GArray *first_token_us, *gap_us;
	unsigned cache_hits, done;
};

/* Reads a trace; other lines than prompts are skipped. */
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
			&p.prefix, &p.prefix_tokens, &p.own_tokens,
			&p.completion_tokens) != 6)
			continue;
		p.at_us = (uint64_t)ms * 1000;
		g_array_append_val(prompts, p);
	}
	return (prompts);
}

/* Whether a prefix is cached; if not, it replaces the least recently used. */
static bool
cache_use(struct engine *e, int prefix, uint64_t now)
{
	int oldest = 0;

	for (int i = 0; i < CACHE_PREFIXES; i++) {
		if (e->cache[i] == prefix) {
			e->cache_used_us[i] = now;
			return (true);
		}
		if (e->cache_used_us[i] < e->cache_used_us[oldest])
			oldest = i;
	}
	e->cache[oldest] = prefix;
	e->cache_used_us[oldest] = now;
	return (false);
}

/* Returns the index of the engine that the policy chooses for a prompt. */
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
replay_arrive(struct replay *r, struct prompt *p)
{
	struct engine *e;

	p->engine = choose(r, p);
	e = &r->engines[p->engine];
	atomic_fetch_add(&r->targets[p->daemon][p->engine]->inflight, 1);
	p->prefill_left = -1;
	g_ptr_array_add(e->queued, p);
}

static void
replay_first_token(struct replay *r, struct prompt *p)
{
	uint64_t elapsed_us = r->now_us - p->at_us;

	p->first_us = p->last_us = r->now_us;
	p->decoded_tokens = 1;
	g_array_append_val(r->first_token_us, elapsed_us);
	target_note_success(r->targets[p->daemon][p->engine], elapsed_us,
	    r->now_us / 1000);
}

static void
replay_finish(struct replay *r, struct prompt *p)
{
	atomic_fetch_sub(&r->targets[p->daemon][p->engine]->inflight, 1);
	r->done++;
}

/* Prefills the prompt at the head of the queue, one at a time. */
static void
step_prefill(struct replay *r, struct engine *e)
{
	struct prompt *p;

	if (e->queued->len == 0 || e->running->len >= BATCH_MAX)
		return;
	p = e->queued->pdata[0];
	if (p->prefill_left < 0) {
		p->cached = cache_use(e, p->prefix, r->now_us);
		r->cache_hits += p->cached;
		p->prefill_left =
		    p->own_tokens + (p->cached ? 0 : p->prefix_tokens);
	}
	p->prefill_left -= (double)PREFILL_PER_S * STEP_US / 1e6 / e->slowdown;
	if (p->prefill_left > 0)
		return;
	g_ptr_array_remove_index(e->queued, 0);
	replay_first_token(r, p);
	g_ptr_array_add(e->running, p);
}

/* Decodes all running completions; the time of a token grows with the batch. */
static void
step_decode(struct replay *r, struct engine *e)
{
	double token_us =
	    (TOKEN_BASE_US + TOKEN_BATCH_US * (double)e->running->len) *
	    e->slowdown;

	for (guint i = 0; i < e->running->len;) {
		struct prompt *p = e->running->pdata[i];
		uint64_t gap_us;

		p->decode_us += STEP_US;
		if (p->decode_us < token_us) {
			i++;
			continue;
		}
		p->decode_us -= token_us;
		gap_us = r->now_us - p->last_us;
		g_array_append_val(r->gap_us, gap_us);
		p->last_us = r->now_us;
		if (++p->decoded_tokens < p->completion_tokens) {
			i++;
			continue;
		}
		replay_finish(r, p);
		g_ptr_array_remove_index_fast(e->running, i);
	}
}

static int
compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y ? -1 : x > y);
}

/* Measures loads for reports, which reach the daemons with a lag. */
static void
step_reports(struct replay *r)
{
	if (r->now_us % REPORT_US == 0) {
		for (int i = 0; i < ENGINES; i++)
			r->engines[i].reported_load =
			    r->engines[i].queued->len +
			    r->engines[i].running->len;
	}
	if (r->now_us % REPORT_US != REPORT_LAG_US)
		return;
	for (int d = 0; d < DAEMONS; d++) {
		uint64_t us[ENGINES];

		for (int i = 0; i < ENGINES; i++) {
			target_update_load(r->targets[d][i], r->now_us / 1000,
			    r->engines[i].reported_load);
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
	r->first_token_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	r->gap_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (int i = 0; i < ENGINES; i++) {
		r->engines[i].queued = g_ptr_array_new();
		r->engines[i].running = g_ptr_array_new();
		r->engines[i].slowdown = i == STRAGGLER ? STRAGGLER_FACTOR : 1;
		for (int d = 0; d < DAEMONS; d++)
			r->targets[d][i] =
			    target_create("", "", "", (uint64_t)i + 1, 1);
	}
}

static void
replay_end(struct replay *r)
{
	g_array_unref(r->first_token_us);
	g_array_unref(r->gap_us);
	for (int i = 0; i < ENGINES; i++) {
		g_ptr_array_unref(r->engines[i].queued);
		g_ptr_array_unref(r->engines[i].running);
		for (int d = 0; d < DAEMONS; d++)
			target_unref(r->targets[d][i]);
	}
}

/* Returns a quantile, in ms, of times in us, which it sorts. */
static double
percentile_ms(GArray *values, double quantile)
{
	size_t i;

	if (values->len == 0)
		return (0);
	qsort(values->data, values->len, sizeof(uint64_t), compare_u64);
	i = (size_t)(quantile * (values->len - 1));
	return ((double)g_array_index(values, uint64_t, i) / 1000);
}

/* Replays a trace, stretched so that its rate is a part of the capacity. */
static void
replay_run(GArray *trace, const struct route_policy *policy, double load)
{
	g_autoptr(GArray) prompts = g_array_copy(trace);
	struct prompt *p = (struct prompt *)prompts->data;
	uint64_t span = p[prompts->len - 1].at_us;
	double rate = prompts->len / ((double)span / 1e6);
	double stretch = rate / (CAPACITY_PER_S * load);
	struct replay r;
	guint next = 0;

	replay_begin(&r, policy);
	while (r.done < prompts->len) {
		for (; next < prompts->len &&
		     (uint64_t)((double)p[next].at_us * stretch) <= r.now_us;
		     next++) {
			p[next].at_us = r.now_us;
			replay_arrive(&r, &p[next]);
		}
		for (int i = 0; i < ENGINES; i++) {
			step_prefill(&r, &r.engines[i]);
			step_decode(&r, &r.engines[i]);
		}
		step_reports(&r);
		r.now_us += STEP_US;
	}
	printf("  %3.0f%% %-16s %8.0f %8.0f %8.0f %7.1f %7.1f %7.1f %6.0f%%\n",
	    load * 100, policy->name, percentile_ms(r.first_token_us, 0.5),
	    percentile_ms(r.first_token_us, 0.95),
	    percentile_ms(r.first_token_us, 0.99), percentile_ms(r.gap_us, 0.5),
	    percentile_ms(r.gap_us, 0.95), percentile_ms(r.gap_us, 0.99),
	    100.0 * r.cache_hits / prompts->len);
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
	    DAEMONS, ENGINES, STRAGGLER, STRAGGLER_FACTOR, CAPACITY_PER_S);
	printf("  %-4s %-16s %8s %8s %8s %7s %7s %7s %7s\n", "load", "policy",
	    "first50", "first95", "first99", "gap50", "gap95", "gap99",
	    "cached");
	for (size_t l = 0; l < G_N_ELEMENTS(loads); l++) {
		for (size_t i = 0; route_policy_at(i) != NULL; i++)
			replay_run(trace, route_policy_at(i), loads[l]);
	}
	return (0);
}

const struct bench_entry bench_routing_entry = {
	.name = "routing",
	.help = "TRACE: time to first token and between tokens, by policy",
	.exec = bench_routing_exec,
};
