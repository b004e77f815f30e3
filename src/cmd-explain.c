/* bankliftctl explain ID [FILE...]: the story of a request from the logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"

/* Lines of the request's endpoints are shown from this long before its first
 * line to this long after its last. */
#define AROUND_MS 2000

/* Events that tell why an endpoint was or was not used. */
static const char *const endpoint_events[] = { "endpoint_silent",
	"endpoint_rests", "endpoint_gone", "endpoint_lapsed",
	"endpoint_avoided", "endpoint_changed" };

/* Events of a daemon that touch all of its requests. */
static const char *const daemon_events[] = { "config_in_force", "store_lost",
	"store_regained", "not_ready", "ready", "paused", "leaving", "stopped",
	"started" };

/**
 * struct explain_line - one line of a log.
 * @at_ms: when it was written
 * @text: the line
 * @source: the file
 */
struct explain_line {
	long long at_ms;
	char *text;
	const char *source;
};

static void
line_clear(void *data)
{
	struct explain_line *line = data;

	g_free(line->text);
}

/* The value of a key in a line, to be freed; NULL where it has none. */
static char *
line_value(const char *text, const char *key)
{
	g_autofree char *start = g_strdup_printf(" %s=", key);
	const char *at = strstr(text, start);

	if (at == NULL)
		return (NULL);
	at += strlen(start);
	return (g_strndup(at, strcspn(at, " \n")));
}

static bool
line_has(const char *text, const char *key, const char *value)
{
	g_autofree char *found = line_value(text, key);

	return (g_strcmp0(found, value) == 0);
}

/* Reads all lines of a log that have a time. */
static bool
lines_read(GArray *lines, const char *path)
{
	FILE *f = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
	char *text = NULL;
	size_t room = 0;

	if (f == NULL) {
		fprintf(stderr, "bankliftctl: can't read %s\n", path);
		return (false);
	}
	while (getline(&text, &room, f) > 0) {
		struct explain_line line = { .source = path };
		g_autofree char *at = line_value(text, "at");

		if (at == NULL)
			continue;
		line.at_ms = strtoll(at, NULL, 10);
		line.text = g_strdup(g_strchomp(text));
		g_array_append_val(lines, line);
	}
	free(text);
	if (f != stdin)
		fclose(f);
	return (true);
}

/* What the request's own lines say: its span, endpoints and daemons. */
struct explain_span {
	long long first_ms;
	long long last_ms;
	GHashTable *endpoints;
	GHashTable *sources;
};

static void
span_note(struct explain_span *span, const struct explain_line *line)
{
	char *endpoint = line_value(line->text, "endpoint");

	if (span->first_ms == 0)
		span->first_ms = line->at_ms;
	span->first_ms = MIN(span->first_ms, line->at_ms);
	span->last_ms = MAX(span->last_ms, line->at_ms);
	if (endpoint != NULL)
		g_hash_table_add(span->endpoints, endpoint);
	g_hash_table_add(span->sources, (gpointer)line->source);
}

static bool
event_among(const char *text, const char *const *events, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (line_has(text, "event", events[i]))
			return (true);
	}
	return (false);
}

/* Whether a line belongs to the story. */
static bool
line_belongs(const struct explain_line *line, const char *id,
    const struct explain_span *span)
{
	g_autofree char *endpoint = line_value(line->text, "endpoint");

	if (line_has(line->text, "id", id))
		return (true);
	if (line->at_ms < span->first_ms - AROUND_MS ||
	    line->at_ms > span->last_ms + AROUND_MS ||
	    !g_hash_table_contains(span->sources, line->source))
		return (false);
	if (event_among(line->text, daemon_events, G_N_ELEMENTS(daemon_events)))
		return (true);
	return (endpoint != NULL &&
	    g_hash_table_contains(span->endpoints, endpoint) &&
	    event_among(line->text, endpoint_events,
		G_N_ELEMENTS(endpoint_events)));
}

static int
by_time(const void *a, const void *b)
{
	const struct explain_line *x = a, *y = b;

	return (x->at_ms < y->at_ms ? -1 : x->at_ms > y->at_ms);
}

/* Prints the story, with times from the request's first line. */
static void
story_print(const GArray *lines, const char *id,
    const struct explain_span *span)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct explain_line *line =
		    &g_array_index(lines, struct explain_line, i);
		const char *event = strstr(line->text, "event=");

		if (event != NULL && line_belongs(line, id, span))
			printf("%+8lld ms %s: %s\n",
			    line->at_ms - span->first_ms, line->source, event);
	}
}

static enum cmd_exit
explain_exec(const struct cmd_context *ctx)
{
	static const char *const standard_input[] = { "-", NULL };
	const char *const *files = ctx->args + 1;
	const char *id = ctx->args[0];
	struct explain_span span = { 0 };
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct explain_line));
	bool ok = true;

	g_array_set_clear_func(lines, line_clear);
	if (files[0] == NULL)
		files = standard_input;
	for (size_t i = 0; ok && files[i] != NULL; i++)
		ok = lines_read(lines, files[i]);
	span.endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	span.sources = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (guint i = 0; i < lines->len; i++) {
		const struct explain_line *line =
		    &g_array_index(lines, struct explain_line, i);

		if (line_has(line->text, "id", id))
			span_note(&span, line);
	}
	g_array_sort(lines, by_time);
	if (ok && span.first_ms != 0)
		story_print(lines, id, &span);
	else if (ok)
		fprintf(stderr, "bankliftctl: no line with id=%s\n", id);
	g_hash_table_destroy(span.endpoints);
	g_hash_table_destroy(span.sources);
	g_array_free(lines, TRUE);
	return (!ok ? CMD_FAILED : span.first_ms == 0 ? CMD_NOT_FOUND : CMD_OK);
}

const struct cmd_entry cmd_explain_entry = {
	.name = "explain",
	.usage = "ID [FILE...]",
	.help = "the story of a request, from logs of banklift-edge",
	.min_args = 1,
	.max_args = 1000,
	.exec = explain_exec,
};
