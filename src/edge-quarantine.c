/*
 * Records of what is quarantined in the store, so that a quarantine survives a
 * restart of all daemons. They are kept in the daemons' topic, which each
 * daemon reads at its start.
 */
#include <jansson.h>
#include <string.h>

#include "clock.h"
#include "edge.h"
#include "event-log.h"
#include "fwd-fingerprint.h"

#define KEY_PREFIX "quarantine/"
#define KEY_FORMAT KEY_PREFIX "%016llx"
/* Pause before a suspect's record is written again. */
#define RECORD_RETRY_MS 1000

/* An append in flight. */
struct quarantine_append {
	struct edge *edge;
	uint64_t fingerprint;
	unsigned n_crashes;
};

/* Time of day in ms, the only clock that daemons on different hosts share. */
static int64_t
wall_clock_ms(void)
{
	return (g_get_real_time() / G_TIME_SPAN_MILLISECOND);
}

/* Encodes the crashes under a suspect. */
static json_t *
crashes_pack(const struct poison_suspect *suspect, uint64_t now_ms)
{
	json_t *crashes = json_array();

	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		const struct poison_crash *crash = &suspect->crashes[i];
		int64_t age = (int64_t)(now_ms - MIN(crash->at_ms, now_ms));

		json_array_append_new(crashes,
		    json_pack("{s:I,s:I,s:I,s:b}", "key",
			(json_int_t)crash->id_hash, "started",
			(json_int_t)crash->started, "at",
			(json_int_t)(wall_clock_ms() - age), "silent",
			crash->silent));
	}
	return (json_pack("{s:o,s:b}", "ends", crashes, "part", suspect->part));
}

static void
on_recorded(void *arg, const struct store_response *response)
{
	g_autofree struct quarantine_append *append = arg;
	struct edge *e = append->edge;
	struct poison_suspect *suspect =
	    poison_find(&e->registry.poison, append->fingerprint);
	bool ok = response->result == STORE_OK;

	event_log(ok ? LOG_NOTICE : LOG_WARNING,
	    ok ? "quarantine_recorded" : "quarantine_not_recorded",
	    "work=%08x ends=%u result=%s",
	    FINGERPRINT_SHORT(append->fingerprint), append->n_crashes,
	    store_result_name(response->result));
	if (suspect == NULL)
		return;
	suspect->record_again_ms = clock_loop_ms(e->loop) + RECORD_RETRY_MS;
	suspect->recording = false;
	if (ok)
		suspect->recorded_crashes = append->n_crashes;
}

/* Writes the record of a fingerprint; a NULL value removes it. */
static void
quarantine_append_record(struct edge *e, uint64_t fingerprint, json_t *value,
    store_fn *done, void *arg)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };

	g_array_set_clear_func(records, store_record_clear);
	record.key =
	    g_strdup_printf(KEY_FORMAT, (unsigned long long)fingerprint);
	if (value != NULL) {
		char *text = json_dumps(value, JSON_COMPACT);

		record.length = strlen(text);
		record.value = g_memdup2(text, record.length);
		free(text);
	}
	g_array_append_val(records, record);
	if (!e->store->ops->append(e->store, TOPIC_DAEMONS, records, -1, done,
		arg)) {
		const struct store_response none = { .result = STORE_REFUSED };

		done(arg, &none);
	}
}

/* Returns whether this daemon has to write the record of a suspect: the one
 * that observed the newest crash does. */
static bool
quarantine_due(const struct poison_suspect *suspect, uint64_t now_ms)
{
	const struct poison_crash *newest = NULL;

	for (unsigned i = 0; i < suspect->n_crashes; i++) {
		if (newest == NULL || suspect->crashes[i].at_ms > newest->at_ms)
			newest = &suspect->crashes[i];
	}
	return (suspect->quarantined && newest != NULL &&
	    newest->origin == POISON_LOCAL && !suspect->recording &&
	    suspect->recorded_crashes != suspect->n_crashes &&
	    now_ms >= suspect->record_again_ms);
}

static void
on_removed(void *arg, const struct store_response *response)
{
	event_log(LOG_INFO, "quarantine_removed", "result=%s",
	    store_result_name(response->result));
}

/* Starts to write the record of a quarantined request. */
static void
quarantine_record(struct edge *e, struct poison_suspect *suspect,
    uint64_t now_ms)
{
	struct quarantine_append *append = g_new(struct quarantine_append, 1);
	json_auto_t *value = crashes_pack(suspect, now_ms);

	append->edge = e;
	append->fingerprint = suspect->fingerprint;
	append->n_crashes = suspect->n_crashes;
	suspect->recording = true;
	quarantine_append_record(e, suspect->fingerprint, value, on_recorded,
	    append);
}

/**
 * edge_quarantine_update() - bring the records in the store up to date.
 * @e: the daemon
 *
 * Writes the records that are due and removes those of cleared requests.
 */
void
edge_quarantine_update(struct edge *e)
{
	uint64_t now = clock_loop_ms(e->loop);
	struct poison_suspect *suspect;

	TAILQ_FOREACH(suspect, &e->registry.poison.suspects, entry) {
		if (quarantine_due(suspect, now))
			quarantine_record(e, suspect, now);
		if (suspect->n_crashes > 0 || suspect->recorded_crashes == 0)
			continue;
		suspect->recorded_crashes = 0;
		quarantine_append_record(e, suspect->fingerprint, NULL,
		    on_removed, NULL);
	}
}

/* Adds a recorded crash; returns false if it is too old or malformed. */
static bool
crash_apply(struct edge *e, const struct poison_key *key, const json_t *value)
{
	uint64_t now = clock_loop_ms(e->loop);
	json_int_t endpoint, started, at;
	struct poison_crash crash = { .origin = POISON_REMOTE };
	int64_t age;
	int silent;

	if (json_unpack((json_t *)value, "{s:I,s:I,s:I,s:b}", "key", &endpoint,
		"started", &started, "at", &at, "silent", &silent) != 0)
		return (false);
	age = MAX(wall_clock_ms() - at, 0);
	if (age >= POISON_CRASH_TTL_MS)
		return (false);
	crash.id_hash = (uint32_t)endpoint;
	crash.started = (uint32_t)started;
	crash.at_ms = now - MIN((uint64_t)age, now - 1);
	crash.silent = silent != 0;
	poison_add_crash(&e->registry.poison, key, &crash, now);
	return (true);
}

/**
 * edge_quarantine_apply() - apply the record of a quarantined request.
 * @e: the daemon
 * @record: a record of the daemons' topic
 *
 * A record none of whose crashes can be used is removed from the store.
 *
 * Return: whether the record is one of a quarantined request.
 */
bool
edge_quarantine_apply(struct edge *e, const struct store_record *record)
{
	json_auto_t *root = NULL;
	const json_t *crashes;
	struct poison_key key;
	unsigned applied = 0;

	if (!g_str_has_prefix(record->key, KEY_PREFIX))
		return (false);
	if (record->value == NULL)
		return (true);
	key.fingerprint =
	    g_ascii_strtoull(record->key + strlen(KEY_PREFIX), NULL, 16);
	root = json_loadb((const char *)record->value, record->length, 0, NULL);
	key.part = json_is_true(json_object_get(root, "part"));
	crashes = json_object_get(root, "ends");
	for (size_t i = 0; i < json_array_size(crashes); i++)
		applied += crash_apply(e, &key, json_array_get(crashes, i));
	event_log(LOG_INFO, "quarantine_read", "work=%08x part=%d ends=%u",
	    FINGERPRINT_SHORT(key.fingerprint), key.part, applied);
	if (applied == 0)
		quarantine_append_record(e, key.fingerprint, NULL, on_removed,
		    NULL);
	return (true);
}
