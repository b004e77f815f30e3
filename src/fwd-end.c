/* End of an exchange: response, refusal, failure or abort. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* Id of the endpoint whose response goes on, or that had the request last. */
static const char *
end_endpoint(const struct fwd_exchange *ex)
{
	const struct fwd_send *send = TAILQ_FIRST(&ex->active);

	if (send != NULL)
		return (send->endpoint->report.id);
	if (ex->n_tried == 0)
		return ("-");
	return (ex->tried[ex->n_tried - 1].endpoint->report.id);
}

/* Logs the end of an exchange. */
static void
end_log(const struct fwd_exchange *ex, int level, const char *event,
    unsigned status, const char *reason)
{
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	event_log(level, event,
	    "id=%s route=%s status=%u reason=%s service=%s model=%s "
	    "endpoint=%s sends=%u runs=%u age_ms=%llu first_ms=%llu "
	    "last_event=%lld version=%lld prompt=%.0f expected_ms=%.0f "
	    "running=%u reading=%.0f work=%08x objective_ms=%lld sent_ms=%llu "
	    "correction_ms=%.0f gateway=%s",
	    ex->id, ex->route != NULL ? ex->route->name : "-", status, reason,
	    ex->service != NULL ? ex->service : "-",
	    ex->model != NULL ? ex->model->name : "-", end_endpoint(ex),
	    ex->sends, ex->runs, (unsigned long long)(now - ex->arrived_ms),
	    (unsigned long long)(ex->first_us > 0 ?
		    (ex->first_us - ex->arrived_us) / 1000 :
		    0),
	    (long long)ex->last_event,
	    ex->catalog != NULL ? (long long)ex->catalog->version : -1LL,
	    ex->prompt, ex->last.expected_ms, ex->last.running,
	    ex->last.backlog, fwd_keys_name(ex),
	    ex->route != NULL ? (long long)ex->route->objective_ms : 0,
	    (unsigned long long)(ex->sends > 0 ?
		    ex->last.sent_ms - ex->arrived_ms :
		    0),
	    ex->last.correction_ms, ex->gateway != NULL ? ex->gateway : "-");
}

/**
 * fwd_exchange_free() - free an exchange.
 * @ex: the exchange; nothing more is sent to its client on its behalf
 */
void
fwd_exchange_free(struct fwd_exchange *ex)
{
	struct fwd_send *send;

	if (ex->state == EXCHANGE_QUEUED)
		TAILQ_REMOVE(&ex->fwd->queue, ex, queue_entry);
	ex->state = EXCHANGE_DONE;
	fwd_poison_end_probe(ex);
	while ((send = TAILQ_FIRST(&ex->active)) != NULL)
		fwd_send_free(send);
	for (unsigned i = 0; i < ex->n_tried; i++)
		ex->tried[i].endpoint->refs--;
	TAILQ_REMOVE(&ex->fwd->exchanges, ex, entry);
	ex->fwd->n_exchanges--;
	catalog_unref(ex->catalog);
	g_free(ex->id);
	g_free(ex->gateway);
	g_string_free(ex->request, TRUE);
	ex->fwd->held_bytes -= ex->body->len;
	g_byte_array_unref(ex->body);
	g_free(ex);
}

/**
 * fwd_exchange_refuse() - refuse a request that has not run and never will.
 * @ex: the exchange; no endpoint can have run it
 * @status: status of the response
 * @reason: reason for the log
 * @retry_ms: time after which the client should retry
 */
void
fwd_exchange_refuse(struct fwd_exchange *ex, unsigned status,
    const char *reason, int64_t retry_ms)
{
	struct fwd_conn *conn = ex->conn;

	fwd_stats_count(&ex->fwd->stats, COUNT_REFUSED);
	end_log(ex, LOG_NOTICE, "request_refused", status, reason);
	fwd_exchange_free(ex);
	if (conn != NULL)
		fwd_conn_refuse(conn, status, NULL, retry_ms);
}

/**
 * fwd_exchange_fail() - respond with an error of the proxy.
 * @ex: the exchange; nothing was passed to its client
 * @status: status of the response; it doesn't tell whether the request ran
 * @reason: reason for the log
 */
void
fwd_exchange_fail(struct fwd_exchange *ex, unsigned status, const char *reason)
{
	struct fwd_conn *conn = ex->conn;

	fwd_stats_count(&ex->fwd->stats, COUNT_FAILED);
	end_log(ex, LOG_NOTICE, "request_failed", status, reason);
	fwd_exchange_free(ex);
	if (conn != NULL)
		fwd_conn_refuse(conn, status, NULL, -1);
}

/**
 * fwd_exchange_abort() - abort a response that was begun and can't be
 * completed.
 * @ex: the exchange
 * @reason: reason for the log
 */
void
fwd_exchange_abort(struct fwd_exchange *ex, const char *reason)
{
	struct fwd_conn *conn = ex->conn;

	fwd_stats_count(&ex->fwd->stats, COUNT_ABORTED);
	end_log(ex, LOG_NOTICE, "request_broken_off", ex->status, reason);
	fwd_exchange_free(ex);
	if (conn != NULL)
		fwd_conn_abort(conn);
}

/**
 * fwd_exchange_give_up() - end an exchange that gets no complete response.
 * @ex: the exchange
 * @status: status of the response if the request may have run
 * @reason: reason for the log
 * @retry_ms: time after which the client should retry if it did not run
 */
void
fwd_exchange_give_up(struct fwd_exchange *ex, unsigned status,
    const char *reason, int64_t retry_ms)
{
	if (ex->first_us > 0)
		fwd_exchange_abort(ex, reason);
	else if (ex->runs == 0)
		fwd_exchange_refuse(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
		    retry_ms);
	else
		fwd_exchange_fail(ex, status, reason);
}

/* Counts and logs a complete response. */
static void
end_completed(struct fwd_exchange *ex)
{
	uint64_t now_us;

	fwd_stats_count(&ex->fwd->stats, COUNT_COMPLETED);
	if (ex->first_us == 0)
		fwd_count_first(ex);
	now_us = clock_now_us();
	fwd_stats_add_latency(&ex->fwd->stats, ex->route->name,
	    ex->customer != NULL ? ex->customer->name : NULL,
	    ex->first_us - ex->arrived_us, now_us - ex->arrived_us);
	end_log(ex, LOG_INFO, "request_answered", ex->status, "whole");
}

/**
 * fwd_exchange_deliver() - send a complete response that was buffered.
 * @ex: the exchange
 * @send: its send that has the response
 */
void
fwd_exchange_deliver(struct fwd_exchange *ex, struct fwd_send *send)
{
	struct fwd_conn *conn = ex->conn;
	g_autoptr(GString) headers = g_string_new(send->headers->str);
	g_autoptr(GByteArray) body = g_byte_array_ref(send->body);
	unsigned status = send->status;

	end_completed(ex);
	fwd_exchange_free(ex);
	if (conn != NULL)
		fwd_conn_respond(conn, status, headers->str, body->data,
		    body->len);
}

/**
 * fwd_exchange_finish() - complete a response that was passed on as it came.
 * @ex: the exchange
 */
void
fwd_exchange_finish(struct fwd_exchange *ex)
{
	struct fwd_conn *conn = ex->conn;

	end_completed(ex);
	fwd_exchange_free(ex);
	if (conn != NULL)
		fwd_conn_end(conn);
}
