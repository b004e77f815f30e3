/*
 * Requests that may crash the endpoints that run them: suspicion, clearing and
 * quarantine. Does no I/O.
 *
 * A request that crashes its endpoint is sent again by its client, under
 * another id and to any daemon, so it is identified by a fingerprint of what it
 * asks for. All requests that ran on an endpoint that crashed are suspected.
 * One that completes is cleared; one that crashes a third endpoint is
 * quarantined.
 */
#include <stdlib.h>
#include <string.h>

#include "registry-poison.h"

/* Crashes after which a daemon does not retry a request by itself: the client
 * may send it again, and each crash costs all requests that run there. */
#define POISON_RETRY_CRASHES 2
/* Connections break for other reasons too, and several at once. A crash counts
 * towards quarantine when it is this old: by then a live endpoint that has
 * other requests has sent something, and other requests of the same fingerprint
 * are answered. */
#define POISON_SETTLE_MS 100
/* The daemon that observed the third crash sends one such request after this
 * time, so that an innocent one is not shut out for long. */
#define POISON_PROBE_MS 15000
/* Crashes this soon after the third are from requests that were already
 * running.
 */
#define POISON_BURST_MS 5000
/* Length of the quarantine, doubled with each further crash despite it. */
#define POISON_QUARANTINE_MS 600000
#define POISON_DOUBLINGS_MAX 5
/* A request that was completed this lately does not crash endpoints: it ran
 * there when they ended for another reason. */
#define POISON_SUCCESS_TTL_MS 10000
/* A cleared request is remembered for this long. A daemon that missed the
 * clearing may go on reporting the crashes, and is answered at this interval.
 */
#define POISON_CLEARED_TTL_MS 600000
#define POISON_CLEARED_RESEND_MS 1000
/* Evidence that an endpoint is alive must be this much newer than a crash to
 * refute it, since it may be older than it looks: bytes received here, those
 * reported by a peer, and an entry that was read late. */
#define HEARD_LAG_MS 100
#define PEER_HEARD_LAG_MS 300
#define HEARTBEAT_LAG_MS 2500

/*
 * Whether a reported crash happened. CRASH_PROBABLE: nothing speaks against it.
 * CRASH_UNCONFIRMED: the endpoint may be alive, so the crash does not count for
 * now. CRASH_REFUTED: the endpoint was heard of after it.
 */
enum crash_status {
	CRASH_PROBABLE,
	CRASH_UNCONFIRMED,
	CRASH_REFUTED,
};

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

/* Notes a change, and moves the request to the head of the list. */
static void
request_changed(struct poison *poison, struct poison_request *request,
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

static struct poison_crash *
request_find_crash(const struct poison_request *request,
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
	request_changed(poison, request, now_ms);
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
	known = request_find_crash(request, crash);
	if (known != NULL && (!known->silent || crash->silent))
		return (false);
	/* A broken connection is stronger evidence than silence. */
	if (known != NULL)
		*known = *crash;
	else
		request_add_crash(request, crash);
	request_changed(poison, request, now_ms);
	return (true);
}

/**
 * poison_observe_crash() - add a crash that this daemon observed, unless the
 * request was completed lately.
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
		request_changed(poison, request, now_ms);
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

/*
 * Whether another endpoint of the failure domain was heard of after this one
 * fell silent: otherwise the network path there may be broken.
 */
static bool
domain_heard(const struct fleet *fleet, const struct endpoint *silent,
    uint64_t since_ms)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &fleet->endpoints, entry) {
		if (ep != silent && ep->heard_ms > since_ms &&
		    g_strcmp0(ep->report.domain, silent->report.domain) == 0)
			return (true);
	}
	return (false);
}

/* The incarnation that a crash is about; NULL if it is no longer known. */
static const struct endpoint *
crash_endpoint(const struct fleet *fleet, const struct poison_crash *crash)
{
	const struct endpoint *ep = fleet_find_by_hash(fleet, crash->id_hash);

	if (ep == NULL || (uint32_t)ep->report.started_ms != crash->started)
		return (NULL);
	return (ep);
}

/* Whether an endpoint was heard of after its reported crash. */
static bool
crash_refuted(const struct endpoint *ep, const struct poison_crash *crash)
{
	return (ep != NULL &&
	    (ep->heard_ms >= crash->at_ms + HEARD_LAG_MS ||
		ep->peer_heard_ms >= crash->at_ms + PEER_HEARD_LAG_MS));
}

/* Checks a reported crash against what the fleet knows of the endpoint. */
static enum crash_status
crash_check(const struct fleet *fleet, const struct poison_crash *crash)
{
	const struct endpoint *ep = crash_endpoint(fleet, crash);

	if (ep == NULL)
		return (CRASH_PROBABLE);
	if (crash_refuted(ep, crash))
		return (CRASH_REFUTED);
	if (ep->gone || ep->lapsed_ms != 0)
		return (CRASH_PROBABLE);
	if (ep->seen_ms >= crash->at_ms + HEARTBEAT_LAG_MS)
		return (CRASH_UNCONFIRMED);
	if (crash->silent && !domain_heard(fleet, ep, crash->at_ms))
		return (CRASH_UNCONFIRMED);
	return (CRASH_PROBABLE);
}

/* Whether another request, with more crashes and enough for quarantine, shares
 * this crash and is to blame for it. */
static bool
crash_explained(const struct poison *poison,
    const struct poison_request *request, const struct poison_crash *crash)
{
	const struct poison_request *other;

	TAILQ_FOREACH(other, &poison->requests, entry) {
		if (other != request &&
		    other->n_crashes >= POISON_QUARANTINE_CRASHES &&
		    other->n_crashes > request->n_crashes &&
		    request_find_crash(other, crash) != NULL)
			return (true);
	}
	return (false);
}

/* Time from the newest crash to the probe. */
static uint64_t
probe_delay_ms(unsigned doublings)
{
	if (doublings == 0)
		return (POISON_PROBE_MS);
	return ((uint64_t)POISON_QUARANTINE_MS << (doublings - 1));
}

static int
compare_times(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y ? -1 : x > y);
}

/* How often the quarantine doubles: once for each crash despite it. */
static unsigned
count_doublings(const uint64_t *at_ms, unsigned n)
{
	uint64_t sorted[POISON_CRASHES_MAX];
	unsigned doublings = 0;

	memcpy(sorted, at_ms, n * sizeof sorted[0]);
	qsort(sorted, n, sizeof sorted[0], compare_times);
	for (unsigned i = POISON_QUARANTINE_CRASHES; i < n; i++)
		doublings += sorted[i] >
		    sorted[POISON_QUARANTINE_CRASHES - 1] + POISON_BURST_MS;
	return (MIN(doublings, POISON_DOUBLINGS_MAX));
}

/**
 * poison_evaluate() - decide whether a request is quarantined.
 * @poison: the table
 * @fleet: the endpoints
 * @request: the request
 * @now_ms: loop time
 * @verdict: set to the result
 */
void
poison_evaluate(const struct poison *poison, const struct fleet *fleet,
    const struct poison_request *request, uint64_t now_ms,
    struct poison_verdict *verdict)
{
	const struct poison_crash *newest = NULL;
	uint64_t at_ms[POISON_CRASHES_MAX], until;
	unsigned doublings;

	memset(verdict, 0, sizeof *verdict);
	for (unsigned i = 0; i < request->n_crashes; i++) {
		const struct poison_crash *crash = &request->crashes[i];
		enum crash_status status = crash_check(fleet, crash);

		if (status == CRASH_REFUTED)
			continue;
		if (status == CRASH_UNCONFIRMED) {
			verdict->unconfirmed++;
		} else if (crash_explained(poison, request, crash)) {
			verdict->explained++;
		} else {
			at_ms[verdict->crashes++] = crash->at_ms;
			verdict->settled +=
			    now_ms >= crash->at_ms + POISON_SETTLE_MS;
			if (newest == NULL || crash->at_ms > newest->at_ms)
				newest = crash;
		}
	}
	if (verdict->settled < POISON_QUARANTINE_CRASHES)
		return;
	doublings = count_doublings(at_ms, verdict->crashes);
	until = newest->at_ms + ((uint64_t)POISON_QUARANTINE_MS << doublings);
	if (now_ms >= until)
		return;
	verdict->until_ms = until;
	if (newest->origin == POISON_LOCAL)
		verdict->probe_ms = newest->at_ms + probe_delay_ms(doublings);
}

/**
 * poison_may_retry() - whether a daemon may retry a request by itself.
 * @poison: the table
 * @fleet: the endpoints
 * @fingerprint: the request's fingerprint
 * @now_ms: loop time
 */
bool
poison_may_retry(const struct poison *poison, const struct fleet *fleet,
    uint64_t fingerprint, uint64_t now_ms)
{
	const struct poison_request *request = poison_find(poison, fingerprint);
	struct poison_verdict verdict;

	if (request == NULL)
		return (true);
	poison_evaluate(poison, fleet, request, now_ms, &verdict);
	return (verdict.crashes < POISON_RETRY_CRASHES || verdict.settled == 0);
}

/* Drops crashes that have been refuted, and old ones. */
static void
request_sweep(struct poison_request *request, const struct fleet *fleet,
    uint64_t now_ms)
{
	for (unsigned i = request->n_crashes; i-- > 0;) {
		const struct poison_crash *crash = &request->crashes[i];

		if (now_ms - MIN(crash->at_ms, now_ms) >= POISON_CRASH_TTL_MS ||
		    crash_refuted(crash_endpoint(fleet, crash), crash))
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
	struct poison_request *request = TAILQ_FIRST(&poison->requests);

	while (request != NULL) {
		struct poison_request *next = TAILQ_NEXT(request, entry);

		request_sweep(request, fleet, now_ms);
		if (request->n_crashes == 0 &&
		    now_ms - request->changed_ms >= POISON_CLEARED_TTL_MS)
			request_free(poison, request);
		request = next;
	}
}
