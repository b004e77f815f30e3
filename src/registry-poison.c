/*
 * Requests that may crash the endpoints that run them: the table of suspected
 * ones, their crashes and their clearing. Does no I/O.
 *
 * A request that crashes its endpoint is sent again by its client, under
 * another id and to any daemon, so it is identified by a fingerprint of what it
 * asks for. All requests that ran on an endpoint that crashed are suspected.
 * One that completes is cleared; one that crashes a third endpoint is
 * quarantined.
 */
#include <string.h>

#include "registry-poison.h"

/* A request that was completed this lately does not crash endpoints: it ran
 * there when they ended for another reason. */
#define POISON_SUCCESS_TTL_MS 10000
/* A cleared request is remembered for this long. A daemon that missed the
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
	TAILQ_INIT(&poison->requests);
}

static void
request_free(struct poison *poison, struct poison_request *request)
{
	g_hash_table_remove(poison->by_fingerprint, &request->fingerprint);
	TAILQ_REMOVE(&poison->requests, request, entry);
	g_free(request);
}

/**
 * poison_release() - free the table.
 * @poison: the table
 */
void
poison_release(struct poison *poison)
{
	struct poison_request *request, *next;

	for (request = TAILQ_FIRST(&poison->requests); request != NULL;
	     request = next) {
		next = TAILQ_NEXT(request, entry);
		request_free(poison, request);
	}
	g_hash_table_destroy(poison->by_fingerprint);
}

/**
 * poison_find() - find a suspected request.
 * @poison: the table
 * @fingerprint: the request's fingerprint
 *
 * Return: the request, or NULL.
 */
struct poison_request *
poison_find(const struct poison *poison, uint64_t fingerprint)
{
	return (g_hash_table_lookup(poison->by_fingerprint, &fingerprint));
}

/*
 * Makes room in a full table by dropping the request with the fewest crashes;
 * of several, the one whose record changed longest ago.
 */
static void
make_room(struct poison *poison)
{
	struct poison_request *request, *least = NULL;

	if (g_hash_table_size(poison->by_fingerprint) < POISON_REQUESTS_MAX)
		return;
	TAILQ_FOREACH_REVERSE(request, &poison->requests, poison_list, entry)
	{
		if (least == NULL || request->n_crashes < least->n_crashes)
			least = request;
		if (least->n_crashes <= 1)
			break;
	}
	request_free(poison, least);
}

static struct poison_request *
request_create(struct poison *poison, uint64_t fingerprint)
{
	struct poison_request *request;

	make_room(poison);
	request = g_new0(struct poison_request, 1);
	request->fingerprint = fingerprint;
	g_hash_table_insert(poison->by_fingerprint, &request->fingerprint,
	    request);
	TAILQ_INSERT_HEAD(&poison->requests, request, entry);
	return (request);
}

/**
 * poison_request_changed() - note a change of a request, so that peers are
 * told.
 * @poison: the table
 * @request: the request
 * @now_ms: loop time
 */
void
poison_request_changed(struct poison *poison, struct poison_request *request,
    uint64_t now_ms)
{
	request->changed_ms = now_ms;
	TAILQ_REMOVE(&poison->requests, request, entry);
	TAILQ_INSERT_HEAD(&poison->requests, request, entry);
}

static bool
same_incarnation(const struct poison_crash *a, const struct poison_crash *b)
{
	return (a->id_hash == b->id_hash && a->started == b->started);
}

/**
 * poison_request_find() - find the crash of the same incarnation.
 * @request: a suspected request
 * @crash: names the incarnation
 *
 * Return: the crash as it is recorded with the request, or NULL.
 */
struct poison_crash *
poison_request_find(const struct poison_request *request,
    const struct poison_crash *crash)
{
	for (unsigned i = 0; i < request->n_crashes; i++) {
		if (same_incarnation(&request->crashes[i], crash))
			return ((struct poison_crash *)&request->crashes[i]);
	}
	return (NULL);
}

static void
request_drop_crash(struct poison_request *request, unsigned at)
{
	request->n_crashes--;
	memmove(&request->crashes[at], &request->crashes[at + 1],
	    (request->n_crashes - at) * sizeof request->crashes[0]);
}

/* Adds a crash. If there is no room it replaces the newest, as the older ones
 * are settled. */
static void
request_add_crash(struct poison_request *request,
    const struct poison_crash *crash)
{
	unsigned newest = 0;

	for (unsigned i = 1; i < request->n_crashes; i++) {
		if (request->crashes[i].at_ms > request->crashes[newest].at_ms)
			newest = i;
	}
	if (request->n_crashes == POISON_CRASHES_MAX)
		request_drop_crash(request, newest);
	request->crashes[request->n_crashes++] = *crash;
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
request_resend_clearing(struct poison *poison, struct poison_request *request,
    uint64_t now_ms)
{
	if (request->n_crashes > 0 ||
	    now_ms - request->changed_ms < POISON_CLEARED_RESEND_MS)
		return;
	request->cleared_origin = POISON_LOCAL;
	poison_request_changed(poison, request, now_ms);
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

/**
 * poison_add_crash() - add a crash of an endpoint while it ran a request.
 * @poison: the table
 * @fingerprint: the request's fingerprint
 * @crash: the crash
 * @now_ms: loop time
 *
 * Return: whether it was added, or replaced a weaker report of the same crash.
 */
bool
poison_add_crash(struct poison *poison, uint64_t fingerprint,
    const struct poison_crash *crash, uint64_t now_ms)
{
	struct poison_request *request = poison_find(poison, fingerprint);
	struct poison_crash *known;

	if (request != NULL && crash->at_ms <= request->cleared_ms) {
		request_resend_clearing(poison, request, now_ms);
		return (false);
	}
	if (request == NULL)
		request = request_create(poison, fingerprint);
	known = poison_request_find(request, crash);
	if (known != NULL && crash_confirms(known, crash)) {
		known->cause = POISON_CONFIRMED;
		poison_request_changed(poison, request, now_ms);
		return (true);
	}
	if (known != NULL && (!known->silent || crash->silent))
		return (false);
	/* A broken connection is stronger evidence than silence. */
	if (known != NULL)
		*known = *crash;
	else
		request_add_crash(request, crash);
	poison_request_changed(poison, request, now_ms);
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
 * poison_observe_crash() - add a crash that this daemon observed, unless the
 * request was completed lately or had only just been sent.
 * @poison: the table
 * @fingerprint: the request's fingerprint
 * @crash: the crash
 * @now_ms: loop time
 *
 * Return: whether it was added.
 */
bool
poison_observe_crash(struct poison *poison, uint64_t fingerprint,
    const struct poison_crash *crash, uint64_t now_ms)
{
	const struct poison_success *success =
	    &poison->successes[fingerprint % POISON_SUCCESSES_MAX];

	if (crash_too_soon(crash))
		return (false);
	if (success->fingerprint == fingerprint &&
	    now_ms - success->at_ms < POISON_SUCCESS_TTL_MS)
		return (false);
	return (poison_add_crash(poison, fingerprint, crash, now_ms));
}

/**
 * poison_clear() - drop the crashes before a complete response to a request.
 * @poison: the table
 * @fingerprint: the request's fingerprint
 * @at_ms: loop time of the response
 * @origin: how this daemon learned of the response
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
	struct poison_request *request = poison_find(poison, fingerprint);
	unsigned before;

	if (request == NULL || at_ms <= request->cleared_ms)
		return (false);
	before = request->n_crashes;
	for (unsigned i = request->n_crashes; i-- > 0;) {
		if (request->crashes[i].at_ms <= at_ms)
			request_drop_crash(request, i);
	}
	request->cleared_ms = at_ms;
	request->cleared_origin = origin;
	if (before > 1 && request->n_crashes < before)
		poison_request_changed(poison, request, now_ms);
	return (request->n_crashes < before);
}

/**
 * poison_note_success() - note that this daemon received a complete response.
 * @poison: the table
 * @fingerprint: the request's fingerprint
 * @now_ms: loop time of the response
 *
 * Return: whether the request was suspected and any crash was dropped.
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
request_sweep(struct poison_request *request, const struct fleet *fleet,
    uint64_t now_ms)
{
	for (unsigned i = request->n_crashes; i-- > 0;) {
		const struct poison_crash *crash = &request->crashes[i];

		if (now_ms - MIN(crash->at_ms, now_ms) >= POISON_CRASH_TTL_MS ||
		    poison_crash_refuted(fleet, crash))
			request_drop_crash(request, i);
	}
}

/**
 * poison_sweep() - drop crashes that are refuted or old, and requests that have
 * had none for POISON_CLEARED_TTL_MS.
 * @poison: the table
 * @fleet: the endpoints
 * @now_ms: loop time
 */
void
poison_sweep(struct poison *poison, const struct fleet *fleet, uint64_t now_ms)
{
	struct poison_request *request;

	poison_judge(poison, fleet, now_ms);
	request = TAILQ_FIRST(&poison->requests);
	while (request != NULL) {
		struct poison_request *next = TAILQ_NEXT(request, entry);

		request_sweep(request, fleet, now_ms);
		if (request->n_crashes == 0 &&
		    now_ms - request->changed_ms >= POISON_CLEARED_TTL_MS)
			request_free(poison, request);
		request = next;
	}
}
