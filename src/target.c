/* A target: what one request can be sent to; see target.h. */
#include <glib.h>

#include "target.h"

/* Weight of a new latency in the moving mean is 1 / 2^LATENCY_SHIFT. */
#define LATENCY_SHIFT 3
/* A straggler is never weighed more than this against the median. */
#define SLOW_MAX_PERCENT 1000
/* Below this it is no straggler: latencies differ by chance. */
#define SLOW_MIN_PERCENT 200
/* Nor is it one for less than this over the median. */
#define SLOW_FLOOR_US 5000
/* Nor by a few samples: the first ones meet cold caches. */
#define SLOW_MIN_SAMPLES 4
/* How long others are preferred after failures. */
#define REST_MIN_MS 250
#define REST_MAX_MS 8000
/* Without new samples the excess over the median is halved in this time. */
#define SLOW_HALF_MS 2000

/**
 * target_create() - make a target with one reference.
 * @name: group or host name
 * @url: base URL
 * @domain: failure domain
 * @key: what peers know it by
 * @epoch: the group's epoch, or 0
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
 * target_unref() - give a reference back.
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
 * target_update_evidence() - take evidence about a target.
 * @target: the target
 * @seen_ms: local time that the evidence is at least as new as
 * @good: all of its hosts said that they are whole and ready
 * @limit_ms: age at which good evidence lapses
 *
 * The newest evidence counts. Called by one thread at a time.
 */
void
target_update_evidence(struct target *target, uint64_t seen_ms, bool good,
    uint64_t limit_ms)
{
	if (seen_ms < atomic_load(&target->evidence_as_of_ms))
		return;
	atomic_store(&target->evidence_as_of_ms, seen_ms);
	atomic_store(&target->valid_until_ms, good ? seen_ms + limit_ms : 0);
}

/**
 * target_update_load() - take a load report.
 * @target: the target
 * @now: monotonic milliseconds
 * @load: requests that run or wait there
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
 * target_valid() - whether a request may be sent now.
 * @target: the target
 * @now: monotonic milliseconds, read just before
 */
bool
target_valid(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->valid_until_ms));
}

/**
 * target_in_backoff() - whether the target asked for rest and it lasts.
 * @target: the target
 * @now: monotonic milliseconds
 */
bool
target_in_backoff(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->backoff_until_ms));
}

/**
 * target_retire() - send nothing more: its group ended or it is leaving.
 * @target: the target
 */
void
target_retire(struct target *target)
{
	atomic_store(&target->evidence_as_of_ms, UINT64_MAX);
	atomic_store(&target->valid_until_ms, 0);
}

/**
 * target_note_success() - a call went well; take its time to the first byte.
 * @target: the target
 * @us: microseconds
 * @now: monotonic milliseconds
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
 * target_note_failure() - a call to the target failed: prefer others for a
 * while.
 * @target: the target
 * @now: monotonic milliseconds
 *
 * The while doubles with each failure in a row, up to REST_MAX_MS.
 */
void
target_note_failure(struct target *target, uint64_t now)
{
	unsigned failures = atomic_fetch_add(&target->failures, 1);
	uint64_t rest = (uint64_t)REST_MIN_MS << MIN(failures, 16);

	atomic_store(&target->cooldown_until_ms, now + MIN(rest, REST_MAX_MS));
}

/**
 * target_in_cooldown() - whether others are preferred now.
 * @target: the target
 * @now: monotonic milliseconds
 */
bool
target_in_cooldown(struct target *target, uint64_t now)
{
	return (now < atomic_load(&target->cooldown_until_ms));
}

/*
 * How slow a target is against the median, in percent; 100 for no straggler.
 * What is known of a target that gets no requests grows old, so the excess is
 * halved with every SLOW_HALF_MS: a straggler is tried again by degrees.
 */
static uint64_t
target_slow(struct target *target, uint64_t now, uint64_t median_us)
{
	uint64_t latency = atomic_load(&target->latency_us);
	uint64_t since =
	    now - MIN(now, atomic_load(&target->latency_sampled_ms));
	uint64_t halvings = MIN(since / SLOW_HALF_MS, 32), percent;

	if (atomic_load(&target->latency_samples) < SLOW_MIN_SAMPLES)
		return (100);
	if (median_us == 0 || latency < median_us + SLOW_FLOOR_US)
		return (100);
	percent = MIN(latency * 100 / median_us, SLOW_MAX_PERCENT);
	if (percent <= SLOW_MIN_PERCENT)
		return (100);
	return (100 + ((percent - 100) >> halvings));
}

/**
 * target_candidate() - what a routing policy looks at.
 * @target: the target
 * @now: monotonic milliseconds
 * @median_us: median latency over the deployment's targets, 0 if unknown
 * @c: filled in
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
	c->slow_percent = (uint32_t)target_slow(target, now, median_us);
}
