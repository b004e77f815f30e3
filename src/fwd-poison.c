/* What requests and their ends say of work that ends endpoints. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* A name of eight digits and its end. */
#define WORK_NAME_BYTES 9
/* When to come back with work that the operator has refused. */
#define RETRY_OPERATOR_MS 600000
/* Room for the names of the endpoints that some work is blamed for. */
#define BLAMED_BYTES 256

/* The endpoints that work is blamed for, for the log. */
static void
blamed_print(const struct fleet *fleet, const struct poison_request *w,
    uint64_t now_ms, char *out, size_t size)
{
	size_t used = 0;

	out[0] = '\0';
	for (unsigned i = 0; i < w->n_crashes && used < size; i++) {
		const struct poison_crash *end = &w->crashes[i];
		const struct endpoint *ep =
		    fleet_find_by_hash(fleet, end->id_hash);

		used += (size_t)g_snprintf(out + used, size - used,
		    "%s%s:%08x:%llu", i > 0 ? "," : "",
		    ep != NULL ? ep->report.id : "-", end->id_hash,
		    (unsigned long long)(now_ms - MIN(end->at_ms, now_ms)));
	}
}

/* A line with all that a verdict rests on. */
static void
poison_log(struct fwd *fwd, const struct poison_request *w,
    const struct poison_verdict *verdict, const char *event, const char *id)
{
	uint64_t now = clock_loop_ms(fwd->loop);
	char blamed[BLAMED_BYTES];

	blamed_print(&fwd->registry->fleet, w, now, blamed, sizeof blamed);
	event_log(LOG_NOTICE, event,
	    "id=%s work=%08x ends=%u doubted=%u explained=%u left_ms=%lld "
	    "blamed_for=%s",
	    id, FINGERPRINT_SHORT(w->fingerprint), verdict->crashes,
	    verdict->unconfirmed, verdict->explained,
	    verdict->until_ms != 0 ? (long long)(verdict->until_ms - now) : -1,
	    blamed);
}

/* Judges some work, with a line where that changed. */
static void
poison_look(struct fwd *fwd, struct poison_request *w,
    struct poison_verdict *verdict, const char *id)
{
	bool quarantined;

	poison_evaluate(&fwd->registry->poison, &fwd->registry->fleet, w,
	    clock_loop_ms(fwd->loop), verdict);
	quarantined = verdict->until_ms != 0;
	if (quarantined == w->quarantined)
		return;
	w->quarantined = quarantined;
	if (quarantined)
		fwd_stats_count(&fwd->stats, COUNT_QUARANTINED);
	poison_log(fwd, w, verdict,
	    quarantined ? "work_quarantined" : "work_released", id);
}

/**
 * fwd_poison_sweep() - judge all work that has ended endpoints, by own sight or
 * others' words.
 * @fwd: the engine
 */
void
fwd_poison_sweep(struct fwd *fwd)
{
	struct poison_verdict verdict;
	struct poison_request *w;

	TAILQ_FOREACH(w, &fwd->registry->poison.requests, entry) {
		if (w->quarantined || w->n_crashes >= POISON_QUARANTINE_CRASHES)
			poison_look(fwd, w, &verdict, "-");
	}
}

/**
 * fwd_poison_observe_crash() - the endpoint may have ended while it had a
 * request.
 * @ex: the exchange, with its endpoint
 * @silent: it fell silent; otherwise the connection broke
 */
void
fwd_poison_observe_crash(struct fwd_exchange *ex, bool silent)
{
	struct fwd *fwd = ex->fwd;
	const struct endpoint *ep = ex->endpoint;
	uint64_t now = clock_loop_ms(fwd->loop);
	const struct poison_crash end = poison_crash_of(ep, silent, now);
	bool news = poison_observe_crash(&fwd->registry->poison,
	    ex->fingerprint, &end, now);

	fwd_stats_count(&fwd->stats, COUNT_LOST);
	event_log(LOG_NOTICE, "work_lost",
	    "id=%s work=%08x endpoint=%s started_ms=%lld sign=%s "
	    "suspected=%d sent_ms_ago=%llu last_event=%lld inflight=%u "
	    "peer_inflight=%u",
	    ex->id, FINGERPRINT_SHORT(ex->fingerprint), ep->report.id,
	    (long long)ep->report.started_ms, silent ? "silent" : "broken",
	    news, (unsigned long long)(now - ex->sent_ms),
	    (long long)ex->events.last_id, ep->inflight, ep->peer_inflight);
}

/**
 * fwd_poison_note_success() - the endpoint's answer to a request is whole.
 * @ex: the exchange
 *
 * The rest of an answer says nothing of what its begin does to endpoints.
 */
void
fwd_poison_note_success(struct fwd_exchange *ex)
{
	if (ex->resumed)
		return;
	if (!poison_note_success(&ex->fwd->registry->poison, ex->fingerprint,
		clock_loop_ms(ex->fwd->loop)))
		return;
	event_log(LOG_INFO, "work_cleared", "id=%s work=%08x endpoint=%s",
	    ex->id, FINGERPRINT_SHORT(ex->fingerprint),
	    ex->n_tried > 0 ? ex->tried[ex->n_tried - 1].endpoint->report.id :
			      "-");
}

/* Whether some work is in a setting's list. */
static bool
work_listed(const char *list, uint64_t work)
{
	char name[WORK_NAME_BYTES];

	if (list == NULL || list[0] == '\0')
		return (false);
	g_snprintf(name, sizeof name, "%08x", FINGERPRINT_SHORT(work));
	return (strstr(list, name) != NULL);
}

/*
 * Lets one request of quarantined work through, at the daemon whose turn it is.
 */
static bool
probe_begin(struct fwd_exchange *ex, struct poison_request *w,
    const struct poison_verdict *verdict)
{
	if (ex->poison_probe)
		return (true);
	if (w->probing || verdict->probe_ms == 0 ||
	    clock_loop_ms(ex->fwd->loop) < verdict->probe_ms)
		return (false);
	w->probing = true;
	ex->poison_probe = true;
	poison_log(ex->fwd, w, verdict, "work_probed", ex->id);
	return (true);
}

/**
 * fwd_poison_end_probe() - an exchange ends; another one may probe its work.
 * @ex: the exchange
 */
void
fwd_poison_end_probe(struct fwd_exchange *ex)
{
	struct poison_request *w;

	if (!ex->poison_probe)
		return;
	w = poison_find(&ex->fwd->registry->poison, ex->fingerprint);
	if (w != NULL)
		w->probing = false;
}

/* Whether some work is quarantined; if so, until when. */
static bool
work_quarantined(struct fwd_exchange *ex, uint64_t *until_ms)
{
	struct fwd *fwd = ex->fwd;
	struct poison_request *w =
	    poison_find(&fwd->registry->poison, ex->fingerprint);
	struct poison_verdict verdict;

	if (w == NULL || work_listed(fwd->set.released_works, ex->fingerprint))
		return (false);
	poison_look(fwd, w, &verdict, ex->id);
	if (verdict.until_ms == 0)
		return (false);
	*until_ms = verdict.until_ms;
	if (probe_begin(ex, w, &verdict))
		return (false);
	poison_log(fwd, w, &verdict, "work_refused", ex->id);
	return (true);
}

/**
 * fwd_poison_refuse() - end a request whose work is quarantined.
 * @ex: the exchange, without an endpoint
 *
 * Return: false where it may be sent.
 */
bool
fwd_poison_refuse(struct fwd_exchange *ex)
{
	struct fwd *fwd = ex->fwd;
	uint64_t now = clock_loop_ms(fwd->loop);
	uint64_t until = now + RETRY_OPERATOR_MS;
	const char *reason = "work_quarantined";

	if (work_listed(fwd->set.refused_works, ex->fingerprint))
		reason = "work_refused_by_operator";
	else if (!work_quarantined(ex, &until))
		return (false);
	fwd_stats_count(&fwd->stats, COUNT_REFUSED_POISON);
	fwd_exchange_give_up(ex, HTTP_STATUS_BAD_GATEWAY, reason,
	    (int64_t)(until - now));
	return (true);
}
