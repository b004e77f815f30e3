/*
 * HTTP interface for clients: what its handlers share. A request is
 * authenticated first, then checked against the customer's limits, then parsed;
 * its id is claimed last.
 */
#include <string.h>
#include <urcu-bp.h>
#include <xxhash.h>

#include "client-api.h"
#include "cleanup.h"
#include "clock.h"
#include "event-log.h"
#include "http-reply.h"
#include "random.h"

#define BEARER_PREFIX "Bearer "
#define REQUEST_ID_MAX 100
#define DEADLINE_MAX_MS 3600000
/* When a client may send a refused request again. */
#define LOG_RETRY_AFTER_MS 2000
#define RUNNING_RETRY_AFTER_MS 1000
#define LEAVING_RETRY_AFTER_MS 1000

/* Returns a reference to the customer of the request's API key, or NULL. */
static struct customer *
authenticate(struct server *server, const struct _u_request *in)
{
	const char *auth = u_map_get_case(in->map_header, "Authorization");
	g_autofree char *hash = NULL;
	struct customer *customer = NULL;
	struct view *view;

	if (auth == NULL || !g_str_has_prefix(auth, BEARER_PREFIX))
		return (NULL);
	/* Looked up by its hash, so that the time taken reveals no key. */
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
	    auth + strlen(BEARER_PREFIX), -1);
	rcu_read_lock();
	view = rcu_dereference(server->view);
	if (view != NULL)
		customer = g_hash_table_lookup(view->by_key, hash);
	if (customer != NULL)
		customer_ref(customer);
	rcu_read_unlock();
	return (customer);
}

static bool
request_id_valid(const char *id)
{
	size_t len = strlen(id);

	if (len == 0 || len > REQUEST_ID_MAX)
		return (false);
	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isgraph(id[i]))
			return (false);
	}
	return (true);
}

/*
 * Reads the request id, which may be NULL, and the time until the deadline, 0
 * if the client names none.
 */
static bool
headers_read(const struct _u_request *in, const char **id, guint64 *timeout_ms,
    struct failure *f)
{
	const char *deadline;

	*id = u_map_get_case(in->map_header, "Banklift-Request-Id");
	if (*id != NULL && !request_id_valid(*id)) {
		failure_set(f, ERROR_BAD_HEADER, OUTCOME_NOT_RUN, 0,
		    "Banklift-Request-Id: must be 1 to %d printable ASCII "
		    "characters",
		    REQUEST_ID_MAX);
		return (false);
	}
	*timeout_ms = 0;
	deadline = u_map_get_case(in->map_header, "Banklift-Deadline-Ms");
	if (deadline != NULL &&
	    !g_ascii_string_to_unsigned(deadline, 10, 1, DEADLINE_MAX_MS,
		timeout_ms, NULL)) {
		failure_set(f, ERROR_BAD_HEADER, OUTCOME_NOT_RUN, 0,
		    "Banklift-Deadline-Ms: must be 1 to %d", DEADLINE_MAX_MS);
		return (false);
	}
	return (true);
}

/**
 * client_api_header_bool() - read a header whose value is yes or no.
 * @in: the request as received
 * @name: name of the header
 * @fallback: value to use if the header is absent
 * @value: set to the value
 * @f: set if the header has any other value
 *
 * Return: false if @f was set.
 */
bool
client_api_header_bool(const struct _u_request *in, const char *name,
    bool fallback, bool *value, struct failure *f)
{
	const char *text = u_map_get_case(in->map_header, name);

	*value = fallback;
	if (text == NULL)
		return (true);
	*value = strcmp(text, "yes") == 0;
	if (*value || strcmp(text, "no") == 0)
		return (true);
	failure_set(f, ERROR_BAD_HEADER, OUTCOME_NOT_RUN, 0,
	    "%s: must be yes or no", name);
	return (false);
}

/* Makes the checks that need no authentication. */
static bool
input_check(struct server *server, const struct _u_request *in,
    struct failure *f)
{
	if (atomic_load(&server->refusing)) {
		failure_set(f, ERROR_LEAVING, OUTCOME_NOT_RUN,
		    LEAVING_RETRY_AFTER_MS,
		    "this daemon is stopping; another one will serve");
		return (false);
	}
	if (in->binary_body_length > (size_t)server->set.body_bytes) {
		failure_set(f, ERROR_BODY_TOO_LARGE, OUTCOME_NOT_RUN, 0,
		    "the body must be %" G_GINT64_FORMAT " bytes or less",
		    (gint64)server->set.body_bytes);
		return (false);
	}
	return (true);
}

/**
 * client_api_begin() - authenticate a request, read the headers common to all
 * requests and apply the customer's limits.
 * @server: this daemon
 * @in: the request as received
 * @f: set if the request is refused
 *
 * Return: the request, or NULL if @f was set.
 */
struct request *
client_api_begin(struct server *server, const struct _u_request *in,
    struct failure *f)
{
	struct customer *customer;
	struct request *req;
	uint64_t wait_us = 0;
	guint64 timeout_ms;
	const char *id;

	if (!input_check(server, in, f) ||
	    !headers_read(in, &id, &timeout_ms, f))
		return (NULL);
	customer = authenticate(server, in);
	if (customer == NULL) {
		failure_set(f, ERROR_UNAUTHORIZED, OUTCOME_NOT_RUN, 0,
		    "no customer has this key");
		return (NULL);
	}
	if (!limit_admit(&customer->limit, clock_now_us(), &wait_us)) {
		atomic_fetch_add(&customer->series.refused, 1);
		failure_set(f, ERROR_RATE_LIMITED, OUTCOME_NOT_RUN,
		    wait_us / 1000 + 1, "the customer's limit is reached");
		customer_unref(customer);
		return (NULL);
	}
	req = request_create(server, customer, id);
	if (timeout_ms == 0)
		timeout_ms = (guint64)server->set.call_timeout_ms;
	req->deadline_ms = clock_now_ms() + timeout_ms;
	return (req);
}

/**
 * client_api_set_service() - set the deployment or service of a request.
 * @req: the request
 * @service: name of the deployment or service
 * @is_service: true for a plain service, false for a deployment
 * @f: set if it is not declared
 *
 * Return: false if @f was set.
 */
bool
client_api_set_service(struct request *req, const char *service,
    bool is_service, struct failure *f)
{
	bool refusing;

	req->service = g_strdup(service);
	req->is_service = is_service;
	if (request_service_declared(req, &refusing))
		return (true);
	failure_set(f, ERROR_NOT_FOUND, OUTCOME_NOT_RUN, 0,
	    is_service ? "no such service" : "no such deployment");
	return (false);
}

/*
 * Hash of the method, path, query, service and body, which tells a request sent
 * again from a different request with the same id.
 */
static uint64_t
request_fingerprint(const struct request *req, const struct _u_request *in)
{
	const char *query = strchr(in->http_url, '?');
	XXH64_hash_t h;

	h = XXH64(in->http_verb, strlen(in->http_verb), 0);
	h = XXH64(in->url_path, strlen(in->url_path), h);
	if (query != NULL)
		h = XXH64(query, strlen(query), h);
	h = XXH64(req->service, strlen(req->service), h);
	if (in->binary_body_length > 0)
		h = XXH64(in->binary_body, in->binary_body_length, h);
	return (h);
}

/* Responds to a request whose id could not be claimed. */
static void
reply_duplicate(struct request *req, const struct claim_result *result,
    struct _u_response *res)
{
	CLEANUP(failure_clear) struct failure f = { 0 };

	switch (result->verdict) {
	case CLAIM_DONE:
		if (result->body != NULL) {
			ulfius_set_string_body_response(res,
			    (unsigned)result->status, result->body);
			u_map_put(res->map_header, "Banklift-Repeated", "yes");
			return;
		}
		failure_set(&f, ERROR_REQUEST_REPEATED, OUTCOME_WHOLE, 0,
		    "this request ran before, with status %d; its answer was not kept",
		    result->status);
		break;
	case CLAIM_REUSED:
		failure_set(&f, ERROR_REQUEST_ID_REUSED, OUTCOME_NOT_RUN, 0,
		    "this id belongs to a different request");
		break;
	case CLAIM_RUNNING:
		failure_set(&f, ERROR_REQUEST_REPEATED, OUTCOME_UNKNOWN,
		    RUNNING_RETRY_AFTER_MS,
		    "a request with this id is in progress, or its outcome is not known");
		break;
	default:
		failure_set(&f, ERROR_LOG_UNAVAILABLE, OUTCOME_NOT_RUN,
		    LOG_RETRY_AFTER_MS, "the id could not be claimed");
		break;
	}
	http_reply_failure(res, &f, req->id);
}

/**
 * client_api_claim() - claim the id of a non-idempotent request.
 * @req: the request
 * @in: the request as received
 * @res: the response; filled in if the request must not be dispatched
 *
 * Return: whether the request may be dispatched.
 */
bool
client_api_claim(struct request *req, const struct _u_request *in,
    struct _u_response *res)
{
	struct claim_result result = { 0 };
	g_autofree char *claim_id = NULL;

	if (req->idempotent)
		return (true);
	claim_id = g_strconcat(req->customer->name, "/", req->id, NULL);
	req->token = random_id();
	claims_acquire(req->server->claims, claim_id, req->token,
	    request_fingerprint(req, in), req->deadline_ms, &result);
	if (result.verdict == CLAIM_GRANTED) {
		req->claim_id = g_steal_pointer(&claim_id);
		return (true);
	}
	if (result.verdict == CLAIM_UNAVAILABLE)
		claims_report(req->server->claims, CLAIM_OP_RELEASE, claim_id,
		    req->token, 0, NULL);
	reply_duplicate(req, &result, res);
	request_end(req,
	    result.verdict == CLAIM_RUNNING ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN,
	    (int)res->status, NULL);
	g_free(result.body);
	return (false);
}
