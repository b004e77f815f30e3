/* Resolves the route, customer, service and model of a request. */
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"
#include "fwd-priority.h"

/* Time to retry at a daemon without a fresh configuration. */
#define RETRY_STALE_MS 300
/* Time to retry at a daemon that has just started and has no configuration yet.
 * When 295 daemons restarted together, half of them had theirs 0.5 s after they
 * began to listen. Clients retry once, so too short a time loses the request.
 */
#define RETRY_STARTED_MS 700
/* Maximum time for a request, whatever the client and the route allow. */
#define DEADLINE_MAX_MS 600000

/* Refuses a request that can't be judged without a fresh configuration. */
static bool
resolve_stale(struct fwd_exchange *ex, const char *reason, uint64_t age)
{
	event_log(LOG_NOTICE, "config_stale", "id=%s reason=%s age_ms=%lld",
	    ex->id, reason, age > INT64_MAX ? -1LL : (long long)age);
	fwd_exchange_refuse(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
	    ex->catalog != NULL ? RETRY_STALE_MS : RETRY_STARTED_MS);
	return (false);
}

/* Denies a request for good if the configuration is fresh enough for that. */
static bool
resolve_deny(struct fwd_exchange *ex, unsigned status, const char *reason,
    uint64_t age)
{
	if (age > ex->fwd->set.deny_proof_ms)
		return (resolve_stale(ex, reason, age));
	fwd_stats_count(&ex->fwd->stats, COUNT_DENIED);
	event_log(LOG_INFO, "request_denied",
	    "id=%s status=%u reason=%s version=%lld age_ms=%llu", ex->id,
	    status, reason, (long long)ex->catalog->version,
	    (unsigned long long)age);
	fwd_exchange_fail(ex, status, reason);
	return (false);
}

/*
 * Finds the customer by the API key. Where keys fail closed, a known key is
 * accepted only if the configuration was recently verified to be the newest. In
 * either case an unknown key is denied for good only after such a verification.
 */
static bool
resolve_customer(struct fwd_exchange *ex, const char *key, uint64_t age)
{
	if (!ex->catalog->requires_key || ex->route->public)
		return (true);
	if (key != NULL)
		ex->customer = g_hash_table_lookup(ex->catalog->keys, key);
	if (ex->customer == NULL)
		return (resolve_deny(ex, HTTP_STATUS_UNAUTHORIZED,
		    "unknown_key", age));
	if (ex->fwd->set.keys_fail_closed && age > ex->fwd->set.key_proof_ms)
		return (resolve_stale(ex, "key_unproved", age));
	return (true);
}

/* Finds the service, and the model where the service has engines. */
static bool
resolve_service(struct fwd_exchange *ex, const struct wire_request *req)
{
	uint64_t draw = XXH3_64bits(ex->id, strlen(ex->id));
	const struct catalog_service *service;

	ex->service = catalog_pick_service(ex->route, draw);
	service = ex->service != NULL ?
	    catalog_find_service(ex->catalog, ex->service) :
	    NULL;
	if (ex->service == NULL) {
		fwd_exchange_refuse(ex, HTTP_STATUS_SERVICE_UNAVAILABLE,
		    "no_service", RETRY_STALE_MS);
		return (false);
	}
	ex->engine = service != NULL ? service->engine : NULL;
	ex->prompt = req->prompt_tokens;
	ex->response_tokens = req->response_tokens;
	if (ex->engine == NULL || ex->engine->models->len == 0)
		return (true);
	if (req->model != NULL)
		ex->model = engine_find_model(ex->engine, req->model);
	if (ex->model != NULL)
		return (true);
	fwd_exchange_refuse(ex, HTTP_STATUS_SERVICE_UNAVAILABLE,
	    "unknown_model", RETRY_STALE_MS);
	return (false);
}

/* Sets the deadline from the limits of the client and the route. */
static void
resolve_deadline(struct fwd_exchange *ex, const struct wire_request *req)
{
	int64_t timeout = ex->route->timeout_ms;

	if (req->deadline_ms >= 0)
		timeout = MIN(timeout, req->deadline_ms);
	timeout = MIN(timeout, DEADLINE_MAX_MS);
	ex->deadline_ms = ex->arrived_ms + (uint64_t)timeout;
	/* The deadline shows that the client has waited longer than the
	 * objective, so this is its retry. */
	ex->resubmitted =
	    timeout + ex->route->objective_ms < ex->route->timeout_ms;
}

/* Sets the priority. Customers' own priorities are used with levels only. */
static void
resolve_priority(struct fwd_exchange *ex)
{
	bool levels = ex->fwd->set.overload_levels;

	ex->priority = fwd_priority(ex->route, levels ? ex->customer : NULL);
}

/* Writes the request line and the headers that are forwarded unchanged. */
static void
resolve_request_text(struct fwd_exchange *ex, const char *method)
{
	const struct net_head *head = &ex->conn->head;

	g_string_append_printf(ex->request, "%s %s HTTP/1.1\r\n", method,
	    net_head_target(head));
	for (unsigned i = 0; i < head->n_fields; i++) {
		const char *name = net_head_name(head, i);

		if (net_head_hop_by_hop(head, i) ||
		    !ex->fwd->wire->passes_header(name))
			continue;
		g_string_append_printf(ex->request, "%s: %s\r\n", name,
		    net_head_value(head, i));
	}
}

/* Returns the path of a target, without the query. */
static char *
target_path(const char *target)
{
	return (g_strndup(target, strcspn(target, "?#")));
}

/**
 * fwd_resolve() - resolve the route, customer, service and model of a request.
 * @ex: the exchange, with its client connection and id
 * @req: the decoded headers
 * @method: the request's method
 *
 * Return: false if the request was refused or denied.
 */
bool
fwd_resolve(struct fwd_exchange *ex, const struct wire_request *req,
    const char *method)
{
	const struct net_head *head = &ex->conn->head;
	const char *host = net_head_find(head, "host");
	g_autofree char *path = target_path(net_head_target(head));
	uint64_t age = registry_config_age(ex->fwd->registry, ex->arrived_ms);

	if (ex->catalog == NULL)
		return (resolve_stale(ex, "no_configuration", age));
	if (req->id == NULL || host == NULL) {
		fwd_exchange_fail(ex, HTTP_STATUS_BAD_REQUEST, "no_id_or_host");
		return (false);
	}
	ex->route = catalog_find_route(ex->catalog, host, path);
	if (ex->route == NULL)
		return (
		    resolve_deny(ex, HTTP_STATUS_NOT_FOUND, "no_route", age));
	resolve_deadline(ex, req);
	if (!resolve_customer(ex, req->key, age) || !resolve_service(ex, req))
		return (false);
	resolve_priority(ex);
	fwd_keys_compute(ex, &req->prompt, method);
	resolve_request_text(ex, method);
	ex->last_event = req->last_event;
	return (true);
}
