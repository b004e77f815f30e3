/* Counters and histograms of one label: a customer, a class or a policy. */
#include <inttypes.h>

#include "series.h"

static void
print_counter(GString *out, const char *what, const char *label,
    const char *value, uint64_t n)
{
	g_string_append_printf(out, "banklift_%s{%s=\"%s\"} %" PRIu64 "\n",
	    what, label, value, n);
}

static void
print_histogram(GString *out, const char *what, const char *label,
    const char *value, struct histogram *h)
{
	static const double shares[] = { 0.5, 0.95, 0.99 };

	for (size_t i = 0; i < G_N_ELEMENTS(shares); i++)
		g_string_append_printf(out,
		    "banklift_%s{%s=\"%s\",quantile=\"%g\"} %" PRIu64 "\n",
		    what, label, value, shares[i],
		    histogram_percentile(h, shares[i]));
	g_string_append_printf(out,
	    "banklift_%s_count{%s=\"%s\"} %" PRIu64
	    "\nbanklift_%s_sum{%s=\"%s\"} %" PRIu64 "\n",
	    what, label, value, (uint64_t)atomic_load(&h->total), what, label,
	    value, (uint64_t)atomic_load(&h->sum));
}

/**
 * series_print() - append a series to the metrics page.
 * @s: the series
 * @label: "customer", "class" or "policy"
 * @value: the label's value
 * @out: the page
 */
void
series_print(struct series *s, const char *label, const char *value,
    GString *out)
{
	print_counter(out, "requests_whole", label, value, s->whole);
	print_counter(out, "requests_not_run", label, value, s->not_run);
	print_counter(out, "requests_unknown", label, value, s->unknown);
	print_counter(out, "requests_refused", label, value, s->refused);
	print_counter(out, "endpoint_calls", label, value, s->calls);
	print_counter(out, "tokens", label, value, s->tokens);
	print_histogram(out, "first_byte_us", label, value, &s->first_byte_us);
	print_histogram(out, "gap_us", label, value, &s->gap_us);
	print_histogram(out, "total_us", label, value, &s->total_us);
}
