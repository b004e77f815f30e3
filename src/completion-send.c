/* One send of a completion to a replica. */
#include <inttypes.h>
#include <string.h>

#include "clock.h"
#include "completion-send.h"
#include "event-stream.h"
#include "policy-series.h"

#define HTTP_OK 200

/* Starts the call with the body. */
static struct call *
send_call(struct request *req, const struct target *target, const char *body)
{
	g_autofree char *url =
	    g_strconcat(target->url, "/v1/completions", NULL);
	g_autofree char *epoch = g_strdup_printf("%" PRIu64, target->epoch);
	uint64_t now = clock_now_ms();
	g_autofree char *timeout_ms = g_strdup_printf("%" PRIu64,
	    req->deadline_ms > now ? req->deadline_ms - now : 0);
	const struct call_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Banklift-Epoch", epoch },
		{ "Banklift-Request-Id", req->id },
		{ "Banklift-Deadline-Ms", timeout_ms },
		{ NULL, NULL },
	};

	return (call_start("POST", url, headers, body, strlen(body), false));
}

/**
 * completion_send_open() - send a completion to a replica.
 * @req: the request
 * @target: the replica, whose reference the request holds
 * @body: body of the request to the engine; the index of the first chunk is set
 * @from: index of the first chunk that is asked for
 */
struct completion_send *
completion_send_open(struct request *req, struct target *target, json_t *body,
    int64_t from)
{
	struct completion_send *send = g_new0(struct completion_send, 1);
	char *text;

	json_object_set_new(body, "resume_from", json_integer(from));
	text = json_dumps(body, JSON_COMPACT);
	send->target = target;
	send->call = send_call(req, target, text);
	free(text);
	chunk_order_init(&send->order);
	send->order.next = from;
	atomic_fetch_add(&target->inflight, 1);
	atomic_fetch_add(&policy_series(req->policy)->calls, 1);
	atomic_fetch_add(&req->customer->series.calls, 1);
	return (send);
}

/**
 * completion_send_close() - free a send; a call in progress is cancelled.
 * @send: the send
 */
void
completion_send_close(struct completion_send *send)
{
	target_apply_feedback(send->target, send->call);
	atomic_fetch_sub(&send->target->inflight, 1);
	call_free(send->call);
	chunk_order_clear(&send->order);
	g_free(send);
}

/* Processes one event of the engine's stream; false if it is malformed. */
static bool
send_handle_event(struct completion_send *send, const char *data)
{
	json_auto_t *event = json_loads(data, 0, NULL);
	json_int_t index, tokens;
	const char *text;
	int end;

	if (json_unpack(event, "{s:I, s:s}", "index", &index, "text", &text) ==
	    0)
		return (chunk_order_add(&send->order, index, text));
	if (json_unpack(event, "{s:b, s:I}", "end", &end, "tokens", &tokens) ==
	    0)
		return (chunk_order_set_end(&send->order, tokens));
	return (false);
}

static bool
send_streams(const struct completion_send *send)
{
	return (call_head_received(send->call) &&
	    call_status(send->call) == HTTP_OK);
}

/**
 * completion_send_read() - process the complete events that were received.
 * @send: the send
 */
void
completion_send_read(struct completion_send *send)
{
	char *data;

	while (send_streams(send) && !send->malformed &&
	    (data = event_stream_take(call_body(send->call))) != NULL) {
		send->malformed = !send_handle_event(send, data);
		g_free(data);
	}
}

/**
 * completion_send_over() - whether nothing more will come that is of use.
 * @send: the send
 */
bool
completion_send_over(const struct completion_send *send)
{
	return (send->malformed || call_ended(send->call));
}

/**
 * completion_send_resumable() - whether the engine says that a stream that is
 * resumed at another replica has the same text.
 * @send: the send; false before the head of its response
 */
bool
completion_send_resumable(const struct completion_send *send)
{
	const char *resumes = call_header(send->call, "engine-resumes");

	return (send_streams(send) && g_strcmp0(resumes, "exact") == 0);
}

/**
 * completion_send_end() - describe the end of a send for call_end_decide(), or
 * what would be its end if it were given up now.
 * @send: the send, whose text is not complete
 * @req: the request
 *
 * What was delivered to the client, and whether that can be resumed, is left
 * out.
 */
struct call_end
completion_send_end(const struct completion_send *send,
    const struct request *req)
{
	struct call_end end = {
		.phase = call_phase(send->call),
		.status = call_status(send->call),
		.not_started = call_header(send->call, "not-started") != NULL,
		.malformed = send->malformed,
		.expired = request_expired(req),
		.idempotent = req->idempotent,
	};

	/* A stream that is closed before its end marker is incomplete. */
	if (end.phase == CALL_COMPLETE && end.status == HTTP_OK)
		end.malformed = true;
	return (end);
}
