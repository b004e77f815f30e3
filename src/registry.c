/* What this daemon knows of the deployment, and how old it is. */
#include <string.h>

#include "clock.h"
#include "registry.h"
#include "error.h"
#include "event-log.h"

/* Key of the configuration in its topic. */
#define CONFIG_KEY "config"

static void
dir_tell(struct registry *registry)
{
	if (registry->changed != NULL)
		registry->changed(registry->changed_arg);
}

/**
 * registry_apply_config() - put a configuration in force if it is newer.
 * @registry: the knowledge
 * @value: the record's value
 * @length: its length
 * @offset: its place in the store
 *
 * Return: whether it is in force now.
 */
bool
registry_apply_config(struct registry *registry, const void *value,
    size_t length, uint64_t offset)
{
	g_autoptr(GError) error = NULL;
	struct catalog *next = registry->decode->config(value, length, &error);

	if (next == NULL) {
		event_log(LOG_ERR, "config_refused", "offset=%llu reason=%s",
		    (unsigned long long)offset, error->message);
		return (false);
	}
	if (registry->catalog != NULL &&
	    next->version <= registry->catalog->version) {
		catalog_unref(next);
		return (false);
	}
	next->offset = offset;
	event_log(LOG_NOTICE, "config_in_force",
	    "version=%lld was=%lld offset=%llu routes=%u services=%u "
	    "customers=%u",
	    (long long)next->version,
	    registry->catalog != NULL ? (long long)registry->catalog->version :
					-1LL,
	    (unsigned long long)offset, next->routes->len,
	    g_hash_table_size(next->services), next->customers->len);
	catalog_unref(registry->catalog);
	registry->catalog = next;
	g_clear_pointer(&registry->config_bytes, g_bytes_unref);
	registry->config_bytes = g_bytes_new(value, length);
	/* What was proved of the version before holds: this one has all that
	 * was changed until then. Dropped with each version, the proofs were
	 * gone while changes came every 80 ms, and keys were refused. */
	dir_tell(registry);
	return (true);
}

static void
config_record(void *owner, const struct store_record *record)
{
	struct registry *registry = owner;

	if (strcmp(record->key, CONFIG_KEY) == 0 && record->value != NULL)
		registry_apply_config(registry, record->value, record->length,
		    record->offset);
}

static const struct topic_follower_ops config_ops = {
	.record = config_record,
};

/* Keeps a record that changed something, for the peers. */
static void
relay_add(struct registry *registry, const struct store_record *record)
{
	struct store_record copy = *record;

	if (!registry->endpoints.relays)
		return;
	copy.key = g_strdup(record->key);
	copy.value = g_memdup2(record->value, record->length);
	g_array_append_val(registry->relay, copy);
}

/* Whether what is being read piled up while the store was away. */
static bool
dir_piled(const struct registry *registry)
{
	const struct topic_follower *f = &registry->endpoints;
	uint64_t now = clock_loop_ms(registry->loop);

	return (f->failures > 0 ||
	    (f->regained_ms != 0 &&
		now - f->regained_ms < REGISTRY_CATCH_UP_MS));
}

/*
 * Whether requests of a service go to heads of groups only. As long as the
 * configuration says nothing of it, every endpoint may get some.
 */
static bool
service_grouped(const struct registry *registry, const char *name)
{
	const struct catalog_service *service = registry->catalog != NULL ?
	    catalog_find_service(registry->catalog, name) :
	    NULL;

	return (service != NULL && service->engine != NULL &&
	    service->engine->models->len > 0);
}

/*
 * Decodes an entry. A start that lies ahead of the time of day by more than
 * clocks may differ is no time of a start, and would outdo all true ones.
 */
static bool
endpoint_decode(const struct registry *registry,
    const struct store_record *record, struct endpoint_report *report,
    GError **error)
{
	int64_t latest = g_get_real_time() / G_TIME_SPAN_MILLISECOND +
	    REGISTRY_CLOCK_SKEW_MS;

	if (!registry->decode->endpoint(record->key, record->value,
		record->length, report, error))
		return (false);
	if (report->started_ms <= latest)
		return (true);
	error_set(error, ERROR_BAD_FIELD, "entry %s: started ahead of time",
	    record->key);
	endpoint_report_clear(report);
	return (false);
}

/*
 * An entry that can't be used names no endpoint to use; what is known of the
 * others holds. Said once for each reason and endpoint.
 */
static void
entry_refused(struct registry *registry, const struct store_record *record,
    const GError *error)
{
	const struct endpoint *ep = fleet_find(&registry->fleet, record->key);
	const char *said =
	    g_hash_table_lookup(registry->refusal_reasons, record->key);

	registry->n_refused++;
	if (ep != NULL && ep->unreadable_ms == 0)
		relay_add(registry, record);
	fleet_mark_unreadable(&registry->fleet, record->key, record->offset,
	    clock_loop_ms(registry->loop));
	if (g_strcmp0(said, error->message) == 0)
		return;
	if (g_hash_table_size(registry->refusal_reasons) >=
	    REGISTRY_REFUSALS_MAX)
		g_hash_table_remove_all(registry->refusal_reasons);
	g_hash_table_replace(registry->refusal_reasons, g_strdup(record->key),
	    g_strdup(error->message));
	event_log(LOG_WARNING, "endpoint_refused",
	    "endpoint=%s offset=%llu known=%d reason=%s", record->key,
	    (unsigned long long)record->offset, ep != NULL, error->message);
}

static void
endpoint_record(void *owner, const struct store_record *record)
{
	struct registry *registry = owner;
	uint64_t now = clock_loop_ms(registry->loop);
	g_autoptr(GError) error = NULL;
	struct endpoint_report report;
	bool grouped;

	if (record->value == NULL) {
		fleet_lapse(&registry->fleet, record->key, now,
		    dir_piled(registry));
		relay_add(registry, record);
		return;
	}
	if (!endpoint_decode(registry, record, &report, &error)) {
		entry_refused(registry, record, error);
		return;
	}
	grouped = service_grouped(registry, report.service);
	if (fleet_serving_differs(&registry->fleet, &report, grouped) ||
	    (topic_follower_overtaken(&registry->endpoints) &&
		endpoint_report_serves(&report, grouped)))
		relay_add(registry, record);
	endpoint_set_entry(fleet_update(&registry->fleet, &report,
			       record->offset, now),
	    grouped, record->value, record->length);
}

/* Endpoints that a whole snapshot does not hold have lapsed. */
static void
endpoints_whole(void *owner, GHashTable *seen)
{
	struct registry *registry = owner;
	struct endpoint *ep;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry) {
		/* When it went is not known; before the snapshot's end. */
		const struct store_record record = { .key = ep->report.id,
			.offset =
			    MAX(registry->endpoints.snapshot_end, 1) - 1 };

		if (ep->lapsed_ms != 0 ||
		    g_hash_table_contains(seen, ep->report.id))
			continue;
		fleet_lapse(&registry->fleet, ep->report.id,
		    clock_loop_ms(registry->loop), dir_piled(registry));
		relay_add(registry, &record);
	}
}

static void
endpoints_fresh(void *owner, uint64_t from, uint64_t end)
{
	struct registry *registry = owner;

	registry_sweep(registry, clock_loop_ms(registry->loop));
	dir_tell(registry);
	if (registry->endpoints.relays && registry->relayed != NULL)
		registry->relayed(registry->relayed_arg, from, end,
		    registry->relay);
	g_array_set_size(registry->relay, 0);
}

static const struct topic_follower_ops endpoints_ops = {
	.record = endpoint_record,
	.snapshot_done = endpoints_whole,
	.advanced = endpoints_fresh,
};

/**
 * registry_init() - know nothing yet.
 * @registry: the knowledge
 * @loop: the event loop
 * @store: the store
 * @decode: the adapter's decoders
 */
void
registry_init(struct registry *registry, uv_loop_t *loop, struct store *store,
    const struct registry_decoders *decode)
{
	memset(registry, 0, sizeof *registry);
	registry->loop = loop;
	registry->decode = decode;
	fleet_init(&registry->fleet, loop);
	poison_init(&registry->poison);
	registry->refusal_reasons =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	registry->relay = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(registry->relay, store_record_clear);
	topic_follower_init(&registry->config, store, loop, TOPIC_CONFIG,
	    &config_ops, registry);
	topic_follower_init(&registry->endpoints, store, loop, TOPIC_ENDPOINTS,
	    &endpoints_ops, registry);
	registry->endpoints.partial = true;
}

/**
 * registry_configure() - set how the store is followed; nothing is read yet.
 * @registry: the knowledge
 * @config_pause_ms: between two reads of the configuration
 * @endpoints_pause_ms: between two reads of the endpoints' entries
 */
void
registry_configure(struct registry *registry, unsigned config_pause_ms,
    unsigned endpoints_pause_ms)
{
	registry->config.interval_ms = config_pause_ms;
	registry->endpoints.interval_ms = endpoints_pause_ms;
	topic_follower_hold(&registry->config);
	topic_follower_hold(&registry->endpoints);
}

/**
 * registry_set_fallback() - set how long peers' news spare own reads.
 * @registry: the knowledge
 * @config_ms: age of a peer's proof of the configuration, in milliseconds
 * @endpoints_ms: age of peers' news of the endpoints' entries
 * @led: another daemon asks a store that is away again
 */
void
registry_set_fallback(struct registry *registry, unsigned config_ms,
    unsigned endpoints_ms, bool led)
{
	registry->config.fallback_ms = config_ms;
	registry->config.slow_retry = led;
	registry->endpoints.fallback_ms = endpoints_ms;
	registry->endpoints.slow_retry = led;
}

/**
 * registry_release() - read the store oneself, if that has not begun.
 * @registry: the knowledge
 */
void
registry_release(struct registry *registry)
{
	topic_follower_release(&registry->config);
	topic_follower_release(&registry->endpoints);
}

/**
 * registry_get_snapshot() - entries of all endpoints that serve, for a peer.
 * @registry: the knowledge
 * @records: filled in, of struct store_record
 */
void
registry_get_snapshot(const struct registry *registry, GArray *records)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry) {
		struct store_record record = { .offset = ep->offset };
		bool grouped = service_grouped(registry, ep->report.service);
		gconstpointer value;

		/* It may have been read before the configuration. */
		if (ep->entry_bytes == NULL || ep->gone || ep->lapsed_ms != 0 ||
		    ep->unreadable_ms != 0 ||
		    !endpoint_report_serves(&ep->report, grouped))
			continue;
		value = g_bytes_get_data(ep->entry_bytes, &record.length);
		record.key = g_strdup(ep->report.id);
		record.value = g_memdup2(value, record.length);
		g_array_append_val(records, record);
	}
}

/**
 * registry_apply_snapshot() - take in a peer's entries instead of reading all.
 * @registry: the knowledge
 * @end: they are complete up to this offset
 * @records: of struct store_record
 * @now_ms: loop time
 *
 * Return: false where all was read here, or is being read.
 */
bool
registry_apply_snapshot(struct registry *registry, uint64_t end,
    const GArray *records, uint64_t now_ms)
{
	/* A peer gives the entries that serve; a reader needs all. */
	if (registry->endpoints.synced || registry->endpoints.busy ||
	    registry->endpoints.reader)
		return (false);
	for (guint i = 0; i < records->len; i++)
		endpoint_record(registry,
		    &g_array_index(records, struct store_record, i));
	topic_follower_adopt(&registry->endpoints, end, now_ms);
	event_log(LOG_INFO, "entries_taken", "endpoints=%u end=%llu",
	    records->len, (unsigned long long)end);
	dir_tell(registry);
	return (true);
}

/**
 * registry_apply_endpoints() - take in entries that a peer read and that
 * changed.
 * @registry: the knowledge
 * @from: the peer read from this offset
 * @end: to this one
 * @records: what changed, of struct store_record
 * @returned_ms: how long ago the store came back to the peer
 * @now: loop time
 *
 * Return: false where entries are missing here.
 */
bool
registry_apply_endpoints(struct registry *registry, uint64_t from, uint64_t end,
    const GArray *records, uint64_t returned_ms, uint64_t now)
{
	if (returned_ms < REGISTRY_RECOVERY_MS && returned_ms < now)
		registry->endpoints.regained_ms =
		    MAX(registry->endpoints.regained_ms, now - returned_ms);
	if (!topic_follower_apply(&registry->endpoints, from, end, records))
		return (false);
	topic_follower_set_updated(&registry->endpoints, now);
	registry_sweep(registry, now);
	if (records->len > 0)
		dir_tell(registry);
	return (true);
}

/**
 * registry_stop() - make no more calls.
 * @registry: the knowledge
 */
void
registry_stop(struct registry *registry)
{
	topic_follower_stop(&registry->config);
	topic_follower_stop(&registry->endpoints);
}

/**
 * registry_sweep() - take lapsed endpoints for gone.
 * @registry: the knowledge
 * @now_ms: loop time
 */
void
registry_sweep(struct registry *registry, uint64_t now_ms)
{
	const struct topic_follower *f = &registry->endpoints;
	bool returned = f->regained_ms != 0 &&
	    now_ms - f->regained_ms < REGISTRY_RECOVERY_MS;

	poison_sweep(&registry->poison, &registry->fleet, now_ms);
	/* While the store is away nothing can be told of a lapse. */
	if (f->failures > 0 &&
	    now_ms - f->peer_update_ms >= REGISTRY_PEER_UPDATE_MS)
		return;
	/* Just after its return, what lapsed meanwhile may still be back. */
	fleet_sweep(&registry->fleet, now_ms, !returned);
}

/**
 * registry_config_age() - how old the proof is that the catalog is the newest.
 * @registry: the knowledge
 * @now_ms: loop time
 */
uint64_t
registry_config_age(const struct registry *registry, uint64_t now_ms)
{
	uint64_t own = topic_follower_age(&registry->config, now_ms);
	uint64_t peer = UINT64_MAX;

	if (registry->peer_proof_ms != 0)
		peer = now_ms > registry->peer_proof_ms ?
		    now_ms - registry->peer_proof_ms :
		    0;
	return (MIN(own, peer));
}
