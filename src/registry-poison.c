/*
 * Work under which endpoints ended: suspected, cleared, quarantined. Pure.
 *
 * A request that crashes the endpoint that runs it comes again, under another
 * id and at any daemon, so it is known by a fingerprint of what it asks for.
 * All that ran on an endpoint that ended is suspected; what is answered whole
 * is cleared; what ends a third endpoint is quarantined.
 */
#include <stdlib.h>
#include <string.h>

#include "registry-poison.h"

/* Ends after which a daemon doesn't send work again by itself: its caller may
 * come again, and each end costs all that ran there. */
#define POISON_ENDS_REPEATED 2
/* Connections break for other reasons too, and several at once. An end counts
 * towards quarantine when it is this old: by then an endpoint that lives and
 * has other work has been heard of, and other requests of the work are
 * answered. */
#define POISON_SETTLE_MS 100
/* The daemon that saw the third end sends one request of the work after this,
 * so that an innocent one is not shut out for long. */
#define POISON_PROBE_MS 15000
/* Ends this soon after the third were on their way when it was known. */
#define POISON_BURST_MS 5000
/* Quarantine after so many ends; twice as long with each one in spite of it. */
#define POISON_PERIOD_MS 600000
#define POISON_DOUBLINGS_MOST 5
/* What was answered this lately doesn't crash endpoints: it was there when they
 * ended for another reason. */
#define POISON_GOOD_MS 10000
/* That work was cleared is remembered for so long: a daemon that wasn't told
 * may still tell of the ends, and is told then, this often. */
#define POISON_CLEARED_KEPT_MS 600000
#define POISON_CLEARED_AGAIN_MS 1000
/* Signs of life that may be older than the end they would disprove: an own
 * answer, what another daemon says of one, and a beat that was read late. */
#define HEARD_LAG_MS 100
#define PEER_HEARD_LAG_MS 300
#define BEAT_LAG_MS 2500

/* Whether an end is one. */
enum end_sight {
	END_STANDS,
	END_DOUBTED,
	END_DISPROVED,
};

/**
 * poison_init() - suspect nothing.
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
work_free(struct poison *poison, struct poison_request *w)
{
	g_hash_table_remove(poison->by_fingerprint, &w->fingerprint);
	TAILQ_REMOVE(&poison->requests, w, entry);
	g_free(w);
}

/**
 * poison_release() - free the table.
 * @poison: the table
 */
void
poison_release(struct poison *poison)
{
	struct poison_request *w, *next;

	for (w = TAILQ_FIRST(&poison->requests); w != NULL; w = next) {
		next = TAILQ_NEXT(w, entry);
		work_free(poison, w);
	}
	g_hash_table_destroy(poison->by_fingerprint);
}

/**
 * poison_find() - what is known of some work.
 * @poison: the table
 * @work: its fingerprint
 */
struct poison_request *
poison_find(const struct poison *poison, uint64_t work)
{
	return (g_hash_table_lookup(poison->by_fingerprint, &work));
}

/* Makes room by dropping the work with the fewest ends, the oldest of these. */
static void
make_room(struct poison *poison)
{
	struct poison_request *w, *least = NULL;

	if (g_hash_table_size(poison->by_fingerprint) < POISON_REQUESTS_MAX)
		return;
	TAILQ_FOREACH_REVERSE(w, &poison->requests, poison_list, entry)
	{
		if (least == NULL || w->n_crashes < least->n_crashes)
			least = w;
		if (least->n_crashes <= 1)
			break;
	}
	work_free(poison, least);
}

static struct poison_request *
work_create(struct poison *poison, uint64_t work)
{
	struct poison_request *w;

	make_room(poison);
	w = g_new0(struct poison_request, 1);
	w->fingerprint = work;
	g_hash_table_insert(poison->by_fingerprint, &w->fingerprint, w);
	TAILQ_INSERT_HEAD(&poison->requests, w, entry);
	return (w);
}

static void
work_changed(struct poison *poison, struct poison_request *w, uint64_t now_ms)
{
	w->changed_ms = now_ms;
	TAILQ_REMOVE(&poison->requests, w, entry);
	TAILQ_INSERT_HEAD(&poison->requests, w, entry);
}

static bool
end_same(const struct poison_crash *a, const struct poison_crash *b)
{
	return (a->id_hash == b->id_hash && a->started == b->started);
}

static struct poison_crash *
work_end(const struct poison_request *w, const struct poison_crash *end)
{
	for (unsigned i = 0; i < w->n_crashes; i++) {
		if (end_same(&w->crashes[i], end))
			return ((struct poison_crash *)&w->crashes[i]);
	}
	return (NULL);
}

static void
work_drop_end(struct poison_request *w, unsigned at)
{
	w->n_crashes--;
	memmove(&w->crashes[at], &w->crashes[at + 1],
	    (w->n_crashes - at) * sizeof w->crashes[0]);
}

/* Adds an end; the newest makes room, since those of before are settled. */
static void
work_add_end(struct poison_request *w, const struct poison_crash *end)
{
	unsigned newest = 0;

	for (unsigned i = 1; i < w->n_crashes; i++) {
		if (w->crashes[i].at_ms > w->crashes[newest].at_ms)
			newest = i;
	}
	if (w->n_crashes == POISON_CRASHES_MAX)
		work_drop_end(w, newest);
	w->crashes[w->n_crashes++] = *end;
}

/**
 * poison_crash_of() - the end of an endpoint's incarnation.
 * @ep: the endpoint
 * @silent: it fell silent
 * @now_ms: loop time
 */
struct poison_crash
poison_crash_of(const struct endpoint *ep, bool silent, uint64_t now_ms)
{
	const struct poison_crash end = {
		.id_hash = ep->id_hash,
		.started = (uint32_t)ep->report.started_ms,
		.at_ms = now_ms,
		.silent = silent,
	};

	return (end);
}

/* Another daemon still tells of an end that an answer has cleared: the answer
 * is news once more. */
static void
work_clear_again(struct poison *poison, struct poison_request *w,
    uint64_t now_ms)
{
	if (w->n_crashes > 0 ||
	    now_ms - w->changed_ms < POISON_CLEARED_AGAIN_MS)
		return;
	w->cleared_origin = POISON_LOCAL;
	work_changed(poison, w, now_ms);
}

/**
 * poison_add_crash() - an endpoint ended while it had some work.
 * @poison: the table
 * @work: the work's fingerprint
 * @end: the endpoint's end
 * @now_ms: loop time
 *
 * Return: true where that is news.
 */
bool
poison_add_crash(struct poison *poison, uint64_t work,
    const struct poison_crash *end, uint64_t now_ms)
{
	struct poison_request *w = poison_find(poison, work);
	struct poison_crash *known;

	if (w != NULL && end->at_ms <= w->cleared_ms) {
		work_clear_again(poison, w, now_ms);
		return (false);
	}
	if (w == NULL)
		w = work_create(poison, work);
	known = work_end(w, end);
	if (known != NULL && (!known->silent || end->silent))
		return (false);
	/* A connection that broke says more than silence did. */
	if (known != NULL)
		*known = *end;
	else
		work_add_end(w, end);
	work_changed(poison, w, now_ms);
	return (true);
}

/**
 * poison_observe_crash() - this daemon lost some work at an endpoint that
 * ended.
 * @poison: the table
 * @work: the work's fingerprint
 * @end: the endpoint's end
 * @now_ms: loop time
 *
 * Return: true where that makes it suspected of one end more.
 */
bool
poison_observe_crash(struct poison *poison, uint64_t work,
    const struct poison_crash *end, uint64_t now_ms)
{
	const struct poison_success *good =
	    &poison->successes[work % POISON_SUCCESSES_MAX];

	if (good->fingerprint == work && now_ms - good->at_ms < POISON_GOOD_MS)
		return (false);
	return (poison_add_crash(poison, work, end, now_ms));
}

/**
 * poison_clear() - some work was answered whole.
 * @poison: the table
 * @work: its fingerprint
 * @at_ms: when
 * @reach: from where that is known
 * @now_ms: loop time
 *
 * A single end is left out of the news: it tells nothing by itself.
 *
 * Return: true where it was suspected.
 */
bool
poison_clear(struct poison *poison, uint64_t work, uint64_t at_ms,
    enum poison_origin reach, uint64_t now_ms)
{
	struct poison_request *w = poison_find(poison, work);
	unsigned before;

	if (w == NULL || at_ms <= w->cleared_ms)
		return (false);
	before = w->n_crashes;
	for (unsigned i = w->n_crashes; i-- > 0;) {
		if (w->crashes[i].at_ms <= at_ms)
			work_drop_end(w, i);
	}
	w->cleared_ms = at_ms;
	w->cleared_origin = reach;
	if (before > 1 && w->n_crashes < before)
		work_changed(poison, w, now_ms);
	return (w->n_crashes < before);
}

/**
 * poison_note_success() - this daemon has a whole answer to some work.
 * @poison: the table
 * @work: its fingerprint
 * @now_ms: loop time
 *
 * Return: true where it was suspected.
 */
bool
poison_note_success(struct poison *poison, uint64_t work, uint64_t now_ms)
{
	struct poison_success *good =
	    &poison->successes[work % POISON_SUCCESSES_MAX];

	good->fingerprint = work;
	good->at_ms = now_ms;
	return (poison_clear(poison, work, now_ms, POISON_LOCAL, now_ms));
}

/*
 * Whether others of an endpoint's failure domain were heard after it fell
 * silent: otherwise the way there may be cut.
 */
static bool
neighbour_heard(const struct fleet *fleet, const struct endpoint *silent,
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

/* The incarnation of an end; NULL where another has taken its place, or none.
 */
static const struct endpoint *
end_endpoint(const struct fleet *fleet, const struct poison_crash *end)
{
	const struct endpoint *ep = fleet_find_by_hash(fleet, end->id_hash);

	if (ep == NULL || (uint32_t)ep->report.started_ms != end->started)
		return (NULL);
	return (ep);
}

/* Whether an endpoint was heard of since it seemed to end. */
static bool
end_disproved(const struct endpoint *ep, const struct poison_crash *end)
{
	return (ep != NULL &&
	    (ep->heard_ms >= end->at_ms + HEARD_LAG_MS ||
		ep->peer_heard_ms >= end->at_ms + PEER_HEARD_LAG_MS));
}

/* What the fleet says of an end. */
static enum end_sight
end_look(const struct fleet *fleet, const struct poison_crash *end)
{
	const struct endpoint *ep = end_endpoint(fleet, end);

	if (ep == NULL)
		return (END_STANDS);
	if (end_disproved(ep, end))
		return (END_DISPROVED);
	if (ep->gone || ep->lapsed_ms != 0)
		return (END_STANDS);
	if (ep->seen_ms >= end->at_ms + BEAT_LAG_MS)
		return (END_DOUBTED);
	if (end->silent && !neighbour_heard(fleet, ep, end->at_ms))
		return (END_DOUBTED);
	return (END_STANDS);
}

/* Whether work that ended more endpoints ended this one too. */
static bool
end_explained(const struct poison *poison, const struct poison_request *w,
    const struct poison_crash *end)
{
	const struct poison_request *other;

	TAILQ_FOREACH(other, &poison->requests, entry) {
		if (other != w &&
		    other->n_crashes >= POISON_QUARANTINE_CRASHES &&
		    other->n_crashes > w->n_crashes &&
		    work_end(other, end) != NULL)
			return (true);
	}
	return (false);
}

/* How long after the newest end a probe is due, by ends in spite of quarantine.
 */
static uint64_t
probe_after_ms(unsigned later)
{
	if (later == 0)
		return (POISON_PROBE_MS);
	return ((uint64_t)POISON_PERIOD_MS << (later - 1));
}

static int
compare_times(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x < y ? -1 : x > y);
}

/* Ends that came in spite of quarantine. */
static unsigned
later_ends(const uint64_t *at_ms, unsigned n)
{
	uint64_t sorted[POISON_CRASHES_MAX];
	unsigned later = 0;

	memcpy(sorted, at_ms, n * sizeof sorted[0]);
	qsort(sorted, n, sizeof sorted[0], compare_times);
	for (unsigned i = POISON_QUARANTINE_CRASHES; i < n; i++)
		later += sorted[i] >
		    sorted[POISON_QUARANTINE_CRASHES - 1] + POISON_BURST_MS;
	return (MIN(later, POISON_DOUBLINGS_MOST));
}

/**
 * poison_evaluate() - whether some work is quarantined.
 * @poison: the table
 * @fleet: the endpoints
 * @w: the work
 * @now_ms: loop time
 * @verdict: filled in
 */
void
poison_evaluate(const struct poison *poison, const struct fleet *fleet,
    const struct poison_request *w, uint64_t now_ms,
    struct poison_verdict *verdict)
{
	const struct poison_crash *newest = NULL;
	uint64_t at_ms[POISON_CRASHES_MAX], until;
	unsigned later;

	memset(verdict, 0, sizeof *verdict);
	for (unsigned i = 0; i < w->n_crashes; i++) {
		const struct poison_crash *end = &w->crashes[i];
		enum end_sight sight = end_look(fleet, end);

		if (sight == END_DISPROVED)
			continue;
		if (sight == END_DOUBTED) {
			verdict->unconfirmed++;
		} else if (end_explained(poison, w, end)) {
			verdict->explained++;
		} else {
			at_ms[verdict->crashes++] = end->at_ms;
			verdict->settled +=
			    now_ms >= end->at_ms + POISON_SETTLE_MS;
			if (newest == NULL || end->at_ms > newest->at_ms)
				newest = end;
		}
	}
	if (verdict->settled < POISON_QUARANTINE_CRASHES)
		return;
	later = later_ends(at_ms, verdict->crashes);
	until = newest->at_ms + ((uint64_t)POISON_PERIOD_MS << later);
	if (now_ms >= until)
		return;
	verdict->until_ms = until;
	if (newest->origin == POISON_LOCAL)
		verdict->probe_ms = newest->at_ms + probe_after_ms(later);
}

/**
 * poison_may_retry() - whether a daemon may send some work again by itself.
 * @poison: the table
 * @fleet: the endpoints
 * @work: its fingerprint
 * @now_ms: loop time
 */
bool
poison_may_retry(const struct poison *poison, const struct fleet *fleet,
    uint64_t work, uint64_t now_ms)
{
	const struct poison_request *w = poison_find(poison, work);
	struct poison_verdict verdict;

	if (w == NULL)
		return (true);
	poison_evaluate(poison, fleet, w, now_ms, &verdict);
	return (verdict.crashes < POISON_ENDS_REPEATED || verdict.settled == 0);
}

/* Drops ends that were none, and those of long ago. */
static void
work_sweep(struct poison_request *w, const struct fleet *fleet, uint64_t now_ms)
{
	for (unsigned i = w->n_crashes; i-- > 0;) {
		const struct poison_crash *end = &w->crashes[i];

		if (now_ms - MIN(end->at_ms, now_ms) >= POISON_CRASH_TTL_MS ||
		    end_disproved(end_endpoint(fleet, end), end))
			work_drop_end(w, i);
	}
}

/**
 * poison_sweep() - forget what has been disproved, and what is old.
 * @poison: the table
 * @fleet: the endpoints
 * @now_ms: loop time
 */
void
poison_sweep(struct poison *poison, const struct fleet *fleet, uint64_t now_ms)
{
	struct poison_request *w = TAILQ_FIRST(&poison->requests);

	while (w != NULL) {
		struct poison_request *next = TAILQ_NEXT(w, entry);

		work_sweep(w, fleet, now_ms);
		if (w->n_crashes == 0 &&
		    now_ms - w->changed_ms >= POISON_CLEARED_KEPT_MS)
			work_free(poison, w);
		w = next;
	}
}
