/* bankliftctl account [FILE...]: what became of requests and hosts, by time. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"
#include "cmd.h"

/* Milliseconds of one row; the shortest repair takes about as long. */
#define ACCOUNT_SPAN_MS 2000

/**
 * struct account_span - one row.
 * @answered: whole answers
 * @moved: of these, the ones that were sent more than once
 * @ends: "outcome reason" of the others to their number
 * @first: times to the first event seen, of struct account_first
 */
struct account_span {
	unsigned answered;
	unsigned moved;
	GHashTable *ends;
	GArray *first;
};

/* A first event: when it came and when it was expected, in milliseconds. */
struct account_first {
	double seen;
	double expected;
};

/* Events that end a request without a whole answer. */
static const char *const failed_ends[] = { "request_refused", "request_failed",
	"request_broken_off" };

static struct account_span *
span_new(void)
{
	struct account_span *span = g_new0(struct account_span, 1);

	span->ends =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	span->first = g_array_new(FALSE, FALSE, sizeof(struct account_first));
	return (span);
}

static void
span_free(void *data)
{
	struct account_span *span = data;

	g_hash_table_destroy(span->ends);
	g_array_free(span->first, TRUE);
	g_free(span);
}

/* Adds one to a count by name. */
static void
count_up(GHashTable *counts, char *name)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, name));

	g_hash_table_replace(counts, name, GUINT_TO_POINTER(n + 1));
}

static double
line_number(const char *text, const char *key)
{
	g_autofree char *value = log_line_get(text, key);

	return (value != NULL ? g_ascii_strtod(value, NULL) : 0);
}

/* A whole answer; first events count where the model is known. */
static void
span_add_answer(struct account_span *span, const char *text)
{
	struct account_first first = { line_number(text, "first_ms"),
		line_number(text, "expected_ms") };
	bool moved = line_number(text, "sends") > 1;

	span->answered++;
	span->moved += moved;
	if (!moved && first.expected > 0)
		g_array_append_val(span->first, first);
}

/* Takes in the end of a request. */
static void
span_add(struct account_span *span, const char *text)
{
	if (log_line_has(text, "event", "request_answered")) {
		span_add_answer(span, text);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(failed_ends); i++) {
		g_autofree char *reason = NULL;

		if (!log_line_has(text, "event", failed_ends[i]))
			continue;
		reason = log_line_get(text, "reason");
		count_up(span->ends,
		    g_strdup_printf("%s:%s",
			failed_ends[i] + strlen("request_"),
			reason != NULL ? reason : "-"));
	}
}

static int
by_number(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x < *y ? -1 : *x > *y);
}

/* The median of seen or of expected first events. */
static double
span_median(const struct account_span *span, bool seen)
{
	g_autofree double *v = g_new(double, span->first->len + 1);

	for (guint i = 0; i < span->first->len; i++) {
		const struct account_first *first =
		    &g_array_index(span->first, struct account_first, i);

		v[i] = seen ? first->seen : first->expected;
	}
	qsort(v, span->first->len, sizeof *v, by_number);
	return (span->first->len > 0 ? v[span->first->len / 2] : 0);
}

/* Prints counts by name, in the order of names. */
static void
print_counts(GHashTable *counts)
{
	g_autoptr(GList) names =
	    g_list_sort(g_hash_table_get_keys(counts), (GCompareFunc)strcmp);

	for (GList *at = names; at != NULL; at = at->next)
		printf(" %s=%u", (const char *)at->data,
		    GPOINTER_TO_UINT(g_hash_table_lookup(counts, at->data)));
}

/* What hosts did at the end of a span: use to number. */
static void
print_hosts(GHashTable *hosts)
{
	g_autoptr(GHashTable) counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer use;

	g_hash_table_iter_init(&iter, hosts);
	while (g_hash_table_iter_next(&iter, NULL, &use))
		count_up(counts, g_strdup(use));
	print_counts(counts);
}

static void
span_print(const struct account_span *span, long long from_ms,
    GHashTable *hosts)
{
	printf("%6.1f answered=%u moved=%u first_ms=%.0f expected_ms=%.0f",
	    (double)from_ms / 1000, span->answered, span->moved,
	    span_median(span, true), span_median(span, false));
	print_counts(span->ends);
	printf(" | hosts");
	print_hosts(hosts);
	putchar('\n');
}

/* Keeps what each host was last said to do. */
static void
hosts_note(GHashTable *hosts, const char *text)
{
	char *host = log_line_get(text, "host");
	char *endpoint = log_line_get(text, "endpoint");
	char *use = NULL;

	if (host != NULL && log_line_has(text, "event", "host_use"))
		use = log_line_get(text, "use");
	/* A line that was cut may say no use. */
	if (use != NULL)
		g_hash_table_replace(hosts, g_strdup(host), use);
	if (endpoint != NULL && log_line_has(text, "event", "endpoint_gone"))
		g_hash_table_remove(hosts, endpoint);
	g_free(host);
	g_free(endpoint);
}

/*
 * Prints one row after the other; the lines are in order of time. Spans without
 * a line have no row: a log that was cut in a line may hold any time.
 */
static void
account_print(const GArray *lines)
{
	g_autoptr(GHashTable) hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	struct account_span *span = span_new();
	long long first = g_array_index(lines, struct log_line, 0).at_ms;
	long long from = 0;

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);

		if (line->at_ms - first >= from + ACCOUNT_SPAN_MS) {
			span_print(span, from, hosts);
			span_free(span);
			span = span_new();
			from = (line->at_ms - first) / ACCOUNT_SPAN_MS *
			    ACCOUNT_SPAN_MS;
		}
		span_add(span, line->text);
		hosts_note(hosts, line->text);
	}
	span_print(span, from, hosts);
	span_free(span);
}

static enum cmd_exit
account_exec(const struct cmd_context *ctx)
{
	g_autoptr(GArray) lines =
	    g_array_new(FALSE, FALSE, sizeof(struct log_line));

	g_array_set_clear_func(lines, log_line_clear);
	if (!log_files_read(lines, ctx->args))
		return (CMD_FAILED);
	if (lines->len == 0)
		return (CMD_NOT_FOUND);
	g_array_sort(lines, log_line_compare_time);
	account_print(lines);
	return (CMD_OK);
}

const struct cmd_entry cmd_account_entry = {
	.name = "account",
	.usage = "[FILE...]",
	.help = "requests by outcome and hosts by use, by time, from logs of "
		"banklift-edge",
	.min_args = 0,
	.max_args = 1000,
	.exec = account_exec,
};
