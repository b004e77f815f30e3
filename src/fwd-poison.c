/* Requests that may crash endpoints: what endpoints survive, and crashes. */
#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* What crashes an endpoint as it begins to respond does so within this time of
 * the first event. */
#define WRITING_MS 300
/* The most that counts of the time between two events: the later one may have
 * been read long after it was sent. */
#define WRITING_GAP_MS 100

/* Whether an endpoint has responded for so long that the parts of the prompt
 * don't crash it. */
static bool
send_wrote(const struct fwd_send *send)
{
	return (send->writing_ms >= WRITING_MS);
}

/* Whether an endpoint ends its connections because its group is dissolved. */
static bool
endpoint_is_closing(const struct endpoint *ep)
{
	return (ep->report.state == GROUP_CLOSING);
}

/* Adds a crash to all that may be to blame for it; returns how many these are.
 */
static unsigned
crash_observe(const struct fwd_send *send, const struct poison_crash *crash)
{
	const struct fwd_exchange *ex = send->exchange;
	struct poison *poison = &ex->fwd->registry->poison;
	unsigned suspected = 0;

	for (unsigned i = 0; i < ex->keys.n; i++) {
		const struct poison_key *key = &ex->keys.key[i];

		if (key->part && send_wrote(send))
			continue;
		suspected +=
		    poison_observe_crash(poison, key, crash, crash->at_ms);
	}
	return (suspected);
}

/**
 * fwd_poison_observe_crash() - record that an endpoint may have crashed while
 *	it had a request.
 * @send: the send
 * @silent: the endpoint fell silent; otherwise the connection broke
 */
void
fwd_poison_observe_crash(struct fwd_send *send, bool silent)
{
	const struct fwd_exchange *ex = send->exchange;
	struct fwd *fwd = ex->fwd;
	const struct endpoint *ep = send->endpoint;
	uint64_t now = clock_loop_ms(fwd->loop);
	struct poison_crash crash = poison_crash_of(ep, silent, now);
	g_autofree char *keys = fwd_keys_format(ex);
	unsigned suspected;

	crash.sent_ms = send->basis.sent_ms;
	suspected = endpoint_is_closing(ep) ? 0 : crash_observe(send, &crash);
	fwd_stats_count(&fwd->stats, COUNT_CRASHES);
	event_log(LOG_NOTICE, "work_lost",
	    "id=%s work=%08x endpoint=%s started_ms=%lld sign=%s "
	    "suspected=%u sent_ms_ago=%llu writing_ms=%llu last_event=%lld "
	    "inflight=%u peer_inflight=%u closing=%d crashes=%s",
	    ex->id, fwd_keys_name(ex), ep->report.id,
	    (long long)ep->report.started_ms, silent ? "silent" : "broken",
	    suspected, (unsigned long long)(now - send->basis.sent_ms),
	    (unsigned long long)send->writing_ms, (long long)ex->last_event,
	    ep->inflight, ep->peer_inflight, endpoint_is_closing(ep), keys);
}

/* Records that an endpoint survived what a request has. */
static void
note_survived(const struct fwd_send *send, const struct poison_key *key)
{
	const struct fwd_exchange *ex = send->exchange;

	if (!poison_note_success(&ex->fwd->registry->poison, key->fingerprint,
		clock_loop_ms(ex->fwd->loop)))
		return;
	event_log(LOG_INFO, "work_cleared",
	    "id=%s work=%08x part=%d endpoint=%s", ex->id,
	    FINGERPRINT_SHORT(key->fingerprint), key->part,
	    send->endpoint->report.id);
}

/**
 * fwd_poison_note_success() - record that an endpoint completed a response.
 * @send: the send
 *
 * A resumed response doesn't count: it tells nothing about what the beginning
 * of the request does to endpoints. An error tells nothing about the prompt,
 * which the endpoint may not have read.
 */
void
fwd_poison_note_success(struct fwd_send *send)
{
	const struct poison_keys *keys = &send->exchange->keys;

	for (unsigned i = 0; !send->resumed && i < keys->n; i++) {
		if (!keys->key[i].part || wire_status_is_success(send->status))
			note_survived(send, &keys->key[i]);
	}
}

/**
 * fwd_poison_note_event() - record that an endpoint sent an event of a
 * response.
 * @send: the send
 * @now_ms: loop time
 *
 * A part of a prompt crashes an endpoint as it begins to respond, if at all.
 */
void
fwd_poison_note_event(struct fwd_send *send, uint64_t now_ms)
{
	const struct poison_keys *keys = &send->exchange->keys;
	uint64_t last_ms = send->event_ms;

	send->event_ms = now_ms;
	if (last_ms == 0 || send->resumed || send_wrote(send))
		return;
	send->writing_ms += MIN(now_ms - last_ms, WRITING_GAP_MS);
	for (unsigned i = 0; send_wrote(send) && i < keys->n; i++) {
		if (keys->key[i].part)
			note_survived(send, &keys->key[i]);
	}
}
