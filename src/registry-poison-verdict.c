/* Verdict on suspects of crashing endpoints: retry, quarantine and probe. */
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
/* The same where several suspects crashed the same endpoints, unless requests
 * with one of them show within this time which it was. */
#define POISON_TIE_PROBE_MS 1000
/* From then on each of these counts as the cause. */
#define POISON_TIE_MS 2000
/* Crashes this soon after the third are from requests that were already
 * running.
 */
#define POISON_BURST_MS 5000
/* Length of the quarantine, doubled with each further crash despite it. */
#define POISON_QUARANTINE_MS 600000
#define POISON_DOUBLINGS_MAX 5
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

/**
 * poison_crash_endpoint() - the incarnation that a crash is about.
 * @fleet: the endpoints
 * @crash: the crash
 *
 * Return: the endpoint, or NULL if it is no longer known.
 */
const struct endpoint *
poison_crash_endpoint(const struct fleet *fleet,
    const struct poison_crash *crash)
{
	const struct endpoint *ep = fleet_find_by_hash(fleet, crash->id_hash);

	if (ep == NULL || (uint32_t)ep->report.started_ms != crash->started)
		return (NULL);
	return (ep);
}

/* Whether an endpoint was heard of after its reported crash. */
static bool
endpoint_outlived(const struct endpoint *ep, const struct poison_crash *crash)
{
	return (ep != NULL &&
	    (ep->heard_ms >= crash->at_ms + HEARD_LAG_MS ||
		ep->peer_heard_ms >= crash->at_ms + PEER_HEARD_LAG_MS));
}

/**
 * poison_crash_refuted() - whether a reported crash did not happen.
 * @fleet: the endpoints
 * @crash: the crash
 */
bool
poison_crash_refuted(const struct fleet *fleet,
    const struct poison_crash *crash)
{
	return (endpoint_outlived(poison_crash_endpoint(fleet, crash), crash));
}

/* Checks a reported crash against what the fleet knows of the endpoint. */
static enum crash_status
crash_check(const struct fleet *fleet, const struct poison_suspect *suspect,
    const struct poison_crash *crash, uint64_t now_ms)
{
	const struct endpoint *ep = poison_crash_endpoint(fleet, crash);

	if (ep == NULL)
		return (CRASH_PROBABLE);
	if (endpoint_outlived(ep, crash))
		return (CRASH_REFUTED);
	if (ep->gone || ep->lapsed_ms != 0)
		return (CRASH_PROBABLE);
	if (ep->seen_ms >= crash->at_ms + HEARTBEAT_LAG_MS)
		return (CRASH_UNCONFIRMED);
	if (crash->silent && !domain_heard(fleet, ep, crash->at_ms))
		return (CRASH_UNCONFIRMED);
	if (poison_crash_shared(fleet, suspect, crash, now_ms))
		return (CRASH_UNCONFIRMED);
	return (CRASH_PROBABLE);
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
 * struct crash_tally - crashes that a suspect may be blamed for.
 * @at_ms: when they happened
 * @n: number of @at_ms
 * @settled: those that are old enough to count
 * @newest: the newest one; NULL for none
 */
struct crash_tally {
	uint64_t at_ms[POISON_CRASHES_MAX];
	unsigned n;
	unsigned settled;
	const struct poison_crash *newest;
};

static void
tally_add(struct crash_tally *tally, const struct poison_crash *crash,
    uint64_t now_ms)
{
	tally->at_ms[tally->n++] = crash->at_ms;
	tally->settled += now_ms >= crash->at_ms + POISON_SETTLE_MS;
	if (tally->newest == NULL || crash->at_ms > tally->newest->at_ms)
		tally->newest = crash;
}

/* Fills in the quarantine that crashes amount to. */
static void
verdict_quarantine(const struct crash_tally *tally, uint64_t now_ms,
    struct poison_verdict *verdict)
{
	unsigned doublings;
	uint64_t until;

	if (tally->settled < POISON_QUARANTINE_CRASHES)
		return;
	doublings = count_doublings(tally->at_ms, tally->n);
	until = tally->newest->at_ms +
	    ((uint64_t)POISON_QUARANTINE_MS << doublings);
	if (now_ms >= until)
		return;
	verdict->until_ms = until;
	if (tally->newest->origin == POISON_LOCAL)
		verdict->probe_ms =
		    tally->newest->at_ms + probe_delay_ms(doublings);
}

/* Fills in that a suspect would be quarantined but for a tie. */
static void
verdict_tie(const struct crash_tally *all, struct poison_verdict *verdict)
{
	if (verdict->tied == 0 || verdict->until_ms != 0 ||
	    all->settled < POISON_QUARANTINE_CRASHES)
		return;
	verdict->is_tied = true;
	if (all->newest->origin == POISON_LOCAL)
		verdict->probe_ms = all->newest->at_ms + POISON_TIE_PROBE_MS;
}

/* Whether a tie is so old that no request has resolved it. */
static bool
tie_is_old(const struct poison_suspect *suspect, uint64_t now_ms)
{
	uint64_t newest_ms = 0;

	for (unsigned i = 0; i < suspect->n_crashes; i++)
		newest_ms = MAX(newest_ms, suspect->crashes[i].at_ms);
	return (now_ms >= newest_ms + POISON_TIE_MS);
}

/**
 * poison_evaluate() - decide whether a suspect is quarantined.
 * @poison: the table
 * @fleet: the endpoints
 * @suspect: the suspect
 * @keys: what else the request has that is to be sent: it excuses nothing; NULL
 *	to evaluate the suspect by itself
 * @now_ms: loop time
 * @verdict: set to the result
 */
void
poison_evaluate(const struct poison *poison, const struct fleet *fleet,
    const struct poison_suspect *suspect, const struct poison_keys *keys,
    uint64_t now_ms, struct poison_verdict *verdict)
{
	bool ties_count = keys == NULL && tie_is_old(suspect, now_ms);
	struct crash_tally own = { 0 }, all = { 0 };
	enum poison_blame blames[POISON_CRASHES_MAX];

	memset(verdict, 0, sizeof *verdict);
	poison_blame(poison, suspect, keys, blames);
	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		const struct poison_crash *crash = &suspect->crashes[i];
		enum crash_status status =
		    crash_check(fleet, suspect, crash, now_ms);

		verdict->unconfirmed += status == CRASH_UNCONFIRMED;
		if (status != CRASH_PROBABLE)
			continue;
		verdict->explained += blames[i] == POISON_BLAME_OTHER;
		verdict->tied += blames[i] == POISON_BLAME_TIED;
		if (blames[i] == POISON_BLAME_OTHER)
			continue;
		tally_add(&all, crash, now_ms);
		if (blames[i] == POISON_BLAME_OWN || ties_count)
			tally_add(&own, crash, now_ms);
	}
	verdict->crashes = own.n;
	verdict->settled = own.settled;
	verdict_quarantine(&own, now_ms, verdict);
	verdict_tie(&all, verdict);
}

/**
 * poison_decide() - decide whether a request may be sent.
 * @poison: the table
 * @fleet: the endpoints
 * @keys: what of the request may be to blame for crashes
 * @now_ms: loop time
 * @decision: set to the result
 *
 * Where suspects crashed the same endpoints, a request with all of them is
 * quarantined, as one of them is to blame. One with several, while others are
 * suspected too, is ambiguous. One with a single suspect is sent: it shows
 * whether that is to blame.
 */
void
poison_decide(const struct poison *poison, const struct fleet *fleet,
    const struct poison_keys *keys, uint64_t now_ms,
    struct poison_decision *decision)
{
	struct poison_decision tie = { .action = POISON_SEND };
	unsigned n_tied = 0;

	for (unsigned i = 0; i < keys->n; i++) {
		struct poison_suspect *suspect =
		    poison_find(poison, keys->key[i].fingerprint);
		struct poison_verdict verdict;

		if (suspect == NULL ||
		    suspect->n_crashes < POISON_QUARANTINE_CRASHES)
			continue;
		poison_evaluate(poison, fleet, suspect, keys, now_ms, &verdict);
		if (verdict.until_ms != 0) {
			*decision =
			    (struct poison_decision){ POISON_QUARANTINED,
				    suspect, verdict };
			return;
		}
		if (verdict.is_tied && n_tied++ == 0)
			tie = (struct poison_decision){ POISON_AMBIGUOUS,
				suspect, verdict };
	}
	if (n_tied < 2)
		tie.action = POISON_SEND;
	*decision = tie;
}

/**
 * poison_may_retry() - whether a daemon may retry a request by itself.
 * @poison: the table
 * @fleet: the endpoints
 * @keys: what of the request may be to blame for crashes
 * @now_ms: loop time
 */
bool
poison_may_retry(const struct poison *poison, const struct fleet *fleet,
    const struct poison_keys *keys, uint64_t now_ms)
{
	for (unsigned i = 0; i < keys->n; i++) {
		const struct poison_suspect *suspect =
		    poison_find(poison, keys->key[i].fingerprint);
		struct poison_verdict verdict;

		if (suspect == NULL)
			continue;
		poison_evaluate(poison, fleet, suspect, keys, now_ms, &verdict);
		if (verdict.crashes + verdict.tied >= POISON_RETRY_CRASHES &&
		    verdict.settled + verdict.tied > 0)
			return (false);
	}
	return (true);
}
