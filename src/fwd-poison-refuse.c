/* Requests that may crash endpoints: quarantine, refusal and probe. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Eight hexadecimal digits and the terminator. */
#define FINGERPRINT_TEXT_BYTES 9
/* Time to retry for a request that the operator has refused. */
#define RETRY_OPERATOR_MS 600000
/* Time to retry for one that is refused until others have shown what is to
 * blame. */
#define RETRY_AMBIGUOUS_MS 1000
/* Requests under way are judged again for this long after a change. */
#define WITHDRAW_MS 1000
/* Size of the log field that lists crashed endpoints. */
#define BLAMED_BYTES 256

/* Formats the endpoints whose crashes a suspect is blamed for, each with the
 * age of the crash in ms. */
static void
blamed_format(const struct fleet *fleet, const struct poison_suspect *suspect,
    uint64_t now_ms, char *out, size_t size)
{
	size_t used = 0;

	out[0] = '\0';
	for (unsigned i = 0; i < suspect->n_crashes && used < size; i++) {
		const struct poison_crash *crash = &suspect->crashes[i];
		const struct endpoint *ep =
		    fleet_find_by_hash(fleet, crash->id_hash);

		used += (size_t)g_snprintf(out + used, size - used,
		    "%s%s:%08x:%llu", i > 0 ? "," : "",
		    ep != NULL ? ep->report.id : "-", crash->id_hash,
		    (unsigned long long)(now_ms - MIN(crash->at_ms, now_ms)));
	}
}

/* Logs a verdict with all that it is based on; @ex is the request that it is
 * about, or NULL. */
static void
suspect_log(struct fwd *fwd, const struct poison_suspect *suspect,
    const struct poison_verdict *verdict, const char *event,
    const struct fwd_exchange *ex)
{
	uint64_t now = clock_loop_ms(fwd->loop);
	g_autofree char *keys = ex != NULL ? fwd_keys_format(ex) : NULL;
	char blamed[BLAMED_BYTES];

	blamed_format(&fwd->registry->fleet, suspect, now, blamed,
	    sizeof blamed);
	event_log(LOG_NOTICE, event,
	    "id=%s work=%08x part=%d ends=%u unconfirmed=%u explained=%u "
	    "tied=%u cleared_ms_ago=%lld left_ms=%lld crashes=%s "
	    "blamed_for=%s",
	    ex != NULL ? ex->id : "-", FINGERPRINT_SHORT(suspect->fingerprint),
	    suspect->part, verdict->crashes, verdict->unconfirmed,
	    verdict->explained, verdict->tied,
	    suspect->cleared_ms != 0 ? (long long)(now - suspect->cleared_ms) :
				       -1,
	    verdict->until_ms != 0 ? (long long)(verdict->until_ms - now) : -1,
	    keys != NULL ? keys : "-", blamed);
}

/* Evaluates a suspect by itself; logs it if it became quarantined or was
 * released. */
static void
suspect_update(struct fwd *fwd, struct poison_suspect *suspect,
    const struct fwd_exchange *ex)
{
	struct poison_verdict verdict;
	bool quarantined;

	poison_evaluate(&fwd->registry->poison, &fwd->registry->fleet, suspect,
	    NULL, clock_loop_ms(fwd->loop), &verdict);
	quarantined = verdict.until_ms != 0;
	if (quarantined == suspect->quarantined)
		return;
	suspect->quarantined = quarantined;
	if (quarantined)
		fwd_stats_count(&fwd->stats, COUNT_QUARANTINED);
	suspect_log(fwd, suspect, &verdict,
	    quarantined ? "work_quarantined" : "work_released", ex);
}

/* Whether a suspect may be quarantined, or was. */
static bool
suspect_concerns(const struct poison_suspect *suspect)
{
	return (suspect->quarantined ||
	    suspect->n_crashes >= POISON_QUARANTINE_CRASHES);
}

/**
 * fwd_poison_sweep() - evaluate all suspects, whether observed by this daemon
 *	or reported by others.
 * @fwd: the proxy
 */
void
fwd_poison_sweep(struct fwd *fwd)
{
	struct poison_suspect *suspect;

	TAILQ_FOREACH(suspect, &fwd->registry->poison.suspects, entry) {
		if (suspect_concerns(suspect))
			suspect_update(fwd, suspect, NULL);
	}
}

/* Whether a key of the request is in the list of a setting. */
static bool
keys_listed(const char *list, const struct poison_keys *keys)
{
	char name[FINGERPRINT_TEXT_BYTES];

	if (list == NULL || list[0] == '\0')
		return (false);
	for (unsigned i = 0; i < keys->n; i++) {
		g_snprintf(name, sizeof name, "%08x",
		    FINGERPRINT_SHORT(keys->key[i].fingerprint));
		if (strstr(list, name) != NULL)
			return (true);
	}
	return (false);
}

/* Copies the keys that the operator has not released. */
static void
keys_unreleased(const struct fwd_exchange *ex, struct poison_keys *keys)
{
	const char *list = ex->fwd->set.released_fingerprints;

	keys->n = 0;
	for (unsigned i = 0; i < ex->keys.n; i++) {
		const struct poison_keys one = { { ex->keys.key[i] }, 1 };

		if (!keys_listed(list, &one))
			keys->key[keys->n++] = ex->keys.key[i];
	}
}

/* Decides whether a request may be sent. */
static void
request_decide(const struct fwd_exchange *ex, struct poison_decision *decision)
{
	struct fwd *fwd = ex->fwd;
	struct poison_keys keys;

	keys_unreleased(ex, &keys);
	for (unsigned i = 0; i < keys.n; i++) {
		struct poison_suspect *suspect =
		    poison_find(&fwd->registry->poison,
			keys.key[i].fingerprint);

		if (suspect != NULL && suspect_concerns(suspect))
			suspect_update(fwd, suspect, ex);
	}
	poison_decide(&fwd->registry->poison, &fwd->registry->fleet, &keys,
	    clock_loop_ms(fwd->loop), decision);
}

/*
 * Lets one request with a quarantined suspect through as a probe, at the daemon
 * that saw the newest crash.
 */
static bool
probe_begin(struct fwd_exchange *ex, const struct poison_decision *decision)
{
	struct poison_suspect *suspect = decision->suspect;
	uint64_t probe_ms = decision->verdict.probe_ms;

	if (ex->probed == suspect->fingerprint)
		return (true);
	if (ex->probed != 0 || suspect->probing || probe_ms == 0 ||
	    clock_loop_ms(ex->fwd->loop) < probe_ms)
		return (false);
	suspect->probing = true;
	ex->probed = suspect->fingerprint;
	suspect_log(ex->fwd, suspect, &decision->verdict, "work_probed", ex);
	return (true);
}

/**
 * fwd_poison_end_probe() - end the probe of an exchange; another one may begin.
 * @ex: the exchange
 */
void
fwd_poison_end_probe(struct fwd_exchange *ex)
{
	struct poison_suspect *suspect;

	if (ex->probed == 0)
		return;
	suspect = poison_find(&ex->fwd->registry->poison, ex->probed);
	if (suspect != NULL)
		suspect->probing = false;
}

/* Whether a request must not be sent and is no probe; if so, when its client
 * should retry. */
static bool
request_quarantined(struct fwd_exchange *ex, int64_t *retry_ms)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);
	struct poison_decision decision;

	request_decide(ex, &decision);
	if (decision.action == POISON_SEND || probe_begin(ex, &decision))
		return (false);
	/* A response that was begun waits, as a retry of it does. */
	if (decision.action == POISON_AMBIGUOUS && ex->first_us > 0)
		return (false);
	*retry_ms = decision.action == POISON_QUARANTINED ?
	    (int64_t)(decision.verdict.until_ms - now) :
	    RETRY_AMBIGUOUS_MS;
	suspect_log(ex->fwd, decision.suspect, &decision.verdict,
	    "work_refused", ex);
	return (true);
}

/**
 * fwd_poison_refuses() - whether a request is quarantined, or the operator has
 *	refused it.
 * @ex: the exchange, without an endpoint
 * @refusal: filled in if so
 */
bool
fwd_poison_refuses(struct fwd_exchange *ex, struct fwd_poison_refusal *refusal)
{
	struct fwd *fwd = ex->fwd;

	refusal->reason = "work_quarantined";
	if (keys_listed(fwd->set.refused_fingerprints, &ex->keys)) {
		refusal->reason = "work_refused_by_operator";
		refusal->retry_ms = RETRY_OPERATOR_MS;
	} else if (!request_quarantined(ex, &refusal->retry_ms)) {
		return (false);
	}
	fwd_stats_count(&fwd->stats, COUNT_REFUSED_POISON);
	return (true);
}

/**
 * fwd_poison_withdraws() - whether a request has been quarantined since it was
 *	sent, and its endpoint has not begun to respond.
 * @ex: the exchange, which may be sent again
 * @refusal: filled in if so
 */
bool
fwd_poison_withdraws(const struct fwd_exchange *ex,
    struct fwd_poison_refusal *refusal)
{
	struct poison_decision decision;

	if (ex->state != EXCHANGE_SENT || ex->first_us > 0 || ex->probed != 0)
		return (false);
	request_decide(ex, &decision);
	if (decision.action != POISON_QUARANTINED)
		return (false);
	suspect_log(ex->fwd, decision.suspect, &decision.verdict,
	    "work_withdrawn", ex);
	fwd_stats_count(&ex->fwd->stats, COUNT_REFUSED_POISON);
	refusal->reason = "work_quarantined";
	refusal->retry_ms = RETRY_AMBIGUOUS_MS;
	return (true);
}

/**
 * fwd_poison_changed() - whether requests under way should be looked through
 *for what has been quarantined: a suspect changed a moment ago.
 * @fwd: the proxy
 * @now_ms: loop time
 */
bool
fwd_poison_changed(const struct fwd *fwd, uint64_t now_ms)
{
	const struct poison_suspect *suspect;

	TAILQ_FOREACH(suspect, &fwd->registry->poison.suspects, entry) {
		if (now_ms - suspect->changed_ms >= WITHDRAW_MS)
			return (false);
		if (suspect->n_crashes >= POISON_QUARANTINE_CRASHES)
			return (true);
	}
	return (false);
}
