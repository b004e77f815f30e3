/* Work under which endpoints ended: suspected, cleared, quarantined. Pure. */
#ifndef BL_REGISTRY_POISON_H
#define BL_REGISTRY_POISON_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "registry-fleet.h"

/* Ends after which work is quarantined. Two may be chance: up to a whole batch
 * runs on an endpoint that ends, and what is repeated may meet another one. */
#define POISON_QUARANTINE_CRASHES 3
/* Ends that are remembered of one work: the first, and the newest. */
#define POISON_CRASHES_MAX 8
/* Ends are remembered for a day. */
#define POISON_CRASH_TTL_MS 86400000
/* Work that is remembered; that with the fewest ends is dropped first. Twenty
 * such works at once make 500 bystanders a second, and the next end by each is
 * seconds away. */
#define POISON_REQUESTS_MAX 2048
/* Work that was answered lately, as far as it is remembered. */
#define POISON_SUCCESSES_MAX 1024

/**
 * enum poison_origin - from where this daemon knows something.
 * @POISON_LOCAL: it saw it itself
 * @POISON_CELL: a daemon that reports to it told it
 * @POISON_REMOTE: another told it, and tells all others whom it concerns
 */
enum poison_origin {
	POISON_LOCAL,
	POISON_CELL,
	POISON_REMOTE,
};

/**
 * struct poison_crash - an incarnation of an endpoint that ended under some
 * work.
 * @id_hash: short name of the endpoint
 * @started: low half of the time of day of the incarnation's start, in ms
 * @at_ms: loop time of the end
 * @silent: it fell silent; otherwise its connection broke
 * @origin: from where that is known
 */
struct poison_crash {
	uint32_t id_hash;
	uint32_t started;
	uint64_t at_ms;
	bool silent;
	enum poison_origin origin;
};

/**
 * struct poison_request - work that is suspected of ending endpoints.
 * @fingerprint: its fingerprint
 * @crashes: the incarnations that ended while they had it, each once
 * @n_crashes: how many
 * @cleared_ms: when it was last answered whole; 0 for never
 * @cleared_origin: from where that is known
 * @changed_ms: when something of this was learned
 * @quarantined: it was as of the last look
 * @probing: a request of it is on its way, to see whether it still does so
 * @recording: its record in the store is being written
 * @recorded_crashes: ends in that record
 * @record_again_ms: it isn't written again before
 * @entry: in the table, what changed last first
 */
struct poison_request {
	uint64_t fingerprint;
	struct poison_crash crashes[POISON_CRASHES_MAX];
	unsigned n_crashes;
	uint64_t cleared_ms;
	enum poison_origin cleared_origin;
	uint64_t changed_ms;
	bool quarantined;
	bool probing;
	bool recording;
	unsigned recorded_crashes;
	uint64_t record_again_ms;
	TAILQ_ENTRY(poison_request) entry;
};

TAILQ_HEAD(poison_list, poison_request);

/**
 * struct poison_success - work that was answered whole.
 * @fingerprint: its fingerprint
 * @at_ms: when
 */
struct poison_success {
	uint64_t fingerprint;
	uint64_t at_ms;
};

/**
 * struct poison - all of it.
 * @by_fingerprint: fingerprint to struct poison_request
 * @requests: the same, what changed last first
 * @successes: what was answered lately, by a part of the fingerprint
 */
struct poison {
	GHashTable *by_fingerprint;
	struct poison_list requests;
	struct poison_success successes[POISON_SUCCESSES_MAX];
};

/**
 * struct poison_verdict - what is to become of some work.
 * @crashes: that it is blamed for
 * @settled: of these, the ones that would have been disproved by now
 * @unconfirmed: ends that may be none
 * @explained: ends that other work is blamed for
 * @until_ms: it is quarantined until then; 0 where it isn't
 * @probe_ms: the daemon that saw the newest end may send one request of it from
 *	then on; 0 for other daemons
 */
struct poison_verdict {
	unsigned crashes;
	unsigned settled;
	unsigned unconfirmed;
	unsigned explained;
	uint64_t until_ms;
	uint64_t probe_ms;
};

void poison_init(struct poison *);
void poison_release(struct poison *);
struct poison_request *poison_find(const struct poison *, uint64_t);
bool poison_observe_crash(struct poison *, uint64_t,
    const struct poison_crash *, uint64_t);
bool poison_add_crash(struct poison *, uint64_t, const struct poison_crash *,
    uint64_t);
bool poison_note_success(struct poison *, uint64_t, uint64_t);
bool poison_clear(struct poison *, uint64_t, uint64_t, enum poison_origin,
    uint64_t);
bool poison_may_retry(const struct poison *, const struct fleet *, uint64_t,
    uint64_t);
void poison_evaluate(const struct poison *, const struct fleet *,
    const struct poison_request *, uint64_t, struct poison_verdict *);
void poison_sweep(struct poison *, const struct fleet *, uint64_t);
struct poison_crash poison_crash_of(const struct endpoint *, bool, uint64_t);

#endif
