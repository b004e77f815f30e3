/*
 * Requests, and parts of prompts, that may crash the endpoints that run them:
 * the table of suspects, their crashes and their clearing. Does no I/O.
 *
 * A request that crashes its endpoint is sent again by its client, under
 * another id and to any daemon, so it is identified by a fingerprint of what it
 * asks for. A part of a prompt may crash endpoints in requests that differ in
 * all else, so each part that requests may share has a fingerprint too. All
 * that ran on an endpoint that crashed is suspected. What an endpoint survives
 * is cleared; what crashes a third endpoint is quarantined.
 */
#include <string.h>

#include "registry-poison.h"

/* A cleared suspect is remembered for this long. A daemon that missed the
 * clearing may go on reporting the crashes, and is answered at this interval.
 */
#define POISON_CLEARED_TTL_MS 600000
#define POISON_CLEARED_RESEND_MS 1000
/* A request that ends its endpoint is read and begun there first: a connection
 * that is reset sooner after the send was not reset by it. */
#define POISON_RUN_MIN_MS 2

/**
 * poison_init() - initialize an empty table.
 * @poison: the table
 */
void
poison_init(struct poison *poison)
{
	memset(poison, 0, sizeof *poison);
	poison->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
	TAILQ_INIT(&poison->suspects);
}

static void
suspect_free(struct poison *poison, struct poison_suspect *suspect)
{
	g_hash_table_remove(poison->by_fingerprint, &suspect->fingerprint);
	TAILQ_REMOVE(&poison->suspects, suspect, entry);
	g_free(suspect);
}

/**
 * poison_release() - free the table.
 * @poison: the table
 */
void
poison_release(struct poison *poison)
{
	struct poison_suspect *suspect, *next;

	for (suspect = TAILQ_FIRST(&poison->suspects); suspect != NULL;
	     suspect = next) {
		next = TAILQ_NEXT(suspect, entry);
		suspect_free(poison, suspect);
	}
	g_hash_table_destroy(poison->by_fingerprint);
}

/**
 * poison_find() - find a suspect.
 * @poison: the table
 * @fingerprint: its fingerprint
 *
 * Return: the suspect, or NULL.
 */
struct poison_suspect *
poison_find(const struct poison *poison, uint64_t fingerprint)
{
	return (g_hash_table_lookup(poison->by_fingerprint, &fingerprint));
}

/*
 * Makes room in a full table by dropping the suspect with the fewest crashes;
 * of several, the one whose record changed longest ago.
 */
static void
make_room(struct poison *poison)
{
	struct poison_suspect *suspect, *least = NULL;

	if (g_hash_table_size(poison->by_fingerprint) < POISON_SUSPECTS_MAX)
		return;
	TAILQ_FOREACH_REVERSE(suspect, &poison->suspects, poison_list, entry)
	{
		if (least == NULL || suspect->n_crashes < least->n_crashes)
			least = suspect;
		if (least->n_crashes <= 1)
			break;
	}
	suspect_free(poison, least);
}

static struct poison_suspect *
suspect_create(struct poison *poison, const struct poison_key *key)
{
	struct poison_suspect *suspect;

	make_room(poison);
	suspect = g_new0(struct poison_suspect, 1);
	suspect->fingerprint = key->fingerprint;
	suspect->part = key->part;
	g_hash_table_insert(poison->by_fingerprint, &suspect->fingerprint,
	    suspect);
	TAILQ_INSERT_HEAD(&poison->suspects, suspect, entry);
	return (suspect);
}

/**
 * poison_suspect_changed() - note a change of a suspect, so that peers are
 * told.
 * @poison: the table
 * @suspect: the suspect
 * @now_ms: loop time
 */
void
poison_suspect_changed(struct poison *poison, struct poison_suspect *suspect,
    uint64_t now_ms)
{
	suspect->changed_ms = now_ms;
	TAILQ_REMOVE(&poison->suspects, suspect, entry);
	TAILQ_INSERT_HEAD(&poison->suspects, suspect, entry);
}

static bool
same_incarnation(const struct poison_crash *a, const struct poison_crash *b)
{
	return (a->id_hash == b->id_hash && a->started == b->started);
}

/**
 * poison_suspect_find() - find the crash of the same incarnation.
 * @suspect: the suspect
 * @crash: names the incarnation
 *
 * Return: the crash as it is recorded with the suspect, or NULL.
 */
struct poison_crash *
poison_suspect_find(const struct poison_suspect *suspect,
    const struct poison_crash *crash)
{
	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		if (same_incarnation(&suspect->crashes[i], crash))
			return ((struct poison_crash *)&suspect->crashes[i]);
	}
	return (NULL);
}

static void
suspect_drop_crash(struct poison_suspect *suspect, unsigned at)
{
	suspect->n_crashes--;
	memmove(&suspect->crashes[at], &suspect->crashes[at + 1],
	    (suspect->n_crashes - at) * sizeof suspect->crashes[0]);
}

/* Adds a crash. If there is no room it replaces the newest, as the older ones
 * are settled. */
static void
suspect_add_crash(struct poison_suspect *suspect,
    const struct poison_crash *crash)
{
	unsigned newest = 0;

	for (unsigned i = 1; i < suspect->n_crashes; i++) {
		if (suspect->crashes[i].at_ms > suspect->crashes[newest].at_ms)
			newest = i;
	}
	if (suspect->n_crashes == POISON_CRASHES_MAX)
		suspect_drop_crash(suspect, newest);
	suspect->crashes[suspect->n_crashes++] = *crash;
}

/**
 * poison_crash_of() - describe the crash of an endpoint's incarnation.
 * @ep: the endpoint
 * @silent: it fell silent; otherwise its connection broke
 * @now_ms: loop time of the crash
 *
 * Return: the crash, as observed by this daemon.
 */
struct poison_crash
poison_crash_of(const struct endpoint *ep, bool silent, uint64_t now_ms)
{
	const struct poison_crash crash = {
		.id_hash = ep->id_hash,
		.started = (uint32_t)ep->report.started_ms,
		.at_ms = now_ms,
		.silent = silent,
	};

	return (crash);
}

/* A daemon still reports a crash that a response has cleared, so the clearing
 * is sent to the peers once more. */
static void
suspect_resend_clearing(struct poison *poison, struct poison_suspect *suspect,
    uint64_t now_ms)
{
	if (suspect->n_crashes > 0 ||
	    now_ms - suspect->changed_ms < POISON_CLEARED_RESEND_MS)
		return;
	suspect->cleared_origin = POISON_LOCAL;
	poison_suspect_changed(poison, suspect, now_ms);
}

/* Whether another daemon, whose path is another one, saw a crash for which this
 * daemon's path may be the cause. */
static bool
crash_confirms(const struct poison_crash *known,
    const struct poison_crash *crash)
{
	return (known->cause == POISON_SHARED && !crash->silent &&
	    crash->origin != POISON_LOCAL);
}

/* Whether an endpoint survived a suspect so shortly before a crash that the
 * crash had another cause, or after it. */
static bool
success_outweighs(uint64_t success_ms, const struct poison_crash *crash)
{
	return (success_ms != 0 &&
	    crash->at_ms < success_ms + POISON_SUCCESS_TTL_MS);
}

/* When an endpoint last survived this here; 0 if that is not remembered. */
static uint64_t
success_find(const struct poison *poison, uint64_t fingerprint)
{
	const struct poison_success *success =
	    &poison->successes[fingerprint % POISON_SUCCESSES_MAX];

	return (success->fingerprint == fingerprint ? success->at_ms : 0);
}

/*
 * Clears a suspect that others report if an endpoint survived it here lately.
 * Other daemons are told, as they may not have seen that.
 */
static void
suspect_contradict(struct poison *poison, const struct poison_suspect *suspect,
    uint64_t now_ms)
{
	uint64_t success_ms = success_find(poison, suspect->fingerprint);

	if (suspect->n_crashes > 1 && success_ms > suspect->cleared_ms)
		poison_clear(poison, suspect->fingerprint, success_ms,
		    POISON_LOCAL, now_ms);
}

/**
 * poison_add_crash() - add a crash of an endpoint while it ran a suspect.
 * @poison: the table
 * @key: the suspect
 * @crash: the crash
 * @now_ms: loop time
 *
 * Return: whether it was added, or replaced a weaker report of the same crash.
 */
bool
poison_add_crash(struct poison *poison, const struct poison_key *key,
    const struct poison_crash *crash, uint64_t now_ms)
{
	struct poison_suspect *suspect = poison_find(poison, key->fingerprint);
	struct poison_crash *known;

	if (suspect != NULL && success_outweighs(suspect->cleared_ms, crash)) {
		suspect_resend_clearing(poison, suspect, now_ms);
		return (false);
	}
	if (suspect == NULL)
		suspect = suspect_create(poison, key);
	/* A relay of an earlier version does not pass on that it is one. */
	suspect->part |= key->part;
	known = poison_suspect_find(suspect, crash);
	if (known != NULL && crash_confirms(known, crash)) {
		known->cause = POISON_CONFIRMED;
		poison_suspect_changed(poison, suspect, now_ms);
		return (true);
	}
	if (known != NULL && (!known->silent || crash->silent))
		return (false);
	/* A broken connection is stronger evidence than silence. */
	if (known != NULL)
		*known = *crash;
	else
		suspect_add_crash(suspect, crash);
	poison_suspect_changed(poison, suspect, now_ms);
	suspect_contradict(poison, suspect, now_ms);
	return (true);
}

/* Whether a connection was reset before its request can have run. */
static bool
crash_too_soon(const struct poison_crash *crash)
{
	return (!crash->silent && crash->sent_ms != 0 &&
	    crash->at_ms - MIN(crash->sent_ms, crash->at_ms) <
		POISON_RUN_MIN_MS);
}

/**
 * poison_observe_crash() - add a crash that this daemon observed, unless an
 * endpoint survived the suspect lately or it had only just been sent.
 * @poison: the table
 * @key: the suspect
 * @crash: the crash
 * @now_ms: loop time
 *
 * Return: whether it was added.
 */
bool
poison_observe_crash(struct poison *poison, const struct poison_key *key,
    const struct poison_crash *crash, uint64_t now_ms)
{
	if (crash_too_soon(crash) ||
	    success_outweighs(success_find(poison, key->fingerprint), crash))
		return (false);
	return (poison_add_crash(poison, key, crash, now_ms));
}

/**
 * poison_clear() - drop the crashes that a suspect can't have caused, since an
 *	endpoint survived it.
 * @poison: the table
 * @fingerprint: the suspect's fingerprint
 * @at_ms: loop time at which the endpoint had survived it
 * @origin: how this daemon learned of that
 * @now_ms: loop time
 *
 * The clearing of a single crash is not sent to peers, as one crash means
 * nothing by itself.
 *
 * Return: whether any crash was dropped.
 */
bool
poison_clear(struct poison *poison, uint64_t fingerprint, uint64_t at_ms,
    enum poison_origin origin, uint64_t now_ms)
{
	struct poison_suspect *suspect = poison_find(poison, fingerprint);
	unsigned before;

	if (suspect == NULL || at_ms <= suspect->cleared_ms)
		return (false);
	before = suspect->n_crashes;
	for (unsigned i = suspect->n_crashes; i-- > 0;) {
		if (success_outweighs(at_ms, &suspect->crashes[i]))
			suspect_drop_crash(suspect, i);
	}
	suspect->cleared_ms = at_ms;
	suspect->cleared_origin = origin;
	if (before > 1 && suspect->n_crashes < before)
		poison_suspect_changed(poison, suspect, now_ms);
	return (suspect->n_crashes < before);
}

/**
 * poison_note_success() - note that an endpoint survived a request or part.
 * @poison: the table
 * @fingerprint: its fingerprint
 * @now_ms: loop time
 *
 * Return: whether it was suspected and any crash was dropped.
 */
bool
poison_note_success(struct poison *poison, uint64_t fingerprint,
    uint64_t now_ms)
{
	struct poison_success *success =
	    &poison->successes[fingerprint % POISON_SUCCESSES_MAX];

	success->fingerprint = fingerprint;
	success->at_ms = now_ms;
	return (
	    poison_clear(poison, fingerprint, now_ms, POISON_LOCAL, now_ms));
}

/* Drops crashes that have been refuted, and old ones. */
static void
suspect_sweep(struct poison_suspect *suspect, const struct fleet *fleet,
    uint64_t now_ms)
{
	for (unsigned i = suspect->n_crashes; i-- > 0;) {
		const struct poison_crash *crash = &suspect->crashes[i];

		if (now_ms - MIN(crash->at_ms, now_ms) >= POISON_CRASH_TTL_MS ||
		    poison_crash_refuted(fleet, crash))
			suspect_drop_crash(suspect, i);
	}
}

/**
 * poison_sweep() - drop crashes that are refuted or old, and suspects that have
 * had none for POISON_CLEARED_TTL_MS.
 * @poison: the table
 * @fleet: the endpoints
 * @now_ms: loop time
 */
void
poison_sweep(struct poison *poison, const struct fleet *fleet, uint64_t now_ms)
{
	struct poison_suspect *suspect;

	poison_judge(poison, fleet, now_ms);
	suspect = TAILQ_FIRST(&poison->suspects);
	while (suspect != NULL) {
		struct poison_suspect *next = TAILQ_NEXT(suspect, entry);

		suspect_sweep(suspect, fleet, now_ms);
		if (suspect->n_crashes == 0 &&
		    now_ms - suspect->changed_ms >= POISON_CLEARED_TTL_MS)
			suspect_free(poison, suspect);
		suspect = next;
	}
}
