/* From a request's head to an exchange: route, customer, service, model. */
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "event-log.h"
#include "fwd-exchange.h"

/* When to come back to a daemon that lacks a fresh configuration. */
#define RETRY_STALE_MS 300
/* And to one that has none yet: it has just started, and half of 295 daemons
 * that came back together had theirs 0.5 s after they listened. Callers come
 * back once, so a time that is too short loses their request. */
#define RETRY_STARTED_MS 700
/* How long a request without a deadline of its own may take at most. */
#define DEADLINE_MOST_MS 600000

/* Refuses what can't be judged for lack of a fresh configuration. */
static bool
admit_stale(struct fwd_exchange *ex, const char *reason, uint64_t age)
{
	event_log(LOG_NOTICE, "config_stale", "id=%s reason=%s age_ms=%lld",
	    ex->id, reason, age > INT64_MAX ? -1LL : (long long)age);
	fwd_exchange_refuse(ex, HTTP_STATUS_SERVICE_UNAVAILABLE, reason,
	    ex->catalog != NULL ? RETRY_STALE_MS : RETRY_STARTED_MS);
	return (false);
}

/* Denies a request for good, if the configuration is fresh enough to. */
static bool
admit_deny(struct fwd_exchange *ex, unsigned status, const char *reason,
    uint64_t age)
{
	if (age > ex->fwd->set.deny_proof_ms)
		return (admit_stale(ex, reason, age));
	fwd_stats_count(&ex->fwd->stats, COUNT_DENIED);
	event_log(LOG_INFO, "request_denied",
	    "id=%s status=%u reason=%s version=%lld age_ms=%llu", ex->id,
	    status, reason, (long long)ex->catalog->version,
	    (unsigned long long)age);
	fwd_exchange_fail(ex, status, reason);
	return (false);
}

/*
 * Finds the customer by the key. Where keys fail closed, a known key counts
 * only while the configuration was lately proved to be the newest. An unknown
 * key is denied for good only with such a proof, in either case.
 */
static bool
admit_customer(struct fwd_exchange *ex, const char *key, uint64_t age)
{
	if (!ex->catalog->requires_key || ex->route->public)
		return (true);
	if (key != NULL)
		ex->customer = g_hash_table_lookup(ex->catalog->keys, key);
	if (ex->customer == NULL)
		return (admit_deny(ex, HTTP_STATUS_UNAUTHORIZED, "unknown_key",
		    age));
	if (ex->fwd->set.keys_fail_closed && age > ex->fwd->set.key_proof_ms)
		return (admit_stale(ex, "key_unproved", age));
	return (true);
}

/* Finds the service, and the model where the service has engines. */
static bool
admit_service(struct fwd_exchange *ex, const struct wire_request *req)
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

/* The time that the request has, from the client's and the route's bounds. */
static void
admit_times(struct fwd_exchange *ex, const struct wire_request *req)
{
	int64_t life = ex->route->timeout_ms;

	if (req->deadline_ms >= 0)
		life = MIN(life, req->deadline_ms);
	life = MIN(life, DEADLINE_MOST_MS);
	ex->deadline_ms = ex->arrived_ms + (uint64_t)life;
	/* A client that has waited longer than the objective tries again. */
	ex->resubmitted =
	    life + ex->route->objective_ms < ex->route->timeout_ms;
}

/* The request's first line and the headers that go on unchanged. */
static void
admit_request_text(struct fwd_exchange *ex, const char *method)
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

/* The path of a target, without the query. */
static char *
target_path(const char *target)
{
	return (g_strndup(target, strcspn(target, "?#")));
}

/* The fingerprint of what is asked for. */
static uint64_t
admit_work(const struct fwd_exchange *ex, const char *method)
{
	const struct net_head *head = &ex->conn->head;
	const struct fwd_fingerprint_input key = {
		.method = method,
		.host = net_head_find(head, "host"),
		.target = net_head_target(head),
		.customer = ex->customer != NULL ? ex->customer->name : NULL,
		.body = ex->body->data,
		.length = ex->body->len,
	};

	return (fwd_fingerprint_compute(&key));
}

/**
 * fwd_resolve() - decide whether and where a request may go.
 * @ex: the exchange, with its caller and id
 * @req: the decoded head
 * @method: its method
 *
 * Return: false where the request was answered here.
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
		return (admit_stale(ex, "no_configuration", age));
	if (req->id == NULL || host == NULL) {
		fwd_exchange_fail(ex, HTTP_STATUS_BAD_REQUEST, "no_id_or_host");
		return (false);
	}
	ex->route = catalog_find_route(ex->catalog, host, path);
	if (ex->route == NULL)
		return (admit_deny(ex, HTTP_STATUS_NOT_FOUND, "no_route", age));
	admit_times(ex, req);
	if (!admit_customer(ex, req->key, age) || !admit_service(ex, req))
		return (false);
	ex->fingerprint = admit_work(ex, method);
	admit_request_text(ex, method);
	fwd_events_init(&ex->events, req->last_event);
	return (true);
}
