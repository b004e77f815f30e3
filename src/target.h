/*
 * A target: what a request can be sent to. The target of a replica is the
 * leader of its group, in one epoch; a target of a service is one endpoint.
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
 * struct target - one target. Request threads access it without locks. Times
 * are monotonic, in ms.
 * @references: reference count; the struct is freed when it drops to 0
 * @key: the group's epoch, or the hash of the endpoint's name; the same at all
 *	daemons
 * @name: name of the group or host
 * @url: base URL
 * @domain: failure domain
 * @epoch: the group's epoch; 0 for an endpoint of a service
 * @evidence_as_of_ms: time as of which the newest evidence holds, good or bad
 * @valid_until_ms: time at which good evidence expires; requests may be sent
 *	before
 * @inflight: requests of this daemon that it has now
 * @inflight_at_report: @inflight when the last load report was received
 * @reported_load: requests of all daemons, according to that report
 * @report_ms: time of that report
 * @latency_us: moving mean of the time to the first byte; 0 if unknown
 * @latency_sampled_ms: time of the latest sample in @latency_us
 * @latency_samples: number of samples in @latency_us
 * @failures: failed calls since the last successful one
 * @cooldown_until_ms: end of the cooldown; other targets are preferred before
 * @backoff_until_ms: end of the backoff that the endpoint asked for; it is sent
 *	no request before
 * @limit_active: the endpoint has a rate limit
 * @limit_milli_per_s: that limit on requests from all daemons, in thousandths
 *	of a request per second
 * @limit_as_of_ms: time as of which the limit, or that there is none, is known
 * @limit: this daemon's share of the limit
 * @daemons: number of daemons that share the limit
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

/* target-feedback.c: what an endpoint tells about itself in a response. */
void target_apply_feedback(struct target *, const struct call *);
bool target_take_permit(struct target *, uint64_t);
bool target_has_permit(struct target *, uint64_t);

#endif
