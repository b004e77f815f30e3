/* Taking, checking and losing the placer's lease. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "placer.h"

#define LEASE_KEY "lease"
#define GROUP_PREFIX "group/"
#define SERVED_KEY "served"
#define BOUND_PREFIX "bound/"

/* Each daemon waits this much longer than the one before it. */
#define RANK_STEP_MS 200
/* After the last placer was heard, and at the very start, until the others
 * have been heard. */
#define START_WAIT_MS 200
/* After the records of the daemons were read, until relays are chosen. */
#define KNOWN_WAIT_MS 600

static void lease_read(struct placer *);

/**
 * placer_step_down() - stop placing.
 * @k: the placer
 * @reason: for the log
 */
void
placer_step_down(struct placer *k, const char *reason)
{
	struct replica *r;

	if (k->state == PLACER_HOLDING)
		event_log(LOG_NOTICE, "placer_lost", "term=%lld reason=%s",
		    (long long)k->term, reason);
	k->state = PLACER_IDLE;
	k->served = false;
	k->no_placer_ms = 0;
	k->preparing = false;
	k->mesh->self.placer = false;
	while ((r = TAILQ_FIRST(&k->replicas)) != NULL) {
		TAILQ_REMOVE(&k->replicas, r, entry);
		replica_free(r);
	}
	g_array_set_size(k->pending, 0);
}

/* Adds a record to those that wait to be written; takes the value. */
static void
record_add(struct placer *k, const char *prefix, const char *key, guint8 *value,
    size_t length)
{
	struct store_record record = { 0 };

	record.key = g_strconcat(prefix, key, NULL);
	record.value = value;
	record.length = length;
	g_array_append_val(k->pending, record);
}

/**
 * placer_record_replica() - have a replica's record written or removed.
 * @k: the placer
 * @r: the replica
 * @remove: whether to remove it
 */
void
placer_record_replica(struct placer *k, const struct replica *r, bool remove)
{
	guint8 *value = NULL;
	size_t length = 0;

	if (!remove)
		value = placer_encode_replica(r, &length);
	record_add(k, GROUP_PREFIX, r->name, value, length);
}

/**
 * placer_record_served() - note for ever that requests have come.
 * @k: the placer
 *
 * Loads are quick and not counted before the first request only, and daemons
 * that all start anew have seen none.
 */
void
placer_record_served(struct placer *k)
{
	if (k->served)
		return;
	k->served = true;
	record_add(k, "", SERVED_KEY, g_memdup2("1", 1), 1);
}

/**
 * placer_record_bound() - note how many replicas of its largest model a service
 * may have, for the daemon that places next.
 * @k: the placer
 * @service: the service
 * @most: so many; 0 for no bound
 */
void
placer_record_bound(struct placer *k, const char *service, unsigned most)
{
	char *text = g_strdup_printf("%u", most);

	record_add(k, BOUND_PREFIX, service, (guint8 *)text, strlen(text));
}

/* Takes in the bound of a service. */
static void
lease_take_bound(struct placer *k, const struct store_record *record)
{
	g_autofree char *text =
	    g_strndup((const char *)record->value, record->length);
	const char *service = record->key + strlen(BOUND_PREFIX);

	placer_usage(k, service)->demand.largest_max =
	    (unsigned)g_ascii_strtoull(text, NULL, 10);
}

/* A replica whose record was written may be given orders. */
static void
mark_recorded(struct placer *k, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const struct store_record *record =
		    &g_array_index(records, struct store_record, i);
		struct replica *r;

		if (record->value == NULL ||
		    !g_str_has_prefix(record->key, GROUP_PREFIX))
			continue;
		TAILQ_FOREACH(r, &k->replicas, entry) {
			if (strcmp(r->name,
				record->key + strlen(GROUP_PREFIX)) == 0)
				r->recorded = true;
		}
	}
}

/* What an append on its way holds. */
struct placer_append {
	struct placer *placer;
	GArray *records;
	int64_t term;
};

static void
on_written(void *arg, const struct store_response *answer)
{
	struct placer_append *append = arg;
	struct placer *k = append->placer;

	k->store_busy = false;
	if (k->state == PLACER_HOLDING && k->term == append->term) {
		switch (answer->result) {
		case STORE_OK:
			k->end_offset = answer->end;
			k->verified_ms = answer->sent_ms;
			mark_recorded(k, append->records);
			placer_schedule_pass(k);
			break;
		case STORE_REFUSED:
			/* Nothing was done: keep them for the next try. */
			g_array_prepend_vals(k->pending, append->records->data,
			    append->records->len);
			g_array_set_clear_func(append->records, NULL);
			break;
		default:
			/* Someone wrote, or our own write may still land:
			 * only reading everything anew tells. */
			placer_step_down(k, store_result_name(answer->result));
			break;
		}
	}
	g_array_free(append->records, TRUE);
	g_free(append);
}

/**
 * placer_flush_records() - write the records that wait.
 * @k: the placer
 */
void
placer_flush_records(struct placer *k)
{
	struct placer_append *append;

	if (k->store_busy || k->pending->len == 0 || k->state != PLACER_HOLDING)
		return;
	append = g_new0(struct placer_append, 1);
	append->placer = k;
	append->term = k->term;
	append->records = k->pending;
	k->pending = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(k->pending, store_record_clear);
	k->store_busy = true;
	if (!k->store->ops->append(k->store, TOPIC_PLACEMENT, append->records,
		(int64_t)k->end_offset, on_written, append)) {
		const struct store_response none = { .result = STORE_REFUSED };

		on_written(append, &none);
	}
}

static void
on_taken(void *arg, const struct store_response *answer)
{
	struct placer *k = arg;

	k->store_busy = false;
	if (k->state != PLACER_TAKING)
		return;
	if (answer->result != STORE_OK) {
		event_log(LOG_NOTICE, "placer_not_taken", "term=%lld result=%s",
		    (long long)k->term, store_result_name(answer->result));
		placer_step_down(k, "not_taken");
		return;
	}
	k->end_offset = answer->end;
	k->verified_ms = answer->sent_ms;
	k->state = PLACER_HOLDING;
	k->epochs_issued = 0;
	k->mesh->self.placer = true;
	k->mesh->self.term = k->term;
	k->mesh->held_term = k->term;
	event_log(LOG_NOTICE, "placer_taken", "term=%lld end=%llu served=%d",
	    (long long)k->term, (unsigned long long)k->end_offset, k->served);
	mesh_send_now(k->mesh);
}

/* Writes the lease, if nothing was written since the records were read. */
static void
lease_take(struct placer *k)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };

	g_array_set_clear_func(records, store_record_clear);
	k->term++;
	record.key = g_strdup(LEASE_KEY);
	record.value = placer_encode_lease(k->name, k->term, &record.length);
	g_array_append_val(records, record);
	k->state = PLACER_TAKING;
	k->store_busy = true;
	if (!k->store->ops->append(k->store, TOPIC_PLACEMENT, records,
		(int64_t)k->end_offset, on_taken, k)) {
		k->store_busy = false;
		placer_step_down(k, "store_unreachable");
	}
}

/* Takes in one record while the lease is being taken. */
static void
lease_take_record(struct placer *k, const struct store_record *record)
{
	struct replica *r;
	int64_t term;

	if (record->value == NULL)
		return;
	if (strcmp(record->key, LEASE_KEY) == 0) {
		term = placer_decode_lease(record->value, record->length);
		k->term = MAX(k->term, term);
		return;
	}
	if (strcmp(record->key, SERVED_KEY) == 0)
		k->served = true;
	if (g_str_has_prefix(record->key, BOUND_PREFIX))
		lease_take_bound(k, record);
	if (!g_str_has_prefix(record->key, GROUP_PREFIX))
		return;
	r = placer_decode_replica(record->key + strlen(GROUP_PREFIX),
	    record->value, record->length);
	if (r == NULL)
		return;
	replica_inherit(r, clock_loop_ms(k->loop));
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
}

static void
on_read(void *arg, const struct store_response *answer)
{
	struct placer *k = arg;

	k->store_busy = false;
	if (k->state != PLACER_READING)
		return;
	if (answer->result != STORE_OK) {
		placer_step_down(k, store_result_name(answer->result));
		return;
	}
	if (k->read_after == NULL)
		k->end_offset = answer->end;
	for (guint i = 0; i < answer->records->len; i++)
		lease_take_record(k,
		    &g_array_index(answer->records, struct store_record, i));
	if (answer->more && answer->records->len > 0) {
		const struct store_record *last =
		    &g_array_index(answer->records, struct store_record,
			answer->records->len - 1);

		g_free(k->read_after);
		k->read_after = g_strdup(last->key);
		lease_read(k);
		return;
	}
	lease_take(k);
}

/* Reads the next page of the records. */
static void
lease_read(struct placer *k)
{
	k->store_busy = true;
	if (!k->store->ops->newest(k->store, TOPIC_PLACEMENT, k->read_after,
		on_read, k)) {
		k->store_busy = false;
		placer_step_down(k, "store_unreachable");
	}
}

/* Whether this daemon should take the lease now. */
static bool
lease_due(struct placer *k, uint64_t now_ms)
{
	const struct mesh *mesh = k->mesh;
	uint64_t wait;

	if (k->store_busy || mesh->self.leaving || !mesh->self.store_ok ||
	    k->registry->catalog == NULL || mesh->records_read_ms == 0 ||
	    now_ms - MIN(mesh->records_read_ms, now_ms) < KNOWN_WAIT_MS)
		return (false);
	if (mesh_placer_heard(mesh)) {
		k->no_placer_ms = 0;
		k->preparing = false;
		return (false);
	}
	if (k->no_placer_ms == 0)
		k->no_placer_ms = now_ms;
	wait = START_WAIT_MS + (uint64_t)mesh_rank(mesh) * RANK_STEP_MS;
	if (now_ms - k->no_placer_ms < wait)
		return (false);
	/* What others tell leaves out the hosts that serve nothing. */
	k->preparing = true;
	topic_follower_set_reader(&k->registry->endpoints, true);
	return (topic_follower_complete(&k->registry->endpoints));
}

/**
 * placer_lease_poll() - take the lease where nobody has it.
 * @k: the placer
 * @now_ms: loop time
 */
void
placer_lease_poll(struct placer *k, uint64_t now_ms)
{
	if (k->state != PLACER_IDLE || !lease_due(k, now_ms))
		return;
	event_log(LOG_INFO, "placer_taking", "alone_ms=%llu rank=%u",
	    (unsigned long long)(now_ms - k->no_placer_ms), mesh_rank(k->mesh));
	placer_step_down(k, "begin");
	g_clear_pointer(&k->read_after, g_free);
	g_hash_table_remove_all(k->usage);
	k->state = PLACER_READING;
	lease_read(k);
}

static void
on_checked(void *arg, const struct store_response *answer)
{
	struct placer *k = arg;

	k->store_busy = false;
	if (k->state != PLACER_HOLDING)
		return;
	if (answer->result == STORE_OK && answer->records->len == 0) {
		k->verified_ms = answer->sent_ms;
		return;
	}
	if (answer->result == STORE_OK || answer->result == STORE_TRIMMED)
		placer_step_down(k, "others_wrote");
}

/**
 * placer_lease_verified() - whether orders may go out now.
 * @k: the placer
 * @now_ms: loop time
 *
 * Asks the store where the last proof is too old.
 */
bool
placer_lease_verified(struct placer *k, uint64_t now_ms)
{
	if (k->state != PLACER_HOLDING)
		return (false);
	if (now_ms - k->verified_ms < REPLICA_LEASE_FRESH_MS)
		return (true);
	if (!k->store_busy)
		k->store_busy = k->store->ops->read(k->store, TOPIC_PLACEMENT,
		    k->end_offset, on_checked, k);
	return (false);
}
