/*
 * Snapshots. A snapshot is the whole state at a prefix, cut into parts. A
 * reader whose offset is no longer kept loads the newest complete snapshot
 * whose following records the log still has, and replays these on top. So a
 * snapshot never overrides anything newer.
 */
#include <inttypes.h>
#include <string.h>

#include "cleanup.h"
#include "config-snapshot.h"
#include "error.h"
#include "event-log.h"
#include "random.h"

#define PART_BYTES 49152

/* Parts of one snapshot, as they are met. */
struct assembly {
	char *id;
	json_int_t at;
	json_int_t next_part;
	GString *text;
};

static void
assembly_clear(struct assembly *a)
{
	g_free(a->id);
	if (a->text != NULL)
		g_string_free(a->text, TRUE);
	memset(a, 0, sizeof *a);
}

/*
 * Adds a record to the assembly if it is the next part of a snapshot. Returns
 * the dump once the last part is there.
 */
static json_t *
assembly_add(struct assembly *a, json_t *record)
{
	const char *kind, *id, *data;
	json_int_t part, parts, at;

	if (json_unpack(record, "{s:s, s:s, s:I, s:I, s:I, s:s}", "kind", &kind,
		"id", &id, "part", &part, "parts", &parts, "at", &at, "data",
		&data) != 0 ||
	    strcmp(kind, "snapshot") != 0)
		return (NULL);
	if (part == 0) {
		assembly_clear(a);
		a->id = g_strdup(id);
		a->at = at;
		a->text = g_string_new(NULL);
	}
	if (a->id == NULL || strcmp(a->id, id) != 0 || part != a->next_part)
		return (NULL);
	g_string_append(a->text, data);
	a->next_part++;
	if (a->next_part < parts)
		return (NULL);
	return (json_loads(a->text->str, 0, NULL));
}

/**
 * config_snapshot_note() - note the newest snapshot while following.
 * @config: locked
 * @record: a record that was just replayed
 */
void
config_snapshot_note(struct config *config, json_t *record)
{
	json_int_t part, parts, at;

	if (json_unpack(record, "{s:I, s:I, s:I}", "part", &part, "parts",
		&parts, "at", &at) == 0 &&
	    part == parts - 1)
		config->snapshot_at = (uint64_t)at;
}

/* Reads the stream from an offset until a usable snapshot is complete. */
static json_t *
snapshot_find(struct config *config, uint64_t from)
{
	CLEANUP(assembly_clear) struct assembly a = { 0 };
	uint64_t first = from;

	for (;;) {
		CLEANUP(log_batch_clear) struct log_batch batch = { 0 };

		if (!config->log->ops->read(config->log, CONFIG_STREAM, from, 0,
			&batch, NULL) ||
		    batch.records->len == 0)
			return (NULL);
		for (guint i = 0; i < batch.records->len; i++) {
			struct log_record *r =
			    &g_array_index(batch.records, struct log_record, i);
			json_t *dump = assembly_add(&a, r->json);

			if (dump != NULL && (uint64_t)a.at + 1 >= first)
				return (dump);
			json_decref(dump);
			from = r->offset + 1;
		}
	}
}

/**
 * config_snapshot_restore() - start over from a snapshot.
 * @config: the configuration, whose next offset is no longer kept
 * @first: oldest offset that the log keeps
 *
 * Return: true when the state moved on.
 */
bool
config_snapshot_restore(struct config *config, uint64_t first)
{
	json_auto_t *dump = snapshot_find(config, first);

	if (dump == NULL) {
		event_log(LOG_ERR, "no_usable_snapshot", "first=%" PRIu64,
		    first);
		g_usleep(G_USEC_PER_SEC / 2);
		return (false);
	}
	return (config_adopt_state(config, dump));
}

/**
 * config_snapshot_write() - append the state as a snapshot.
 * @config: the configuration
 * @error: ERROR_LOG_UNAVAILABLE; parts may have been written, which does no
 *	harm
 */
bool
config_snapshot_write(struct config *config, GError **error)
{
	json_auto_t *dump = NULL;
	g_autofree char *text = NULL, *id = random_id();
	json_int_t at, parts;
	uint64_t offset;
	size_t len;

	g_mutex_lock(&config->lock);
	dump = state_dump(config->state);
	at = (json_int_t)config->state->next - 1;
	g_mutex_unlock(&config->lock);
	/* ASCII only, so that a part never ends within a character. */
	text = json_dumps(dump, JSON_COMPACT | JSON_ENSURE_ASCII);
	len = strlen(text);
	parts = (json_int_t)((len + PART_BYTES - 1) / PART_BYTES);
	for (json_int_t part = 0; part < parts; part++) {
		size_t begin = (size_t)part * PART_BYTES;
		size_t n = MIN(len - begin, PART_BYTES);
		json_auto_t *record =
		    json_pack("{s:s, s:s, s:I, s:I, s:I, s:s%}", "kind",
			"snapshot", "id", id, "part", part, "parts", parts,
			"at", at, "data", text + begin, n);

		if (!config->log->ops->append(config->log, CONFIG_STREAM,
			record, &offset, error))
			return (false);
	}
	event_log(LOG_INFO, "snapshot_written", "at=%" PRId64 " bytes=%zu",
	    (int64_t)at, len);
	return (true);
}
