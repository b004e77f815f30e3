/* A log client that keeps its records in memory and can simulate faults. */
#include <string.h>

#include "error.h"
#include "fake-log.h"

/* Appends a record; returns its offset. */
uint64_t
fake_log_add(struct fake_log *log, json_t *record)
{
	char *text = json_dumps(record, JSON_COMPACT);

	g_ptr_array_add(log->records, text != NULL ? text : strdup(""));
	return (log->records->len);
}

static bool
fake_append(struct log_client *client, const char *stream, json_t *record,
    uint64_t *offset, GError **error)
{
	struct fake_log *log = (struct fake_log *)client;
	bool ok = false;

	g_mutex_lock(&log->lock);
	g_atomic_int_inc(&log->append_calls);
	if (!log->down && log->fail_appends == 0) {
		*offset = fake_log_add(log, record);
		ok = log->lose_responses == 0;
	}
	if (!ok && log->fail_appends > 0)
		log->fail_appends--;
	else if (!ok && log->lose_responses > 0)
		log->lose_responses--;
	g_mutex_unlock(&log->lock);
	if (!ok)
		error_set(error, ERROR_LOG_UNAVAILABLE, "fake");
	return (ok);
}

static bool
fake_read(struct log_client *client, const char *stream, uint64_t from,
    unsigned wait_ms, struct log_batch *batch, GError **error)
{
	struct fake_log *log = (struct fake_log *)client;
	struct log_record record;
	bool ok = false;

	log_batch_init(batch);
	g_mutex_lock(&log->lock);
	batch->first = log->first;
	batch->next = log->records->len + 1;
	if (log->down)
		error_set(error, ERROR_LOG_UNAVAILABLE, "fake");
	else if (from < log->first)
		error_set(error, ERROR_LOG_TRIMMED, "fake");
	else
		ok = true;
	for (uint64_t o = from; ok && o <= log->records->len; o++) {
		record.offset = o;
		record.json = json_loads(log->records->pdata[o - 1], 0, NULL);
		g_array_append_val(batch->records, record);
	}
	g_mutex_unlock(&log->lock);
	return (ok);
}

static const struct log_ops fake_ops = {
	.append = fake_append,
	.read = fake_read,
};

void
fake_log_init(struct fake_log *log)
{
	memset(log, 0, sizeof *log);
	g_mutex_init(&log->lock);
	log->client.ops = &fake_ops;
	log->records = g_ptr_array_new_with_free_func(free);
	log->first = 1;
}

void
fake_log_clear(struct fake_log *log)
{
	g_ptr_array_unref(log->records);
	g_mutex_clear(&log->lock);
}
