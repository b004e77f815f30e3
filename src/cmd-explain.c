/* bankliftctl explain ID [FILE...]: the timeline of a request from the logs. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"
#include "cmd.h"

/*
 * Lines about the request's endpoints and daemons are shown from this long
 * before its first line until this long after its last.
 */
#define MARGIN_MS 2000
/* Feedback of an endpoint stays in force, so it is shown from this long before
 * the request's first line. */
#define FEEDBACK_BEFORE_MS 60000

/* Log events that tell why an endpoint is or is not used. */
static const char *const endpoint_events[] = { "endpoint_silent",
	"endpoint_rests", "endpoint_rest_over", "endpoint_gone",
	"endpoint_lapsed", "endpoint_avoided", "endpoint_changed" };

/* Log events of feedback: what an endpoint asks of the daemons. */
static const char *const feedback_events[] = { "endpoint_asks_rest",
	"endpoint_leaves", "endpoint_names_limit", "endpoint_lifts_limit",
	"endpoint_limit_told", "endpoint_cold" };

/* Log events, at any daemon, about fingerprints of requests suspected of
 * crashing endpoints. */
static const char *const poison_events[] = { "work_lost", "work_told",
	"work_cleared", "work_quarantined", "work_released", "work_probed",
	"work_withdrawn" };

/* Log events that affect all requests of a daemon. */
static const char *const daemon_events[] = { "config_in_force",
	"domain_evacuated", "domain_taken_back", "store_lost", "store_regained",
	"store_outage", "path_lost", "path_restored", "silence_shared",
	"not_ready", "ready", "paused", "leaving", "stopped", "started" };

/*
 * What the request's own lines tell: their times, its endpoints and
 * fingerprints, and the log files that have them.
 */
struct explain_scope {
	long long first_ms;
	long long last_ms;
	GHashTable *endpoints;
	GHashTable *fingerprints;
	GHashTable *sources;
};

static void
scope_add_line(struct explain_scope *scope, const struct log_line *line)
{
	char *endpoint = log_line_get(line->text, "endpoint");
	char *fingerprint = log_line_get(line->text, "work");

	if (scope->first_ms == 0)
		scope->first_ms = line->at_ms;
	scope->first_ms = MIN(scope->first_ms, line->at_ms);
	scope->last_ms = MAX(scope->last_ms, line->at_ms);
	if (endpoint != NULL)
		g_hash_table_add(scope->endpoints, endpoint);
	if (fingerprint != NULL)
		g_hash_table_add(scope->fingerprints, fingerprint);
	g_hash_table_add(scope->sources, (gpointer)line->source);
}

static bool
event_in(const char *text, const char *const *events, size_t n)
{
	for (size_t i = 0; i < n; i++) {
		if (log_line_has(text, "event", events[i]))
			return (true);
	}
	return (false);
}

/* Whether a line names one of the fingerprints: as that of its request, or
 * among its suspects, "FINGERPRINT:CRASHES,...". */
static bool
line_names_fingerprint(const struct log_line *line, GHashTable *fingerprints)
{
	g_autofree char *work = log_line_get(line->text, "work");
	g_autofree char *crashes = log_line_get(line->text, "crashes");
	g_auto(GStrv) keys = g_strsplit(crashes != NULL ? crashes : "", ",", 0);

	if (work != NULL && g_hash_table_contains(fingerprints, work))
		return (true);
	for (char **key = keys; *key != NULL; key++) {
		(*key)[strcspn(*key, ":")] = '\0';
		if (g_hash_table_contains(fingerprints, *key))
			return (true);
	}
	return (false);
}

/* Whether a line is about a fingerprint of the request and not later than the
 * request's last line. */
static bool
line_about_fingerprint(const struct log_line *line,
    const struct explain_scope *scope)
{
	return (line->at_ms <= scope->last_ms &&
	    event_in(line->text, poison_events, G_N_ELEMENTS(poison_events)) &&
	    line_names_fingerprint(line, scope->fingerprints));
}

/* Whether a line is shown: one of the request's own, or one that may explain
 * these. */
static bool
line_in_timeline(const struct log_line *line, const char *id,
    const struct explain_scope *scope)
{
	g_autofree char *endpoint = log_line_get(line->text, "endpoint");
	bool feedback;

	if (log_line_has(line->text, "id", id) ||
	    line_about_fingerprint(line, scope))
		return (true);
	feedback = event_in(line->text, feedback_events,
	    G_N_ELEMENTS(feedback_events));
	if (line->at_ms <
		scope->first_ms - (feedback ? FEEDBACK_BEFORE_MS : MARGIN_MS) ||
	    line->at_ms > scope->last_ms + MARGIN_MS ||
	    !g_hash_table_contains(scope->sources, line->source))
		return (false);
	if (event_in(line->text, daemon_events, G_N_ELEMENTS(daemon_events)))
		return (true);
	return (endpoint != NULL &&
	    g_hash_table_contains(scope->endpoints, endpoint) &&
	    (feedback ||
		event_in(line->text, endpoint_events,
		    G_N_ELEMENTS(endpoint_events))));
}

/* Prints the timeline, with times relative to the request's first line. */
static void
timeline_print(const GArray *lines, const char *id,
    const struct explain_scope *scope)
{
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);
		const char *event = strstr(line->text, "event=");

		if (event != NULL && line_in_timeline(line, id, scope))
			printf("%+8lld ms %s: %s\n",
			    line->at_ms - scope->first_ms, line->source, event);
	}
}

static enum cmd_exit
cmd_explain_exec(const struct cmd_context *ctx)
{
	const char *id = ctx->args[0];
	struct explain_scope scope = { 0 };
	g_autoptr(GArray) lines = log_files_read(ctx->args + 1);

	if (lines == NULL)
		return (CMD_FAILED);
	scope.endpoints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scope.fingerprints =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scope.sources = g_hash_table_new(g_direct_hash, g_direct_equal);
	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);

		if (log_line_has(line->text, "id", id))
			scope_add_line(&scope, line);
	}
	g_array_sort(lines, log_line_compare_time);
	if (scope.first_ms != 0)
		timeline_print(lines, id, &scope);
	else
		fprintf(stderr, "bankliftctl: no log line with id=%s\n", id);
	g_hash_table_destroy(scope.endpoints);
	g_hash_table_destroy(scope.fingerprints);
	g_hash_table_destroy(scope.sources);
	return (scope.first_ms == 0 ? CMD_NOT_FOUND : CMD_OK);
}

const struct cmd_entry cmd_explain_entry = {
	.name = "explain",
	.usage = "ID [FILE...]",
	.help = "the timeline of a request, from logs of banklift-edge",
	.min_args = 1,
	.max_args = 1000,
	.exec = cmd_explain_exec,
};
