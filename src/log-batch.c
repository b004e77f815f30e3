/* Result of one read of the log. */
#include <string.h>

#include "log-client.h"

static void
record_clear(void *arg)
{
	struct log_record *record = arg;

	json_decref(record->json);
}

/**
 * log_batch_init() - initialize a batch without records.
 * @batch: the batch; free with log_batch_clear()
 */
void
log_batch_init(struct log_batch *batch)
{
	memset(batch, 0, sizeof *batch);
	batch->records = g_array_new(FALSE, FALSE, sizeof(struct log_record));
	g_array_set_clear_func(batch->records, record_clear);
}

/**
 * log_batch_clear() - free the contents of a batch; for CLEANUP().
 * @batch: the batch
 */
void
log_batch_clear(struct log_batch *batch)
{
	g_clear_pointer(&batch->records, g_array_unref);
}
