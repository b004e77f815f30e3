/* Response of an endpoint: checks it and passes it on to the client. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Weight of the newest response in an endpoint's error rate. */
#define ERROR_ALPHA 0.1
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

static bool
status_is_success(unsigned status)
{
	return (
	    status >= HTTP_STATUS_OK && status < HTTP_STATUS_MULTIPLE_CHOICES);
}

/* Keeps the header lines of a response for the client. */
static void
response_keep_headers(struct fwd_exchange *ex, const struct net_head *head)
{
	/* A resumed response keeps the headers of its first endpoint. */
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

/* Updates an endpoint's error rate and its count of consecutive failures. */
static void
endpoint_count_outcome(struct endpoint *ep, bool failed)
{
	ep->error_rate += ERROR_ALPHA * ((failed ? 1.0 : 0.0) - ep->error_rate);
	ep->failures = failed ? ep->failures + 1 : 0;
}

static enum net_head_action
on_response_head(void *owner, unsigned status, const struct net_head *head)
{
	struct fwd_exchange *ex = owner;
	struct wire_response response;

	ex->fwd->wire->read_response(status, head, &response);
	if (response.id != NULL && strcmp(response.id, ex->id) != 0) {
		fwd_stats_count(&ex->fwd->stats, COUNT_STRAY_RESPONSES);
		event_log(LOG_NOTICE, "stray_answer",
		    "id=%s answers=%s "
		    "endpoint=%s",
		    ex->id, response.id, ex->endpoint->report.id);
		return (NET_SKIP);
	}
	fwd_path_note(ex);
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
	if (!response.wrong_endpoint)
		ex->endpoint->heard_ms = ex->heard_ms;
	ex->status = status;
	ex->has_signature = response.has_signature;
	ex->not_run = response.not_run;
	fwd_feedback_apply(ex, &response);
	if (response.wrong_endpoint)
		endpoint_mark_gone(ex->endpoint);
	if (response.not_run && response.lost_member != NULL)
		fwd_endpoint_cool_down(ex, COOLDOWN_BROKEN_MS, "member_lost");
	ex->streaming = ex->route->retry == RETRY_STREAM &&
	    status_is_success(status) && ex->has_signature;
	response_keep_headers(ex, head);
	return (NET_ACCEPT);
}

/*
 * The first event confirms that the prompt was prefilled. Its delay beyond the
 * profile's estimate goes into the measured overhead of the model.
 */
static void
response_first_event(struct fwd_exchange *ex)
{
	struct fwd_estimate *estimate;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	if (!ex->in_backlog)
		return;
	ex->in_backlog = false;
	fwd_backlog_confirm(&ex->endpoint->backlog, ex->backlog_mark, now);
	ex->endpoint->pending = MAX(ex->endpoint->pending - ex->prompt, 0);
	estimate = fwd_estimate_get(ex->fwd, ex->model->name);
	fwd_estimate_add_first(estimate,
	    (double)(now - ex->sent_ms) - ex->expected_ms + ex->overhead_ms);
	fwd_exchange_note_first(ex, now);
}

/* Updates an endpoint's slowness from the time since the last event. */
static void
response_update_slowness(struct fwd_exchange *ex, uint64_t now)
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
	ep->slowness = CLAMP(ep->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
}

/* Counts the first event that is passed on, by whether it is late. */
static void
response_count_first(const struct fwd_exchange *ex)
{
	struct fwd_stats *stats = &ex->fwd->stats;
	double objective = (double)ex->route->objective_ms;
	double waited = (double)(ex->sent_ms - ex->arrived_ms);
	enum fwd_first_result result = FIRST_IN_TIME;

	if (!ex->fwd->set.endpoint_evidence || ex->model == NULL)
		return;
	if ((double)(ex->first_us - ex->arrived_us) / 1000 > objective)
		result =
		    ex->sends == 1 && waited + ex->expected_ms > objective ?
		    FIRST_LATE_FORESEEN :
		    FIRST_LATE_UNFORESEEN;
	fwd_stats_count_first(stats, ex->model->name, result);
}

/* Passes one event on to the client. */
static void
response_pass_event(struct fwd_exchange *ex, size_t length)
{
	struct fwd_conn *conn = ex->conn;

	if (ex->state == EXCHANGE_SENT) {
		fwd_count_first(ex);
		ex->state = EXCHANGE_RESPONDING;
		response_count_first(ex);
		fwd_conn_begin(conn, ex->status, ex->headers->str);
	}
	fwd_conn_write(conn, ex->events.buf->str, length);
}

/* Passes all complete events on. Returns false if one was missing. */
static bool
response_pass_events(struct fwd_exchange *ex)
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
			response_pass_event(ex, length);
		fwd_events_drop(&ex->events, length);
	}
	return (true);
}

static void
response_stream(struct fwd_exchange *ex, const char *at, size_t length)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	response_update_slowness(ex, now);
	response_first_event(ex);
	ex->heard_ms = now;
	ex->endpoint->heard_ms = now;
	if (!fwd_events_add(&ex->events, at, length)) {
		fwd_exchange_move(ex, true, "event_too_large");
		return;
	}
	if (response_pass_events(ex) && ex->conn != NULL)
		fwd_conn_flush(ex->conn);
}

static void
on_response_body(void *owner, const char *at, size_t length)
{
	struct fwd_exchange *ex = owner;

	if (ex->conn == NULL)
		return;
	if (ex->streaming) {
		response_stream(ex, at, length);
		return;
	}
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
	/* A refusal may come from another incarnation. */
	if (!ex->not_run)
		ex->endpoint->heard_ms = ex->heard_ms;
	g_byte_array_append(ex->response_body, (const guint8 *)at,
	    (guint)length);
	ex->fwd->held_bytes += length;
	if (!ex->passthrough &&
	    (ex->response_body->len <= fwd_hold_limit(ex->fwd) || ex->not_run ||
		!ex->has_signature))
		return;
	if (!ex->passthrough) {
		ex->passthrough = true;
		ex->state = EXCHANGE_RESPONDING;
		fwd_count_first(ex);
		fwd_conn_begin(ex->conn, ex->status, ex->headers->str);
	}
	fwd_conn_write(ex->conn, ex->response_body->data,
	    ex->response_body->len);
	fwd_exchange_drop_response(ex);
	fwd_conn_flush(ex->conn);
}

/* Ends a stream. It is complete only if it ends with a complete event. */
static void
response_end_stream(struct fwd_exchange *ex)
{
	if (ex->events.buf->len > 0 || ex->first_us == 0) {
		fwd_exchange_retry(ex, "cut_in_event");
		return;
	}
	fwd_exchange_finish(ex);
}

/* Whether to retry after a complete response that is not a success. */
static bool
response_is_retryable(struct fwd_exchange *ex)
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
on_response_done(void *owner)
{
	struct fwd_exchange *ex = owner;
	struct endpoint *ep = ex->endpoint;
	bool lacks_signature =
	    status_is_success(ex->status) && !ex->has_signature;

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
	endpoint_count_outcome(ep,
	    lacks_signature || ex->status >= HTTP_STATUS_INTERNAL_SERVER_ERROR);
	fwd_exchange_release(ex);
	if (ex->streaming)
		response_end_stream(ex);
	else if (ex->passthrough)
		fwd_exchange_finish(ex);
	else if (ex->first_us > 0)
		fwd_exchange_retry(ex, "not_resumed");
	else if (lacks_signature || response_is_retryable(ex))
		fwd_exchange_retry(ex,
		    lacks_signature ? "no_proof" : "endpoint_error");
	else
		fwd_exchange_deliver(ex);
}

static void
on_response_failed(void *owner, enum net_failure failure)
{
	struct fwd_exchange *ex = owner;
	struct endpoint *ep = ex->endpoint;

	ex->upstream = NULL;
	if (failure == NET_CONN_LOST)
		fwd_poison_observe_crash(ex, false);
	if (ex->conn == NULL) {
		fwd_exchange_free(ex);
		return;
	}
	endpoint_count_outcome(ep, true);
	fwd_exchange_end_send(ex, failure != NET_CONNECT_FAILED);
	if (failure == NET_CONNECT_FAILED) {
		fwd_endpoint_cool_down(ex, COOLDOWN_UNREACHED_MS, "unreached");
	} else if (ep->failures >= FAILURES_TO_COOLDOWN) {
		fwd_endpoint_cool_down(ex, COOLDOWN_FAILURES_MS, "failures");
	}
	fwd_exchange_release(ex);
	fwd_exchange_retry(ex,
	    failure == NET_CONNECT_FAILED ? "unreached" :
		failure == NET_CONN_LOST  ? "connection_lost" :
					    "no_answer_in_protocol");
}

const struct net_conn_ops fwd_response_ops = {
	.head = on_response_head,
	.body = on_response_body,
	.done = on_response_done,
	.failed = on_response_failed,
};
