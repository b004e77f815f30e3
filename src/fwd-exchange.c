/* An exchange: a client's request and its response, over one or more sends. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"
#include "random.h"

/* Time to retry for a request whose deadline passed before it was sent. */
#define RETRY_LATE_MS 100

/* Finds an endpoint among those that the request was sent to, or NULL. */
static struct fwd_tried *
exchange_find_tried(struct fwd_exchange *ex, const struct endpoint *ep)
{
	for (unsigned i = 0; i < ex->n_tried; i++) {
		if (ex->tried[i].endpoint == ep)
			return (&ex->tried[i]);
	}
	return (NULL);
}

/* Whether an endpoint has the request now, and the path to it is not lost. */
static bool
exchange_is_active_at(const struct fwd_exchange *ex, const struct endpoint *ep)
{
	const struct fwd_send *send;

	TAILQ_FOREACH(send, &ex->active, entry) {
		if (send->endpoint == ep && !send->path_lost)
			return (true);
	}
	return (false);
}

/* Makes room among the endpoints that the request was sent to, by forgetting
 * the first one that failed it. Returns false if none did. */
static bool
exchange_forget_tried(struct fwd_exchange *ex)
{
	for (unsigned i = 0; i < ex->n_tried; i++) {
		const struct fwd_tried *tried = &ex->tried[i];

		if (tried->failed_ms == 0 || tried->released ||
		    exchange_is_active_at(ex, tried->endpoint))
			continue;
		tried->endpoint->refs--;
		ex->n_tried--;
		memmove(&ex->tried[i], &ex->tried[i + 1],
		    (ex->n_tried - i) * sizeof ex->tried[0]);
		return (true);
	}
	return (false);
}

/* Remembers an endpoint, so that others are preferred if it fails. */
static void
exchange_note_tried(struct fwd_exchange *ex, struct endpoint *ep)
{
	if (exchange_find_tried(ex, ep) != NULL)
		return;
	if (ex->n_tried == FWD_TRIED_MAX && !exchange_forget_tried(ex))
		return;
	ep->refs++;
	ex->tried[ex->n_tried++] = (struct fwd_tried){ .endpoint = ep };
}

/**
 * fwd_exchange_note_failed() - note that an endpoint failed or refused a
 *	request.
 * @ex: the exchange
 * @ep: the endpoint
 * @ran: it may have run the request
 */
void
fwd_exchange_note_failed(struct fwd_exchange *ex, const struct endpoint *ep,
    bool ran)
{
	struct fwd_tried *tried = exchange_find_tried(ex, ep);

	if (tried == NULL)
		return;
	tried->failed_ms = clock_loop_ms(ex->fwd->loop);
	if (ran)
		tried->released = false;
}

/**
 * fwd_exchange_note_released() - note that this daemon cancelled a request at
 *an endpoint that may have run it.
 * @ex: the exchange
 * @ep: the endpoint
 */
void
fwd_exchange_note_released(struct fwd_exchange *ex, const struct endpoint *ep)
{
	struct fwd_tried *tried = exchange_find_tried(ex, ep);

	if (tried == NULL)
		return;
	tried->released = true;
	tried->failed_ms = 0;
}

/**
 * fwd_exchange_add_send() - send a request to an endpoint.
 * @ex: the exchange, which is not queued
 * @choice: the chosen endpoint
 *
 * Return: false if no connection can be started.
 */
bool
fwd_exchange_add_send(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	exchange_note_tried(ex, choice->endpoint);
	ex->sends++;
	fwd_count_sent(ex);
	if (fwd_send_start(ex, choice) != NULL)
		return (true);
	fwd_exchange_note_failed(ex, choice->endpoint, false);
	return (false);
}

/**
 * fwd_exchange_send() - send a queued request to an endpoint.
 * @ex: the exchange
 * @choice: the chosen endpoint
 */
void
fwd_exchange_send(struct fwd_exchange *ex, const struct fwd_choice *choice)
{
	TAILQ_REMOVE(&ex->fwd->queue, ex, queue_entry);
	ex->state = ex->first_us > 0 ? EXCHANGE_RESPONDING : EXCHANGE_SENT;
	if (!fwd_exchange_add_send(ex, choice))
		fwd_exchange_retry(ex, "no_connection");
}

/* Notes which endpoints have the request now. */
static void
exchange_mark_active(struct fwd_exchange *ex)
{
	for (unsigned i = 0; i < ex->n_tried; i++)
		ex->tried[i].active =
		    exchange_is_active_at(ex, ex->tried[i].endpoint);
}

/**
 * fwd_exchange_criteria() - what a request requires of an endpoint.
 * @ex: the exchange
 * @criteria: filled in
 */
void
fwd_exchange_criteria(struct fwd_exchange *ex, struct fwd_criteria *criteria)
{
	exchange_mark_active(ex);
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
	criteria->released_only = fwd_exchange_released_only(ex);
	criteria->now_ms = clock_loop_ms(ex->fwd->loop);
	criteria->evidence = fwd_evidence_known(ex->fwd, criteria->now_ms);
	criteria->draw = random_u32();
	criteria->probe_suspects =
	    ex->model == NULL && ex->fwd->set.balance_spread;
	fwd_sends_fill_unseen(ex, criteria->now_ms, &criteria->unseen);
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
	ex->last_event = -1;
	TAILQ_INIT(&ex->active);
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
	const struct fwd_send *send = TAILQ_FIRST(&ex->active);

	fwd_stats_count(&ex->fwd->stats, COUNT_CLIENT_LEFT);
	event_log(LOG_INFO, "caller_left",
	    "id=%s state=%d endpoint=%s age_ms=%llu", ex->id, ex->state,
	    send != NULL ? send->endpoint->report.id : "-",
	    (unsigned long long)(clock_loop_ms(ex->fwd->loop) -
		ex->arrived_ms));
	ex->conn = NULL;
	/* A request that may run only once is left to run; its response is read
	 * and dropped. */
	if (ex->route != NULL && ex->route->retry == RETRY_NEVER &&
	    send != NULL && send->conn != NULL && send->conn->connected)
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
	struct fwd_send *send;

	TAILQ_FOREACH(send, &ex->active, entry)
		fwd_send_pause(send, on);
}

/**
 * fwd_exchange_tick() - check the deadline and timeouts of an exchange.
 * @ex: the exchange; it may end
 * @now_ms: loop time
 */
void
fwd_exchange_tick(struct fwd_exchange *ex, uint64_t now_ms)
{
	struct fwd_send *send, *second;

	if (now_ms >= ex->deadline_ms) {
		fwd_exchange_give_up(ex, HTTP_STATUS_GATEWAY_TIMEOUT, "time_up",
		    RETRY_LATE_MS);
		return;
	}
	send = TAILQ_FIRST(&ex->active);
	if (send == NULL)
		return;
	/* With a second send the exchange outlives the end of the first. */
	second = TAILQ_NEXT(send, entry);
	fwd_send_check(send, now_ms);
	if (second != NULL)
		fwd_send_check(second, now_ms);
}
