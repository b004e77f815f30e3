/*
 * A target: what one request can be sent to. A replica's target is its
 * leader, at one epoch; a plain service's target is one endpoint.
 */
#ifndef BL_TARGET_H
#define BL_TARGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "limit.h"
#include "route.h"

struct call;

/**
 * struct target - one target; request threads read it without locks.
 * @references: freed when it drops to 0
 * @key: the group's epoch, or the hash of the endpoint's name; known to peers
 * @name: group or host name
 * @url: base URL
 * @domain: failure domain
 * @epoch: the group's epoch, 0 for an endpoint of a plain service
 * @evidence_as_of_ms: age base of the newest evidence, good or bad
 * @valid_until_ms: requests may be sent before this monotonic time
 * @inflight: requests of this daemon at it
 * @inflight_at_report: the same when the last load report came
 * @reported_load: requests that the report counted
 * @report_ms: time of the report
 * @latency_us: moving mean of the time to the first byte
 * @latency_sampled_ms: time of the latest sample of it
 * @latency_samples: how many samples it has
 * @failures: calls that failed since the last that did not
 * @cooldown_until_ms: others are preferred before this time
 * @backoff_until_ms: no request before this time; the endpoint asked for rest
 * @limit_active: it names the requests a second that it takes from all daemons
 * @limit_milli_per_s: thousandths of these
 * @limit_as_of_ms: when that, or that it names none, was last heard
 * @limit: this daemon's share of them
 * @daemons: that share them
 */
struct target {
	atomic_uint references;
	uint64_t key;
	char *name;
	char *url;
	char *domain;
	uint64_t epoch;
	_Atomic uint64_t evidence_as_of_ms;
	_Atomic uint64_t valid_until_ms;
	atomic_uint inflight;
	atomic_uint inflight_at_report;
	atomic_uint reported_load;
	_Atomic uint64_t report_ms;
	_Atomic uint64_t latency_us;
	_Atomic uint64_t latency_sampled_ms;
	atomic_uint latency_samples;
	atomic_uint failures;
	_Atomic uint64_t cooldown_until_ms;
	_Atomic uint64_t backoff_until_ms;
	atomic_bool limit_active;
	_Atomic uint64_t limit_milli_per_s;
	_Atomic uint64_t limit_as_of_ms;
	struct limit limit;
	atomic_uint daemons;
};

struct target *target_create(const char *, const char *, const char *, uint64_t,
    uint64_t);
struct target *target_ref(struct target *);
void target_unref(struct target *);
void target_update_evidence(struct target *, uint64_t, bool, uint64_t);
void target_update_load(struct target *, uint64_t, uint32_t);
bool target_valid(struct target *, uint64_t);
void target_retire(struct target *);
void target_note_success(struct target *, uint64_t, uint64_t);
void target_note_failure(struct target *, uint64_t);
bool target_in_cooldown(struct target *, uint64_t);
bool target_in_backoff(struct target *, uint64_t);
void target_candidate(struct target *, uint64_t, uint64_t,
    struct route_candidate *);

/* target-feedback.c: what it says of itself. */
void target_apply_feedback(struct target *, const struct call *);
bool target_take_permit(struct target *, uint64_t);
bool target_has_permit(struct target *, uint64_t);

#endif
