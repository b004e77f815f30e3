/* An exchange: a client's request and its response, over one or more sends. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-cost.h"
#include "fwd-exchange.h"
#include "fwd-priority.h"
#include "random.h"

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
/* Time to retry for a request whose deadline passed before it was sent. */
#define RETRY_LATE_MS 100

/* Adds the prompt to the endpoint's prefill backlog, and notes what part of the
 * expected time to its first event is due to evidence. */
static void
exchange_add_backlog(struct fwd_exchange *ex)
{
	struct endpoint *ep = ex->endpoint;
	struct fwd_correction correction;
	struct fwd_criteria criteria;
	struct fwd_workload workload;

	fwd_exchange_criteria(ex, &criteria);
	fwd_criteria_workload(&criteria, ex->prompt, &workload);
	fwd_expect_correction(ep, &workload, &correction);
	ex->correction_ms = fwd_correction_ms(&correction);
	ex->silence_ms =
	    ex->expected_ms - ex->correction_ms + correction.lateness_ms;
	ex->backlog_at_send = fwd_expect_backlog(ep, &workload);
	ex->backlog_mark = fwd_backlog_add(&ep->backlog, ex->prompt,
	    fwd_expect_rate(ep, &workload), criteria.now_ms);
	ep->pending += ex->prompt;
}

/* Takes a slot at the endpoint. */
static void
exchange_take_slot(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	struct endpoint *ep = choice->endpoint;
	uint64_t now = clock_loop_ms(ex->fwd->loop);

	ex->endpoint = ep;
	ex->running_at_send = ep->inflight + ep->peer_inflight;
	ex->usable_at_send = choice->usable;
	ex->known_at_send = choice->known;
	ep->refs++;
	if (ex->model == NULL && ex->fwd->set.balance_spread &&
	    endpoint_suspected(ep))
		ep->cooldown_until_ms =
		    MAX(ep->cooldown_until_ms, now + PROBE_PAUSE_MS);
	ex->probe = endpoint_backoff_begin_probe(&ep->backoff);
	ex->has_permit = endpoint_limit_active(&ep->limit, now) &&
	    endpoint_limit_take_permit(&ep->limit, now);
	ex->in_backlog = ex->model != NULL;
	ex->expected_ms = choice->first_ms;
	ex->overhead_ms = choice->overhead_ms;
	ex->correction_ms = 0;
	ex->silence_ms = ex->expected_ms;
	if (ex->in_backlog)
		exchange_add_backlog(ex);
	ep->inflight++;
}

/* Remembers the endpoint, so that others are preferred if it fails. */
static void
exchange_note_tried(struct fwd_exchange *ex)
{
	if (ex->n_tried == FWD_TRIED_MAX)
		return;
	ex->endpoint->refs++;
	ex->tried[ex->n_tried++].endpoint = ex->endpoint;
}

/* Priority that the endpoint is told; -1 for none. It is of use to the endpoint
 * only if other requests have another one. */
static int
exchange_sent_priority(const struct fwd_exchange *ex)
{
	if (!ex->fwd->set.overload_levels ||
	    !fwd_priority_differs(
		catalog_find_service(ex->catalog, ex->service)))
		return (-1);
	return (ex->priority);
}

/* Builds the request as it is sent to the endpoint. */
static GString *
exchange_build_request(const struct fwd_exchange *ex)
{
	GString *text =
	    g_string_new_len(ex->request->str, (gssize)ex->request->len);
	const struct wire_forward fwd = {
		.endpoint = ex->endpoint->report.id,
		.customer = ex->customer != NULL ? ex->customer->name : NULL,
		.left_ms =
		    (int64_t)(ex->deadline_ms - clock_loop_ms(ex->fwd->loop)),
		.last_event = ex->events.last_id,
		.priority = exchange_sent_priority(ex),
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
exchange_max_idle(const struct fwd_exchange *ex)
{
	const struct catalog_service *service =
	    catalog_find_service(ex->catalog, ex->service);

	return (fwd_idle_share(service != NULL ? service->max_connections : 0,
	    ex->fwd->daemons, ex->fwd->name_hash, ex->endpoint->id_hash));
}

/**
 * fwd_exchange_send() - send a queued request to an endpoint.
 * @ex: the exchange
 * @choice: the chosen endpoint
 */
void
fwd_exchange_send(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	struct fwd *fwd = ex->fwd;
	bool once = !fwd_exchange_retryable(ex);
	/* A retry uses a new connection: the idle ones may all have failed
	 * together. */
	uint64_t idle = once || ex->sends > 0 ? 0 : IDLE_MAX_MS;
	const struct endpoint_limit *limit = &choice->endpoint->limit;
	g_autoptr(GString) text = NULL;

	TAILQ_REMOVE(&fwd->queue, ex, queue_entry);
	ex->state = ex->first_us > 0 ? EXCHANGE_RESPONDING : EXCHANGE_SENT;
	exchange_take_slot(ex, choice);
	fwd_sends_count(ex);
	exchange_note_tried(ex);
	ex->sends++;
	fwd_count_sent(ex);
	ex->sent_ms = clock_loop_ms(fwd->loop);
	ex->heard_ms = ex->sent_ms;
	ex->crash_suspected = false;
	ex->path_doubted = false;
	ex->resumed = ex->events.last_id >= 0;
	fwd_feedback_check_send(ex);
	ex->endpoint->pool.max_idle = exchange_max_idle(ex);
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
		net_conn_delay_send(ex->upstream, ONCE_DELAY_MS);
	ex->runs++;
	fwd_stats_count(&fwd->stats, COUNT_SENT);
	log_debug("request_sent",
	    "id=%s endpoint=%s sends=%u expected_ms=%.0f load=%.2f known=%u "
	    "usable=%u limit=%.3f limit_age_ms=%llu",
	    ex->id, ex->endpoint->report.id, ex->sends, choice->first_ms,
	    choice->load, choice->known, choice->usable,
	    limit->named ? limit->per_s : -1,
	    (unsigned long long)(limit->named ? ex->sent_ms - limit->as_of_ms :
						0));
	text = exchange_build_request(ex);
	net_conn_send(ex->upstream, text->str, text->len, ex->head_only);
}

/**
 * fwd_exchange_criteria() - what a request requires of an endpoint.
 * @ex: the exchange
 * @criteria: filled in
 */
void
fwd_exchange_criteria(const struct fwd_exchange *ex,
    struct fwd_criteria *criteria)
{
	memset(criteria, 0, sizeof *criteria);
	criteria->service = ex->service;
	criteria->engine = ex->model != NULL ? ex->engine : NULL;
	criteria->model = ex->model;
	criteria->prompt = ex->prompt;
	if (ex->model != NULL) {
		const struct fwd_estimate *estimate = fwd_exchange_estimate(ex);

		criteria->overhead_ms = estimate->overhead_ms;
		if (ex->fwd->set.endpoint_evidence)
			criteria->load_error_ms = estimate->load_error_ms;
	}
	criteria->objective_ms = (double)ex->route->objective_ms;
	criteria->domain = ex->fwd->set.domain;
	criteria->balance_domains = ex->fwd->set.balance_domains;
	/* A client that was refused before does not return again. */
	criteria->may_wait =
	    ex->model != NULL && ex->sends == 0 && !ex->resubmitted;
	criteria->tried = ex->tried;
	criteria->n_tried = ex->n_tried;
	criteria->now_ms = clock_loop_ms(ex->fwd->loop);
	criteria->evidence = fwd_evidence_known(ex->fwd, criteria->now_ms);
	criteria->draw = random_u32();
	criteria->probe_suspects =
	    ex->model == NULL && ex->fwd->set.balance_spread;
	fwd_sends_fill_unseen(ex, criteria->now_ms, &criteria->unseen);
}

/**
 * fwd_exchange_estimate() - estimates of the request's model or service.
 * @ex: the exchange
 */
struct fwd_estimate *
fwd_exchange_estimate(const struct fwd_exchange *ex)
{
	return (fwd_estimate_get(ex->fwd,
	    ex->model != NULL ? ex->model->name : ex->service));
}

/**
 * fwd_exchange_start() - start an exchange for a request that was read.
 * @fwd: the proxy
 * @conn: connection of the client
 */
void
fwd_exchange_start(struct fwd *fwd, struct fwd_conn *conn)
{
	struct fwd_exchange *ex = g_new0(struct fwd_exchange, 1);
	const char *method =
	    http_method_str((enum http_method)conn->parser.method);
	struct wire_request req;

	/* The age of the configuration is judged by the current time, not by
	 * that at which this round of the loop began: the process may have been
	 * stopped since. */
	uv_update_time(fwd->loop);
	fwd->wire->read_request(&conn->head, &req);
	ex->fwd = fwd;
	ex->conn = conn;
	conn->exchange = ex;
	ex->id = g_strdup(req.id != NULL ? req.id : "-");
	ex->request = g_string_sized_new(512);
	ex->headers = g_string_new(NULL);
	ex->response_body = g_byte_array_new();
	ex->body = g_steal_pointer(&conn->body);
	conn->body = g_byte_array_new();
	ex->head_only = conn->head_only;
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
	fwd_count_asked(ex);
	fwd_exchange_dispatch(ex);
}

/**
 * fwd_exchange_client_left() - handle that the client closed its connection.
 * @ex: the exchange; it is ended unless its request may run only once
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
	/* A request that may run only once is left to run; its response is read
	 * and dropped. */
	if (ex->route != NULL && ex->route->retry == RETRY_NEVER &&
	    ex->upstream != NULL && ex->upstream->connected)
		return;
	fwd_exchange_free(ex);
}

/**
 * fwd_exchange_pause() - pause or resume reading the response.
 * @ex: the exchange
 * @on: true to pause
 */
void
fwd_exchange_pause(struct fwd_exchange *ex, bool on)
{
	if (ex->upstream == NULL || ex->paused == on)
		return;
	ex->paused = on;
	net_conn_pause(ex->upstream, on);
	/* The endpoint is not to blame for silence during a pause. */
	ex->heard_ms = clock_loop_ms(ex->fwd->loop);
}

/**
 * fwd_exchange_end_send() - record whether the last send reached its endpoint.
 * @ex: the exchange, with its endpoint
 * @reached: the endpoint may have received the request
 *
 * An endpoint that hangs may run a request and never respond, so each send that
 * may have reached an endpoint counts as a run.
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
 * fwd_exchange_move() - move a request from its endpoint to another.
 * @ex: the exchange
 * @reached: the endpoint may have received the request
 * @reason: reason for the log
 */
void
fwd_exchange_move(struct fwd_exchange *ex, bool reached, const char *reason)
{
	fwd_path_note(ex);
	fwd_exchange_end_send(ex, reached);
	net_conn_abort(ex->upstream);
	ex->upstream = NULL;
	fwd_exchange_release(ex);
	fwd_exchange_retry(ex, reason);
}

/* Whether the endpoint's rate limit allows the request. Takes a permit if the
 * endpoint has named the limit since it was chosen. */
static bool
exchange_has_permit(struct fwd_exchange *ex, uint64_t now_ms)
{
	struct endpoint_limit *limit = &ex->endpoint->limit;

	if (ex->has_permit || endpoint_limit_wait_ms(limit, 0, now_ms) > 0)
		return (ex->has_permit);
	ex->has_permit = endpoint_limit_active(limit, now_ms) &&
	    endpoint_limit_take_permit(limit, now_ms);
	return (true);
}

/* Checks a request whose connection to the endpoint is not established yet. */
static void
exchange_check_connect(struct fwd_exchange *ex, uint64_t now_ms)
{
	/* A response to another request asked for a backoff or told that the
	 * endpoint is draining. */
	if (!endpoint_accepts(ex->endpoint, now_ms)) {
		fwd_exchange_move(ex, false, "endpoint_closed");
		return;
	}
	if (!exchange_has_permit(ex, now_ms)) {
		fwd_exchange_move(ex, false, "endpoint_limited");
		return;
	}
	fwd_silence_check_connect(ex, now_ms);
}

/**
 * fwd_exchange_tick() - check the deadline and timeouts of an exchange.
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
		exchange_check_connect(ex, now_ms);
}
