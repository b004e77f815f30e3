/* A send: the request of an exchange at one endpoint, and the response. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-cost.h"
#include "fwd-exchange.h"
#include "fwd-priority.h"

/* A request that may run only once gets a new connection: an idle one may have
 * been closed by the peer unnoticed, and the request can't be sent again to
 * find out. The send is delayed by this time, so that the reset of a peer that
 * accepts no more can arrive before; the round trip to another failure domain
 * takes a few ms. */
#define ONCE_DELAY_MS 5
#define IDLE_MAX_MS 60000
/* After a probe of an endpoint that was found silent, this daemon waits this
 * long to hear from it before the next one. */
#define PROBE_PAUSE_MS 300

static uint64_t
send_now(const struct fwd_send *send)
{
	return (clock_loop_ms(send->exchange->fwd->loop));
}

/* Adds the prompt to the endpoint's prefill backlog, and notes what part of the
 * expected time to its first event is due to evidence. */
static void
send_add_backlog(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;
	struct fwd_send_basis *basis = &send->basis;
	struct endpoint *ep = send->endpoint;
	struct fwd_correction correction;
	struct fwd_criteria criteria;
	struct fwd_workload workload;

	fwd_exchange_criteria(ex, &criteria);
	fwd_criteria_workload(&criteria, ex->prompt, &workload);
	fwd_expect_correction(ep, &workload, &correction);
	basis->correction_ms = fwd_correction_ms(&correction);
	basis->silence_ms =
	    basis->expected_ms - basis->correction_ms + correction.lateness_ms;
	basis->backlog = fwd_expect_backlog(ep, &workload);
	send->backlog_mark = fwd_backlog_add(&ep->backlog, ex->prompt,
	    fwd_expect_rate(ep, &workload), criteria.now_ms);
	fwd_evidence_await(&ep->evidence, criteria.now_ms);
	ep->pending += ex->prompt;
	send->in_backlog = true;
}

/* Takes a slot at the endpoint. */
static void
send_take_slot(struct fwd_send *send, const struct fwd_choice *choice)
{
	struct fwd_exchange *ex = send->exchange;
	struct endpoint *ep = send->endpoint;
	uint64_t now = send_now(send);

	send->basis.running = ep->inflight + ep->peer_inflight;
	send->basis.usable = choice->usable;
	send->basis.known = choice->known;
	ep->refs++;
	if (ex->model == NULL && ex->fwd->set.balance_spread &&
	    endpoint_suspected(ep))
		ep->cooldown_until_ms =
		    MAX(ep->cooldown_until_ms, now + PROBE_PAUSE_MS);
	send->probe = endpoint_backoff_begin_probe(&ep->backoff);
	send->has_permit = endpoint_limit_active(&ep->limit, now) &&
	    endpoint_limit_take_permit(&ep->limit, now);
	send->basis.expected_ms = choice->first_ms;
	send->basis.overhead_ms = choice->overhead_ms;
	send->basis.silence_ms = choice->first_ms;
	if (ex->model != NULL)
		send_add_backlog(send);
	ep->inflight++;
}

/* Frees the slot at the endpoint. */
static void
send_free_slot(struct fwd_send *send)
{
	struct endpoint *ep = send->endpoint;
	uint64_t now = send_now(send);

	ep->inflight--;
	if (send->probe)
		endpoint_backoff_end_probe(&ep->backoff, false);
	if (send->in_backlog) {
		fwd_send_note_overdue(send, now);
		fwd_backlog_drop(&ep->backlog, send->exchange->prompt, now);
		ep->pending = MAX(ep->pending - send->exchange->prompt, 0);
	}
	ep->refs--;
}

/* Priority that the endpoint is told; -1 for none. It is of use to the endpoint
 * only if other requests have another one. */
static int
send_priority(const struct fwd_exchange *ex)
{
	if (!ex->fwd->set.overload_levels ||
	    !fwd_priority_differs(
		catalog_find_service(ex->catalog, ex->service)))
		return (-1);
	return (ex->priority);
}

/* Builds the request as it is sent to the endpoint. */
static GString *
send_build_request(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	GString *text =
	    g_string_new_len(ex->request->str, (gssize)ex->request->len);
	const struct wire_forward fwd = {
		.endpoint = send->endpoint->report.id,
		.customer = ex->customer != NULL ? ex->customer->name : NULL,
		.left_ms = (int64_t)(ex->deadline_ms - send_now(send)),
		.last_event = ex->last_event,
		.priority = send_priority(ex),
	};

	ex->fwd->wire->write_forward(text, &fwd);
	if (ex->body->len > 0 || !g_str_has_prefix(text->str, "GET "))
		g_string_append_printf(text, "Content-Length: %u\r\n",
		    ex->body->len);
	g_string_append(text, "\r\n");
	g_string_append_len(text, (const char *)ex->body->data,
	    (gssize)ex->body->len);
	return (text);
}

/* Idle connections to the endpoint that this daemon may keep. */
static unsigned
send_max_idle(const struct fwd_send *send)
{
	const struct fwd_exchange *ex = send->exchange;
	const struct catalog_service *service =
	    catalog_find_service(ex->catalog, ex->service);

	return (fwd_idle_share(service != NULL ? service->max_connections : 0,
	    ex->fwd->daemons, ex->fwd->name_hash, send->endpoint->id_hash));
}

/* Allocates a send, with a slot at the endpoint. */
static struct fwd_send *
send_new(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	struct fwd_send *send = g_new0(struct fwd_send, 1);

	send->exchange = ex;
	send->endpoint = choice->endpoint;
	send->headers = g_string_new(NULL);
	send->body = g_byte_array_new();
	send->resumed = ex->last_event >= 0;
	fwd_events_init(&send->events, ex->last_event);
	send_take_slot(send, choice);
	send->basis.sent_ms = send_now(send);
	send->heard_ms = send->basis.sent_ms;
	TAILQ_INSERT_TAIL(&ex->active, send, entry);
	ex->last = send->basis;
	return (send);
}

static void
send_log(const struct fwd_send *send, const struct fwd_choice *choice)
{
	const struct endpoint_limit *limit = &send->endpoint->limit;

	log_debug("request_sent",
	    "id=%s endpoint=%s sends=%u expected_ms=%.0f load=%.2f known=%u "
	    "usable=%u limit=%.3f limit_age_ms=%llu",
	    send->exchange->id, send->endpoint->report.id,
	    send->exchange->sends, choice->first_ms, choice->load,
	    choice->known, choice->usable, limit->named ? limit->per_s : -1,
	    (unsigned long long)(limit->named ?
		    send->basis.sent_ms - limit->as_of_ms :
		    0));
}

/**
 * fwd_send_start() - send the request of an exchange to an endpoint.
 * @ex: the exchange
 * @choice: the chosen endpoint
 *
 * Return: the send, which is the last one in the exchange's list of active
 * sends; NULL if no connection can be started.
 */
struct fwd_send *
fwd_send_start(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	bool once = !fwd_exchange_retryable(ex);
	/* A retry uses a new connection: the idle ones may all have failed
	 * together. */
	uint64_t idle = once || ex->sends > 1 ? 0 : IDLE_MAX_MS;
	struct fwd_send *send = send_new(ex, choice);
	struct net_pool *pool = &send->endpoint->pool;
	g_autoptr(GString) text = NULL;

	fwd_sends_count(send);
	fwd_feedback_check_send(send);
	pool->max_idle = send_max_idle(send);
	send->conn = net_pool_take(pool, idle, &fwd_response_ops, send);
	if (send->conn == NULL) {
		if (send->has_permit)
			endpoint_limit_return_permit(&send->endpoint->limit);
		fwd_send_free(send);
		return (NULL);
	}
	if (once)
		net_conn_delay_send(send->conn, ONCE_DELAY_MS);
	send->reached = true;
	ex->runs++;
	fwd_stats_count(&ex->fwd->stats, COUNT_SENT);
	send_log(send, choice);
	text = send_build_request(send);
	net_conn_send(send->conn, text->str, text->len, ex->head_only);
	return (send);
}

/**
 * fwd_send_note_reached() - record whether a send reached its endpoint.
 * @send: the send
 * @reached: the endpoint may have received the request
 *
 * An endpoint that hangs may run a request and never respond, so each send that
 * may have reached an endpoint counts as a run.
 */
void
fwd_send_note_reached(struct fwd_send *send, bool reached)
{
	send->reached = reached;
	if (reached)
		return;
	send->exchange->runs--;
	if (send->has_permit)
		endpoint_limit_return_permit(&send->endpoint->limit);
}

/**
 * fwd_send_free() - end a send: free its slot at the endpoint.
 * @send: the send; a connection that it still has is aborted
 */
void
fwd_send_free(struct fwd_send *send)
{
	struct fwd_exchange *ex = send->exchange;

	if (send->conn != NULL)
		net_conn_abort(send->conn);
	send_free_slot(send);
	ex->reached = send->reached;
	ex->fwd->held_bytes -= send->body->len + send->events_held;
	TAILQ_REMOVE(&ex->active, send, entry);
	g_string_free(send->headers, TRUE);
	g_byte_array_unref(send->body);
	fwd_events_clear(&send->events);
	g_free(send);
	if (!TAILQ_EMPTY(&ex->fwd->queue))
		fwd_schedule_dispatch(ex->fwd);
}

/**
 * fwd_send_other() - whether another send of the same request is active.
 * @send: the send
 */
bool
fwd_send_other(const struct fwd_send *send)
{
	const struct fwd_send_list *active = &send->exchange->active;

	return (TAILQ_FIRST(active) != send ||
	    TAILQ_LAST(active, fwd_send_list) != send);
}

/**
 * fwd_send_fail() - end a send that failed; retry the request unless another
 *	send of it goes on.
 * @send: the send
 * @reason: why it failed
 */
void
fwd_send_fail(struct fwd_send *send, const char *reason)
{
	struct fwd_exchange *ex = send->exchange;
	const char *endpoint = send->endpoint->report.id;

	fwd_exchange_note_failed(ex, send->endpoint,
	    send->reached && !send->not_run);
	fwd_send_free(send);
	if (TAILQ_EMPTY(&ex->active)) {
		fwd_exchange_retry(ex, reason);
		return;
	}
	event_log(LOG_INFO, "hedge_failed",
	    "id=%s reason=%s endpoint=%s other=%s sends=%u runs=%u "
	    "last_event=%lld",
	    ex->id, reason, endpoint,
	    TAILQ_FIRST(&ex->active)->endpoint->report.id, ex->sends, ex->runs,
	    (long long)ex->last_event);
}

/**
 * fwd_send_withdraw() - end a send before its response is complete, as one that
 *	failed.
 * @send: the send
 * @reached: the endpoint may have received the request
 * @reason: reason for the log
 */
void
fwd_send_withdraw(struct fwd_send *send, bool reached, const char *reason)
{
	fwd_path_note(send);
	fwd_send_note_reached(send, reached);
	fwd_send_fail(send, reason);
}

/**
 * fwd_send_pause() - pause or resume reading the response.
 * @send: the send
 * @on: true to pause
 */
void
fwd_send_pause(struct fwd_send *send, bool on)
{
	if (send->conn == NULL || send->paused == on)
		return;
	send->paused = on;
	net_conn_pause(send->conn, on);
	/* The endpoint is not to blame for silence during a pause. */
	send->heard_ms = send_now(send);
}

/**
 * fwd_send_drop_body() - drop the buffered part of a response.
 * @send: the send
 */
void
fwd_send_drop_body(struct fwd_send *send)
{
	send->exchange->fwd->held_bytes -= send->body->len;
	g_byte_array_set_size(send->body, 0);
}

/**
 * fwd_send_count_events() - count the buffer of a response's events among the
 *	bytes held for clients.
 * @send: the send
 *
 * Return: false if the event in it is too large to be held.
 */
bool
fwd_send_count_events(struct fwd_send *send)
{
	struct fwd *fwd = send->exchange->fwd;
	const GString *buf = send->events.buf;

	fwd->held_bytes += buf->allocated_len - send->events_held;
	send->events_held = buf->allocated_len;
	return (buf->len <= fwd_event_limit(fwd));
}

/* Whether the endpoint's rate limit allows the request. Takes a permit if the
 * endpoint has named the limit since it was chosen. */
static bool
send_has_permit(struct fwd_send *send, uint64_t now_ms)
{
	struct endpoint_limit *limit = &send->endpoint->limit;

	if (send->has_permit || endpoint_limit_wait_ms(limit, 0, now_ms) > 0)
		return (send->has_permit);
	send->has_permit = endpoint_limit_active(limit, now_ms) &&
	    endpoint_limit_take_permit(limit, now_ms);
	return (true);
}

/* Checks a send whose connection to the endpoint is not established yet. It is
 * not sent to an endpoint that wants none any more. */
static void
send_check_connect(struct fwd_send *send, uint64_t now_ms)
{
	/* A response to another request asked for a backoff or told that the
	 * endpoint is draining. */
	if (!endpoint_accepts(send->endpoint, now_ms)) {
		fwd_send_withdraw(send, false, "endpoint_closed");
		return;
	}
	if (!send_has_permit(send, now_ms)) {
		fwd_send_withdraw(send, false, "endpoint_limited");
		return;
	}
	fwd_silence_check_connect(send, now_ms);
}

/**
 * fwd_send_check() - check the timeouts of a send.
 * @send: the send; it may end
 * @now_ms: loop time
 */
void
fwd_send_check(struct fwd_send *send, uint64_t now_ms)
{
	if (send->conn->connected)
		fwd_silence_check(send, now_ms);
	else
		send_check_connect(send, now_ms);
}
