/* Handler of /s/NAME/...: forwards requests to plain services. */
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

/* Splits "/s/NAME/path?query" into the name and "/path?query". */
static bool
split_path(const struct _u_request *in, char **name, char **suffix)
{
	const char *path = in->http_url, *slash;

	if (!g_str_has_prefix(path, PATH_PREFIX))
		return (false);
	path += strlen(PATH_PREFIX);
	slash = path + strcspn(path, "/?");
	*name = g_strndup(path, (gsize)(slash - path));
	*suffix = g_strconcat(*slash == '/' ? "" : "/", slash, NULL);
	return (true);
}

/* Whether the service declares the method as idempotent. */
static bool
method_idempotent(struct request *req, const char *method)
{
	struct route_set *set;
	struct view *view;
	bool idempotent = false;

	rcu_read_lock();
	view = rcu_dereference(req->server->view);
	set = g_hash_table_lookup(view->services, req->service);
	if (set != NULL)
		idempotent = route_set_is_idempotent(set, method);
	rcu_read_unlock();
	return (idempotent);
}

/* Creates the call of a request to a target. */
static struct call *
service_call_start(struct request *req, struct target *target,
    const struct _u_request *in, const char *suffix)
{
	g_autofree char *url = g_strconcat(target->url, suffix, NULL);
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

	atomic_fetch_add(&policy_series(req->policy)->calls, 1);
	atomic_fetch_add(&req->customer->series.calls, 1);
	return (call_start(in->http_verb, url,
	    (const struct call_header *)headers->data,
	    has_body ? (in->binary_body_length > 0 ? in->binary_body : "") :
		       NULL,
	    in->binary_body_length, false));
}

/*
 * Drives a call until it ends, makes no progress for too long, or the deadline
 * passes. Returns how it ended.
 */
static struct call_end
service_call_run(struct request *req, struct call *call)
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

/*
 * Whether the call gave a response that is passed on to the client if there is
 * no further attempt.
 */
static bool
response_complete(const struct call_end *end)
{
	return (end->phase == CALL_COMPLETE && !end->not_started);
}

/* Calls one target, waits for the end of the call and records its result. */
static struct call *
service_call_target(struct request *req, struct target *target,
    const struct _u_request *in, const char *suffix, struct call_end *end)
{
	struct call *call;

	atomic_fetch_add(&target->inflight, 1);
	call = service_call_start(req, target, in, suffix);
	*end = service_call_run(req, call);
	atomic_fetch_sub(&target->inflight, 1);
	if (response_complete(end))
		target_note_success(target, call_first_byte_us(call),
		    clock_now_ms());
	else
		target_note_failure(target, clock_now_ms());
	target_apply_feedback(target, call);
	return (call);
}

/*
 * Calls one target after another until a call gives the final response, the
 * request may not be retried, or no target is left. Responds to the client.
 */
static void
dispatch(struct request *req, const struct _u_request *in, const char *suffix,
    struct _u_response *res)
{
	CLEANUP(call_cleanup) struct call *call = NULL;
	struct call_verdict v = { CALL_FAIL, OUTCOME_NOT_RUN,
		ERROR_NO_ENDPOINT };
	struct target *target = request_next_target(req);
	struct call_end end = { 0 };

	while (target != NULL) {
		call_cleanup(&call);
		call = service_call_target(req, target, in, suffix, &end);
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
	if (response_complete(&end))
		pass_response(req, call, res);
	else
		reply_failure(req, res, v.error, v.outcome,
		    "no endpoint gave a whole answer");
}

/**
 * client_api_service() - handler of /s/NAME/...
 * @in: the request as received
 * @res: the response
 * @arg: struct server
 */
int
client_api_service(const struct _u_request *in, struct _u_response *res,
    void *arg)
{
	CLEANUP(failure_clear) struct failure f = { 0 };
	CLEANUP(request_cleanup) struct request *req = NULL;
	g_autofree char *name = NULL, *suffix = NULL;
	bool by_method;

	req = client_api_begin(arg, in, &f);
	if (req == NULL) {
		http_reply_failure(res, &f, NULL);
		return (U_CALLBACK_COMPLETE);
	}
	u_map_put(res->map_header, "Banklift-Request-Id", req->id);
	if (!split_path(in, &name, &suffix) ||
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
		dispatch(req, in, suffix, res);
	return (U_CALLBACK_COMPLETE);
}
