/*
 * A completion of a prompt, read as a stream from replicas. The thread that
 * serves the client drives it. When a send fails, call_end_decide() says
 * whether to retry or resume at another replica. A replica that is silent is
 * not left: another is asked beside it, if one may be, and the first of them
 * that goes on is kept.
 */
#include "clock.h"
#include "completion-send.h"
#include "completion.h"
#include "event-log.h"
#include "policy-series.h"

#define RETRY_AFTER_MS 1000
/* Most sends at a time. */
#define SENDS_MAX 2

/**
 * struct completion - one completion in progress.
 * @req: the request; owned
 * @body: body of the request to the engine
 * @sends: the sends in progress, oldest first
 * @n_sends: number of these
 * @asked_ms: monotonic time at which another replica was last looked for while
 *	the newest send was silent, in ms; 0 before
 * @n_delivered: number of chunks delivered to the client
 * @resumable: the engine that gave them guarantees the same text on resume
 * @last_chunk_us: monotonic time at which the latest chunk was delivered
 */
struct completion {
	struct request *req;
	json_t *body;
	struct completion_send *sends[SENDS_MAX];
	unsigned n_sends;
	uint64_t asked_ms;
	int64_t n_delivered;
	bool resumable;
	uint64_t last_chunk_us;
};

/**
 * completion_create() - create a completion; nothing is sent before
 * completion_next().
 * @req: the request; ownership is taken
 * @body: body of the request to the engine; a reference is taken
 */
struct completion *
completion_create(struct request *req, json_t *body)
{
	struct completion *c;

	c = g_new0(struct completion, 1);
	c->req = req;
	c->body = json_incref(body);
	return (c);
}

/* Closes a send. */
static void
completion_close(struct completion *c, unsigned at)
{
	completion_send_close(c->sends[at]);
	for (c->n_sends--; at < c->n_sends; at++)
		c->sends[at] = c->sends[at + 1];
}

/**
 * completion_free() - free a completion; sends in progress are cancelled.
 * @c: the completion
 */
void
completion_free(struct completion *c)
{
	while (c->n_sends > 0)
		completion_close(c, 0);
	json_decref(c->body);
	request_free(c->req);
	g_free(c);
}

/* Sends to a target; false if there is none. */
static bool
completion_open(struct completion *c, struct target *target)
{
	if (target == NULL)
		return (false);
	c->sends[c->n_sends++] =
	    completion_send_open(c->req, target, c->body, c->n_delivered);
	return (true);
}

/* Counts a delivered chunk in the metrics. */
static void
count_chunk(struct completion *c)
{
	struct series *all[] = { &c->req->customer->series,
		policy_series(c->req->policy),
		class_series(atomic_load(&c->req->customer->batch)) };
	uint64_t now = clock_now_us();

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		atomic_fetch_add(&all[i]->tokens, 1);
		if (c->n_delivered == 1)
			histogram_add(&all[i]->first_byte_us,
			    now - c->req->started_us);
		else
			histogram_add(&all[i]->gap_us, now - c->last_chunk_us);
	}
	c->last_chunk_us = now;
}

/* Decides what follows the end of a send, or what would if it ended now. */
static struct call_verdict
completion_judge(const struct completion *c, const struct completion_send *send,
    struct call_end *end)
{
	*end = completion_send_end(send, c->req);
	end->delivered = c->n_delivered > 0;
	end->resumable = c->resumable;
	return (call_end_decide(end));
}

/*
 * Ends the request as failed. Its outcome is unknown if the last call or an
 * earlier one may have run it.
 */
static enum completion_result
completion_fail(struct completion *c, struct failure *f, enum error_code error,
    enum outcome outcome, const char *why)
{
	if (c->req->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	failure_set(f, error, outcome,
	    outcome == OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0, "%s", why);
	request_end(c->req, outcome, error_status(error), NULL);
	return (COMPLETION_FAILED);
}

/* Gives up a send; returns what follows. */
static struct call_verdict
completion_drop(struct completion *c, unsigned at)
{
	struct completion_send *send = c->sends[at];
	struct call_end end;
	struct call_verdict v = completion_judge(c, send, &end);

	log_debug("call_end", "target=%s phase=%d status=%d action=%d",
	    send->target->name, (int)end.phase, end.status, (int)v.action);
	target_note_failure(send->target, clock_now_ms());
	if (v.outcome == OUTCOME_UNKNOWN)
		c->req->may_have_run = true;
	if (v.action == CALL_PASS) {
		/* The engine's response is complete but not a stream. */
		v.error = ERROR_ENDPOINT_FAILED;
		v.outcome = OUTCOME_UNKNOWN;
		v.action = CALL_FAIL;
	}
	completion_close(c, at);
	return (v);
}

/*
 * Handles a send that can't complete the text: retries or resumes at another
 * target, unless a newer one is in progress. Fails and returns false if none is
 * left.
 */
static bool
completion_lose(struct completion *c, unsigned at, struct failure *f)
{
	struct call_verdict v = completion_drop(c, at);

	if (at < c->n_sends)
		return (true);
	if (v.action != CALL_FAIL &&
	    completion_open(c, request_retry_target(c->req)))
		return (true);
	if (c->n_sends > 0)
		return (true);
	completion_fail(c, f, v.error, v.outcome,
	    "the replica's answer did not come whole");
	return (false);
}

/*
 * Handles the silence of the newest send: asks another target beside it, or in
 * its place if there are two already. Where none may be asked, the sends are
 * waited for. Only a send that never got a connection is given up, as long as
 * nothing was delivered. Returns false if the request has failed.
 */
static bool
completion_silent(struct completion *c, struct failure *f)
{
	const struct completion_send *send = c->sends[c->n_sends - 1];
	struct target *silent = send->target, *target = NULL;
	struct call_end end;
	struct call_verdict v = completion_judge(c, send, &end);

	if (end.phase == CALL_CONNECTING && c->n_sends == 1 &&
	    c->n_delivered == 0)
		return (completion_lose(c, 0, f));
	if (v.action != CALL_FAIL && c->req->idempotent)
		target = request_retry_target(c->req);
	c->asked_ms = clock_now_ms();
	event_log(LOG_INFO, "call_silent",
	    "request=%s target=%s phase=%d delivered=%" G_GINT64_FORMAT
	    " calls=%u beside=%s",
	    c->req->id, silent->name, (int)end.phase, c->n_delivered,
	    c->n_sends, target != NULL ? target->name : "-");
	if (target == NULL)
		return (true);
	if (c->n_sends == SENDS_MAX)
		completion_drop(c, SENDS_MAX - 1);
	else
		target_note_failure(silent, c->asked_ms);
	return (completion_open(c, target));
}

/* Time at which the newest send has been silent for too long. */
static uint64_t
completion_silence_ms(const struct completion *c)
{
	uint64_t heard = call_heard_ms(c->sends[c->n_sends - 1]->call);

	return (
	    MAX(heard, c->asked_ms) + (uint64_t)c->req->server->set.stall_ms);
}

/* Drives the sends until one makes progress or the time has come. */
static bool
completion_poll(struct completion *c, uint64_t until_ms)
{
	struct call *calls[SENDS_MAX];

	for (unsigned i = 0; i < c->n_sends; i++)
		calls[i] = c->sends[i]->call;
	return (call_poll(calls, c->n_sends, until_ms));
}

/* Handles that the sends made no progress; false if the request has failed. */
static bool
completion_idle(struct completion *c, uint64_t silence_ms, struct failure *f)
{
	if (!request_expired(c->req)) {
		if (clock_now_ms() < silence_ms)
			return (true);
		return (completion_silent(c, f));
	}
	while (c->n_sends > 1)
		completion_drop(c, 0);
	return (completion_lose(c, 0, f));
}

/*
 * Waits for progress, at most until the given time, and processes what was
 * received. Returns false if the request has failed.
 */
static bool
completion_wait(struct completion *c, uint64_t until_ms, struct failure *f)
{
	uint64_t silence_ms = completion_silence_ms(c);

	for (unsigned i = c->n_sends; i-- > 0;) {
		if (completion_send_over(c->sends[i]))
			return (completion_lose(c, i, f));
	}
	until_ms = MIN(until_ms, c->req->deadline_ms);
	if (!completion_poll(c, MIN(silence_ms, until_ms)))
		return (completion_idle(c, silence_ms, f));
	for (unsigned i = 0; i < c->n_sends; i++)
		completion_send_read(c->sends[i]);
	return (true);
}

/* Keeps the send that goes on, and cancels the other. */
static void
completion_keep(struct completion *c, unsigned at)
{
	const struct completion_send *kept = c->sends[at];

	for (unsigned i = c->n_sends; i-- > 0;) {
		if (c->sends[i] == kept)
			continue;
		event_log(LOG_INFO, "call_goes_on",
		    "request=%s target=%s cancelled=%s delivered=%" G_GINT64_FORMAT,
		    c->req->id, kept->target->name, c->sends[i]->target->name,
		    c->n_delivered);
		completion_close(c, i);
	}
	c->resumable = completion_send_resumable(kept);
}

/* Ends the request as completed. */
static enum completion_result
completion_finish(struct completion *c)
{
	const struct completion_send *send = c->sends[0];

	target_note_success(send->target, call_first_byte_us(send->call),
	    clock_now_ms());
	completion_close(c, 0);
	request_end(c->req, OUTCOME_WHOLE, 200, NULL);
	return (COMPLETION_END);
}

/* Takes the next chunk, or NULL at the end of the text, from the first send
 * that has it. Returns false if none has it yet. */
static bool
completion_take(struct completion *c, char **text, unsigned *from)
{
	for (unsigned i = 0; i < c->n_sends; i++) {
		*from = i;
		*text = chunk_order_take(&c->sends[i]->order);
		if (*text != NULL || chunk_order_complete(&c->sends[i]->order))
			return (true);
	}
	return (false);
}

/**
 * completion_next() - wait for the next chunk of the text.
 * @c: the completion
 * @until_ms: monotonic time at which to stop waiting, in ms; the wait may take
 *	somewhat longer where another replica is looked for
 * @text: set to the chunk, or NULL; free with g_free()
 * @f: set if the completion failed
 */
enum completion_result
completion_next(struct completion *c, uint64_t until_ms, char **text,
    struct failure *f)
{
	unsigned from = 0;

	*text = NULL;
	if (c->n_sends == 0 &&
	    !completion_open(c, request_next_target(c->req))) {
		if (request_expired(c->req))
			return (completion_fail(c, f, ERROR_DEADLINE,
			    OUTCOME_NOT_RUN,
			    "the time was up before it was sent"));
		return (completion_fail(c, f, ERROR_NO_ENDPOINT,
		    OUTCOME_NOT_RUN, "no whole replica can be reached"));
	}
	while (!completion_take(c, text, &from)) {
		if (clock_now_ms() >= until_ms)
			return (COMPLETION_WAITS);
		if (!completion_wait(c, until_ms, f))
			return (COMPLETION_FAILED);
	}
	completion_keep(c, from);
	if (*text == NULL)
		return (completion_finish(c));
	c->n_delivered++;
	count_chunk(c);
	return (COMPLETION_CHUNK);
}
