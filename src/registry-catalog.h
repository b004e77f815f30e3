/* Configuration of the edge: routes, services, customers and limits. */
#ifndef BL_REGISTRY_CATALOG_H
#define BL_REGISTRY_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum retry_mode - whether a route's requests may be sent more than once.
 * @RETRY_NEVER: a request may run once at most
 * @RETRY_IDEMPOTENT: requests are idempotent and may be sent again
 * @RETRY_STREAM: the response is a stream of events, which may be resumed if
 *	the route is resumable
 */
enum retry_mode {
	RETRY_NEVER,
	RETRY_IDEMPOTENT,
	RETRY_STREAM,
};

/**
 * struct model_profile - a model that a service's engines can serve.
 * @name: the model's name
 * @size: number of hosts of a replica
 * @share: fraction of the hosts that the operator expects it to need
 * @pace: factor that multiplies all times of the engine profile
 * @load_ms: time to load the weights from the weight store
 * @warm_ms: time to load the weights from the host's local copy
 */
struct model_profile {
	char *name;
	unsigned size;
	double share;
	double pace;
	double load_ms;
	double warm_ms;
};

/**
 * struct engine_profile - performance model of a service's inference engines.
 * @slots: concurrent requests of an engine
 * @kv_tokens: capacity of the KV cache, in tokens
 * @step_ms: base time of a decoding step
 * @per_seq_ms: added to a step for each request that is decoding
 * @context_per_k_ms: added to a step for each 1,000 tokens of context
 * @prefill_per_ms: prompt tokens prefilled in a millisecond
 * @pairs_per_m_ms: attention time of a million pairs of tokens in prefill
 * @chunk: most prompt tokens of a pass; times of first events did not
 *	depend on it
 * @stride: steps in a pass that has decoding requests
 * @loads_per_s: most model loads that may start in a second
 * @loads_at_once: concurrent loads beyond which each slows down
 * @usual_prompt: mean length of a prompt, in tokens
 * @usual_response: mean length of a response, in tokens
 * @staged_limit: number of models that a host keeps local copies of
 * @form_ms: time from the order to open until a group serves
 * @models: models that the engines can serve, of struct model_profile
 */
struct engine_profile {
	unsigned slots;
	double kv_tokens;
	double step_ms;
	double per_seq_ms;
	double context_per_k_ms;
	double prefill_per_ms;
	double pairs_per_m_ms;
	double chunk;
	double stride;
	double loads_per_s;
	unsigned loads_at_once;
	double usual_prompt;
	double usual_response;
	unsigned staged_limit;
	double form_ms;
	GPtrArray *models;
};

/**
 * struct catalog_service - a service, which endpoints of one kind provide.
 * @name: the service's name
 * @health_path: path of the health check
 * @max_connections: most connections that an endpoint takes from all clients
 * @cold_per_s: requests per second that an endpoint tolerates while it is cold,
 *	from all daemons together; 0 for any number
 * @priorities: priorities that its requests can have, as bits; see
 *	fwd_priority_prepare()
 * @engine: profile of the engines; NULL for a plain service, which runs no
 *	models
 */
struct catalog_service {
	char *name;
	char *health_path;
	unsigned max_connections;
	double cold_per_s;
	uint16_t priorities;
	struct engine_profile *engine;
};

/**
 * struct catalog_split - one service's share of a route's traffic.
 * @service: name of the service
 * @weight: relative weight among the route's splits
 */
struct catalog_split {
	char *service;
	unsigned weight;
};

/**
 * struct catalog_route - matches requests and says how to serve them.
 * @name: the route's name
 * @host: Host header that it matches
 * @prefix: path prefix that it matches, with a slash at both ends
 * @retry: whether requests may be sent more than once
 * @resumable: a broken stream may be resumed at another endpoint
 * @public: requests need no API key
 * @timeout_ms: longest duration of a request
 * @objective_ms: latency objective
 * @gap_ms: longest gap between events of a stream that meets the objective
 * @priority: priority of requests; 0 is the highest
 * @max_attempts: most sends of one request that it may have run after
 * @splits: services that share the traffic, of struct catalog_split
 */
struct catalog_route {
	char *name;
	char *host;
	char *prefix;
	enum retry_mode retry;
	bool resumable;
	bool public;
	int64_t timeout_ms;
	int64_t objective_ms;
	int64_t gap_ms;
	int priority;
	unsigned max_attempts;
	GArray *splits;
};

/**
 * struct catalog_customer - holder of API keys.
 * @name: the customer's name
 * @priority: overrides the route's priority; -1 for none
 */
struct catalog_customer {
	char *name;
	int priority;
};

/**
 * struct client_limits - limits on what clients send, and on how slowly.
 * @max_header_bytes: largest request head
 * @max_body_bytes: largest request body
 * @header_timeout_ms: longest time to receive a head
 * @idle_timeout_ms: longest time between two requests of a connection
 */
struct client_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct catalog - one version of the configuration; immutable once built.
 * @refs: reference count
 * @version: version number, which only ever increases
 * @offset: offset of its record in the store
 * @routes: struct catalog_route, longest prefix first
 * @services: service name to struct catalog_service
 * @keys: API key to struct catalog_customer
 * @customers: struct catalog_customer
 * @requires_key: requests need an API key, except on public routes
 * @limits: limits on clients
 */
struct catalog {
	int refs;
	int64_t version;
	uint64_t offset;
	GPtrArray *routes;
	GHashTable *services;
	GHashTable *keys;
	GPtrArray *customers;
	bool requires_key;
	struct client_limits limits;
};

struct catalog *catalog_create(void);
struct catalog *catalog_ref(struct catalog *);
void catalog_unref(struct catalog *);
struct catalog_route *catalog_add_route(struct catalog *);
struct catalog_service *catalog_add_service(struct catalog *, const char *);
struct engine_profile *catalog_add_engine(struct catalog_service *);
struct catalog_customer *catalog_add_customer(struct catalog *, const char *);
void catalog_sort_routes(struct catalog *);
const struct catalog_route *catalog_find_route(const struct catalog *,
    const char *, const char *);
const struct catalog_service *catalog_find_service(const struct catalog *,
    const char *);
const char *catalog_pick_service(const struct catalog_route *, uint64_t);
const struct model_profile *engine_find_model(const struct engine_profile *,
    const char *);

#endif
