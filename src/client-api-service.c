/* /s/NAME/...: calls of plain services, passed through. */
#include <string.h>
#include <urcu-bp.h>

#include "call.h"
#include "client-api.h"
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "header-filter.h"
#include "http-reply.h"
#include "policy-series.h"

#define PATH_PREFIX "/s/"
#define RETRY_AFTER_MS 1000

/* Splits "/s/NAME/rest?query" into the name and "/rest?query". */
static bool
split_path(const struct _u_request *in, char **name, char **rest)
{
	const char *path = in->http_url, *slash;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return (false);
	path += strlen(PATH_PREFIX);
	slash = path + strcspn(path, "/?");
	*name = g_strndup(path, (gsize)(slash - path));
	*rest = g_strconcat(*slash == '/' ? "" : "/", slash, NULL);
	return (true);
}

/* Whether the method may run more than once, by the service's declaration. */
static bool
method_idempotent(struct request *req, const char *method)
{
	struct route_set *set;
	struct view *view;
	bool yes = false;

	rcu_read_lock();
	view = rcu_dereference(req->server->view);
	set = g_hash_table_lookup(view->services, req->service);
	if (set != NULL)
		yes = route_set_is_idempotent(set, method);
	rcu_read_unlock();
	return (yes);
}

static struct call *
open_call(struct request *req, struct target *target,
    const struct _u_request *in, const char *rest)
{
	g_autofree char *url = g_strconcat(target->url, rest, NULL);
	uint64_t now = clock_now_ms();
	g_autofree char *left = g_strdup_printf("%" G_GUINT64_FORMAT,
	    req->deadline_ms > now ? req->deadline_ms - now : 0);
	const struct call_header own[] = {
		{ "Banklift-Request-Id", req->id },
		{ "Banklift-Customer", req->customer->name },
		{ "Banklift-Deadline-Ms", left },
		{ NULL, NULL },
	};
	g_autoptr(GArray) headers = header_filter_request(in, own);
	bool has_body = in->binary_body_length > 0 ||
	    strcmp(in->http_verb, "POST") == 0 ||
	    strcmp(in->http_verb, "PUT") == 0;

	atomic_fetch_add(&policy_series(req->policy)->calls, 1);
	atomic_fetch_add(&req->customer->series.calls, 1);
	return (call_start(in->http_verb, url,
	    (const struct call_header *)headers->data,
	    has_body ? (in->binary_body_length > 0 ? in->binary_body : "") :
		       NULL,
	    in->binary_body_length, false));
}

/* Drives a call to its end; returns how it ended. */
static struct call_end
drive(struct request *req, struct call *call)
{
	const char *not_started;
	struct call_end end = { 0 };
	uint64_t stall;
	bool stalled = false;

	while (!call_ended(call) && !stalled) {
		stall = clock_now_ms() + (uint64_t)req->server->set.stall_ms;
		stalled = !call_poll(call, MIN(stall, req->deadline_ms));
	}
	not_started = call_header(call, "not-started");
	end.phase = call_phase(call);
	end.status = call_status(call);
	end.not_started = not_started != NULL;
	end.expired = clock_now_ms() >= req->deadline_ms;
	end.idempotent = req->idempotent;
	return (end);
}

/* Gives the endpoint's own answer to the caller. */
static void
pass_answer(struct request *req, struct call *call, struct _u_response *res)
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
reply_failed(struct request *req, struct _u_response *res,
    enum error_code error, enum outcome outcome, const char *why)
{
	CLEANUP(failure_clear) struct failure f = { 0 };

	if (req->may_have_run)
		outcome = OUTCOME_UNKNOWN;
	failure_set(&f, error, outcome,
	    outcome == OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0, "%s", why);
	http_reply_failure(res, &f, req->id);
	request_end(req, outcome, (int)res->status, NULL);
}

/* Whether the call gave an answer that may be passed on, if need be. */
static bool
answer_whole(const struct call_end *end)
{
	return (end->phase == CALL_COMPLETE && !end->not_started);
}

/* Calls one target and waits for the end. */
static struct call *
attempt(struct request *req, struct target *target, const struct _u_request *in,
    const char *rest, struct call_end *end)
{
	struct call *call;

	atomic_fetch_add(&target->inflight, 1);
	call = open_call(req, target, in, rest);
	*end = drive(req, call);
	atomic_fetch_sub(&target->inflight, 1);
	if (answer_whole(end))
		target_note_success(target, call_first_byte_us(call),
		    clock_now_ms());
	else
		target_note_failure(target, clock_now_ms());
	target_apply_feedback(target, call);
	return (call);
}

/* Dispatches the request until it has an answer or nothing is left to try. */
static void
dispatch(struct request *req, const struct _u_request *in, const char *rest,
    struct _u_response *res)
{
	CLEANUP(call_cleanup) struct call *call = NULL;
	struct call_verdict v = { CALL_FAIL, OUTCOME_NOT_RUN,
		ERROR_NO_ENDPOINT };
	struct target *target = request_next_target(req);
	struct call_end end = { 0 };

	while (target != NULL) {
		call_cleanup(&call);
		call = attempt(req, target, in, rest, &end);
		v = call_end_decide(&end);
		log_debug("call_end", "target=%s phase=%d status=%d action=%d",
		    target->name, (int)end.phase, end.status, (int)v.action);
		if (v.outcome == OUTCOME_UNKNOWN)
			req->may_have_run = true;
		if (v.action != CALL_RETRY || !request_retry_allowed(req))
			break;
		target = request_next_target(req);
	}
	if (v.error == ERROR_NO_ENDPOINT && request_expired(req))
		v.error = ERROR_DEADLINE;
	if (answer_whole(&end))
		pass_answer(req, call, res);
	else
		reply_failed(req, res, v.error, v.outcome,
		    "no endpoint gave a whole answer");
}

/**
 * client_api_service() - handler of /s/NAME/...
 * @in: the request
 * @res: the answer
 * @arg: the daemon
 */
int
client_api_service(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	CLEANUP(request_cleanup) struct request *req = NULL;
	g_autofree char *name = NULL, *rest = NULL;
	bool by_method;

	req = client_api_begin(arg, in, &f);
	if (req == NULL) {
		http_reply_failure(res, &f, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	u_map_put(res->map_header, "Banklift-Request-Id", req->id);
	if (!split_path(in, &name, &rest) ||
	    !client_api_set_service(req, name, true, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	by_method = method_idempotent(req, in->http_verb);
	if (!client_api_header_bool(in, "Banklift-Idempotent", by_method,
		&req->idempotent, &f)) {
		http_reply_failure(res, &f, req->id);
		request_end(req, OUTCOME_NOT_RUN, (int)res->status, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	if (client_api_claim(req, in, res))
		dispatch(req, in, rest, res);
	return (U_CALLBACK_COMPLETE);
}
