/*
 * The daemon's local copy of the configuration and of the endpoints' entries,
 * with the age of each.
 */
#include <string.h>

#include "clock.h"
#include "registry.h"
#include "event-log.h"

/* Logs the end of an outage, and what it was concluded from. */
static void
log_outage(const struct store_outage *o, bool told, uint64_t now_ms)
{
	event_log(LOG_NOTICE, "store_outage",
	    "ms=%llu ended_ms_ago=%llu failed_ms_ago=%lld heard_ms_ago=%lld "
	    "told=%d",
	    (unsigned long long)(o->until_ms - o->from_ms),
	    (unsigned long long)(now_ms - MIN(o->regained_ms, now_ms)),
	    o->failed_ms != 0 ? (long long)(now_ms - o->failed_ms) : -1LL,
	    o->heard_ms != 0 ? (long long)(now_ms - o->heard_ms) : -1LL, told);
}

/* Notes that the store has answered this daemon or another one, as of a time
 * that is 0 if unknown. */
static void
note_answered(struct registry *registry, uint64_t as_of_ms, uint64_t now_ms)
{
	if (outage_note_answered(&registry->outage, as_of_ms, now_ms))
		log_outage(&registry->outage, false, now_ms);
}

/**
 * registry_note_answered() - note that the store has answered, as a callback of
 *	topics' followers.
 * @owner: the registry
 * @as_of_ms: loop time as of which it did; 0 for unknown
 */
void
registry_note_answered(void *owner, uint64_t as_of_ms)
{
	struct registry *registry = owner;

	note_answered(registry, as_of_ms, clock_loop_ms(registry->loop));
}

/**
 * registry_note_failed() - note that a call to the store has failed, as a
 *	callback of topics' followers.
 * @owner: the registry
 */
void
registry_note_failed(void *owner)
{
	struct registry *registry = owner;

	outage_note_failed(&registry->outage, clock_loop_ms(registry->loop));
}

/**
 * registry_note_proof() - adopt a peer's proof that the catalog is the newest.
 * @registry: the registry
 * @proof_ms: loop time as of which it was; 0 for none
 * @now_ms: loop time
 */
void
registry_note_proof(struct registry *registry, uint64_t proof_ms,
    uint64_t now_ms)
{
	registry->peer_proof_ms = MAX(registry->peer_proof_ms, proof_ms);
	note_answered(registry, proof_ms, now_ms);
}

/**
 * registry_note_told() - note that a peer reports the end of an outage.
 * @registry: the registry
 * @regained_ms: loop time at which the store answered the peer again
 * @now_ms: loop time
 */
void
registry_note_told(struct registry *registry, uint64_t regained_ms,
    uint64_t now_ms)
{
	if (outage_note_told(&registry->outage, regained_ms))
		log_outage(&registry->outage, true, now_ms);
}

/**
 * registry_init() - initialize an empty registry.
 * @registry: the registry
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
	    &registry_config_ops, registry);
	topic_follower_init(&registry->endpoints, store, loop, TOPIC_ENDPOINTS,
	    &registry_endpoints_ops, registry);
	registry->endpoints.partial = true;
}

/**
 * registry_configure() - set how often the store is read; nothing is read until
 * registry_release().
 * @registry: the registry
 * @config_interval_ms: pause between two reads of the configuration
 * @endpoints_interval_ms: pause between two reads of the endpoints' entries
 */
void
registry_configure(struct registry *registry, unsigned config_interval_ms,
    unsigned endpoints_interval_ms)
{
	registry->config.interval_ms = config_interval_ms;
	registry->endpoints.interval_ms = endpoints_interval_ms;
	topic_follower_hold(&registry->config);
	topic_follower_hold(&registry->endpoints);
}

/**
 * registry_set_fallback() - set after which time without updates from peers the
 * store is read here.
 * @registry: the registry
 * @config: for the configuration
 * @endpoints: for the endpoints' entries
 */
void
registry_set_fallback(struct registry *registry,
    const struct registry_fallback *config,
    const struct registry_fallback *endpoints)
{
	registry->config.fallback_ms = config->after_ms;
	registry->config.retry_ms = config->retry_ms;
	registry->endpoints.fallback_ms = endpoints->after_ms;
	registry->endpoints.retry_ms = endpoints->retry_ms;
}

/**
 * registry_release() - start to read the store, unless that has begun.
 * @registry: the registry
 */
void
registry_release(struct registry *registry)
{
	topic_follower_release(&registry->config);
	topic_follower_release(&registry->endpoints);
}

/**
 * registry_stop() - make no more calls to the store.
 * @registry: the registry
 */
void
registry_stop(struct registry *registry)
{
	topic_follower_stop(&registry->config);
	topic_follower_stop(&registry->endpoints);
}

/**
 * registry_sweep() - mark lapsed endpoints as gone, and drop suspicions that
 * are refuted or old.
 * @registry: the registry
 * @now_ms: loop time
 */
void
registry_sweep(struct registry *registry, uint64_t now_ms)
{
	const struct store_outage *outage = &registry->outage;

	poison_sweep(&registry->poison, &registry->fleet, now_ms);
	/* During a store outage a lapse shows nothing about the endpoint. */
	if (outage_active(outage, now_ms))
		return;
	/* Just after it, entries that lapsed meanwhile may be written again. */
	fleet_sweep(&registry->fleet, now_ms,
	    !outage_recovering(outage, now_ms));
}

/**
 * registry_config_age() - age of the proof that the catalog is the newest.
 * @registry: the registry
 * @now_ms: loop time
 *
 * Return: time in ms; UINT64_MAX if there is no proof.
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
