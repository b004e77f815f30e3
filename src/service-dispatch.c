/*
 * Dispatch of a request to the endpoints of a plain service. An endpoint that
 * is silent is not left: another is called beside it, if one may be, and the
 * first response that is final is passed on to the client.
 */
#include <string.h>

#include "call.h"
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "header-filter.h"
#include "http-reply.h"
#include "policy-series.h"
#include "service-dispatch.h"

#define RETRY_AFTER_MS 1000
/* Most calls at a time. */
#define CALLS_MAX 2

/* A call in progress, and what it is sent to. */
struct service_call {
	struct call *call;
	struct target *target;
};

/**
 * struct dispatch - dispatch of one request.
 * @req: the request
 * @in: the request as received
 * @suffix: path and query at the endpoint
 * @calls: the calls in progress, oldest first
 * @n_calls: number of these
 * @asked_ms: monotonic time at which another target was last looked for while
 *	the newest call was silent, in ms; 0 before
 * @ended: the call that ended last, or NULL
 * @end: how it ended
 * @verdict: what followed from that
 */
struct dispatch {
	struct request *req;
	const struct _u_request *in;
	const char *suffix;
	struct service_call calls[CALLS_MAX];
	unsigned n_calls;
	uint64_t asked_ms;
	struct call *ended;
	struct call_end end;
	struct call_verdict verdict;
};

/* Creates the call of a request to a target. */
static struct call *
dispatch_start(const struct dispatch *d, const struct target *target)
{
	const struct request *req = d->req;
	const struct _u_request *in = d->in;
	g_autofree char *url = g_strconcat(target->url, d->suffix, NULL);
	uint64_t now = clock_now_ms();
	g_autofree char *timeout_ms = g_strdup_printf("%" G_GUINT64_FORMAT,
	    req->deadline_ms > now ? req->deadline_ms - now : 0);
	const struct call_header added[] = {
		{ "Banklift-Request-Id", req->id },
		{ "Banklift-Customer", req->customer->name },
		{ "Banklift-Deadline-Ms", timeout_ms },
		{ NULL, NULL },
	};
	g_autoptr(GArray) headers = header_filter_request(in, added);
	bool has_body = in->binary_body_length > 0 ||
	    strcmp(in->http_verb, "POST") == 0 ||
	    strcmp(in->http_verb, "PUT") == 0;

	return (call_start(in->http_verb, url,
	    (const struct call_header *)headers->data,
	    has_body ? (in->binary_body_length > 0 ? in->binary_body : "") :
		       NULL,
	    in->binary_body_length, false));
}

/* Calls a target, if there is one. */
static void
dispatch_open(struct dispatch *d, struct target *target)
{
	if (target == NULL)
		return;
	atomic_fetch_add(&target->inflight, 1);
	atomic_fetch_add(&policy_series(d->req->policy)->calls, 1);
	atomic_fetch_add(&d->req->customer->series.calls, 1);
	d->calls[d->n_calls].call = dispatch_start(d, target);
	d->calls[d->n_calls++].target = target;
}

/* Whether the call gave a response that is passed on to the client if there is
 * no further attempt. */
static bool
response_complete(const struct call_end *end)
{
	return (end->phase == CALL_COMPLETE && !end->not_started);
}

/* Describes how a call ended, or how it would if it ended now. */
static struct call_end
dispatch_describe(const struct dispatch *d, const struct call *call)
{
	const struct call_end end = {
		.phase = call_phase(call),
		.status = call_status(call),
		.not_started = call_header(call, "not-started") != NULL,
		.expired = request_expired(d->req),
		.idempotent = d->req->idempotent,
	};

	return (end);
}

/* Records the end of a call and decides what follows. */
static void
dispatch_close(struct dispatch *d, unsigned at)
{
	struct service_call closed = d->calls[at];

	for (d->n_calls--; at < d->n_calls; at++)
		d->calls[at] = d->calls[at + 1];
	call_cleanup(&d->ended);
	d->ended = closed.call;
	d->end = dispatch_describe(d, closed.call);
	d->verdict = call_end_decide(&d->end);
	log_debug("call_end", "target=%s phase=%d status=%d action=%d",
	    closed.target->name, (int)d->end.phase, d->end.status,
	    (int)d->verdict.action);
	atomic_fetch_sub(&closed.target->inflight, 1);
	if (response_complete(&d->end))
		target_note_success(closed.target,
		    call_first_byte_us(closed.call), clock_now_ms());
	else
		target_note_failure(closed.target, clock_now_ms());
	target_apply_feedback(closed.target, closed.call);
	if (d->verdict.outcome == OUTCOME_UNKNOWN)
		d->req->may_have_run = true;
}

/*
 * Handles a call that has ended: calls another target if that may be and no
 * newer call is in progress.
 */
static void
dispatch_handle_end(struct dispatch *d, unsigned at)
{
	dispatch_close(d, at);
	if (d->verdict.action == CALL_RETRY && at == d->n_calls)
		dispatch_open(d, request_retry_target(d->req));
}

/*
 * Handles the silence of the newest call: calls another target beside it, or in
 * its place if there are two already. Where none may be called, the calls are
 * waited for. Only a call that never got a connection is given up.
 */
static void
dispatch_handle_silence(struct dispatch *d)
{
	const struct service_call *silent = &d->calls[d->n_calls - 1];
	struct call_end end = dispatch_describe(d, silent->call);
	struct target *target = NULL;

	if (end.phase == CALL_CONNECTING && d->n_calls == 1) {
		dispatch_handle_end(d, 0);
		return;
	}
	if (d->req->idempotent && call_end_decide(&end).action == CALL_RETRY)
		target = request_retry_target(d->req);
	d->asked_ms = clock_now_ms();
	event_log(LOG_INFO, "call_silent",
	    "request=%s target=%s phase=%d delivered=0 calls=%u beside=%s",
	    d->req->id, silent->target->name, (int)end.phase, d->n_calls,
	    target != NULL ? target->name : "-");
	if (target == NULL)
		return;
	if (d->n_calls == CALLS_MAX)
		dispatch_close(d, CALLS_MAX - 1);
	else
		target_note_failure(silent->target, d->asked_ms);
	dispatch_open(d, target);
}

/* Drives the calls until one makes progress or the time has come. */
static bool
dispatch_poll(struct dispatch *d)
{
	uint64_t stall_ms = (uint64_t)d->req->server->set.stall_ms;
	struct call *calls[CALLS_MAX] = { NULL };
	uint64_t heard;

	for (unsigned i = 0; i < d->n_calls; i++)
		calls[i] = d->calls[i].call;
	heard = call_heard_ms(calls[d->n_calls - 1]);
	return (call_poll(calls, d->n_calls,
	    MIN(MAX(heard, d->asked_ms) + stall_ms, d->req->deadline_ms)));
}

/* Ends the calls that have ended. */
static void
dispatch_collect(struct dispatch *d)
{
	for (unsigned i = d->n_calls; i-- > 0;) {
		if (i < d->n_calls && call_ended(d->calls[i].call))
			dispatch_handle_end(d, i);
		if (d->verdict.action == CALL_PASS)
			return;
	}
}

/* Calls targets until a call gives the final response, the request may not be
 * retried, or the deadline has passed. */
static void
dispatch_run(struct dispatch *d)
{
	dispatch_open(d, request_next_target(d->req));
	while (d->n_calls > 0 && d->verdict.action != CALL_PASS) {
		if (dispatch_poll(d))
			dispatch_collect(d);
		else if (!request_expired(d->req))
			dispatch_handle_silence(d);
		else
			while (d->n_calls > 0)
				dispatch_close(d, 0);
	}
}

/* Cancels the calls in progress, as another gave the response. */
static void
dispatch_cancel(struct dispatch *d)
{
	while (d->n_calls > 0) {
		struct service_call *cancelled = &d->calls[--d->n_calls];

		event_log(LOG_INFO, "call_goes_on",
		    "request=%s target=- cancelled=%s delivered=0", d->req->id,
		    cancelled->target->name);
		atomic_fetch_sub(&cancelled->target->inflight, 1);
		call_free(cancelled->call);
	}
}

/* Passes the endpoint's response on to the client. */
static void
pass_response(struct request *req, struct call *call, struct _u_response *res)
{
	GByteArray *body = call_body(call);
	g_autofree char *text = NULL;
	int status = call_status(call);

	ulfius_set_binary_body_response(res, (unsigned)status,
	    (const char *)body->data, body->len);
	header_filter_response(call, res);
	u_map_put(res->map_header, "Banklift-Outcome",
	    outcome_name(OUTCOME_WHOLE));
	if (body->len > 0)
		text = g_strndup((const char *)body->data, body->len);
	request_end(req, OUTCOME_WHOLE, status, text);
}

static void
reply_failure(struct request *req, struct _u_response *res,
    enum error_code error, enum outcome outcome)
{
	CLEANUP(failure_clear) struct failure f = { 0 };

	if (req->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	failure_set(&f, error, outcome,
	    outcome == OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0, "%s",
	    "no endpoint gave a whole answer");
	http_reply_failure(res, &f, req->id);
	request_end(req, outcome, (int)res->status, NULL);
}

/**
 * service_dispatch() - call endpoints for a request and respond to the client.
 * @req: the request
 * @in: the request as received
 * @suffix: path and query at the endpoint
 * @res: the response, filled in
 */
void
service_dispatch(struct request *req, const struct _u_request *in,
    const char *suffix, struct _u_response *res)
{
	struct dispatch d = {
		.req = req,
		.in = in,
		.suffix = suffix,
		.verdict = { CALL_FAIL, OUTCOME_NOT_RUN, ERROR_NO_ENDPOINT },
	};

	dispatch_run(&d);
	dispatch_cancel(&d);
	if (d.verdict.error == ERROR_NO_ENDPOINT && request_expired(req))
		d.verdict.error = ERROR_DEADLINE;
	if (response_complete(&d.end))
		pass_response(req, d.ended, res);
	else
		reply_failure(req, res, d.verdict.error, d.verdict.outcome);
	call_cleanup(&d.ended);
}
