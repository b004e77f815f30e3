/*
 * Requests, and parts of prompts, that may crash the endpoints that run them:
 * suspicion, clearing and quarantine. Does no I/O.
 */
#ifndef BL_REGISTRY_POISON_H
#define BL_REGISTRY_POISON_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "registry-fleet.h"

/* Crashes after which a suspect is quarantined. Two may be coincidence: up to a
 * whole batch runs on an endpoint that crashes, and a request of it that is
 * retried may meet another crash. */
#define POISON_QUARANTINE_CRASHES 3
/* Crashes that are remembered of one suspect: the first ones and the newest. */
#define POISON_CRASHES_MAX 8
/* Crashes are remembered for a day. */
#define POISON_CRASH_TTL_MS 86400000
/* Suspects that are remembered; the one with the fewest crashes is dropped
 * first. Twenty poison requests at once put 500 other requests per second under
 * suspicion, and the next crash by each of the twenty is seconds away. */
#define POISON_SUSPECTS_MAX 2048
/* Size of the table of what endpoints survived lately. */
#define POISON_SUCCESSES_MAX 4096
/* What an endpoint survived this lately does not crash endpoints: it was there
 * when they ended for another reason. */
#define POISON_SUCCESS_TTL_MS 10000
/* What of one request may be to blame: the request as a whole, and the parts of
 * its prompt. */
#define POISON_KEYS_MAX 32

/**
 * struct poison_key - what may be to blame for crashes.
 * @fingerprint: hash that identifies it
 * @part: it is a part of prompts, which different requests share; otherwise a
 *	whole request
 */
struct poison_key {
	uint64_t fingerprint;
	bool part;
};

/**
 * struct poison_keys - what of one request may be to blame for crashes.
 * @key: the request as a whole, then the parts of its prompt that others may
 *	share
 * @n: number of @key
 */
struct poison_keys {
	struct poison_key key[POISON_KEYS_MAX];
	unsigned n;
};

/**
 * enum poison_origin - how this daemon learned of an event.
 * @POISON_LOCAL: it observed the event itself
 * @POISON_CELL: a daemon that reports to it sent it
 * @POISON_REMOTE: another daemon sent it, which tells all others concerned too
 */
enum poison_origin {
	POISON_LOCAL,
	POISON_CELL,
	POISON_REMOTE,
};

/**
 * enum poison_cause - what reset a connection that this daemon lost.
 * @POISON_UNJUDGED: not judged yet
 * @POISON_OWN: the endpoint's own end, as far as this daemon saw
 * @POISON_SHARED: it may be this daemon's path, as most other connections were
 *	reset at the same time
 * @POISON_CONFIRMED: it was shared, but the endpoint's entry has lapsed or
 *	another daemon saw the crash too
 */
enum poison_cause {
	POISON_UNJUDGED,
	POISON_OWN,
	POISON_SHARED,
	POISON_CONFIRMED,
};

/**
 * struct poison_crash - an incarnation of an endpoint that seems to have ended
 * while it ran a request.
 * @id_hash: hash of the endpoint's id
 * @started: low 32 bits of the time of day of the incarnation's start, in ms
 * @at_ms: loop time of the crash
 * @sent_ms: loop time at which the request was sent; 0 if unknown
 * @silent: the endpoint fell silent; otherwise its connection broke
 * @origin: how this daemon learned of it
 * @cause: what broke the connection, for POISON_LOCAL
 */
struct poison_crash {
	uint32_t id_hash;
	uint32_t started;
	uint64_t at_ms;
	uint64_t sent_ms;
	bool silent;
	enum poison_origin origin;
	enum poison_cause cause;
};

/**
 * struct poison_suspect - a request or part that is suspected of crashing
 * endpoints.
 * @fingerprint: hash that identifies it
 * @part: it is a part of prompts
 * @crashes: crashes of incarnations that ran it, one for each incarnation
 * @n_crashes: length of @crashes
 * @cleared_ms: when an endpoint last survived it; 0 for never
 * @cleared_origin: how this daemon learned of that
 * @changed_ms: when this record last changed
 * @quarantined: it was quarantined when last evaluated
 * @probing: one such request is being sent to see whether it still crashes
 *	endpoints
 * @recording: its quarantine is being written to the store
 * @recorded_crashes: number of crashes in the record in the store
 * @record_again_ms: the record is not written again before then
 * @entry: link in the table's list, last change first
 */
struct poison_suspect {
	uint64_t fingerprint;
	bool part;
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
	TAILQ_ENTRY(poison_suspect) entry;
};

TAILQ_HEAD(poison_list, poison_suspect);

/**
 * struct poison_success - a request or part that an endpoint survived.
 * @fingerprint: its fingerprint
 * @at_ms: loop time
 */
struct poison_success {
	uint64_t fingerprint;
	uint64_t at_ms;
};

/**
 * struct poison - table of suspects.
 * @by_fingerprint: fingerprint to struct poison_suspect
 * @suspects: the same suspects, last change first
 * @successes: what endpoints survived lately, indexed by the fingerprint modulo
 *	the size
 */
struct poison {
	GHashTable *by_fingerprint;
	struct poison_list suspects;
	struct poison_success successes[POISON_SUCCESSES_MAX];
};

/**
 * struct poison_verdict - result of evaluating a suspect.
 * @crashes: crashes that it is blamed for
 * @settled: of these, the ones old enough that a live endpoint would have
 *	refuted them
 * @unconfirmed: crashes that may not have happened
 * @explained: crashes that another suspect is blamed for
 * @tied: crashes for which another suspect may be to blame as well
 * @is_tied: it would be quarantined but for these
 * @until_ms: end of the quarantine; 0 if it is not quarantined
 * @probe_ms: the daemon that observed the newest crash may send one such
 *	request from then on; 0 at other daemons
 */
struct poison_verdict {
	unsigned crashes;
	unsigned settled;
	unsigned unconfirmed;
	unsigned explained;
	unsigned tied;
	bool is_tied;
	uint64_t until_ms;
	uint64_t probe_ms;
};

/**
 * enum poison_action - what a daemon does with a request.
 * @POISON_SEND: it is sent
 * @POISON_QUARANTINED: it is refused, as it or a part of its prompt is
 *	quarantined
 * @POISON_AMBIGUOUS: it is refused, as it has several suspects that crashed the
 *	same endpoints; requests with one of them alone show which is to blame
 */
enum poison_action {
	POISON_SEND,
	POISON_QUARANTINED,
	POISON_AMBIGUOUS,
};

/**
 * struct poison_decision - decision on a request.
 * @action: what is done with it
 * @suspect: the suspect that decides; NULL for none
 * @verdict: the verdict on it
 */
struct poison_decision {
	enum poison_action action;
	struct poison_suspect *suspect;
	struct poison_verdict verdict;
};

void poison_init(struct poison *);
void poison_release(struct poison *);
struct poison_suspect *poison_find(const struct poison *, uint64_t);
bool poison_observe_crash(struct poison *, const struct poison_key *,
    const struct poison_crash *, uint64_t);
bool poison_add_crash(struct poison *, const struct poison_key *,
    const struct poison_crash *, uint64_t);
bool poison_note_success(struct poison *, uint64_t, uint64_t);
bool poison_clear(struct poison *, uint64_t, uint64_t, enum poison_origin,
    uint64_t);
struct poison_crash *poison_suspect_find(const struct poison_suspect *,
    const struct poison_crash *);
const struct endpoint *poison_crash_endpoint(const struct fleet *,
    const struct poison_crash *);
bool poison_crash_refuted(const struct fleet *, const struct poison_crash *);
bool poison_may_retry(const struct poison *, const struct fleet *,
    const struct poison_keys *, uint64_t);
void poison_evaluate(const struct poison *, const struct fleet *,
    const struct poison_suspect *, const struct poison_keys *, uint64_t,
    struct poison_verdict *);
void poison_decide(const struct poison *, const struct fleet *,
    const struct poison_keys *, uint64_t, struct poison_decision *);
void poison_sweep(struct poison *, const struct fleet *, uint64_t);
void poison_suspect_changed(struct poison *, struct poison_suspect *, uint64_t);
struct poison_crash poison_crash_of(const struct endpoint *, bool, uint64_t);

/**
 * enum poison_blame - whether another suspect may be to blame for a crash.
 * @POISON_BLAME_OWN: none is
 * @POISON_BLAME_TIED: one may be that has no more crashes, as a part that
 *	requests share may have been there by chance, and a request may have run
 *	beside a part
 * @POISON_BLAME_OTHER: one is that has more crashes
 */
enum poison_blame {
	POISON_BLAME_OWN,
	POISON_BLAME_TIED,
	POISON_BLAME_OTHER,
};

/* registry-poison-blame.c: which of several suspects is to blame. */
void poison_blame(const struct poison *, const struct poison_suspect *,
    const struct poison_keys *, enum poison_blame *);

/* registry-poison-resets.c: connections that were reset together. */
bool poison_crash_shared(const struct fleet *, const struct poison_suspect *,
    const struct poison_crash *, uint64_t);
bool poison_crash_told(const struct fleet *, const struct poison_suspect *,
    const struct poison_crash *);
void poison_judge(struct poison *, const struct fleet *, uint64_t);

#endif
