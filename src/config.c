/* The configuration of this daemon: the log followed into a state. */
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

/* How long a writer waits to read its own record back. */
#define READ_BACK_MS 4000
/* Pause after a failed read of the log: at least, and up to as much more. */
#define RETRY_MIN_MS 100
#define RETRY_SPREAD_MS 400

/**
 * config_init() - begin with the empty state.
 * @config: the configuration
 * @log: the platform's log; kept
 * @ops: surroundings, or NULL members
 * @arg: for @ops
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
 * config_destroy() - free what config_init() made.
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

/* Replays one record under the lock. */
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

/* Replays what a read gave; records that a peer's state covers are skipped. */
static bool
config_apply_batch(struct config *config, const struct log_batch *batch)
{
	bool moved = false;

	g_mutex_lock(&config->lock);
	config->log_ok_ms = clock_now_ms();
	for (guint i = 0; i < batch->records->len; i++) {
		const struct log_record *record =
		    &g_array_index(batch->records, struct log_record, i);

		if (record->offset != config->state->next)
			continue;
		config_apply(config, record);
		moved = true;
	}
	if (moved)
		g_cond_broadcast(&config->advanced);
	g_mutex_unlock(&config->lock);
	return (moved);
}

/**
 * config_adopt_state() - take a state that a peer or a snapshot gave.
 * @config: the configuration
 * @dump: what state_dump() gave
 *
 * Return: true when it was taken. Only a longer prefix is ever taken, so a
 * version never goes back, whoever offers it.
 */
bool
config_adopt_state(struct config *config, json_t *dump)
{
	g_autoptr(GError) error = NULL;
	CLEANUP(state_cleanup) struct state *offered = NULL;
	struct state *old;
	bool longer;

	offered = state_load(dump, &error);
	if (offered == NULL) {
		event_log(LOG_WARNING, "state_offer_malformed", " ");
		return (false);
	}
	g_mutex_lock(&config->lock);
	longer = offered->next > config->state->next;
	if (longer) {
		old = config->state;
		config->state = g_steal_pointer(&offered);
		offered = old;
		g_cond_broadcast(&config->advanced);
	}
	g_mutex_unlock(&config->lock);
	if (longer)
		event_log(LOG_INFO, "state_taken", "next=%" PRIu64,
		    config_next(config));
	return (longer);
}

/**
 * config_next() - the first offset that this daemon has not applied.
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
 * config_log_ok() - whether the log answered within some time.
 * @config: the configuration
 * @within_ms: milliseconds
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

/* Without the log: take a longer prefix from a peer, if one has it. */
static bool
config_fetch(struct config *config)
{
	json_auto_t *dump = NULL;

	if (config->ops == NULL || config->ops->fetch == NULL)
		return (false);
	dump = config->ops->fetch(config->ops_arg, config_next(config));
	return (dump != NULL && config_adopt_state(config, dump));
}

/* Waits a random while, so that daemons do not come back all at once. */
static void
config_back_off(void)
{
	g_usleep((RETRY_MIN_MS + random_below(RETRY_SPREAD_MS)) * 1000);
}

/**
 * config_follow() - read once from the log and replay what came.
 * @config: the configuration
 * @wait_ms: how long the log may wait for a record
 *
 * One thread calls this in a loop.
 */
void
config_follow(struct config *config, unsigned wait_ms)
{
	CLEANUP(log_batch_clear) struct log_batch batch = { 0 };
	g_autoptr(GError) error = NULL;
	bool moved;

	if (config->log->ops->read(config->log, CONFIG_STREAM,
		config_next(config), wait_ms, &batch, &error)) {
		moved = config_apply_batch(config, &batch);
	} else if (error->code == ERROR_LOG_TRIMMED) {
		moved = config_fetch(config) ||
		    config_snapshot_restore(config, batch.first);
	} else {
		log_debug("log_read_failed", " ");
		moved = config_fetch(config);
		if (!moved)
			config_back_off();
	}
	if (moved && config->ops != NULL && config->ops->changed != NULL)
		config->ops->changed(config->ops_arg);
}

/* Waits until replay has reached the change, or the time is up. */
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
 * @record: the record; gets a change id
 * @offset: set to its offset
 * @error: ERROR_LOG_UNAVAILABLE when the verdict is not known yet, and the
 *	record may still take effect; else why it was not applied
 *
 * A lost answer to the append is made up for by reading on.
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

/* Fills in the base when the operator gave none, and checks the change. */
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
	/* Creating anew after a deletion is based on the deletion. */
	if (base < 0 || (base == 0 && res != NULL && !resource_exists(res)))
		base = res != NULL ? (int64_t)res->version : 0;
	json_object_set_new(record, "base", json_integer(base));
	ok =
	    state_check_change(config->state, record, error) == VERDICT_APPLIED;
	g_mutex_unlock(&config->lock);
	return (ok);
}

/**
 * config_change() - carry out an operator's change.
 * @config: the configuration
 * @op: "put" or "delete"
 * @type: type of the resource
 * @name: its name
 * @base: version that the change is based on, 0 to create, -1 for whatever
 *	is current here
 * @spec: the declaration; NULL to delete
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
