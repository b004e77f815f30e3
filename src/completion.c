/*
 * A completion: a prompt's answer, fetched as a stream from replicas. The
 * thread that serves the caller drives it. When a call ends badly, the
 * decision of call-end.c says whether to go on elsewhere.
 */
#include <inttypes.h>
#include <string.h>

#include "call.h"
#include "chunk-order.h"
#include "clock.h"
#include "completion.h"
#include "event-log.h"
#include "event-stream.h"
#include "policy-series.h"

#define RETRY_AFTER_MS 1000

/**
 * struct completion - one answer in progress.
 * @req: the request; owned
 * @body: what the engine is asked
 * @call: the call in progress, or NULL
 * @target: where it goes
 * @order: chunks of the whole answer, over all calls
 * @given: chunks that the caller has
 * @resumable: the engine of the latest call guarantees the same text
 * @garbage: the latest answer broke the protocol
 * @last_us: when the latest chunk was given
 */
struct completion {
	struct request *req;
	json_t *body;
	struct call *call;
	struct target *target;
	struct chunk_order order;
	int64_t given;
	bool resumable;
	bool garbage;
	uint64_t last_us;
};

/**
 * completion_create() - begin a completion; nothing is sent yet.
 * @req: the request; taken over
 * @body: what the engine is asked; a reference is taken
 */
struct completion *
completion_create(struct request *req, json_t *body)
{
	struct completion *c;

	c = g_new0(struct completion, 1);
	c->req = req;
	c->body = json_incref(body);
	chunk_order_init(&c->order);
	return (c);
}

static void
call_close(struct completion *c)
{
	if (c->call == NULL)
		return;
	atomic_fetch_sub(&c->target->inflight, 1);
	call_free(c->call);
	c->call = NULL;
}

/**
 * completion_free() - end a completion; a call in progress is cancelled.
 * @c: the completion
 */
void
completion_free(struct completion *c)
{
	call_close(c);
	chunk_order_clear(&c->order);
	json_decref(c->body);
	request_free(c->req);
	g_free(c);
}

/* Sends the request to a target, from the first chunk not yet given. */
static void
call_open(struct completion *c, struct target *target)
{
	g_autofree char *url =
	    g_strconcat(target->url, "/v1/completions", NULL);
	g_autofree char *epoch = g_strdup_printf("%" PRIu64, target->epoch);
	uint64_t now = clock_now_ms();
	g_autofree char *left = g_strdup_printf("%" PRIu64,
	    c->req->deadline_ms > now ? c->req->deadline_ms - now : 0);
	const struct call_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Banklift-Epoch", epoch },
		{ "Banklift-Request-Id", c->req->id },
		{ "Banklift-Deadline-Ms", left },
		{ NULL, NULL },
	};
	g_autofree char *text = NULL;

	json_object_set_new(c->body, "resume_from", json_integer(c->given));
	text = json_dumps(c->body, JSON_COMPACT);
	c->target = target;
	c->garbage = false;
	/* Chunks that came too early belong to the call that ended. */
	g_hash_table_remove_all(c->order.held);
	c->order.end = -1;
	atomic_fetch_add(&target->inflight, 1);
	c->call = call_start("POST", url, headers, text, strlen(text), false);
	atomic_fetch_add(&policy_series(c->req->policy)->calls, 1);
	atomic_fetch_add(&c->req->customer->series.calls, 1);
}

/* Takes one event of the engine's stream. */
static bool
take_event(struct completion *c, const char *data)
{
	json_auto_t *event = json_loads(data, 0, NULL);
	json_int_t index, tokens;
	const char *text;
	int end;

	if (json_unpack(event, "{s:I, s:s}", "index", &index, "text", &text) ==
	    0)
		return (chunk_order_add(&c->order, index, text));
	if (json_unpack(event, "{s:b, s:I}", "end", &end, "tokens", &tokens) ==
	    0)
		return (chunk_order_set_end(&c->order, tokens));
	return (false);
}

static void
take_events(struct completion *c)
{
	const char *resumes = call_header(c->call, "engine-resumes");
	char *data;

	c->resumable = resumes != NULL && strcmp(resumes, "exact") == 0;
	while (!c->garbage &&
	    (data = event_stream_take(call_body(c->call))) != NULL) {
		c->garbage = !take_event(c, data);
		g_free(data);
	}
}

static void
count_chunk(struct completion *c)
{
	struct series *all[] = { &c->req->customer->series,
		policy_series(c->req->policy),
		class_series(atomic_load(&c->req->customer->batch)) };
	uint64_t now = clock_now_us();

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
		atomic_fetch_add(&all[i]->tokens, 1);
		if (c->given == 1)
			histogram_add(&all[i]->first_byte_us,
			    now - c->req->started_us);
		else
			histogram_add(&all[i]->gap_us, now - c->last_us);
	}
	c->last_us = now;
}

/* How the call ended, for the decision. */
static struct call_end
describe_end(struct completion *c, bool stalled)
{
	const char *not_started = call_header(c->call, "not-started");
	struct call_end end = {
		.phase = call_phase(c->call),
		.status = call_status(c->call),
		.not_started = not_started != NULL,
		.malformed = c->garbage,
		.expired = clock_now_ms() >= c->req->deadline_ms,
		.idempotent = c->req->idempotent,
		.delivered = c->given > 0,
		.resumable = c->resumable,
	};

	/* A stream that closed before its end mark is not whole. */
	if (end.phase == CALL_COMPLETE && end.status == 200)
		end.malformed = true;
	if (stalled && end.phase == CALL_COMPLETE)
		end.phase = CALL_RESPONDING;
	return (end);
}

/* Fails with what the last call taught, and what earlier ones left open. */
static enum completion_result
fail(struct completion *c, struct failure *f, enum error_code error,
    enum outcome outcome, const char *why)
{
	if (c->req->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	failure_set(f, error, outcome,
	    outcome == OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0, "%s", why);
	request_end(c->req, outcome, error_status(error), NULL);
	return (COMPLETION_FAILED);
}

/* Chooses a target and calls it; false when there is none left. */
static bool
open_next(struct completion *c)
{
	struct target *target = request_next_target(c->req);

	if (target == NULL)
		return (false);
	call_open(c, target);
	return (true);
}

/* The call ended without the whole answer: go on elsewhere, or fail. */
static bool
go_on(struct completion *c, bool stalled, struct failure *f)
{
	struct call_end end = describe_end(c, stalled);
	struct call_verdict v = call_end_decide(&end);

	log_debug("call_end", "target=%s phase=%d status=%d action=%d",
	    c->target->name, (int)end.phase, end.status, (int)v.action);
	target_apply_feedback(c->target, c->call);
	call_close(c);
	target_note_failure(c->target, clock_now_ms());
	if (v.outcome == OUTCOME_UNKNOWN)
		c->req->may_have_run = true;
	if (v.action == CALL_PASS) {
		/* A status of the engine's own that is no stream. */
		v.error = ERROR_ENDPOINT_FAILED;
		v.outcome = OUTCOME_UNKNOWN;
		v.action = CALL_FAIL;
	}
	if (v.action != CALL_FAIL && request_retry_allowed(c->req) &&
	    open_next(c))
		return (true);
	fail(c, f, v.error, v.outcome,
	    "the replica's answer did not come whole");
	return (false);
}

/* Drives the call; false when it gave nothing and has ended or stalled. */
static bool
drive(struct completion *c, bool *stalled)
{
	uint64_t stall =
	    clock_now_ms() + (uint64_t)c->req->server->set.stall_ms;
	uint64_t until = MIN(stall, c->req->deadline_ms);

	*stalled = false;
	if (call_ended(c->call))
		return (false);
	if (!call_poll(c->call, until)) {
		*stalled = true;
		return (false);
	}
	if (call_head_received(c->call) && call_status(c->call) == 200)
		take_events(c);
	return (!c->garbage);
}

static enum completion_result
finish(struct completion *c)
{
	target_note_success(c->target, call_first_byte_us(c->call),
	    clock_now_ms());
	target_apply_feedback(c->target, c->call);
	call_close(c);
	request_end(c->req, OUTCOME_WHOLE, 200, NULL);
	return (COMPLETION_END);
}

/**
 * completion_next() - wait for the next chunk of the answer.
 * @c: the completion
 * @text: set to the chunk; free with g_free()
 * @f: set when it failed
 */
enum completion_result
completion_next(struct completion *c, char **text, struct failure *f)
{
	bool stalled;

	if (c->call == NULL && !open_next(c)) {
		if (request_expired(c->req))
			return (fail(c, f, ERROR_DEADLINE, OUTCOME_NOT_RUN,
			    "the time was up before it was sent"));
		return (fail(c, f, ERROR_NO_ENDPOINT, OUTCOME_NOT_RUN,
		    "no whole replica can be reached"));
	}
	for (;;) {
		*text = chunk_order_take(&c->order);
		if (*text != NULL) {
			c->given++;
			count_chunk(c);
			return (COMPLETION_CHUNK);
		}
		if (chunk_order_complete(&c->order))
			return (finish(c));
		if (!drive(c, &stalled) && !go_on(c, stalled, f))
			return (COMPLETION_FAILED);
	}
}
