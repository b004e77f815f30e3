/* Taking, checking and losing the placer's lease. */
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "keeper.h"

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

static void lease_read(struct keeper *);

/**
 * keeper_lose() - stop placing.
 * @k: the keeper
 * @reason: for the log
 */
void
keeper_lose(struct keeper *k, const char *reason)
{
	struct replica *r;

	if (k->state == KEEPER_HOLDING)
		event_log(LOG_NOTICE, "placer_lost", "term=%lld reason=%s",
		    (long long)k->term, reason);
	k->state = KEEPER_IDLE;
	k->served = false;
	k->alone_ms = 0;
	k->preparing = false;
	k->mesh->self.placer = false;
	while ((r = TAILQ_FIRST(&k->replicas)) != NULL) {
		TAILQ_REMOVE(&k->replicas, r, entry);
		replica_free(r);
	}
	g_array_set_size(k->records, 0);
}

/* Adds a record to those that wait to be written; takes the value. */
static void
record_add(struct keeper *k, const char *prefix, const char *key, guint8 *value,
    size_t length)
{
	struct store_record record = { 0 };

	record.key = g_strconcat(prefix, key, NULL);
	record.value = value;
	record.length = length;
	g_array_append_val(k->records, record);
}

/**
 * keeper_record_replica() - have a replica's record written or removed.
 * @k: the keeper
 * @r: the replica
 * @remove: whether to remove it
 */
void
keeper_record_replica(struct keeper *k, const struct replica *r, bool remove)
{
	guint8 *value = NULL;
	size_t length = 0;

	if (!remove)
		value = keeper_encode_replica(r, &length);
	record_add(k, GROUP_PREFIX, r->name, value, length);
}

/**
 * keeper_record_served() - note for ever that requests have come.
 * @k: the keeper
 *
 * Loads are quick and not counted before the first request only, and daemons
 * that all start anew have seen none.
 */
void
keeper_record_served(struct keeper *k)
{
	if (k->served)
		return;
	k->served = true;
	record_add(k, "", SERVED_KEY, g_memdup2("1", 1), 1);
}

/**
 * keeper_record_bound() - note how many replicas of its largest model a service
 * may have, for the daemon that places next.
 * @k: the keeper
 * @service: the service
 * @most: so many; 0 for no bound
 */
void
keeper_record_bound(struct keeper *k, const char *service, unsigned most)
{
	char *text = g_strdup_printf("%u", most);

	record_add(k, BOUND_PREFIX, service, (guint8 *)text, strlen(text));
}

/* Takes in the bound of a service. */
static void
lease_take_bound(struct keeper *k, const struct store_record *record)
{
	g_autofree char *text =
	    g_strndup((const char *)record->value, record->length);
	const char *service = record->key + strlen(BOUND_PREFIX);

	keeper_usage(k, service)->demand.most =
	    (unsigned)g_ascii_strtoull(text, NULL, 10);
}

/* A replica whose record was written may be given orders. */
static void
mark_recorded(struct keeper *k, const GArray *records)
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
struct keeper_append {
	struct keeper *keeper;
	GArray *records;
	int64_t term;
};

static void
on_written(void *arg, const struct store_answer *answer)
{
	struct keeper_append *append = arg;
	struct keeper *k = append->keeper;

	k->writing = false;
	if (k->state == KEEPER_HOLDING && k->term == append->term) {
		switch (answer->result) {
		case STORE_OK:
			k->end = answer->end;
			k->verified_ms = answer->asked_ms;
			mark_recorded(k, append->records);
			keeper_look_soon(k);
			break;
		case STORE_REFUSED:
			/* Nothing was done: keep them for the next try. */
			g_array_prepend_vals(k->records, append->records->data,
			    append->records->len);
			g_array_set_clear_func(append->records, NULL);
			break;
		default:
			/* Someone wrote, or our own write may still land:
			 * only reading everything anew tells. */
			keeper_lose(k, store_result_name(answer->result));
			break;
		}
	}
	g_array_free(append->records, TRUE);
	g_free(append);
}

/**
 * keeper_write() - write the records that wait.
 * @k: the keeper
 */
void
keeper_write(struct keeper *k)
{
	struct keeper_append *append;

	if (k->writing || k->records->len == 0 || k->state != KEEPER_HOLDING)
		return;
	append = g_new0(struct keeper_append, 1);
	append->keeper = k;
	append->term = k->term;
	append->records = k->records;
	k->records = g_array_new(FALSE, TRUE, sizeof(struct store_record));
	g_array_set_clear_func(k->records, store_record_clear);
	k->writing = true;
	if (!k->store->ops->append(k->store, TOPIC_PLACEMENT, append->records,
		(int64_t)k->end, on_written, append)) {
		const struct store_answer none = { .result = STORE_REFUSED };

		on_written(append, &none);
	}
}

static void
on_taken(void *arg, const struct store_answer *answer)
{
	struct keeper *k = arg;

	k->writing = false;
	if (k->state != KEEPER_TAKING)
		return;
	if (answer->result != STORE_OK) {
		event_log(LOG_NOTICE, "placer_not_taken", "term=%lld result=%s",
		    (long long)k->term, store_result_name(answer->result));
		keeper_lose(k, "not_taken");
		return;
	}
	k->end = answer->end;
	k->verified_ms = answer->asked_ms;
	k->state = KEEPER_HOLDING;
	k->groups = 0;
	k->mesh->self.placer = true;
	k->mesh->self.term = k->term;
	k->mesh->held_term = k->term;
	event_log(LOG_NOTICE, "placer_taken", "term=%lld end=%llu served=%d",
	    (long long)k->term, (unsigned long long)k->end, k->served);
	mesh_tell_now(k->mesh);
}

/* Writes the lease, if nothing was written since the records were read. */
static void
lease_take(struct keeper *k)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };

	g_array_set_clear_func(records, store_record_clear);
	k->term++;
	record.key = g_strdup(LEASE_KEY);
	record.value = keeper_encode_lease(k->name, k->term, &record.length);
	g_array_append_val(records, record);
	k->state = KEEPER_TAKING;
	k->writing = true;
	if (!k->store->ops->append(k->store, TOPIC_PLACEMENT, records,
		(int64_t)k->end, on_taken, k)) {
		k->writing = false;
		keeper_lose(k, "store_unreachable");
	}
}

/* Takes in one record while the lease is being taken. */
static void
lease_take_record(struct keeper *k, const struct store_record *record)
{
	struct replica *r;
	int64_t term;

	if (record->value == NULL)
		return;
	if (strcmp(record->key, LEASE_KEY) == 0) {
		term = keeper_decode_lease(record->value, record->length);
		k->term = MAX(k->term, term);
		return;
	}
	if (strcmp(record->key, SERVED_KEY) == 0)
		k->served = true;
	if (g_str_has_prefix(record->key, BOUND_PREFIX))
		lease_take_bound(k, record);
	if (!g_str_has_prefix(record->key, GROUP_PREFIX))
		return;
	r = keeper_decode_replica(record->key + strlen(GROUP_PREFIX),
	    record->value, record->length);
	if (r == NULL)
		return;
	replica_inherit(r, clock_loop_ms(k->loop));
	TAILQ_INSERT_TAIL(&k->replicas, r, entry);
}

static void
on_read(void *arg, const struct store_answer *answer)
{
	struct keeper *k = arg;

	k->writing = false;
	if (k->state != KEEPER_READING)
		return;
	if (answer->result != STORE_OK) {
		keeper_lose(k, store_result_name(answer->result));
		return;
	}
	if (k->after == NULL)
		k->end = answer->end;
	for (guint i = 0; i < answer->records->len; i++)
		lease_take_record(k,
		    &g_array_index(answer->records, struct store_record, i));
	if (answer->more && answer->records->len > 0) {
		const struct store_record *last =
		    &g_array_index(answer->records, struct store_record,
			answer->records->len - 1);

		g_free(k->after);
		k->after = g_strdup(last->key);
		lease_read(k);
		return;
	}
	lease_take(k);
}

/* Reads the next page of the records. */
static void
lease_read(struct keeper *k)
{
	k->writing = true;
	if (!k->store->ops->newest(k->store, TOPIC_PLACEMENT, k->after, on_read,
		k)) {
		k->writing = false;
		keeper_lose(k, "store_unreachable");
	}
}

/* Whether this daemon should take the lease now. */
static bool
lease_due(struct keeper *k, uint64_t now_ms)
{
	const struct mesh *mesh = k->mesh;
	uint64_t wait;

	if (k->writing || mesh->self.leaving || !mesh->self.store_ok ||
	    k->registry->catalog == NULL || mesh->known_ms == 0 ||
	    now_ms - MIN(mesh->known_ms, now_ms) < KNOWN_WAIT_MS)
		return (false);
	if (mesh_placer_heard(mesh)) {
		k->alone_ms = 0;
		k->preparing = false;
		return (false);
	}
	if (k->alone_ms == 0)
		k->alone_ms = now_ms;
	wait = START_WAIT_MS + (uint64_t)mesh_rank(mesh) * RANK_STEP_MS;
	if (now_ms - k->alone_ms < wait)
		return (false);
	/* What others tell leaves out the hosts that serve nothing. */
	k->preparing = true;
	topic_follower_set_reader(&k->registry->endpoints, true);
	return (topic_follower_complete(&k->registry->endpoints));
}

/**
 * keeper_lease_look() - take the lease where nobody has it.
 * @k: the keeper
 * @now_ms: loop time
 */
void
keeper_lease_look(struct keeper *k, uint64_t now_ms)
{
	if (k->state != KEEPER_IDLE || !lease_due(k, now_ms))
		return;
	event_log(LOG_INFO, "placer_taking", "alone_ms=%llu rank=%u",
	    (unsigned long long)(now_ms - k->alone_ms), mesh_rank(k->mesh));
	keeper_lose(k, "begin");
	g_clear_pointer(&k->after, g_free);
	g_hash_table_remove_all(k->usage);
	k->state = KEEPER_READING;
	lease_read(k);
}

static void
on_checked(void *arg, const struct store_answer *answer)
{
	struct keeper *k = arg;

	k->writing = false;
	if (k->state != KEEPER_HOLDING)
		return;
	if (answer->result == STORE_OK && answer->records->len == 0) {
		k->verified_ms = answer->asked_ms;
		return;
	}
	if (answer->result == STORE_OK || answer->result == STORE_TRIMMED)
		keeper_lose(k, "others_wrote");
}

/**
 * keeper_verified() - whether orders may go out now.
 * @k: the keeper
 * @now_ms: loop time
 *
 * Asks the store where the last proof is too old.
 */
bool
keeper_verified(struct keeper *k, uint64_t now_ms)
{
	if (k->state != KEEPER_HOLDING)
		return (false);
	if (now_ms - k->verified_ms < REPLICA_OUTDONE_MS)
		return (true);
	if (!k->writing)
		k->writing = k->store->ops->read(k->store, TOPIC_PLACEMENT,
		    k->end, on_checked, k);
	return (false);
}
