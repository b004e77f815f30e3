/* One request on its way to an endpoint and its answer on the way back. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"
#include "random.h"

/* What may run once gets a connection of its own: one that was idle may have
 * been dropped unsaid, and a request sent on it may not be sent again to find
 * out. The wait is for the reset of a peer that takes no more; the way to
 * another failure domain and back takes a few milliseconds. */
#define ONCE_HOLD_MS 5
#define IDLE_MOST_MS 60000
/* A host that does not take a connection in this time is not there; a lost
 * packet is sent again after a second, which is longer than most objectives. */
#define CONNECT_MS 350
/* When to come back for a request whose time was up before it was sent. */
#define RETRY_LATE_MS 100

/* Counts the prompt among those that the endpoint has yet to read. */
static void
exchange_note_prompt(struct fwd_exchange *ex)
{
	struct endpoint *ep = ex->endpoint;
	struct fwd_criteria want;
	struct fwd_workload work;

	fwd_exchange_criteria(ex, &want);
	fwd_criteria_workload(&want, ex->prompt, &work);
	ex->backlog_at_send = fwd_expect_backlog(ep, &work);
	ex->backlog_mark = fwd_backlog_add(&ep->backlog, ex->prompt,
	    fwd_expect_rate(ep, &work), want.now_ms);
	ep->pending += ex->prompt;
}

/* Counts a place at an endpoint as taken. */
static void
exchange_hold(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	struct endpoint *ep = choice->endpoint;

	ex->endpoint = ep;
	ex->running_at_send = ep->inflight + ep->peer_inflight;
	ex->usable_at_send = choice->usable;
	ex->known_at_send = choice->known;
	ep->refs++;
	ex->probe = endpoint_backoff_begin_probe(&ep->backoff);
	ex->has_permit = ep->limit.active &&
	    endpoint_limit_take_permit(&ep->limit,
		clock_loop_ms(ex->fwd->loop));
	ex->in_backlog = ex->model != NULL;
	if (ex->in_backlog)
		exchange_note_prompt(ex);
	ep->inflight++;
	ex->expected_ms = choice->first_ms;
	ex->overhead_ms = choice->overhead_ms;
}

/* Remembers the endpoint, so that others are chosen first if it fails. */
static void
exchange_note_tried(struct fwd_exchange *ex)
{
	if (ex->n_tried == FWD_TRIED_MAX)
		return;
	ex->endpoint->refs++;
	ex->tried[ex->n_tried++].endpoint = ex->endpoint;
}

/* The whole request for one endpoint. */
static GString *
exchange_text(const struct fwd_exchange *ex)
{
	GString *text =
	    g_string_new_len(ex->request->str, (gssize)ex->request->len);
	const struct wire_forward fwd = {
		.endpoint = ex->endpoint->report.id,
		.customer = ex->customer != NULL ? ex->customer->name : NULL,
		.left_ms =
		    (int64_t)(ex->deadline_ms - clock_loop_ms(ex->fwd->loop)),
		.last_event = ex->events.last_id,
		.priority = -1,
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

/**
 * fwd_exchange_send() - send a request that waits to an endpoint.
 * @ex: the exchange
 * @choice: the endpoint chosen
 */
void
fwd_exchange_send(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	struct fwd *fwd = ex->fwd;
	bool once = !fwd_exchange_retryable(ex);
	/* What is sent again goes on a new connection: those that were idle may
	 * have fallen silent together. */
	uint64_t idle = once || ex->sends > 0 ? 0 : IDLE_MOST_MS;
	const struct endpoint_limit *limit = &choice->endpoint->limit;
	g_autoptr(GString) text = NULL;

	TAILQ_REMOVE(&fwd->queue, ex, queue_entry);
	ex->state = ex->first_us > 0 ? EXCHANGE_RESPONDING : EXCHANGE_SENT;
	exchange_hold(ex, choice);
	exchange_note_tried(ex);
	ex->sends++;
	ex->sent_ms = clock_loop_ms(fwd->loop);
	ex->heard_ms = ex->sent_ms;
	ex->crash_suspected = false;
	ex->resumed = ex->events.last_id >= 0;
	fwd_feedback_check_send(ex);
	ex->upstream =
	    net_pool_take(&ex->endpoint->pool, idle, &fwd_response_ops, ex);
	if (ex->upstream == NULL) {
		if (ex->has_permit)
			endpoint_limit_return_permit(&ex->endpoint->limit);
		fwd_exchange_release(ex);
		fwd_exchange_retry(ex, "no_connection");
		return;
	}
	if (once)
		net_conn_delay_send(ex->upstream, ONCE_HOLD_MS);
	ex->runs++;
	fwd_stats_count(&fwd->stats, COUNT_SENT);
	log_debug("request_sent",
	    "id=%s endpoint=%s sends=%u expected_ms=%.0f load=%.2f known=%u "
	    "usable=%u limit=%.3f limit_age_ms=%llu",
	    ex->id, ex->endpoint->report.id, ex->sends, choice->first_ms,
	    choice->load, choice->known, choice->usable,
	    limit->active ? limit->per_s : -1,
	    (unsigned long long)(limit->active ? ex->sent_ms - limit->as_of_ms :
						 0));
	text = exchange_text(ex);
	net_conn_send(ex->upstream, text->str, text->len, ex->head_only);
}

/**
 * fwd_exchange_criteria() - what a request needs, for the choice.
 * @ex: the exchange
 * @want: filled in
 */
void
fwd_exchange_criteria(const struct fwd_exchange *ex, struct fwd_criteria *want)
{
	memset(want, 0, sizeof *want);
	want->service = ex->service;
	want->engine = ex->model != NULL ? ex->engine : NULL;
	want->model = ex->model;
	want->prompt = ex->prompt;
	if (ex->model != NULL)
		want->overhead_ms = fwd_exchange_estimate(ex)->overhead_ms;
	want->domain = ex->fwd->set.domain;
	want->tried = ex->tried;
	want->n_tried = ex->n_tried;
	want->now_ms = clock_loop_ms(ex->fwd->loop);
	want->draw = random_u32();
}

/**
 * fwd_exchange_estimate() - what answers of its kind showed.
 * @ex: the exchange
 */
struct fwd_estimate *
fwd_exchange_estimate(const struct fwd_exchange *ex)
{
	return (fwd_estimate_get(ex->fwd,
	    ex->model != NULL ? ex->model->name : ex->service));
}

/**
 * fwd_exchange_start() - begin the request that a caller sent.
 * @fwd: the engine
 * @caller: the caller
 */
void
fwd_exchange_start(struct fwd *fwd, struct fwd_conn *caller)
{
	struct fwd_exchange *ex = g_new0(struct fwd_exchange, 1);
	const char *method =
	    http_method_str((enum http_method)caller->parser.method);
	struct wire_request req;

	/* Proofs are judged by the time that it is, not by that at which this
	 * round of the loop began: the process may have stood still since. */
	uv_update_time(fwd->loop);
	fwd->wire->read_request(&caller->head, &req);
	ex->fwd = fwd;
	ex->conn = caller;
	caller->exchange = ex;
	ex->id = g_strdup(req.id != NULL ? req.id : "-");
	ex->request = g_string_sized_new(512);
	ex->headers = g_string_new(NULL);
	ex->response_body = g_byte_array_new();
	ex->body = g_steal_pointer(&caller->body);
	caller->body = g_byte_array_new();
	ex->head_only = caller->head_only;
	ex->arrived_ms = clock_loop_ms(fwd->loop);
	ex->arrived_us = clock_now_us();
	ex->state = EXCHANGE_DONE;
	if (fwd->registry->catalog != NULL)
		ex->catalog = catalog_ref(fwd->registry->catalog);
	TAILQ_INSERT_TAIL(&fwd->exchanges, ex, entry);
	fwd->n_exchanges++;
	fwd_tick_soon(fwd);
	fwd_stats_count(&fwd->stats, COUNT_REQUESTS);
	if (!fwd_resolve(ex, &req, method))
		return;
	fwd_budget_request(fwd_budget_get(fwd, ex->service), &fwd->set.retry,
	    ex->arrived_ms);
	fwd_exchange_dispatch(ex);
}

/**
 * fwd_exchange_client_left() - the caller closed its connection.
 * @ex: the exchange; work that may be repeated is ended
 */
void
fwd_exchange_client_left(struct fwd_exchange *ex)
{
	fwd_stats_count(&ex->fwd->stats, COUNT_CLIENT_LEFT);
	event_log(LOG_INFO, "caller_left",
	    "id=%s state=%d endpoint=%s age_ms=%llu", ex->id, ex->state,
	    ex->endpoint != NULL ? ex->endpoint->report.id : "-",
	    (unsigned long long)(clock_loop_ms(ex->fwd->loop) -
		ex->arrived_ms));
	ex->conn = NULL;
	/* What may run once only is let run; its answer is read and dropped. */
	if (ex->route != NULL && ex->route->retry == RETRY_NEVER &&
	    ex->upstream != NULL && ex->upstream->connected)
		return;
	fwd_exchange_free(ex);
}

/**
 * fwd_exchange_pause() - stop or go on reading the answer.
 * @ex: the exchange
 * @on: whether to pause
 */
void
fwd_exchange_pause(struct fwd_exchange *ex, bool on)
{
	if (ex->upstream == NULL || ex->paused == on)
		return;
	ex->paused = on;
	net_conn_pause(ex->upstream, on);
	/* Silence that we caused is none of the endpoint's. */
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
}

/**
 * fwd_exchange_end_send() - the last send is over; did the request run there?
 * @ex: the exchange, with its endpoint
 * @reached: the endpoint may have got it
 *
 * An endpoint that hangs may run it and never say so, so all that may have
 * reached one counts.
 */
void
fwd_exchange_end_send(struct fwd_exchange *ex, bool reached)
{
	ex->reached = reached;
	if (reached)
		return;
	ex->runs--;
	if (ex->has_permit)
		endpoint_limit_return_permit(&ex->endpoint->limit);
}

/**
 * fwd_exchange_move() - take a request from an endpoint that lost it.
 * @ex: the exchange
 * @reached: the endpoint may have got it
 * @reason: for the log
 */
void
fwd_exchange_move(struct fwd_exchange *ex, bool reached, const char *reason)
{
	fwd_exchange_end_send(ex, reached);
	net_conn_abort(ex->upstream);
	ex->upstream = NULL;
	fwd_exchange_release(ex);
	fwd_exchange_retry(ex, reason);
}

/* Whether an endpoint that named a limit since may have the request. */
static bool
exchange_has_turn(struct fwd_exchange *ex, uint64_t now_ms)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;

	if (ex->has_permit || endpoint_limit_wait_ms(limit, 0, now_ms) > 0)
		return (ex->has_permit);
	ex->has_permit =
	    limit->active && endpoint_limit_take_permit(limit, now_ms);
	return (true);
}

/* Looks at a request whose endpoint has no connection for it yet. */
static void
exchange_connecting(struct fwd_exchange *ex, uint64_t now_ms)
{
	/* It asked another request for rest, or said there that it leaves. */
	if (!endpoint_accepts(ex->endpoint, now_ms)) {
		fwd_exchange_move(ex, false, "endpoint_closed");
		return;
	}
	if (!exchange_has_turn(ex, now_ms)) {
		fwd_exchange_move(ex, false, "endpoint_limited");
		return;
	}
	if (now_ms - ex->sent_ms <= CONNECT_MS ||
	    now_ms < ex->fwd->grace_until_ms)
		return;
	ex->endpoint->cooldown_until_ms = now_ms + COOLDOWN_SILENT_MS;
	fwd_exchange_move(ex, false, "no_connection_in_time");
}

/**
 * fwd_exchange_tick() - look at the times of an exchange.
 * @ex: the exchange
 * @now_ms: loop time
 */
void
fwd_exchange_tick(struct fwd_exchange *ex, uint64_t now_ms)
{
	if (now_ms >= ex->deadline_ms) {
		fwd_exchange_give_up(ex, HTTP_STATUS_GATEWAY_TIMEOUT, "time_up",
		    RETRY_LATE_MS);
		return;
	}
	if (ex->state == EXCHANGE_QUEUED || ex->upstream == NULL)
		return;
	if (ex->upstream->connected)
		fwd_silence_check(ex, now_ms);
	else
		exchange_connecting(ex, now_ms);
}
