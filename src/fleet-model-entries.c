/* When the daemons of a model know the entries that are written to the store.
 */
#include <string.h>

#include "fleet-model-daemon.h"

/**
 * fleet_model_write() - write changed entries to the store.
 * @model: the model
 * @n: number of entries
 */
void
fleet_model_write(struct fleet_model *model, unsigned n)
{
	for (unsigned i = 0; i < n; i++)
		g_array_append_val(model->written_ms, model->now_ms);
	model->n_records += n;
}

/**
 * fleet_model_remove() - have a daemon find by a snapshot that entries were
 * removed, and distribute that.
 * @model: the model
 * @index: index of the daemon
 * @n: number of removed entries
 */
void
fleet_model_remove(struct fleet_model *model, unsigned index, unsigned n)
{
	struct model_daemon *daemon = &model->daemons[index];
	uint64_t from = daemon->registry.endpoints.next;
	g_autoptr(GArray) records =
	    g_array_new(FALSE, TRUE, sizeof(struct store_record));

	g_array_set_clear_func(records, store_record_clear);
	fleet_model_write(model, n);
	for (unsigned i = 0; i < n; i++) {
		struct store_record record = {
			.offset = registry_removal_offset(model->n_records, i)
		};

		record.key = g_strdup_printf("%c%u", MODEL_REMOVED_KEY, i);
		g_array_append_val(records, record);
	}
	model_daemon_read(daemon);
	mesh_send_entries(&daemon->mesh, from, model->n_records, records);
}

/* Counts the time until a daemon knew an entry. */
static void
count_delay(struct fleet_model *model, uint64_t offset)
{
	uint64_t written =
	    g_array_index(model->written_ms, uint64_t, (guint)offset);
	uint64_t delay = model->now_ms - written;

	histogram_add(&model->entry_delays, delay);
	model->entry_delay_max_ms = MAX(model->entry_delay_max_ms, delay);
	model->n_entries_late += delay > MODEL_ENTRY_LATE_MS;
}

/**
 * model_daemon_learn() - note that a daemon knows an entry.
 * @daemon: the daemon
 * @offset: the entry's offset
 */
void
model_daemon_learn(struct model_daemon *daemon, uint64_t offset)
{
	GByteArray *known = daemon->known;
	guint was = known->len;

	if (offset < daemon->known_end || offset >= daemon->model->n_records)
		return;
	if (offset >= was) {
		g_byte_array_set_size(known, (guint)offset + 1);
		memset(known->data + was, 0, known->len - was);
	}
	if (known->data[offset])
		return;
	known->data[offset] = 1;
	count_delay(daemon->model, offset);
}

/**
 * model_daemon_learn_until() - note that a daemon knows all entries up to one.
 * @daemon: the daemon
 * @end: offset of the first entry that it need not know
 */
void
model_daemon_learn_until(struct model_daemon *daemon, uint64_t end)
{
	for (uint64_t at = daemon->known_end; at < end; at++)
		model_daemon_learn(daemon, at);
	daemon->known_end = MAX(daemon->known_end, end);
}

/**
 * fleet_model_stream() - have entries change at a steady rate; the daemon that
 * reads for the others reads them at once.
 * @model: the model
 * @records: entries that change at a time
 * @each_ms: interval between two such times
 * @for_ms: how long this lasts
 */
void
fleet_model_stream(struct fleet_model *model, unsigned records,
    unsigned each_ms, uint64_t for_ms)
{
	model->stream.records = records;
	model->stream.each_ms = each_ms;
	model->stream.until_ms = model->now_ms + for_ms;
}

/* Finds the daemon that reads the store for the others. */
static struct model_daemon *
find_reader(const struct fleet_model *model)
{
	for (unsigned i = 0; i < model->n; i++) {
		if (model->daemons[i].up &&
		    mesh_is_reader(&model->daemons[i].mesh))
			return (&model->daemons[i]);
	}
	return (NULL);
}

/**
 * fleet_model_step_stream() - write and read what changes in this millisecond.
 * @model: the model
 */
void
fleet_model_step_stream(struct fleet_model *model)
{
	const struct model_stream *stream = &model->stream;
	struct model_daemon *reader;

	if (model->now_ms >= stream->until_ms ||
	    model->now_ms % stream->each_ms != 0)
		return;
	fleet_model_write(model, stream->records);
	reader = find_reader(model);
	if (reader != NULL)
		model_daemon_feed(reader);
}

/* Adds the entries that a daemon lacks. */
static void
add_lacking(const struct model_daemon *daemon, struct model_entry_stats *stats)
{
	const struct fleet_model *model = daemon->model;

	for (uint64_t at = daemon->known_end; at < model->n_records; at++) {
		uint64_t age = model->now_ms -
		    g_array_index(model->written_ms, uint64_t, (guint)at);

		if (at < daemon->known->len && daemon->known->data[at])
			continue;
		stats->lacking++;
		stats->late += age > MODEL_ENTRY_LATE_MS;
		stats->longest_ms = MAX(stats->longest_ms, age);
	}
}

/**
 * fleet_model_measure_entries() - how soon the daemons knew the entries that
 * were written since the counters were reset.
 * @model: the model
 * @stats: filled in
 */
void
fleet_model_measure_entries(const struct fleet_model *model,
    struct model_entry_stats *stats)
{
	const struct histogram *delays = &model->entry_delays;

	*stats = (struct model_entry_stats){
		.n = delays->total,
		.longest_ms = model->entry_delay_max_ms,
		.late = model->n_entries_late,
	};
	for (unsigned i = 0; i < model->n; i++) {
		if (model->daemons[i].up)
			add_lacking(&model->daemons[i], stats);
	}
	stats->n += stats->lacking;
}
