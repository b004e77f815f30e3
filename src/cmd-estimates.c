/*
 * bankliftctl estimates [FILE...]: first events in time and late, and whether
 * that was expected, from logs of banklift-edge.
 */
#include <stdio.h>
#include <string.h>

#include "cmd-log-line.h"
#include "cmd.h"

/**
 * struct estimate_counts - first events of a model.
 * @in_time: within the objective
 * @false_alarms: of these, the ones that were expected to be late
 * @late: after the objective
 * @foreseen: of these, the ones that were expected to be late
 */
struct estimate_counts {
	unsigned in_time;
	unsigned false_alarms;
	unsigned late;
	unsigned foreseen;
};

/* Reads a number; false if the line, which may be truncated, lacks it. */
static bool
line_number(const char *text, const char *key, double *number)
{
	g_autofree char *value = log_line_get(text, key);

	if (value == NULL)
		return (false);
	*number = g_ascii_strtod(value, NULL);
	return (true);
}

/* Adds a complete response. A request that was moved was not expected to be
 * late when it was first sent. */
static void
counts_add(struct estimate_counts *counts, const char *text)
{
	double first, expected, objective, sent, sends;
	bool foreseen;

	if (!line_number(text, "first_ms", &first) ||
	    !line_number(text, "expected_ms", &expected) ||
	    !line_number(text, "objective_ms", &objective) ||
	    !line_number(text, "sent_ms", &sent) ||
	    !line_number(text, "sends", &sends) || objective <= 0)
		return;
	foreseen = sends == 1 && sent + expected > objective;
	if (first > objective) {
		counts->late++;
		counts->foreseen += foreseen;
	} else {
		counts->in_time++;
		counts->false_alarms += foreseen;
	}
}

static struct estimate_counts *
counts_get(GHashTable *models, const char *model)
{
	struct estimate_counts *counts = g_hash_table_lookup(models, model);

	if (counts == NULL) {
		counts = g_new0(struct estimate_counts, 1);
		g_hash_table_insert(models, g_strdup(model), counts);
	}
	return (counts);
}

static void
counts_print(GHashTable *models)
{
	g_autoptr(GList) names =
	    g_list_sort(g_hash_table_get_keys(models), (GCompareFunc)strcmp);

	for (GList *at = names; at != NULL; at = at->next) {
		const struct estimate_counts *counts =
		    g_hash_table_lookup(models, at->data);

		printf("model=%s in_time=%u false_alarms=%u late=%u "
		       "foreseen=%u\n",
		    (const char *)at->data, counts->in_time,
		    counts->false_alarms, counts->late, counts->foreseen);
	}
}

static enum cmd_exit
cmd_estimates_exec(const struct cmd_context *ctx)
{
	g_autoptr(GArray) lines = log_files_read(ctx->args);
	g_autoptr(GHashTable) models =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);

	if (lines == NULL)
		return (CMD_FAILED);
	for (guint i = 0; i < lines->len; i++) {
		const char *text =
		    g_array_index(lines, struct log_line, i).text;
		g_autofree char *model = log_line_get(text, "model");

		if (log_line_has(text, "event", "request_answered") &&
		    model != NULL && strcmp(model, "-") != 0)
			counts_add(counts_get(models, model), text);
	}
	if (g_hash_table_size(models) == 0)
		return (CMD_NOT_FOUND);
	counts_print(models);
	return (CMD_OK);
}

const struct cmd_entry cmd_estimates_entry = {
	.name = "estimates",
	.usage = "[FILE...]",
	.help = "first events by model, in time or late and whether expected, "
		"from logs of banklift-edge",
	.min_args = 0,
	.max_args = 1000,
	.exec = cmd_estimates_exec,
};
