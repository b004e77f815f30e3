/* Entries of endpoints: from the store, from peers, and for peers. */
#include <string.h>

#include "clock.h"
#include "registry.h"
#include "error.h"
#include "event-log.h"

/* Longest time that an endpoint's word that it is cold is believed; another
 * entry of it comes within seconds. */
#define COLD_MAX_MS 60000

/* Queues a record that changed something, for the peers. */
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

/* Whether an entry whose removal is being passed may have lapsed because of an
 * outage. */
static bool
outage_may_have_caused(const struct registry *registry)
{
	const struct topic_follower *f = &registry->endpoints;
	uint64_t as_of = f->records_ms;

	if (as_of == 0)
		as_of = clock_loop_ms(registry->loop);
	return (outage_caused(&registry->outage, f->copy_ms, as_of));
}

/*
 * Decodes an entry. One whose start time lies in the future by more than clocks
 * may differ is refused, as its start would count as later than all true ones.
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
	error_set(error, ERROR_BAD_FIELD,
	    "entry %s: start time is in the future", record->key);
	endpoint_report_clear(report);
	return (false);
}

/*
 * Refuses an entry that can't be decoded: no new requests are sent to its
 * endpoint, and the other endpoints are not affected. Logged once for each
 * endpoint and reason.
 */
static void
entry_refused(struct registry *registry, const struct store_record *record,
    const GError *error)
{
	const struct endpoint *ep = fleet_find(&registry->fleet, record->key);
	const char *logged =
	    g_hash_table_lookup(registry->refusal_reasons, record->key);

	registry->n_refused++;
	if (ep != NULL && ep->unreadable_ms == 0)
		relay_add(registry, record);
	fleet_mark_unreadable(&registry->fleet, record->key, record->offset,
	    clock_loop_ms(registry->loop));
	if (g_strcmp0(logged, error->message) == 0)
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
	struct endpoint *ep;
	bool grouped;

	if (record->value == NULL) {
		fleet_lapse(&registry->fleet, record->key, record->offset, now,
		    outage_may_have_caused(registry));
		relay_add(registry, record);
		return;
	}
	if (!endpoint_decode(registry, record, &report, &error)) {
		entry_refused(registry, record, error);
		return;
	}
	grouped = registry_service_grouped(registry, report.service);
	if (fleet_serving_differs(&registry->fleet, &report, grouped) ||
	    (topic_follower_overtaken(&registry->endpoints, record) &&
		endpoint_report_serves(&report, grouped)))
		relay_add(registry, record);
	ep = fleet_update(&registry->fleet, &report, record->offset, now);
	ep->evacuated =
	    evacuations_has(&registry->evacuations, ep->report.domain);
	registry_set_cold(registry, ep,
	    now + MIN(ep->report.cold_ms, COLD_MAX_MS), now);
	endpoint_set_entry(ep, grouped, record->value, record->length);
}

/**
 * registry_removal_offset() - store offset that stands for that of a removal
 * which a snapshot shows.
 * @end: end offset of the snapshot
 * @i: index of the removal
 *
 * The entry was removed at an unknown offset before @end. Removals of the same
 * offset are sent to peers in one datagram, so not all of them can have it.
 */
uint64_t
registry_removal_offset(uint64_t end, unsigned i)
{
	uint64_t before_end = 1 + i / REGISTRY_REMOVALS_MAX;

	return (end > before_end ? end - before_end : 0);
}

/* Marks endpoints that a complete snapshot does not have as lapsed. */
static void
endpoints_snapshot_done(void *owner, GHashTable *keys)
{
	struct registry *registry = owner;
	struct endpoint *ep;
	unsigned n = 0;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry) {
		struct store_record record = { .key = ep->report.id };

		if (ep->lapsed_ms != 0 ||
		    g_hash_table_contains(keys, ep->report.id))
			continue;
		record.offset =
		    registry_removal_offset(registry->endpoints.snapshot_end,
			n++);
		fleet_lapse(&registry->fleet, ep->report.id, record.offset,
		    clock_loop_ms(registry->loop),
		    outage_may_have_caused(registry));
		relay_add(registry, &record);
	}
}

static void
endpoints_advanced(void *owner, uint64_t from, uint64_t end)
{
	struct registry *registry = owner;

	registry_sweep(registry, clock_loop_ms(registry->loop));
	registry_notify(registry);
	if (registry->endpoints.relays && registry->relayed != NULL)
		registry->relayed(registry->relayed_arg, from, end,
		    registry->relay);
	g_array_set_size(registry->relay, 0);
}

const struct topic_follower_ops registry_endpoints_ops = {
	.record = endpoint_record,
	.snapshot_done = endpoints_snapshot_done,
	.advanced = endpoints_advanced,
	.answered = registry_note_answered,
	.failed = registry_note_failed,
};

/**
 * registry_get_snapshot() - get the entries of all endpoints that may be sent
 * requests, for a peer.
 * @registry: the registry
 * @records: the entries are appended, as struct store_record
 */
void
registry_get_snapshot(const struct registry *registry, GArray *records)
{
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &registry->fleet.endpoints, entry) {
		struct store_record record = { .offset = ep->offset };
		bool grouped =
		    registry_service_grouped(registry, ep->report.service);
		gconstpointer value;

		/* The entry may have been kept before there was a configuration
		 * that says whether the service forms groups. */
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
 * registry_apply_snapshot() - apply a peer's entries instead of reading all
 * entries from the store.
 * @registry: the registry
 * @end: offset up to which the entries are complete
 * @records: the entries, of struct store_record
 * @as_of_ms: loop time as of which they are; 0 for unknown
 *
 * Return: false, and nothing is applied, if this daemon is the reader, or has
 * read all entries or is reading them.
 */
bool
registry_apply_snapshot(struct registry *registry, uint64_t end,
    const GArray *records, uint64_t as_of_ms)
{
	/* A peer's snapshot has serving endpoints only; a reader needs all. */
	if (registry->endpoints.synced || registry->endpoints.busy ||
	    registry->endpoints.reader)
		return (false);
	for (guint i = 0; i < records->len; i++)
		endpoint_record(registry,
		    &g_array_index(records, struct store_record, i));
	topic_follower_adopt(&registry->endpoints, end, as_of_ms);
	event_log(LOG_INFO, "entries_taken", "endpoints=%u end=%llu",
	    records->len, (unsigned long long)end);
	registry_notify(registry);
	return (true);
}

/**
 * registry_apply_endpoints() - apply changed entries that a peer read.
 * @registry: the registry
 * @update: the entries
 * @regained_ms: loop time at which the store answered the peer again after an
 *	outage; 0 if there was none
 * @now: loop time
 */
void
registry_apply_endpoints(struct registry *registry,
    const struct topic_update *update, uint64_t regained_ms, uint64_t now)
{
	if (regained_ms != 0)
		registry_note_told(registry, regained_ms, now);
	topic_follower_apply(&registry->endpoints, update);
	registry_sweep(registry, now);
	if (update->records->len > 0)
		registry_notify(registry);
}
