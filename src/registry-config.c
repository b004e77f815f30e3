/* The configuration in force, and what else the operator writes beside it. */
#include <string.h>

#include "clock.h"
#include "registry.h"
#include "event-log.h"
#include "fwd-priority.h"

/* Key of the configuration in its topic. */
#define CONFIG_KEY "config"

/**
 * registry_notify() - tell the owner that the catalog or an endpoint changed.
 * @registry: the registry
 */
void
registry_notify(struct registry *registry)
{
	if (registry->changed != NULL)
		registry->changed(registry->changed_arg);
}

/**
 * registry_service_grouped() - whether a service's requests are sent to heads
 * of groups only.
 * @registry: the registry
 * @name: name of the service
 *
 * While the configuration does not have the service, any endpoint may be sent
 * some.
 */
bool
registry_service_grouped(const struct registry *registry, const char *name)
{
	const struct catalog_service *service = registry->catalog != NULL ?
	    catalog_find_service(registry->catalog, name) :
	    NULL;

	return (service != NULL && service->engine != NULL &&
	    service->engine->models->len > 0);
}

/* Requests a second that an endpoint tolerates while it is cold; 0 where it is
 * sent none. */
static double
endpoint_cold_per_s(const struct registry *registry, const struct endpoint *ep)
{
	const struct catalog_service *service = registry->catalog != NULL ?
	    catalog_find_service(registry->catalog, ep->report.service) :
	    NULL;

	if (service == NULL ||
	    !endpoint_report_serves(&ep->report,
		registry_service_grouped(registry, ep->report.service)))
		return (0);
	return (service->cold_per_s);
}

/**
 * registry_set_cold() - set until when an endpoint is cold.
 * @registry: the registry
 * @ep: the endpoint
 * @until_ms: loop time at which that ends; in the past where it is not cold
 * @now_ms: loop time
 */
void
registry_set_cold(const struct registry *registry, struct endpoint *ep,
    uint64_t until_ms, uint64_t now_ms)
{
	double per_s = endpoint_cold_per_s(registry, ep);

	if (endpoint_limit_set_cold(&ep->limit, per_s, until_ms, now_ms))
		event_log(LOG_INFO, "endpoint_cold",
		    "endpoint=%s per_s=%.3f cold_ms=%llu", ep->report.id, per_s,
		    (unsigned long long)(until_ms - now_ms));
}

/* Updates which endpoints are cold after a change of the configuration. */
static void
endpoints_update_cold(struct registry *registry)
{
	uint64_t now = clock_loop_ms(registry->loop);
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry)
		registry_set_cold(registry, ep, ep->limit.cold_until_ms, now);
}

/* Computes the services' priorities; logs those that are not valid. */
static void
config_prepare_priorities(const struct catalog *catalog)
{
	unsigned invalid = fwd_priority_prepare(catalog);

	if (invalid > 0)
		event_log(LOG_WARNING, "priorities_ignored",
		    "version=%lld invalid=%u used=%d",
		    (long long)catalog->version, invalid, FWD_PRIORITY_LOWEST);
}

/**
 * registry_decode_config() - decode a configuration.
 * @registry: the registry
 * @value: the configuration as encoded in the store
 * @length: length of @value
 * @offset: offset of its record in the store, or of one before it
 *
 * Return: the configuration, for registry_set_config(); NULL if it is invalid
 * or not newer than the one in force.
 */
struct catalog *
registry_decode_config(const struct registry *registry, const void *value,
    size_t length, uint64_t offset)
{
	g_autoptr(GError) error = NULL;
	struct catalog *next = registry->decode->config(value, length, &error);

	if (next == NULL) {
		event_log(LOG_ERR, "config_refused", "offset=%llu reason=%s",
		    (unsigned long long)offset, error->message);
		return (NULL);
	}
	if (registry->catalog != NULL &&
	    next->version <= registry->catalog->version) {
		catalog_unref(next);
		return (NULL);
	}
	next->offset = offset;
	return (next);
}

/**
 * registry_set_config() - put a newer configuration in force.
 * @registry: the registry
 * @next: the configuration; its reference is taken over
 * @value: the configuration as encoded in the store
 * @length: length of @value
 */
void
registry_set_config(struct registry *registry, struct catalog *next,
    const void *value, size_t length)
{
	config_prepare_priorities(next);
	event_log(LOG_NOTICE, "config_in_force",
	    "version=%lld was=%lld offset=%llu routes=%u services=%u "
	    "customers=%u bytes=%zu",
	    (long long)next->version,
	    registry->catalog != NULL ? (long long)registry->catalog->version :
					-1LL,
	    (unsigned long long)next->offset, next->routes->len,
	    g_hash_table_size(next->services), next->customers->len, length);
	catalog_unref(registry->catalog);
	registry->catalog = next;
	g_clear_pointer(&registry->config_bytes, g_bytes_unref);
	g_clear_pointer(&registry->config_packed, g_bytes_unref);
	registry->config_bytes = g_bytes_new(value, length);
	endpoints_update_cold(registry);
	/* The proof of freshness of the previous version remains valid, as this
	 * one has all changes made until then. When each version reset it,
	 * there was none while changes came every 80 ms, and keys were refused.
	 */
	registry_notify(registry);
}

/* Notes at each endpoint whether its failure domain is evacuated. */
static void
endpoints_mark_evacuated(struct registry *registry)
{
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry)
		ep->evacuated =
		    evacuations_has(&registry->evacuations, ep->report.domain);
}

/* Number of endpoints in a failure domain. */
static unsigned
endpoints_in_domain(const struct registry *registry, const char *domain)
{
	const struct endpoint *ep;
	unsigned n = 0;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry)
		n += !ep->gone && g_strcmp0(ep->report.domain, domain) == 0;
	return (n);
}

/* Logs the failure domains that one set has and the other lacks. */
static void
evacuations_log(const struct registry *registry, const struct evacuations *in,
    const struct evacuations *out, const char *event)
{
	for (uint32_t i = 0; i < in->n; i++) {
		const char *domain = in->domains[i];

		if (!evacuations_has(out, domain))
			event_log(LOG_NOTICE, event,
			    "domain=%s endpoints=%u as_of=%llu", domain,
			    endpoints_in_domain(registry, domain),
			    (unsigned long long)registry->evacuations.as_of);
	}
}

/**
 * registry_apply_evacuations() - put a set of evacuated failure domains in
 * force if it is newer.
 * @registry: the registry
 * @next: the set, as read from the store here or by a peer
 *
 * Return: whether it is in force now.
 */
bool
registry_apply_evacuations(struct registry *registry,
    const struct evacuations *next)
{
	struct evacuations old;

	if (next->as_of <= registry->evacuations.as_of)
		return (false);
	evacuations_copy(&old, &registry->evacuations);
	evacuations_copy(&registry->evacuations, next);
	endpoints_mark_evacuated(registry);
	evacuations_log(registry, next, &old, "domain_evacuated");
	evacuations_log(registry, &old, next, "domain_taken_back");
	registry_notify(registry);
	return (true);
}

/* Adds a failure domain to a set; logs it if it can't be. */
static void
evacuate(struct evacuations *next, const char *domain)
{
	enum evacuation_result result = evacuations_add(next, domain);

	if (result != EVACUATION_ADDED)
		event_log(LOG_WARNING, "evacuation_refused",
		    "domain=%.80s reason=%s", domain,
		    evacuation_result_name(result));
}

/* Applies a record that evacuates a failure domain or takes it back. */
static void
evacuation_record(struct registry *registry, const struct store_record *record,
    const char *domain)
{
	struct evacuations next;

	/* The records of a snapshot come in the order of their keys. */
	if (registry->config.snapshot_keys != NULL)
		return;
	evacuations_copy(&next, &registry->evacuations);
	next.as_of = record->offset + 1;
	if (record->value != NULL)
		evacuate(&next, domain);
	else
		evacuations_remove(&next, domain);
	registry_apply_evacuations(registry, &next);
}

static void
config_record(void *owner, const struct store_record *record)
{
	struct registry *registry = owner;
	const char *domain = registry->decode->evacuated_domain(record->key);
	struct catalog *next;

	if (domain != NULL) {
		evacuation_record(registry, record, domain);
		return;
	}
	if (strcmp(record->key, CONFIG_KEY) != 0 || record->value == NULL)
		return;
	next = registry_decode_config(registry, record->value, record->length,
	    record->offset);
	if (next != NULL)
		registry_set_config(registry, next, record->value,
		    record->length);
}

/* Applies the evacuations of a complete snapshot. */
static void
config_snapshot_done(void *owner, GHashTable *keys)
{
	struct registry *registry = owner;
	struct evacuations next = { .as_of = registry->config.snapshot_end };
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, keys);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const char *domain = registry->decode->evacuated_domain(key);

		if (domain != NULL)
			evacuate(&next, domain);
	}
	registry_apply_evacuations(registry, &next);
}

const struct topic_follower_ops registry_config_ops = {
	.record = config_record,
	.snapshot_done = config_snapshot_done,
	.answered = registry_note_answered,
	.failed = registry_note_failed,
};
