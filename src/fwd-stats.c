/* Counters and latency histograms of the proxy. */
#include <string.h>

#include "fwd-stats.h"

static const char *const count_names[COUNT_KINDS] = {
	[COUNT_REQUESTS] = "requests",
	[COUNT_COMPLETED] = "answered",
	[COUNT_REFUSED] = "refused",
	[COUNT_DENIED] = "denied",
	[COUNT_FAILED] = "failed",
	[COUNT_CLIENT_LEFT] = "caller_left",
	[COUNT_SENT] = "sent",
	[COUNT_RETRIED] = "repeated",
	[COUNT_RESUMED] = "resumed",
	[COUNT_ABORTED] = "broken_off",
	[COUNT_NOT_RUN] = "not_run",
	[COUNT_BACKOFFS] = "rests_asked",
	[COUNT_DRAINING] = "endpoints_leaving",
	[COUNT_HELD_BACK] = "held_back",
	[COUNT_SENT_IN_BACKOFF] = "sent_in_rest",
	[COUNT_LIMITS] = "limits_named",
	[COUNT_SENT_LIMITED] = "sent_to_limited",
	[COUNT_LIMIT_HELD_BACK] = "limit_held_back",
	[COUNT_SENT_OVER_SHARE] = "sent_over_share",
	[COUNT_CRASHES] = "lost_at_endpoint",
	[COUNT_QUARANTINED] = "work_quarantined",
	[COUNT_REFUSED_POISON] = "refused_quarantined",
	[COUNT_STRAY_RESPONSES] = "stray_answers",
	[COUNT_SILENT_ENDPOINTS] = "silent_endpoints",
	[COUNT_SHARED_SILENCES] = "shared_silences",
	[COUNT_HEDGED] = "hedged",
	[COUNT_HEDGES_WON] = "hedges_won",
	[COUNT_HEDGES_LOST] = "hedges_lost",
	[COUNT_HEDGES_WITHHELD] = "hedges_withheld",
	[COUNT_CONNECTIONS] = "connections",
	[COUNT_BAD_REQUESTS] = "bad_requests",
};

static const char *const first_names[FIRST_RESULTS] = {
	[FIRST_IN_TIME] = "in_time",
	[FIRST_LATE_FORESEEN] = "late_foreseen",
	[FIRST_LATE_UNFORESEEN] = "late_unforeseen",
};

static const struct {
	const char *name;
	double share;
} percentiles[] = { { "0.5", 0.5 }, { "0.95", 0.95 }, { "0.99", 0.99 } };

static void
sends_free(gpointer data)
{
	struct fwd_sends *sends = data;

	g_free(sends->service);
	g_free(sends->domain);
	g_free(sends);
}

/**
 * fwd_stats_init() - initialize zeroed counters and histograms.
 * @stats: counters and histograms
 */
void
fwd_stats_init(struct fwd_stats *stats)
{
	stats->routes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stats->customers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stats->first_events =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	stats->sends = g_ptr_array_new_with_free_func(sends_free);
}

/**
 * fwd_stats_clear() - free the histograms.
 * @stats: counters and histograms
 */
void
fwd_stats_clear(struct fwd_stats *stats)
{
	g_hash_table_destroy(stats->routes);
	g_hash_table_destroy(stats->customers);
	g_hash_table_destroy(stats->first_events);
	g_ptr_array_free(stats->sends, TRUE);
}

/**
 * fwd_stats_count() - increment a counter.
 * @stats: counters and histograms
 * @what: the counter
 */
void
fwd_stats_count(struct fwd_stats *stats, enum fwd_count what)
{
	stats->counts[what]++;
}

/* Finds or creates the histograms of a name; NULL if there are too many names.
 */
static struct fwd_latency *
stats_latency(GHashTable *table, const char *name)
{
	struct fwd_latency *latency = g_hash_table_lookup(table, name);

	if (latency != NULL || g_hash_table_size(table) >= FWD_STATS_LABELS_MAX)
		return (latency);
	latency = g_new0(struct fwd_latency, 1);
	g_hash_table_insert(table, g_strdup(name), latency);
	return (latency);
}

static void
latency_add(struct fwd_latency *latency, uint64_t first_us, uint64_t total_us)
{
	if (latency == NULL)
		return;
	histogram_add(&latency->first_us, first_us);
	histogram_add(&latency->total_us, total_us);
}

/**
 * fwd_stats_add_latency() - add the latency of a complete response.
 * @stats: counters and histograms
 * @route: name of the route
 * @customer: name of the customer, or NULL
 * @first_us: time from the arrival of the request to the first byte
 * @total_us: time from the arrival of the request to the end
 */
void
fwd_stats_add_latency(struct fwd_stats *stats, const char *route,
    const char *customer, uint64_t first_us, uint64_t total_us)
{
	latency_add(stats_latency(stats->routes, route), first_us, total_us);
	if (customer != NULL)
		latency_add(stats_latency(stats->customers, customer), first_us,
		    total_us);
}

/**
 * fwd_stats_count_first() - count the first event of a response.
 * @stats: counters and histograms
 * @model: name of the model
 * @result: its result
 */
void
fwd_stats_count_first(struct fwd_stats *stats, const char *model,
    enum fwd_first_result result)
{
	uint64_t *counts = g_hash_table_lookup(stats->first_events, model);

	if (counts == NULL) {
		if (g_hash_table_size(stats->first_events) >=
		    FWD_STATS_LABELS_MAX)
			return;
		counts = g_new0(uint64_t, FIRST_RESULTS);
		g_hash_table_insert(stats->first_events, g_strdup(model),
		    counts);
	}
	counts[result]++;
}

static void
print_first_events(GString *out, GHashTable *table)
{
	GHashTableIter iter;
	gpointer model, counts;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &model, &counts)) {
		for (size_t i = 0; i < FIRST_RESULTS; i++)
			g_string_append_printf(out,
			    "banklift_first_events_total{model=\"%s\","
			    "result=\"%s\"} %llu\n",
			    (const char *)model, first_names[i],
			    (unsigned long long)((uint64_t *)counts)[i]);
	}
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
print_latencies(GString *out, const char *kind, GHashTable *table)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		struct fwd_latency *latency = value;

		print_histogram(out, "first_byte", kind, name,
		    &latency->first_us);
		print_histogram(out, "whole_answer", kind, name,
		    &latency->total_us);
	}
}

/**
 * fwd_stats_print() - append all counters and histograms in the text format of
 *	metrics.
 * @stats: counters and histograms
 * @out: text to append to
 */
void
fwd_stats_print(const struct fwd_stats *stats, GString *out)
{
	for (size_t i = 0; i < COUNT_KINDS; i++)
		g_string_append_printf(out, "banklift_%s_total %llu\n",
		    count_names[i], (unsigned long long)stats->counts[i]);
	print_first_events(out, stats->first_events);
	print_latencies(out, "route", stats->routes);
	print_latencies(out, "customer", stats->customers);
}

/* Finds or creates the sends of a service to a failure domain; NULL if there
 * are too many. */
static struct fwd_sends *
stats_sends(struct fwd_stats *stats, const char *service, const char *domain)
{
	struct fwd_sends *sends;

	for (guint i = 0; i < stats->sends->len; i++) {
		sends = stats->sends->pdata[i];
		if (strcmp(sends->service, service) == 0 &&
		    strcmp(sends->domain, domain) == 0)
			return (sends);
	}
	if (stats->sends->len >= FWD_STATS_SENDS_MAX)
		return (NULL);
	sends = g_new0(struct fwd_sends, 1);
	sends->service = g_strdup(service);
	sends->domain = g_strdup(domain);
	g_ptr_array_add(stats->sends, sends);
	return (sends);
}

/**
 * fwd_stats_count_send() - count a send to an endpoint.
 * @stats: counters and histograms
 * @service: name of the service
 * @domain: failure domain of the endpoint, or NULL
 * @now_ms: loop time
 */
void
fwd_stats_count_send(struct fwd_stats *stats, const char *service,
    const char *domain, uint64_t now_ms)
{
	struct fwd_sends *sends =
	    stats_sends(stats, service, domain != NULL ? domain : "");

	if (sends != NULL)
		fwd_rate_add(&sends->rate, now_ms);
}

/* Rate of all sends of a service. */
static double
service_rate(const struct fwd_stats *stats, const char *service,
    uint64_t now_ms)
{
	double sum = 0;

	for (guint i = 0; i < stats->sends->len; i++) {
		const struct fwd_sends *sends = stats->sends->pdata[i];

		if (strcmp(sends->service, service) == 0)
			sum += fwd_rate_per_s(&sends->rate, now_ms);
	}
	return (sum);
}

/**
 * fwd_stats_print_shares() - append which part of this daemon's requests goes
 *	to each failure domain, for each service.
 * @stats: counters and histograms
 * @now_ms: loop time
 * @out: text to append to
 */
void
fwd_stats_print_shares(const struct fwd_stats *stats, uint64_t now_ms,
    GString *out)
{
	for (guint i = 0; i < stats->sends->len; i++) {
		const struct fwd_sends *sends = stats->sends->pdata[i];
		double sum = service_rate(stats, sends->service, now_ms);

		if (sum > 0)
			g_string_append_printf(out,
			    "banklift_domain_share{service=\"%s\","
			    "domain=\"%s\"} %.3f\n",
			    sends->service, sends->domain,
			    fwd_rate_per_s(&sends->rate, now_ms) / sum);
	}
}
