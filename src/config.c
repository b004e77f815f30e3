/* Configuration of this daemon: the state replayed from the log. */
#include <inttypes.h>
#include <string.h>

#include "cleanup.h"
#include "clock.h"
#include "config-snapshot.h"
#include "config-verdict.h"
#include "config.h"
#include "error.h"
#include "event-log.h"
#include "random.h"
#include "resource.h"

/* Time for which a writer waits to read its own record back. */
#define READ_BACK_MS 4000
/* Delay after a failed read of the log: the minimum and a random addition. */
#define RETRY_MIN_MS 100
#define RETRY_JITTER_MS 400

/**
 * config_init() - initialize a configuration with the empty state.
 * @config: the configuration
 * @log: client of the platform's log; must outlive the configuration
 * @ops: callbacks; the structure or any of them may be NULL
 * @arg: argument of the callbacks
 */
void
config_init(struct config *config, struct log_client *log,
    const struct config_ops *ops, void *arg)
{
	memset(config, 0, sizeof *config);
	g_mutex_init(&config->lock);
	g_cond_init(&config->advanced);
	g_queue_init(&config->verdict_order);
	config->state = state_create();
	config->verdicts = g_hash_table_new_full(g_str_hash, g_str_equal,
	    g_free, config_verdict_free);
	config->log = log;
	config->ops = ops;
	config->ops_arg = arg;
}

/**
 * config_destroy() - free the contents of a configuration.
 * @config: the configuration
 */
void
config_destroy(struct config *config)
{
	state_free(config->state);
	g_hash_table_unref(config->verdicts);
	g_queue_clear_full(&config->verdict_order, g_free);
	g_mutex_clear(&config->lock);
	g_cond_clear(&config->advanced);
}

/* Replays one record; the configuration is locked. */
static void
config_apply(struct config *config, const struct log_record *record)
{
	g_autoptr(GError) error = NULL;
	enum verdict verdict;

	verdict =
	    state_apply(config->state, record->offset, record->json, &error);
	config_verdict_note(config, record->json, record->offset, verdict,
	    error);
	config_snapshot_note(config, record->json);
	if (verdict != VERDICT_APPLIED) {
		g_autofree char *why =
		    event_log_quote(error != NULL ? error->message : "");

		event_log(LOG_NOTICE, "record_void",
		    "offset=%" PRIu64 " verdict=%s why=%s", record->offset,
		    verdict_name(verdict), why);
	}
}

/* Notes that no further records can be had now; returns true the first time.
 * The configuration is locked. */
static bool
config_note_complete(struct config *config)
{
	bool first = !config->complete;

	config->complete = true;
	return (first);
}

/*
 * Replays the records of a read, except those that the state contains already
 * since it was taken from a peer. Returns true when the state has advanced or
 * is complete for the first time.
 */
static bool
config_apply_batch(struct config *config, const struct log_batch *batch)
{
	bool advanced = false;

	g_mutex_lock(&config->lock);
	config->log_ok_ms = clock_now_ms();
	for (guint i = 0; i < batch->records->len; i++) {
		const struct log_record *record =
		    &g_array_index(batch->records, struct log_record, i);

		if (record->offset != config->state->next)
			continue;
		config_apply(config, record);
		advanced = true;
	}
	if (advanced)
		g_cond_broadcast(&config->advanced);
	if (config->state->next >= batch->next)
		advanced = config_note_complete(config) || advanced;
	g_mutex_unlock(&config->lock);
	return (advanced);
}

/**
 * config_adopt_state() - replace the state by one from a peer or a snapshot.
 * @config: the configuration
 * @dump: dump of a state, see state_dump()
 *
 * Only the state of a longer prefix is adopted, so versions never decrease,
 * whatever the source.
 *
 * Return: true when it was adopted.
 */
bool
config_adopt_state(struct config *config, json_t *dump)
{
	g_autoptr(GError) error = NULL;
	CLEANUP(state_cleanup) struct state *loaded = NULL;
	struct state *old;
	bool longer;

	loaded = state_load(dump, &error);
	if (loaded == NULL) {
		event_log(LOG_WARNING, "state_offer_malformed", " ");
		return (false);
	}
	g_mutex_lock(&config->lock);
	longer = loaded->next > config->state->next;
	if (longer) {
		old = config->state;
		config->state = g_steal_pointer(&loaded);
		loaded = old;
		g_cond_broadcast(&config->advanced);
	}
	g_mutex_unlock(&config->lock);
	if (longer)
		event_log(LOG_INFO, "state_taken", "next=%" PRIu64,
		    config_next(config));
	return (longer);
}

/**
 * config_next() - first offset that this daemon has not applied.
 * @config: the configuration
 */
uint64_t
config_next(struct config *config)
{
	uint64_t next;

	g_mutex_lock(&config->lock);
	next = config->state->next;
	g_mutex_unlock(&config->lock);
	return (next);
}

/**
 * config_log_ok() - whether a read of the log succeeded lately.
 * @config: the configuration
 * @within_ms: maximum age of the last successful read, in ms
 */
bool
config_log_ok(struct config *config, uint64_t within_ms)
{
	bool ok;

	g_mutex_lock(&config->lock);
	ok = config->log_ok_ms != 0 &&
	    clock_now_ms() < config->log_ok_ms + within_ms;
	g_mutex_unlock(&config->lock);
	return (ok);
}

/* Fetches and adopts a peer's state with a longer prefix, if there is one. */
static bool
config_fetch(struct config *config)
{
	json_auto_t *dump = NULL;

	if (config->ops == NULL || config->ops->fetch == NULL)
		return (false);
	dump = config->ops->fetch(config->ops_arg, config_next(config));
	return (dump != NULL && config_adopt_state(config, dump));
}

/* Waits a random time, so that daemons do not all retry at once. */
static void
config_wait_retry(void)
{
	g_usleep((RETRY_MIN_MS + random_below(RETRY_JITTER_MS)) * 1000);
}

/*
 * Handles a failed read of the log: takes the state of a peer that has a longer
 * prefix. Returns true when the state has advanced or is complete for the first
 * time.
 */
static bool
config_follow_peers(struct config *config)
{
	bool advanced = config_fetch(config), completed = false;

	g_mutex_lock(&config->lock);
	if (config->state->next > 1)
		completed = config_note_complete(config);
	g_mutex_unlock(&config->lock);
	if (!advanced)
		config_wait_retry();
	return (advanced || completed);
}

/**
 * config_follow() - read once from the log and replay the records.
 * @config: the configuration
 * @wait_ms: time for which the log may wait for a record
 *
 * When the log is unavailable or has trimmed the next record, the state is
 * fetched from a peer or, if trimmed, restored from a snapshot. A single
 * thread calls this in a loop.
 */
void
config_follow(struct config *config, unsigned wait_ms)
{
	CLEANUP(log_batch_clear) struct log_batch batch = { 0 };
	g_autoptr(GError) error = NULL;
	bool advanced;

	if (config->log->ops->read(config->log, CONFIG_STREAM,
		config_next(config), wait_ms, &batch, &error)) {
		advanced = config_apply_batch(config, &batch);
	} else if (error->code == ERROR_LOG_TRIMMED) {
		advanced = config_fetch(config) ||
		    config_snapshot_restore(config, batch.first);
	} else {
		log_debug("log_read_failed", " ");
		advanced = config_follow_peers(config);
	}
	if (advanced && config->ops != NULL && config->ops->changed != NULL)
		config->ops->changed(config->ops_arg);
}

/* Waits until replay has reached a change, at most READ_BACK_MS. */
static bool
config_wait_verdict(struct config *config, const char *id,
    enum verdict *verdict, uint64_t *offset, GError **error)
{
	gint64 until = g_get_monotonic_time() + READ_BACK_MS * 1000;
	bool found;

	g_mutex_lock(&config->lock);
	for (;;) {
		found = config_verdict_find(config, id, verdict, offset, error);
		if (found ||
		    !g_cond_wait_until(&config->advanced, &config->lock, until))
			break;
	}
	g_mutex_unlock(&config->lock);
	return (found);
}

/**
 * config_append() - append a record and wait for its verdict.
 * @config: the configuration; another thread follows the log
 * @record: the record; a change id is added to it
 * @offset: set to the record's offset
 * @error: ERROR_LOG_UNAVAILABLE when the verdict is not known yet and the
 *	record may still take effect; else why it was not applied
 *
 * When the response to the append is lost, the record is still recognised by
 * its change id once it is read back.
 */
enum verdict
config_append(struct config *config, json_t *record, uint64_t *offset,
    GError **error)
{
	g_autofree char *id = random_id();
	enum verdict verdict;

	json_object_set_new(record, "change", json_string(id));
	if (!config->log->ops->append(config->log, CONFIG_STREAM, record,
		offset, NULL))
		event_log(LOG_WARNING, "append_unconfirmed", "change=%s", id);
	if (config_wait_verdict(config, id, &verdict, offset, error))
		return (verdict);
	error_set(error, ERROR_LOG_UNAVAILABLE,
	    "the log did not give the change back in time; it may still take "
	    "effect as change %s",
	    id);
	*offset = 0;
	return (VERDICT_INVALID);
}

/* Sets the base when the operator gave none, and validates the change. */
static bool
config_precheck(struct config *config, json_t *record, int64_t base,
    GError **error)
{
	const char *type, *name;
	struct resource *res;
	bool ok;

	type = json_string_value(json_object_get(record, "type"));
	name = json_string_value(json_object_get(record, "name"));
	g_mutex_lock(&config->lock);
	res = state_resource(config->state, type, name);
	/* A creation after a deletion is based on the deletion's version. */
	if (base < 0 || (base == 0 && res != NULL && !resource_exists(res)))
		base = res != NULL ? (int64_t)res->version : 0;
	json_object_set_new(record, "base", json_integer(base));
	ok =
	    state_check_change(config->state, record, error) == VERDICT_APPLIED;
	g_mutex_unlock(&config->lock);
	return (ok);
}

/**
 * config_change() - make an operator's change to a resource.
 * @config: the configuration
 * @op: "put" or "delete"
 * @type: type of the resource
 * @name: its name
 * @base: version that the change is based on; 0 to create the resource, -1 for
 *	the version that is current on this daemon
 * @spec: declaration of the resource; NULL to delete it
 * @version: set to the new version
 * @error: ERROR_BAD_FIELD, ERROR_CONFLICT, ERROR_NOT_FOUND (nothing was
 *	written), or ERROR_LOG_UNAVAILABLE (it may still take effect)
 */
bool
config_change(struct config *config, const char *op, const char *type,
    const char *name, int64_t base, json_t *spec, uint64_t *version,
    GError **error)
{
	json_auto_t *record = NULL;

	record = json_pack("{s:s, s:s, s:s, s:s, s:O?}", "kind", "change", "op",
	    op, "type", type, "name", name, "spec", spec);
	if (record == NULL) {
		error_set(error, ERROR_BAD_FIELD, "name: not UTF-8");
		return (false);
	}
	if (!config_precheck(config, record, base, error))
		return (false);
	return (
	    config_append(config, record, version, error) == VERDICT_APPLIED);
}
