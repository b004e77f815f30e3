/*
 * A completion of a prompt, read as a stream from replicas. The thread that
 * serves the client drives it. When a call fails, call_end_decide() says
 * whether to retry or resume at another replica.
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
 * struct completion - one completion in progress.
 * @req: the request; owned
 * @body: body of the request to the engine
 * @call: the call in progress, or NULL
 * @target: target of the latest call
 * @order: chunks of the text, over all calls
 * @n_delivered: number of chunks delivered to the client
 * @resumable: the engine of the latest call guarantees the same text on resume
 * @malformed: the response of the latest call violates the protocol
 * @last_chunk_us: monotonic time at which the latest chunk was delivered
 */
struct completion {
	struct request *req;
	json_t *body;
	struct call *call;
	struct target *target;
	struct chunk_order order;
	int64_t n_delivered;
	bool resumable;
	bool malformed;
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
	chunk_order_init(&c->order);
	return (c);
}

static void
completion_close_call(struct completion *c)
{
	if (c->call == NULL)
		return;
	atomic_fetch_sub(&c->target->inflight, 1);
	call_free(c->call);
	c->call = NULL;
}

/**
 * completion_free() - free a completion; a call in progress is cancelled.
 * @c: the completion
 */
void
completion_free(struct completion *c)
{
	completion_close_call(c);
	chunk_order_clear(&c->order);
	json_decref(c->body);
	request_free(c->req);
	g_free(c);
}

/* Calls a target for the chunks that are not yet delivered to the client. */
static void
completion_open_call(struct completion *c, struct target *target)
{
	g_autofree char *url =
	    g_strconcat(target->url, "/v1/completions", NULL);
	g_autofree char *epoch = g_strdup_printf("%" PRIu64, target->epoch);
	uint64_t now = clock_now_ms();
	g_autofree char *timeout_ms = g_strdup_printf("%" PRIu64,
	    c->req->deadline_ms > now ? c->req->deadline_ms - now : 0);
	const struct call_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Banklift-Epoch", epoch },
		{ "Banklift-Request-Id", c->req->id },
		{ "Banklift-Deadline-Ms", timeout_ms },
		{ NULL, NULL },
	};
	g_autofree char *text = NULL;

	json_object_set_new(c->body, "resume_from",
	    json_integer(c->n_delivered));
	text = json_dumps(c->body, JSON_COMPACT);
	c->target = target;
	c->malformed = false;
	/* Chunks received out of order belong to the call that ended. */
	g_hash_table_remove_all(c->order.held);
	c->order.end = -1;
	atomic_fetch_add(&target->inflight, 1);
	c->call = call_start("POST", url, headers, text, strlen(text), false);
	atomic_fetch_add(&policy_series(c->req->policy)->calls, 1);
	atomic_fetch_add(&c->req->customer->series.calls, 1);
}

/* Processes one event of the engine's stream; false if it is malformed. */
static bool
completion_handle_event(struct completion *c, const char *data)
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

/* Processes the complete events that were received. */
static void
completion_handle_events(struct completion *c)
{
	const char *resumes = call_header(c->call, "engine-resumes");
	char *data;

	c->resumable = resumes != NULL && strcmp(resumes, "exact") == 0;
	while (!c->malformed &&
	    (data = event_stream_take(call_body(c->call))) != NULL) {
		c->malformed = !completion_handle_event(c, data);
		g_free(data);
	}
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

/* Describes the end of the call for call_end_decide(). */
static struct call_end
completion_describe_end(struct completion *c, bool stalled)
{
	const char *not_started = call_header(c->call, "not-started");
	struct call_end end = {
		.phase = call_phase(c->call),
		.status = call_status(c->call),
		.not_started = not_started != NULL,
		.malformed = c->malformed,
		.expired = clock_now_ms() >= c->req->deadline_ms,
		.idempotent = c->req->idempotent,
		.delivered = c->n_delivered > 0,
		.resumable = c->resumable,
	};

	/* A stream that is closed before its end marker is incomplete. */
	if (end.phase == CALL_COMPLETE && end.status == 200)
		end.malformed = true;
	if (stalled && end.phase == CALL_COMPLETE)
		end.phase = CALL_RESPONDING;
	return (end);
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

/* Chooses a target and calls it; false if no target is left. */
static bool
completion_call_next(struct completion *c)
{
	struct target *target = request_next_target(c->req);

	if (target == NULL)
		return (false);
	completion_open_call(c, target);
	return (true);
}

/*
 * Handles a call that ended before the completion was complete: retries or
 * resumes at another target and returns true, or fails and returns false.
 */
static bool
completion_retry_or_fail(struct completion *c, bool stalled, struct failure *f)
{
	struct call_end end = completion_describe_end(c, stalled);
	struct call_verdict v = call_end_decide(&end);

	log_debug("call_end", "target=%s phase=%d status=%d action=%d",
	    c->target->name, (int)end.phase, end.status, (int)v.action);
	target_apply_feedback(c->target, c->call);
	completion_close_call(c);
	target_note_failure(c->target, clock_now_ms());
	if (v.outcome == OUTCOME_UNKNOWN)
		c->req->may_have_run = true;
	if (v.action == CALL_PASS) {
		/* The engine's response is complete but not a stream. */
		v.error = ERROR_ENDPOINT_FAILED;
		v.outcome = OUTCOME_UNKNOWN;
		v.action = CALL_FAIL;
	}
	if (v.action != CALL_FAIL && request_retry_allowed(c->req) &&
	    completion_call_next(c))
		return (true);
	completion_fail(c, f, v.error, v.outcome,
	    "the replica's answer did not come whole");
	return (false);
}

/*
 * Waits for progress of the call and processes the events received. Returns
 * false if the call has ended, stalled or violated the protocol.
 */
static bool
completion_read(struct completion *c, bool *stalled)
{
	uint64_t stall_at_ms =
	    clock_now_ms() + (uint64_t)c->req->server->set.stall_ms;
	uint64_t until_ms = MIN(stall_at_ms, c->req->deadline_ms);

	*stalled = false;
	if (call_ended(c->call))
		return (false);
	if (!call_poll(c->call, until_ms)) {
		*stalled = true;
		return (false);
	}
	if (call_head_received(c->call) && call_status(c->call) == 200)
		completion_handle_events(c);
	return (!c->malformed);
}

/* Ends the request as completed. */
static enum completion_result
completion_finish(struct completion *c)
{
	target_note_success(c->target, call_first_byte_us(c->call),
	    clock_now_ms());
	target_apply_feedback(c->target, c->call);
	completion_close_call(c);
	request_end(c->req, OUTCOME_WHOLE, 200, NULL);
	return (COMPLETION_END);
}

/**
 * completion_next() - wait for the next chunk of the text.
 * @c: the completion
 * @text: set to the chunk, or NULL; free with g_free()
 * @f: set if the completion failed
 */
enum completion_result
completion_next(struct completion *c, char **text, struct failure *f)
{
	bool stalled;

	if (c->call == NULL && !completion_call_next(c)) {
		if (request_expired(c->req))
			return (completion_fail(c, f, ERROR_DEADLINE,
			    OUTCOME_NOT_RUN,
			    "the time was up before it was sent"));
		return (completion_fail(c, f, ERROR_NO_ENDPOINT,
		    OUTCOME_NOT_RUN, "no whole replica can be reached"));
	}
	for (;;) {
		*text = chunk_order_take(&c->order);
		if (*text != NULL) {
			c->n_delivered++;
			count_chunk(c);
			return (COMPLETION_CHUNK);
		}
		if (chunk_order_complete(&c->order))
			return (completion_finish(c));
		if (!completion_read(c, &stalled) &&
		    !completion_retry_or_fail(c, stalled, f))
			return (COMPLETION_FAILED);
	}
}
