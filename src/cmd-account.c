/*
 * bankliftctl account [FILE...]: outcomes of requests and use of hosts over
 * time, from logs of banklift-edge.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-log-line.h"
#include "cmd.h"

/* Time that one row covers; the shortest repair takes about as long. */
#define ACCOUNT_INTERVAL_MS 2000

/**
 * struct account_interval - outcomes of the requests that ended in one
 * interval.
 * @answered: requests with a complete response
 * @retried: of these, the ones that were sent more than once
 * @failures: counts of the other requests by "outcome:reason"
 * @first: times to the first event of responses, of struct first_event
 */
struct account_interval {
	unsigned answered;
	unsigned retried;
	GHashTable *failures;
	GArray *first;
};

/* Time to the first event of a response, measured and expected, in ms. */
struct first_event {
	double measured;
	double expected;
};

/* Log events of requests that end without a complete response. */
static const char *const failure_events[] = { "request_refused",
	"request_failed", "request_broken_off" };

static struct account_interval *
interval_new(void)
{
	struct account_interval *interval = g_new0(struct account_interval, 1);

	interval->failures =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	interval->first = g_array_new(FALSE, FALSE, sizeof(struct first_event));
	return (interval);
}

static void
interval_free(void *data)
{
	struct account_interval *interval = data;

	g_hash_table_destroy(interval->failures);
	g_array_free(interval->first, TRUE);
	g_free(interval);
}

/* Increments the count of a name; takes ownership of the name. */
static void
count_increment(GHashTable *counts, char *name)
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

/*
 * Adds a complete response. Its time to the first event counts if the request
 * was sent once and a time was expected, which is so where the model is known.
 */
static void
interval_add_response(struct account_interval *interval, const char *text)
{
	struct first_event first = { line_number(text, "first_ms"),
		line_number(text, "expected_ms") };
	bool retried = line_number(text, "sends") > 1;

	interval->answered++;
	interval->retried += retried;
	if (!retried && first.expected > 0)
		g_array_append_val(interval->first, first);
}

/* Adds the outcome of a request if the line tells one. */
static void
interval_add_outcome(struct account_interval *interval, const char *text)
{
	if (log_line_has(text, "event", "request_answered")) {
		interval_add_response(interval, text);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(failure_events); i++) {
		g_autofree char *reason = NULL;

		if (!log_line_has(text, "event", failure_events[i]))
			continue;
		reason = log_line_get(text, "reason");
		count_increment(interval->failures,
		    g_strdup_printf("%s:%s",
			failure_events[i] + strlen("request_"),
			reason != NULL ? reason : "-"));
	}
}

static int
compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x < *y ? -1 : *x > *y);
}

/* Returns the median measured or expected time to the first event, in ms. */
static double
interval_median(const struct account_interval *interval, bool measured)
{
	g_autofree double *v = g_new(double, interval->first->len + 1);

	for (guint i = 0; i < interval->first->len; i++) {
		const struct first_event *first =
		    &g_array_index(interval->first, struct first_event, i);

		v[i] = measured ? first->measured : first->expected;
	}
	qsort(v, interval->first->len, sizeof *v, compare_doubles);
	return (interval->first->len > 0 ? v[interval->first->len / 2] : 0);
}

/* Prints counts sorted by name. */
static void
print_counts(GHashTable *counts)
{
	g_autoptr(GList) names =
	    g_list_sort(g_hash_table_get_keys(counts), (GCompareFunc)strcmp);

	for (GList *at = names; at != NULL; at = at->next)
		printf(" %s=%u", (const char *)at->data,
		    GPOINTER_TO_UINT(g_hash_table_lookup(counts, at->data)));
}

/* Prints how many hosts have each use at the end of an interval. */
static void
print_hosts(GHashTable *hosts)
{
	g_autoptr(GHashTable) counts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	gpointer use;

	g_hash_table_iter_init(&iter, hosts);
	while (g_hash_table_iter_next(&iter, NULL, &use))
		count_increment(counts, g_strdup(use));
	print_counts(counts);
}

static void
interval_print(const struct account_interval *interval, long long from_ms,
    GHashTable *hosts)
{
	printf("%6.1f answered=%u moved=%u first_ms=%.0f expected_ms=%.0f",
	    (double)from_ms / 1000, interval->answered, interval->retried,
	    interval_median(interval, true), interval_median(interval, false));
	print_counts(interval->failures);
	printf(" | hosts");
	print_hosts(hosts);
	putchar('\n');
}

/* Updates the last logged use of a host, or forgets a host that is gone. */
static void
hosts_update(GHashTable *hosts, const char *text)
{
	char *host = log_line_get(text, "host");
	char *endpoint = log_line_get(text, "endpoint");
	char *use = NULL;

	if (host != NULL && log_line_has(text, "event", "host_use"))
		use = log_line_get(text, "use");
	/* A truncated line may lack the use. */
	if (use != NULL)
		g_hash_table_replace(hosts, g_strdup(host), use);
	if (endpoint != NULL && log_line_has(text, "event", "endpoint_gone"))
		g_hash_table_remove(hosts, endpoint);
	g_free(host);
	g_free(endpoint);
}

/*
 * Prints a row for each interval; the lines are sorted by time. Intervals
 * without a line have no row: a truncated line may have any time, and would
 * otherwise cause any number of empty rows.
 */
static void
account_print(const GArray *lines)
{
	g_autoptr(GHashTable) hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	struct account_interval *interval = interval_new();
	long long first = g_array_index(lines, struct log_line, 0).at_ms;
	long long from = 0;

	for (guint i = 0; i < lines->len; i++) {
		const struct log_line *line =
		    &g_array_index(lines, struct log_line, i);

		if (line->at_ms - first >= from + ACCOUNT_INTERVAL_MS) {
			interval_print(interval, from, hosts);
			interval_free(interval);
			interval = interval_new();
			from = (line->at_ms - first) / ACCOUNT_INTERVAL_MS *
			    ACCOUNT_INTERVAL_MS;
		}
		interval_add_outcome(interval, line->text);
		hosts_update(hosts, line->text);
	}
	interval_print(interval, from, hosts);
	interval_free(interval);
}

static enum cmd_exit
cmd_account_exec(const struct cmd_context *ctx)
{
	g_autoptr(GArray) lines = log_files_read(ctx->args);

	if (lines == NULL)
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
	.help = "requests by outcome and hosts by use over time, from logs of "
		"banklift-edge",
	.min_args = 0,
	.max_args = 1000,
	.exec = cmd_account_exec,
};
