/* Names of the store's topics and results; its records. */
#include "store-ops.h"

static const char *const topic_names[] = { "config", "endpoints", "placement",
	"daemons" };
static const char *const result_names[] = { "ok", "trimmed", "conflict",
	"refused", "unknown" };

/**
 * store_topic_name() - name of a topic, for logs.
 * @topic: the topic
 */
const char *
store_topic_name(enum store_topic topic)
{
	return (topic_names[topic]);
}

/**
 * store_result_name() - name of a result, for logs.
 * @result: the result
 */
const char *
store_result_name(enum store_result result)
{
	return (result_names[result]);
}

/**
 * store_record_clear() - free the contents of a record.
 * @data: the struct store_record
 */
void
store_record_clear(void *data)
{
	struct store_record *record = data;

	g_free(record->key);
	g_free(record->value);
}
