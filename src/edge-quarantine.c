/*
 * Records of quarantined work in the store, for daemons that all start anew.
 * They stand among the daemons' records, which each daemon reads at its start.
 */
#include <jansson.h>
#include <string.h>

#include "clock.h"
#include "edge.h"
#include "event-log.h"
#include "fwd-fingerprint.h"

#define KEY_PREFIX "quarantine/"
#define KEY_FORMAT KEY_PREFIX "%016llx"
/* After a failed append. */
#define AGAIN_MS 1000

/* An append on its way. */
struct quarantine_append {
	struct edge *edge;
	uint64_t work;
	unsigned n_ends;
};

/* Time of day in ms, the only clock that daemons of different hosts share. */
static int64_t
day_ms(void)
{
	return (g_get_real_time() / G_TIME_SPAN_MILLISECOND);
}

static json_t *
ends_pack(const struct poison_request *w, uint64_t now_ms)
{
	json_t *ends = json_array();

	for (unsigned i = 0; i < w->n_crashes; i++) {
		const struct poison_crash *end = &w->crashes[i];
		int64_t age = (int64_t)(now_ms - MIN(end->at_ms, now_ms));

		json_array_append_new(ends,
		    json_pack("{s:I,s:I,s:I,s:b}", "key",
			(json_int_t)end->id_hash, "started",
			(json_int_t)end->started, "at",
			(json_int_t)(day_ms() - age), "silent", end->silent));
	}
	return (json_pack("{s:o}", "ends", ends));
}

static void
on_recorded(void *arg, const struct store_response *answer)
{
	g_autofree struct quarantine_append *append = arg;
	struct edge *e = append->edge;
	struct poison_request *w =
	    poison_find(&e->registry.poison, append->work);
	bool ok = answer->result == STORE_OK;

	event_log(ok ? LOG_NOTICE : LOG_WARNING,
	    ok ? "quarantine_recorded" : "quarantine_not_recorded",
	    "work=%08x ends=%u result=%s", FINGERPRINT_SHORT(append->work),
	    append->n_ends, store_result_name(answer->result));
	if (w == NULL)
		return;
	w->record_again_ms = clock_loop_ms(e->loop) + AGAIN_MS;
	w->recording = false;
	if (ok)
		w->recorded_crashes = append->n_ends;
}

/* Writes the record of some work, or removes it. */
static void
quarantine_write(struct edge *e, uint64_t work, json_t *value, store_fn *done,
    void *arg)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));
	struct store_record record = { 0 };

	g_array_set_clear_func(records, store_record_clear);
	record.key = g_strdup_printf(KEY_FORMAT, (unsigned long long)work);
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

/* The daemon that saw the newest end writes. */
static bool
quarantine_due(const struct poison_request *w, uint64_t now_ms)
{
	const struct poison_crash *newest = NULL;

	for (unsigned i = 0; i < w->n_crashes; i++) {
		if (newest == NULL || w->crashes[i].at_ms > newest->at_ms)
			newest = &w->crashes[i];
	}
	return (w->quarantined && newest != NULL &&
	    newest->origin == POISON_LOCAL && !w->recording &&
	    w->recorded_crashes != w->n_crashes &&
	    now_ms >= w->record_again_ms);
}

static void
on_removed(void *arg, const struct store_response *answer)
{
	event_log(LOG_INFO, "quarantine_removed", "result=%s",
	    store_result_name(answer->result));
}

static void
quarantine_record(struct edge *e, struct poison_request *w, uint64_t now_ms)
{
	struct quarantine_append *append = g_new(struct quarantine_append, 1);
	json_auto_t *value = ends_pack(w, now_ms);

	append->edge = e;
	append->work = w->fingerprint;
	append->n_ends = w->n_crashes;
	w->recording = true;
	quarantine_write(e, w->fingerprint, value, on_recorded, append);
}

/**
 * edge_quarantine_update() - write the records that are due, remove those of
 * work that was cleared.
 * @e: the daemon
 */
void
edge_quarantine_update(struct edge *e)
{
	uint64_t now = clock_loop_ms(e->loop);
	struct poison_request *w;

	TAILQ_FOREACH(w, &e->registry.poison.requests, entry) {
		if (quarantine_due(w, now))
			quarantine_record(e, w, now);
		if (w->n_crashes > 0 || w->recorded_crashes == 0)
			continue;
		w->recorded_crashes = 0;
		quarantine_write(e, w->fingerprint, NULL, on_removed, NULL);
	}
}

/* Takes in one end; false where it is too old or unreadable. */
static bool
end_take(struct edge *e, uint64_t work, const json_t *value)
{
	uint64_t now = clock_loop_ms(e->loop);
	json_int_t key, started, at;
	struct poison_crash end = { .origin = POISON_REMOTE };
	int64_t age;
	int silent;

	if (json_unpack((json_t *)value, "{s:I,s:I,s:I,s:b}", "key", &key,
		"started", &started, "at", &at, "silent", &silent) != 0)
		return (false);
	age = MAX(day_ms() - at, 0);
	if (age >= POISON_CRASH_TTL_MS)
		return (false);
	end.id_hash = (uint32_t)key;
	end.started = (uint32_t)started;
	end.at_ms = now - MIN((uint64_t)age, now - 1);
	end.silent = silent != 0;
	poison_add_crash(&e->registry.poison, work, &end, now);
	return (true);
}

/**
 * edge_quarantine_apply() - take in a record of quarantined work.
 * @e: the daemon
 * @record: a record of the daemons' topic
 *
 * Return: false where it is of something else.
 */
bool
edge_quarantine_apply(struct edge *e, const struct store_record *record)
{
	json_auto_t *root = NULL;
	const json_t *ends;
	uint64_t work;
	unsigned taken = 0;

	if (!g_str_has_prefix(record->key, KEY_PREFIX))
		return (false);
	if (record->value == NULL)
		return (true);
	work = g_ascii_strtoull(record->key + strlen(KEY_PREFIX), NULL, 16);
	root = json_loadb((const char *)record->value, record->length, 0, NULL);
	ends = json_object_get(root, "ends");
	for (size_t i = 0; i < json_array_size(ends); i++)
		taken += end_take(e, work, json_array_get(ends, i));
	event_log(LOG_INFO, "quarantine_read", "work=%08x ends=%u",
	    FINGERPRINT_SHORT(work), taken);
	if (taken == 0)
		quarantine_write(e, work, NULL, on_removed, NULL);
	return (true);
}
