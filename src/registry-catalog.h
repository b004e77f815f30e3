/* The configuration in force: routes, services, customers and limits. */
#ifndef BL_REGISTRY_CATALOG_H
#define BL_REGISTRY_CATALOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum retry_mode - what may be done with a request more than once.
 * @RETRY_NEVER: it may run once at most
 * @RETRY_IDEMPOTENT: idempotent
 * @RETRY_STREAM: answered by a stream of events; see @resumable
 */
enum retry_mode {
	RETRY_NEVER,
	RETRY_IDEMPOTENT,
	RETRY_STREAM,
};

/**
 * struct model_profile - a model that a service's engines can serve.
 * @name: its name
 * @size: hosts of a replica
 * @share: part of the hosts that the operator expects it to need
 * @pace: factor on all times of the engine
 * @load_ms: time to load from the weight store
 * @warm_ms: time to load from the host's own copy
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
 * struct engine_profile - how a service's engines spend their time.
 * @slots: requests at once
 * @kv_tokens: memory, in tokens
 * @step_ms: time of a step
 * @per_seq_ms: more for each request that writes
 * @context_per_k_ms: more for each 1,000 tokens of context
 * @prefill_per_ms: prompt tokens read in a millisecond
 * @pairs_per_m_ms: time for a million pairs of tokens while reading
 * @chunk: most prompt tokens of a pass; first events did not show it
 * @stride: steps of a pass that has writers
 * @loads_per_s: most loads that may start in a second
 * @loads_at_once: loads beyond which each slows down
 * @usual_prompt: mean prompt in tokens
 * @usual_response: mean answer in tokens
 * @staged_limit: models that a host keeps a copy of
 * @form_ms: from the order to open until a group serves
 * @models: of struct model_profile
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
 * struct catalog_service - endpoints of one kind.
 * @name: its name
 * @health_path: path of the health check
 * @max_connections: most connections that an endpoint takes from all callers
 * @engine: for model engines, else NULL
 */
struct catalog_service {
	char *name;
	char *health_path;
	unsigned max_connections;
	struct engine_profile *engine;
};

/**
 * struct catalog_split - a service's part of a route.
 * @service: its name
 * @weight: its part of the sum of weights
 */
struct catalog_split {
	char *service;
	unsigned weight;
};

/**
 * struct catalog_route - which requests go where.
 * @name: its name
 * @host: of the requests
 * @prefix: of their path, with a slash at both ends
 * @retry: what may be sent again
 * @resumable: a stream may go on at another endpoint
 * @public: needs no key
 * @timeout_ms: longest life of a request
 * @objective_ms: when an answer has its full worth
 * @gap_ms: longest pause between events that is on time
 * @priority: 0 is first
 * @max_attempts: endpoints that one request may be sent to
 * @splits: of struct catalog_split
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
 * struct catalog_customer - who holds a key.
 * @name: its name
 * @priority: goes before a route's; -1 for none
 */
struct catalog_customer {
	char *name;
	int priority;
};

/**
 * struct client_limits - what a caller may send, and how slowly.
 * @max_header_bytes: largest head
 * @max_body_bytes: largest body
 * @header_timeout_ms: longest time for a head
 * @idle_timeout_ms: longest time between requests
 */
struct client_limits {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct catalog - one version of the configuration; immutable once made.
 * @refs: holders
 * @version: never goes down
 * @offset: of its record in the store
 * @routes: of struct catalog_route, longest prefix first
 * @services: name to struct catalog_service
 * @keys: key to struct catalog_customer
 * @customers: of struct catalog_customer
 * @requires_key: requests need a key
 * @limits: for callers
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
