/* What an endpoint's answer does to an exchange. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Answers up to this size are held back until they are whole, so that a cut
 * one can be asked for again; larger ones are passed on as they come. */
#define HELD_ANSWER_BYTES 262144
/* Weight of the newest answer in the share of failures. */
#define ERROR_ALPHA 0.1
/* Weight of the newest gap in the slowness of an endpoint. */
#define SLOWNESS_ALPHA 0.03
#define SLOWNESS_LEAST 0.5
#define SLOWNESS_MOST 20.0
/* Failures in a row after which an endpoint rests, and for how long. */
#define FAILURES_TO_REST 2
#define REST_MS 1000
/* An endpoint that nothing reached rests from the first failure on. */
#define REST_UNREACHED_MS 500
/* A head that lost a member is reported as broken within the stall bound. */
#define REST_BROKEN_MS 1500

static bool
status_is_success(unsigned status)
{
	return (
	    status >= HTTP_STATUS_OK && status < HTTP_STATUS_MULTIPLE_CHOICES);
}

/* Keeps the header lines of an answer for the caller. */
static void
answer_keep_headers(struct fwd_exchange *ex, const struct net_head *head)
{
	/* Within one answer the first endpoint's headers stand. */
	if (ex->first_us > 0)
		return;
	g_string_truncate(ex->headers, 0);
	for (unsigned i = 0; i < head->n_fields; i++) {
		if (net_head_hop_by_hop(head, i))
			continue;
		g_string_append_printf(ex->headers, "%s: %s\r\n",
		    net_head_name(head, i), net_head_value(head, i));
	}
}

/* Notes how an endpoint did. */
static void
endpoint_judge(struct endpoint *ep, bool failed)
{
	ep->error_rate += ERROR_ALPHA * ((failed ? 1.0 : 0.0) - ep->error_rate);
	ep->failures = failed ? ep->failures + 1 : 0;
}

static enum net_head_action
answer_head(void *owner, unsigned status, const struct net_head *head)
{
	struct fwd_exchange *ex = owner;
	struct wire_response answer;

	ex->fwd->wire->read_response(status, head, &answer);
	if (answer.id != NULL && strcmp(answer.id, ex->id) != 0) {
		fwd_stats_count(&ex->fwd->stats, COUNT_STRAY_ANSWERS);
		event_log(LOG_NOTICE, "stray_answer",
		    "id=%s answers=%s "
		    "endpoint=%s",
		    ex->id, answer.id, ex->endpoint->report.id);
		return (NET_SKIP);
	}
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
	if (!answer.wrong_endpoint)
		ex->endpoint->heard_ms = ex->heard_ms;
	ex->status = status;
	ex->has_signature = answer.has_signature;
	ex->not_run = answer.not_run;
	fwd_feedback_apply(ex, &answer);
	if (answer.wrong_endpoint)
		endpoint_mark_gone(ex->endpoint);
	if (answer.not_run && answer.lost_member != NULL)
		fwd_endpoint_cool_down(ex, REST_BROKEN_MS, "member_lost");
	ex->streaming = ex->route->retry == RETRY_STREAM &&
	    status_is_success(status) && ex->has_signature;
	answer_keep_headers(ex, head);
	return (NET_ACCEPT);
}

/* The first event shows that the prompt was read, and how late it comes. */
static void
answer_first_event(struct fwd_exchange *ex)
{
	struct fwd_estimate *learned;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	if (!ex->in_backlog)
		return;
	ex->in_backlog = false;
	fwd_backlog_confirm(&ex->endpoint->backlog, ex->backlog_mark, now);
	ex->endpoint->pending = MAX(ex->endpoint->pending - ex->prompt, 0);
	learned = fwd_estimate_get(ex->fwd, ex->model->name);
	fwd_estimate_add_first(learned,
	    (double)(now - ex->sent_ms) - ex->expected_ms + ex->overhead_ms);
}

/* Learns from the time since the last event how slow the endpoint is. */
static void
answer_learn_gap(struct fwd_exchange *ex, uint64_t now)
{
	struct endpoint *ep = ex->endpoint;
	double expected, ratio;

	if (ex->model == NULL || ex->in_backlog || ex->heard_ms <= ex->sent_ms)
		return;
	expected = fwd_expect_gap(ep, ex->engine, ex->model) / ep->slowness *
	    ex->engine->stride;
	if (expected <= 0)
		return;
	ratio = (double)(now - ex->heard_ms) / expected;
	ep->slowness += SLOWNESS_ALPHA * (ratio - ep->slowness);
	ep->slowness = CLAMP(ep->slowness, SLOWNESS_LEAST, SLOWNESS_MOST);
}

/* Gives one event to the caller. */
static void
answer_pass_event(struct fwd_exchange *ex, size_t length)
{
	struct fwd_conn *caller = ex->conn;

	if (ex->state == EXCHANGE_SENT) {
		ex->first_us = clock_now_us();
		ex->state = EXCHANGE_RESPONDING;
		fwd_conn_begin(caller, ex->status, ex->headers->str);
	}
	fwd_conn_write(caller, ex->events.buf->str, length);
}

/* Gives all whole events on; false where the stream was ended. */
static bool
answer_pass_events(struct fwd_exchange *ex)
{
	enum fwd_event_verdict verdict;
	size_t length;

	while ((verdict = fwd_events_next(&ex->events, &length)) !=
	    FWD_EVENT_NONE) {
		if (verdict == FWD_EVENT_GAP) {
			fwd_exchange_move(ex, true, "event_missing");
			return (false);
		}
		if (verdict == FWD_EVENT_PASS)
			answer_pass_event(ex, length);
		fwd_events_drop(&ex->events, length);
	}
	return (true);
}

static void
answer_stream(struct fwd_exchange *ex, const char *at, size_t length)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	answer_learn_gap(ex, now);
	answer_first_event(ex);
	ex->heard_ms = now;
	ex->endpoint->heard_ms = now;
	if (!fwd_events_add(&ex->events, at, length)) {
		fwd_exchange_move(ex, true, "event_too_large");
		return;
	}
	if (answer_pass_events(ex) && ex->conn != NULL)
		fwd_conn_flush(ex->conn);
}

static void
answer_body(void *owner, const char *at, size_t length)
{
	struct fwd_exchange *ex = owner;

	if (ex->conn == NULL)
		return;
	if (ex->streaming) {
		answer_stream(ex, at, length);
		return;
	}
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
	/* What is refused may come from another incarnation. */
	if (!ex->not_run)
		ex->endpoint->heard_ms = ex->heard_ms;
	g_byte_array_append(ex->response_body, (const guint8 *)at,
	    (guint)length);
	if (!ex->passthrough &&
	    (ex->response_body->len <= HELD_ANSWER_BYTES || ex->not_run ||
		!ex->has_signature))
		return;
	if (!ex->passthrough) {
		ex->passthrough = true;
		ex->state = EXCHANGE_RESPONDING;
		ex->first_us = clock_now_us();
		fwd_conn_begin(ex->conn, ex->status, ex->headers->str);
	}
	fwd_conn_write(ex->conn, ex->response_body->data,
	    ex->response_body->len);
	g_byte_array_set_size(ex->response_body, 0);
	fwd_conn_flush(ex->conn);
}

/* A whole stream ends with a whole event. */
static void
answer_stream_done(struct fwd_exchange *ex)
{
	if (ex->events.buf->len > 0 || ex->first_us == 0) {
		fwd_exchange_retry(ex, "cut_in_event");
		return;
	}
	fwd_exchange_finish(ex);
}

/* An answer that is whole but no success. */
static bool
answer_worth_another(struct fwd_exchange *ex)
{
	if (ex->status < HTTP_STATUS_INTERNAL_SERVER_ERROR && ex->has_signature)
		return (false);
	if (!status_is_success(ex->status) &&
	    ex->status < HTTP_STATUS_INTERNAL_SERVER_ERROR)
		return (false);
	return (
	    fwd_exchange_retryable(ex) && ex->runs < ex->route->max_attempts);
}

static void
answer_done(void *owner)
{
	struct fwd_exchange *ex = owner;
	struct endpoint *ep = ex->endpoint;
	bool bad = status_is_success(ex->status) && !ex->has_signature;

	ex->upstream = NULL;
	if (ex->has_signature && !ex->not_run)
		fwd_poison_note_success(ex);
	if (ex->conn == NULL) {
		fwd_exchange_free(ex);
		return;
	}
	if (ex->not_run) {
		ex->runs--;
		ex->reached = true;
		fwd_stats_count(&ex->fwd->stats, COUNT_NOT_RUN);
		fwd_exchange_release(ex);
		fwd_exchange_retry(ex, "endpoint_refused");
		return;
	}
	ex->reached = true;
	fwd_estimate_add_duration(fwd_exchange_estimate(ex),
	    (double)(clock_loop_ms(ex->fwd->loop) - ex->sent_ms));
	endpoint_judge(ep,
	    bad || ex->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
	fwd_exchange_release(ex);
	if (ex->streaming)
		answer_stream_done(ex);
	else if (ex->passthrough)
		fwd_exchange_finish(ex);
	else if (ex->first_us > 0)
		fwd_exchange_retry(ex, "not_resumed");
	else if (bad || answer_worth_another(ex))
		fwd_exchange_retry(ex, bad ? "no_proof" : "endpoint_error");
	else
		fwd_exchange_deliver(ex);
}

static void
answer_failed(void *owner, enum net_failure why)
{
	struct fwd_exchange *ex = owner;
	struct endpoint *ep = ex->endpoint;

	ex->upstream = NULL;
	if (why == NET_CONN_LOST)
		fwd_poison_observe_crash(ex, false);
	if (ex->conn == NULL) {
		fwd_exchange_free(ex);
		return;
	}
	endpoint_judge(ep, true);
	fwd_exchange_end_send(ex, why != NET_CONNECT_FAILED);
	if (why == NET_CONNECT_FAILED) {
		fwd_endpoint_cool_down(ex, REST_UNREACHED_MS, "unreached");
	} else if (ep->failures >= FAILURES_TO_REST) {
		fwd_endpoint_cool_down(ex, REST_MS, "failures");
	}
	fwd_exchange_release(ex);
	fwd_exchange_retry(ex,
	    why == NET_CONNECT_FAILED ? "unreached" :
		why == NET_CONN_LOST  ? "connection_lost" :
					"no_answer_in_protocol");
}

const struct net_conn_ops fwd_response_ops = {
	.head = answer_head,
	.body = answer_body,
	.done = answer_done,
	.failed = answer_failed,
};
