/* bankliftctl explain ID [FILE...]: the story of a request from the logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"
#include "cmd.h"

/* Lines of the request's endpoints are shown from this long before its first
 * line to this long after its last. */
#define AROUND_MS 2000
/* What an endpoint said of itself holds on, so it is shown from this long
 * before. */
#define SAID_BEFORE_MS 60000

/* Events that tell why an endpoint was or was not used. */
static const char *const endpoint_events[] = { "endpoint_silent",
	"endpoint_rests", "endpoint_rest_over", "endpoint_gone",
	"endpoint_lapsed", "endpoint_avoided", "endpoint_changed" };

/* Events of an endpoint that says what it wants. */
static const char *const said_events[] = { "endpoint_asks_rest",
	"endpoint_leaves", "endpoint_names_limit", "endpoint_lifts_limit",
	"endpoint_limit_told" };

/* Events of work that ended endpoints, at any daemon. */
static const char *const work_events[] = { "work_lost", "work_told",
	"work_cleared", "work_quarantined", "work_released", "work_probed" };

/* Events of a daemon that touch all of its requests. */
static const char *const daemon_events[] = { "config_in_force", "store_lost",
	"store_regained", "not_ready", "ready", "paused", "leaving", "stopped",
	"started" };

/* What the request's own lines say: its span, endpoints and daemons. */
struct explain_span {
	long long first_ms;
	long long last_ms;
	GHashTable *endpoints;
	GHashTable *works;
	GHashTable *sources;
};

static void
span_note(struct explain_span *span, const struct log_line *line)
{
	char *endpoint = log_line_get(line->text, "endpoint");
	char *work = log_line_get(line->text, "work");

	if (span->first_ms == 0)
		span->first_ms = line->at_ms;
	span->first_ms = MIN(span->first_ms, line->at_ms);
	span->last_ms = MAX(span->last_ms, line->at_ms);
	if (endpoint != NULL)
		g_hash_table_add(span->endpoints, endpoint);
	if (work != NULL)
		g_hash_table_add(span->works, work);
	g_hash_table_add(span->sources, (gpointer)line->source);
}

static bool
event_among(const char *text, const char *const *events, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (log_line_has(text, "event", events[i]))
			return (true);
	}
	return (false);
}

/* Whether a line tells what was known of the request's work. */
static bool
line_of_work(const struct log_line *line, const struct explain_span *span)
{
	g_autofree char *work = log_line_get(line->text, "work");

	return (work != NULL && line->at_ms <= span->last_ms &&
	    event_among(line->text, work_events, G_N_ELEMENTS(work_events)) &&
	    g_hash_table_contains(span->works, work));
}

/* Whether a line belongs to the story. */
static bool
line_belongs(const struct log_line *line, const char *id,
    const struct explain_span *span)
{
	g_autofree char *endpoint = log_line_get(line->text, "endpoint");
	bool said;

	if (log_line_has(line->text, "id", id) || line_of_work(line, span))
		return (true);
	said = event_among(line->text, said_events, G_N_ELEMENTS(said_events));
	if (line->at_ms <
		span->first_ms - (said ? SAID_BEFORE_MS : AROUND_MS) ||
	    line->at_ms > span->last_ms + AROUND_MS ||
	    !g_hash_table_contains(span->sources, line->source))
		return (false);
	if (event_among(line->text, daemon_events, G_N_ELEMENTS(daemon_events)))
		return (true);
	return (endpoint != NULL &&
	    g_hash_table_contains(span->endpoints, endpoint) &&
	    (said ||
		event_among(line->text, endpoint_events,
		    G_N_ELEMENTS(endpoint_events))));
}

/* Prints the story, with times from the request's first line. */
static void
story_print(const GArray *lines, const char *id,
    const struct explain_span *span)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);
		const char *event = strstr(line->text, "event=");

		if (event != NULL && line_belongs(line, id, span))
			printf("%+8lld ms %s: %s\n",
			    line->at_ms - span->first_ms, line->source, event);
	}
}

static enum cmd_exit
explain_exec(const struct cmd_context *ctx)
{
	const char *id = ctx->args[0];
	struct explain_span span = { 0 };
	GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct log_line));
	bool ok;

	g_array_set_clear_func(lines, log_line_clear);
	ok = log_files_read(lines, ctx->args + 1);
	span.endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	span.works =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	span.sources = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);

		if (log_line_has(line->text, "id", id))
			span_note(&span, line);
	}
	g_array_sort(lines, log_line_compare_time);
	if (ok && span.first_ms != 0)
		story_print(lines, id, &span);
	else if (ok)
		fprintf(stderr, "bankliftctl: no line with id=%s\n", id);
	g_hash_table_destroy(span.endpoints);
	g_hash_table_destroy(span.works);
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
