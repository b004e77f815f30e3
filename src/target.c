/* A target: what a request can be sent to; see target.h. */
#include <glib.h>

#include "target.h"

/* A new sample has the weight 1 / 2^LATENCY_SHIFT in the moving mean. */
#define LATENCY_SHIFT 3
/* Upper bound on the latency of a straggler in percent of the median. */
#define SLOW_MAX_PERCENT 1000
/* Up to this percentage a target is no straggler; latencies vary by chance. */
#define SLOW_MIN_PERCENT 200
/* Nor is a target that exceeds the median by less than this. */
#define SLOW_MIN_EXCESS_US 5000
/* Nor is one with fewer samples: the first requests find cold caches. */
#define SLOW_MIN_SAMPLES 4
/* Bounds of the cooldown in which other targets are preferred. */
#define COOLDOWN_MIN_MS 250
#define COOLDOWN_MAX_MS 8000
/* Half-life of the excess over the median while there are no new samples. */
#define SLOW_HALF_LIFE_MS 2000

/**
 * target_create() - allocate a target with one reference.
 * @name: name of the group or host
 * @url: base URL
 * @domain: failure domain
 * @key: identifies it at all daemons, see struct target
 * @epoch: the group's epoch; 0 for an endpoint of a service
 */
struct target *
target_create(const char *name, const char *url, const char *domain,
    uint64_t key, uint64_t epoch)
{
	struct target *target;

	target = g_new0(struct target, 1);
	atomic_init(&target->references, 1);
	target->name = g_strdup(name);
	target->url = g_strdup(url);
	target->domain = g_strdup(domain);
	target->key = key;
	target->epoch = epoch;
	return (target);
}

/**
 * target_ref() - take a reference.
 * @target: the target
 */
struct target *
target_ref(struct target *target)
{
	atomic_fetch_add(&target->references, 1);
	return (target);
}

/**
 * target_unref() - drop a reference; the last one frees the target.
 * @target: the target
 */
void
target_unref(struct target *target)
{
	if (atomic_fetch_sub(&target->references, 1) != 1)
		return;
	g_free(target->name);
	g_free(target->url);
	g_free(target->domain);
	g_free(target);
}

/**
 * target_update_evidence() - apply evidence on whether a target is ready.
 * @target: the target
 * @as_of_ms: local time; the evidence is at least as new as this
 * @good: all hosts of the target have reported that they are ready
 * @max_age_ms: age at which good evidence expires
 *
 * Evidence older than the newest is ignored. Only one thread may call this at
 * a time.
 */
void
target_update_evidence(struct target *target, uint64_t as_of_ms, bool good,
    uint64_t max_age_ms)
{
	if (as_of_ms < atomic_load(&target->evidence_as_of_ms))
		return;
	atomic_store(&target->evidence_as_of_ms, as_of_ms);
	atomic_store(&target->valid_until_ms, good ? as_of_ms + max_age_ms : 0);
}

/**
 * target_update_load() - apply a load report.
 * @target: the target
 * @now: time of the report, in ms
 * @load: requests that run or wait at the target
 */
void
target_update_load(struct target *target, uint64_t now, uint32_t load)
{
	atomic_store(&target->reported_load, load);
	atomic_store(&target->inflight_at_report,
	    atomic_load(&target->inflight));
	atomic_store(&target->report_ms, now);
}

/**
 * target_valid() - whether there is good evidence that has not expired.
 * @target: the target
 * @now: monotonic time, in ms; read just before the call
 */
bool
target_valid(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->valid_until_ms));
}

/**
 * target_in_backoff() - whether the target is in a backoff that it asked for.
 * @target: the target
 * @now: monotonic time, in ms
 */
bool
target_in_backoff(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->backoff_until_ms));
}

/**
 * target_retire() - stop sending requests to a target for good.
 * @target: the target, whose group has ended or which is leaving
 */
void
target_retire(struct target *target)
{
	atomic_store(&target->evidence_as_of_ms, UINT64_MAX);
	atomic_store(&target->valid_until_ms, 0);
}

/**
 * target_note_success() - note a successful call, which ends a cooldown.
 * @target: the target
 * @us: time to the first byte, in us
 * @now: monotonic time, in ms
 */
void
target_note_success(struct target *target, uint64_t us, uint64_t now)
{
	uint64_t mean = atomic_load(&target->latency_us);

	if (mean == 0)
		mean = us;
	else
		mean = mean - (mean >> LATENCY_SHIFT) + (us >> LATENCY_SHIFT);
	atomic_store(&target->latency_us, mean);
	atomic_store(&target->latency_sampled_ms, now);
	atomic_fetch_add(&target->latency_samples, 1);
	atomic_store(&target->failures, 0);
	atomic_store(&target->cooldown_until_ms, 0);
}

/**
 * target_note_failure() - note a failed call, which starts a cooldown.
 * @target: the target
 * @now: monotonic time, in ms
 *
 * The cooldown doubles with each failure in a row, up to COOLDOWN_MAX_MS.
 */
void
target_note_failure(struct target *target, uint64_t now)
{
	unsigned failures = atomic_fetch_add(&target->failures, 1);
	uint64_t cooldown = (uint64_t)COOLDOWN_MIN_MS << MIN(failures, 16);

	atomic_store(&target->cooldown_until_ms,
	    now + MIN(cooldown, COOLDOWN_MAX_MS));
}

/**
 * target_in_cooldown() - whether other targets are preferred after a failure.
 * @target: the target
 * @now: monotonic time, in ms
 */
bool
target_in_cooldown(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->cooldown_until_ms));
}

/*
 * Latency of a target in percent of the median; 100 if it is no straggler.
 * The latency of a target that is sent no requests becomes outdated, so the
 * excess over the median is halved every SLOW_HALF_LIFE_MS: a straggler is
 * tried again gradually.
 */
static uint64_t
target_slow_percent(struct target *target, uint64_t now, uint64_t median_us)
{
	uint64_t latency = atomic_load(&target->latency_us);
	uint64_t since =
	    now - MIN(now, atomic_load(&target->latency_sampled_ms));
	uint64_t halvings = MIN(since / SLOW_HALF_LIFE_MS, 32), percent;

	if (atomic_load(&target->latency_samples) < SLOW_MIN_SAMPLES)
		return (100);
	if (median_us == 0 || latency < median_us + SLOW_MIN_EXCESS_US)
		return (100);
	percent = MIN(latency * 100 / median_us, SLOW_MAX_PERCENT);
	if (percent <= SLOW_MIN_PERCENT)
		return (100);
	return (100 + ((percent - 100) >> halvings));
}

/**
 * target_candidate() - describe a target to routing policies.
 * @target: the target
 * @now: monotonic time, in ms
 * @median_us: median latency of the targets in its route set; 0 if unknown
 * @c: set to the description
 */
void
target_candidate(struct target *target, uint64_t now, uint64_t median_us,
    struct route_candidate *c)
{
	uint64_t report_ms = atomic_load(&target->report_ms);
	c->key = target->key;
	c->inflight = atomic_load(&target->inflight);
	c->inflight_at_report = atomic_load(&target->inflight_at_report);
	c->reported_load = atomic_load(&target->reported_load);
	c->report_age_ms = now >= report_ms && report_ms != 0 ?
	    (uint32_t)MIN(now - report_ms, UINT32_MAX) :
	    UINT32_MAX;
	c->slow_percent = (uint32_t)target_slow_percent(target, now, median_us);
}
