/* Verdicts of recent changes, kept for the threads that wrote them. */
#include "config-verdict.h"

/* Number of verdicts kept; a writer looks its verdict up within seconds. */
#define VERDICTS_MAX 4096

struct config_verdict {
	enum verdict verdict;
	uint64_t offset;
	GError *error;
};

/**
 * config_verdict_free() - free a verdict.
 * @arg: the verdict
 */
void
config_verdict_free(void *arg)
{
	struct config_verdict *v = arg;

	g_clear_error(&v->error);
	g_free(v);
}

/**
 * config_verdict_note() - save the verdict on a record that has a change id.
 * @config: the configuration, locked
 * @record: the record
 * @offset: its offset
 * @verdict: the verdict
 * @error: why it was not applied, or NULL
 *
 * A change may be in the log twice when the response to its first append was
 * lost. The verdict on the first record counts.
 */
void
config_verdict_note(struct config *config, json_t *record, uint64_t offset,
    enum verdict verdict, const GError *error)
{
	struct config_verdict *v;
	const char *id;

	id = json_string_value(json_object_get(record, "change"));
	if (id == NULL || g_hash_table_contains(config->verdicts, id))
		return;
	v = g_new0(struct config_verdict, 1);
	v->verdict = verdict;
	v->offset = offset;
	v->error = error != NULL ? g_error_copy(error) : NULL;
	g_hash_table_insert(config->verdicts, g_strdup(id), v);
	g_queue_push_tail(&config->verdict_order, g_strdup(id));
	if (config->verdict_order.length > VERDICTS_MAX) {
		g_autofree char *oldest =
		    g_queue_pop_head(&config->verdict_order);

		g_hash_table_remove(config->verdicts, oldest);
	}
}

/**
 * config_verdict_find() - look up the verdict on a change.
 * @config: the configuration, locked
 * @id: change id
 * @verdict: set to the verdict
 * @offset: set to the offset of the record
 * @error: set to the reason if it was not applied
 *
 * Return: false when no verdict on the change is known.
 */
bool
config_verdict_find(struct config *config, const char *id,
    enum verdict *verdict, uint64_t *offset, GError **error)
{
	struct config_verdict *v = g_hash_table_lookup(config->verdicts, id);

	if (v == NULL)
		return (false);
	*verdict = v->verdict;
	*offset = v->offset;
	if (v->error != NULL && error != NULL)
		*error = g_error_copy(v->error);
	return (true);
}
