/* Counters and histograms of the forwarding engine, as text. */
#include "fwd-stats.h"

static const char *const count_names[COUNT_KINDS] = {
	[COUNT_REQUESTS] = "requests",
	[COUNT_ANSWERED] = "answered",
	[COUNT_REFUSED] = "refused",
	[COUNT_DENIED] = "denied",
	[COUNT_FAILED] = "failed",
	[COUNT_CLIENT_LEFT] = "caller_left",
	[COUNT_SENT] = "sent",
	[COUNT_RETRIED] = "repeated",
	[COUNT_RESUMED] = "resumed",
	[COUNT_BROKEN_OFF] = "broken_off",
	[COUNT_NOT_RUN] = "not_run",
	[COUNT_BACKOFFS] = "rests_asked",
	[COUNT_DRAINING] = "endpoints_leaving",
	[COUNT_HELD_BACK] = "held_back",
	[COUNT_SENT_IN_BACKOFF] = "sent_in_rest",
	[COUNT_LIMITS] = "limits_named",
	[COUNT_SENT_LIMITED] = "sent_to_limited",
	[COUNT_LIMIT_HELD_BACK] = "limit_held_back",
	[COUNT_SENT_OVER_SHARE] = "sent_over_share",
	[COUNT_LOST] = "lost_at_endpoint",
	[COUNT_QUARANTINED] = "work_quarantined",
	[COUNT_REFUSED_POISON] = "refused_quarantined",
	[COUNT_STRAY_ANSWERS] = "stray_answers",
	[COUNT_SILENT_ENDPOINTS] = "silent_endpoints",
	[COUNT_CONNECTIONS] = "connections",
	[COUNT_BAD_REQUESTS] = "bad_requests",
};

static const struct {
	const char *name;
	double share;
} percentiles[] = { { "0.5", 0.5 }, { "0.95", 0.95 }, { "0.99", 0.99 } };

/**
 * fwd_stats_init() - start all counters at zero.
 * @stats: the counters
 */
void
fwd_stats_init(struct fwd_stats *stats)
{
	stats->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stats->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/**
 * fwd_stats_clear() - free the histograms.
 * @stats: the counters
 */
void
fwd_stats_clear(struct fwd_stats *stats)
{
	g_hash_table_destroy(stats->routes);
	g_hash_table_destroy(stats->customers);
}

/**
 * fwd_stats_count() - count one.
 * @stats: the counters
 * @what: what happened
 */
void
fwd_stats_count(struct fwd_stats *stats, enum fwd_count what)
{
	stats->counts[what]++;
}

/* The histograms of a name; NULL where there are too many names. */
static struct fwd_latency *
stats_label(GHashTable *table, const char *name)
{
	struct fwd_latency *label = g_hash_table_lookup(table, name);

	if (label != NULL || g_hash_table_size(table) >= FWD_STATS_LABELS_MAX)
		return (label);
	label = g_new0(struct fwd_latency, 1);
	g_hash_table_insert(table, g_strdup(name), label);
	return (label);
}

static void
label_add(struct fwd_latency *label, uint64_t first_us, uint64_t whole_us)
{
	if (label == NULL)
		return;
	histogram_add(&label->first_us, first_us);
	histogram_add(&label->total_us, whole_us);
}

/**
 * fwd_stats_add_latency() - count one answer's times.
 * @stats: the counters
 * @route: name of its route
 * @customer: who asked, or NULL
 * @first_us: to the first byte
 * @whole_us: to the end
 */
void
fwd_stats_add_latency(struct fwd_stats *stats, const char *route,
    const char *customer, uint64_t first_us, uint64_t whole_us)
{
	label_add(stats_label(stats->routes, route), first_us, whole_us);
	if (customer != NULL)
		label_add(stats_label(stats->customers, customer), first_us,
		    whole_us);
}

static void
print_histogram(GString *out, const char *name, const char *kind,
    const char *label, struct histogram *h)
{
	for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++)
		g_string_append_printf(out,
		    "banklift_%s_us{%s=\"%s\",quantile=\"%s\"} %llu\n", name,
		    kind, label, percentiles[i].name,
		    (unsigned long long)histogram_percentile(h,
			percentiles[i].share));
	g_string_append_printf(out, "banklift_%s_us_count{%s=\"%s\"} %llu\n",
	    name, kind, label, (unsigned long long)atomic_load(&h->total));
}

static void
print_labels(GString *out, const char *kind, GHashTable *table)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct fwd_latency *label = value;

		print_histogram(out, "first_byte", kind, name,
		    &label->first_us);
		print_histogram(out, "whole_answer", kind, name,
		    &label->total_us);
	}
}

/**
 * fwd_stats_print() - write all counters and histograms.
 * @stats: the counters
 * @out: text to append to
 */
void
fwd_stats_print(const struct fwd_stats *stats, GString *out)
{
	for (size_t i = 0; i < COUNT_KINDS; i++)
		g_string_append_printf(out, "banklift_%s_total %llu\n",
		    count_names[i], (unsigned long long)stats->counts[i]);
	print_labels(out, "route", stats->routes);
	print_labels(out, "customer", stats->customers);
}
