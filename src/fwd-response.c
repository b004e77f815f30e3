/* Response of an endpoint: checks it and passes it on to the client. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"
#include "registry-silence.h"

/* Weight of the newest gap in an endpoint's slowness, and bounds of that. */
#define SLOWNESS_ALPHA 0.03
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 20.0
/* Consecutive failures that start a cooldown of an endpoint, and its length. */
#define FAILURES_TO_COOLDOWN 2
#define COOLDOWN_FAILURES_MS 1000
/* Cooldown of an endpoint to which no connection could be made, from the first
 * failure on. */
#define COOLDOWN_UNREACHED_MS 500
/* Cooldown of a group's head that lost a member; it is reported as broken
 * within the stall timeout. */
#define COOLDOWN_BROKEN_MS 1500

/* Keeps the header lines of a response for the client. */
static void
response_keep_headers(struct fwd_send *send, const struct net_head *head)
{
	/* A resumed response keeps the headers of its first endpoint. */
	if (send->exchange->first_us > 0)
		return;
	g_string_truncate(send->headers, 0);
	for (unsigned i = 0; i < head->n_fields; i++) {
		if (net_head_hop_by_hop(head, i))
			continue;
		g_string_append_printf(send->headers, "%s: %s\r\n",
		    net_head_name(head, i), net_head_value(head, i));
	}
}

/* Counts the outcome of a send at its endpoint. */
static void
response_count_outcome(const struct fwd_send *send, bool failed)
{
	endpoint_count_outcome(send->endpoint, failed,
	    clock_loop_ms(send->exchange->fwd->loop));
}

static enum net_head_action
on_response_head(void *owner, unsigned status, const struct net_head *head)
{
	struct fwd_send *send = owner;
	struct fwd_exchange *ex = send->exchange;
	struct wire_response response;

	ex->fwd->wire->read_response(status, head, &response);
	if (response.malformed)
		return (NET_REJECT);
	if (response.id != NULL && strcmp(response.id, ex->id) != 0) {
		fwd_stats_count(&ex->fwd->stats, COUNT_STRAY_RESPONSES);
		event_log(LOG_NOTICE, "stray_answer",
		    "id=%s answers=%s "
		    "endpoint=%s",
		    ex->id, response.id, send->endpoint->report.id);
		return (NET_SKIP);
	}
	fwd_path_note(send);
	send->heard_ms = clock_loop_ms(ex->fwd->loop);
	if (!response.wrong_endpoint)
		endpoint_note_heard(send->endpoint, send->heard_ms);
	send->status = status;
	if (!fwd_send_other(send))
		ex->status = status;
	send->has_signature = response.has_signature;
	send->not_run = response.not_run;
	fwd_feedback_apply(send, &response);
	if (response.wrong_endpoint)
		endpoint_mark_gone(send->endpoint);
	if (response.not_run && response.lost_member != NULL)
		fwd_endpoint_cool_down(send, COOLDOWN_BROKEN_MS, "member_lost");
	send->streaming = ex->route->retry == RETRY_STREAM &&
	    wire_status_is_success(status) && send->has_signature;
	response_keep_headers(send, head);
	/* A response that is buffered is passed on only once it is complete. */
	if (wire_status_is_success(status) && send->has_signature &&
	    !send->streaming)
		fwd_hedge_settle(send);
	return (NET_ACCEPT);
}

/*
 * The first event confirms that the prompt was prefilled. Its delay beyond the
 * profile's estimate goes into the measured overhead of the model, unless the
 * endpoint was silent.
 */
static void
response_first_event(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;
	const struct fwd_send_basis *basis = &send->basis;
	struct endpoint *ep = send->endpoint;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	if (!send->in_backlog)
		return;
	send->in_backlog = false;
	fwd_backlog_confirm(&ep->backlog, send->backlog_mark, now);
	ep->pending = MAX(ep->pending - ex->prompt, 0);
	if (send->found_silent)
		return;
	fwd_estimate_add_first(fwd_exchange_estimate(ex),
	    (double)(now - basis->sent_ms) - basis->expected_ms +
		basis->overhead_ms);
	fwd_send_note_first(send, now);
}

/* Updates an endpoint's slowness from the time since the last event. A gap in
 * which it was silent tells nothing about its pace. */
static void
response_update_slowness(struct fwd_send *send, uint64_t now)
{
	const struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;
	double expected, ratio;

	if (ex->model == NULL || send->in_backlog || send->found_silent ||
	    send->heard_ms <= send->basis.sent_ms)
		return;
	expected = fwd_expect_gap(ep, ex->engine, ex->model) / ep->slowness *
	    ex->engine->stride;
	if (expected <= 0)
		return;
	ratio = (double)(now - send->heard_ms) / expected;
	ep->slowness += SLOWNESS_ALPHA * (ratio - ep->slowness);
	ep->slowness = CLAMP(ep->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
}

/* Counts the first event that is passed on, by whether it is late. */
static void
response_count_first(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	struct fwd_stats *stats = &ex->fwd->stats;
	double objective = (double)ex->route->objective_ms;
	double waited = (double)(send->basis.sent_ms - ex->arrived_ms);
	enum fwd_first_result result = FIRST_IN_TIME;

	if (!ex->fwd->set.endpoint_evidence || ex->model == NULL)
		return;
	if ((double)(ex->first_us - ex->arrived_us) / 1000 > objective)
		result = ex->sends == 1 &&
			waited + send->basis.expected_ms > objective ?
		    FIRST_LATE_FORESEEN :
		    FIRST_LATE_UNFORESEEN;
	fwd_stats_count_first(stats, ex->model->name, result);
}

/* Begins the response to the client with the headers of this send's. */
static void
response_begin(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;

	fwd_count_first(ex);
	ex->status = send->status;
	ex->state = EXCHANGE_RESPONDING;
	fwd_conn_begin(ex->conn, send->status, send->headers->str);
}

/* Passes one event on to the client. */
static void
response_pass_event(struct fwd_send *send, size_t length)
{
	struct fwd_exchange *ex = send->exchange;

	fwd_poison_note_event(send, clock_loop_ms(ex->fwd->loop));
	fwd_hedge_settle(send);
	if (ex->state == EXCHANGE_SENT) {
		response_begin(send);
		response_count_first(send);
	}
	ex->last_event = send->events.last_id;
	fwd_conn_write(ex->conn, send->events.buf->str, length);
}

/* Passes all complete events on. Returns false if one was missing. */
static bool
response_pass_events(struct fwd_send *send)
{
	enum fwd_event_verdict verdict;
	size_t length;

	while ((verdict = fwd_events_next(&send->events, &length)) !=
	    FWD_EVENT_NONE) {
		if (verdict == FWD_EVENT_GAP) {
			fwd_send_withdraw(send, true, "event_missing");
			return (false);
		}
		if (verdict == FWD_EVENT_PASS)
			response_pass_event(send, length);
		fwd_events_drop(&send->events, length);
	}
	return (true);
}

static void
response_stream(struct fwd_send *send, const char *at, size_t length)
{
	struct fwd_exchange *ex = send->exchange;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	response_update_slowness(send, now);
	response_first_event(send);
	send->heard_ms = now;
	endpoint_note_heard(send->endpoint, now);
	if (!fwd_events_add(&send->events, at, length)) {
		fwd_send_withdraw(send, true, "event_too_large");
		return;
	}
	if (!response_pass_events(send))
		return;
	if (!fwd_send_count_events(send)) {
		fwd_send_withdraw(send, true, "event_too_large");
		return;
	}
	if (ex->conn != NULL)
		fwd_conn_flush(ex->conn);
}

/* Ends a send that the endpoint did not run, and retries the request. */
static void
response_not_run(struct fwd_send *send)
{
	send->exchange->runs--;
	fwd_stats_count(&send->exchange->fwd->stats, COUNT_NOT_RUN);
	fwd_send_fail(send, "endpoint_refused");
}

/* Whether a response may be passed on before it is complete. */
static bool
response_may_begin(const struct fwd_send *send)
{
	return (!send->not_run && send->has_signature &&
	    send->exchange->first_us == 0);
}

/* Ends a send whose response is too large to be buffered and can't be passed
 * on. */
static void
response_too_large(struct fwd_send *send)
{
	response_count_outcome(send, true);
	if (send->not_run)
		response_not_run(send);
	else
		fwd_send_fail(send, "response_too_large");
}

/* Buffers a piece of a response, or passes it on if it is too large. */
static void
response_buffer(struct fwd_send *send, const char *at, size_t length)
{
	struct fwd_exchange *ex = send->exchange;

	g_byte_array_append(send->body, (const guint8 *)at, (guint)length);
	ex->fwd->held_bytes += length;
	if (!send->passthrough && send->body->len <= fwd_hold_limit(ex->fwd))
		return;
	if (!send->passthrough && !response_may_begin(send)) {
		response_too_large(send);
		return;
	}
	if (!send->passthrough)
		response_begin(send);
	send->passthrough = true;
	fwd_conn_write(ex->conn, send->body->data, send->body->len);
	fwd_send_drop_body(send);
	fwd_conn_flush(ex->conn);
}

static void
on_response_body(void *owner, const char *at, size_t length)
{
	struct fwd_send *send = owner;

	if (send->exchange->conn == NULL)
		return;
	if (send->streaming) {
		response_stream(send, at, length);
		return;
	}
	send->heard_ms = clock_loop_ms(send->exchange->fwd->loop);
	/* A refusal may come from another incarnation. */
	if (!send->not_run)
		endpoint_note_heard(send->endpoint, send->heard_ms);
	response_buffer(send, at, length);
}

/* Whether a stream ended before its end: it is complete only if it ends with a
 * complete event. */
static bool
stream_was_cut(const struct fwd_send *send)
{
	return (send->streaming &&
	    (send->events.buf->len > 0 || send->exchange->first_us == 0));
}

/* Ends a stream. */
static void
response_end_stream(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;

	if (stream_was_cut(send)) {
		fwd_send_fail(send, "cut_in_event");
		return;
	}
	fwd_hedge_settle(send);
	fwd_exchange_finish(ex);
}

/* Whether to retry after a complete response that is not a success. */
static bool
response_is_retryable(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;

	if (send->status < HTTP_STATUS_INTERNAL_SERVER_ERROR &&
	    send->has_signature)
		return (false);
	if (!wire_status_is_success(send->status) &&
	    send->status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
		return (false);
	return (fwd_exchange_retryable(ex) &&
	    (fwd_send_other(send) || ex->runs < ex->route->max_attempts));
}

/* Sends a complete response that was buffered. */
static void
response_deliver(struct fwd_send *send)
{
	fwd_hedge_settle(send);
	send->exchange->status = send->status;
	fwd_exchange_deliver(send->exchange, send);
}

/* Ends a send that the endpoint ran. */
static void
response_ran(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;
	bool lacks_signature =
	    wire_status_is_success(send->status) && !send->has_signature;

	if (!send->was_silent)
		fwd_estimate_add_duration(fwd_exchange_estimate(ex),
		    (double)(clock_loop_ms(ex->fwd->loop) -
			send->basis.sent_ms));
	response_count_outcome(send,
	    lacks_signature || stream_was_cut(send) ||
		send->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
	if (send->streaming)
		response_end_stream(send);
	else if (send->passthrough)
		fwd_exchange_finish(ex);
	else if (ex->first_us > 0)
		fwd_send_fail(send, "not_resumed");
	else if (lacks_signature || response_is_retryable(send))
		fwd_send_fail(send,
		    lacks_signature ? "no_proof" : "endpoint_error");
	else
		response_deliver(send);
}

/*
 * Records what a response tells of the request's effect on the endpoint. One
 * that ends with its connection may have been cut off by a crash.
 */
static void
response_note_outcome(struct fwd_send *send, enum net_framing framing)
{
	if (!send->has_signature || send->not_run)
		return;
	if (framing == NET_UNTIL_CLOSE && stream_was_cut(send))
		fwd_poison_observe_crash(send, false);
	else if (framing == NET_DELIMITED && !stream_was_cut(send))
		fwd_poison_note_success(send);
}

static void
on_response_done(void *owner, enum net_framing framing)
{
	struct fwd_send *send = owner;

	send->conn = NULL;
	response_note_outcome(send, framing);
	if (send->exchange->conn == NULL)
		fwd_exchange_free(send->exchange);
	else if (send->not_run)
		response_not_run(send);
	else
		response_ran(send);
}

static const char *
failure_reason(enum net_failure failure)
{
	if (failure == NET_CONNECT_FAILED)
		return ("unreached");
	return (failure == NET_CONN_LOST ? "connection_lost" :
					   "no_answer_in_protocol");
}

static void
on_response_failed(void *owner, enum net_failure failure)
{
	struct fwd_send *send = owner;

	send->conn = NULL;
	if (failure == NET_CONN_LOST)
		fwd_poison_observe_crash(send, false);
	if (send->exchange->conn == NULL) {
		fwd_exchange_free(send->exchange);
		return;
	}
	response_count_outcome(send, true);
	fwd_send_note_reached(send, failure != NET_CONNECT_FAILED);
	if (failure == NET_CONNECT_FAILED)
		fwd_endpoint_cool_down(send, COOLDOWN_UNREACHED_MS,
		    "unreached");
	else if (send->endpoint->failures >= FAILURES_TO_COOLDOWN)
		fwd_endpoint_cool_down(send, COOLDOWN_FAILURES_MS, "failures");
	fwd_send_fail(send, failure_reason(failure));
}

const struct net_conn_ops fwd_response_ops = {
	.head = on_response_head,
	.body = on_response_body,
	.done = on_response_done,
	.failed = on_response_failed,
};
