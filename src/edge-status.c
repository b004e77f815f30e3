/* Readiness and metrics of the daemon. */
#include <sys/resource.h>

#include "clock.h"
#include "edge.h"

/**
 * edge_is_ready() - whether clients should be sent here.
 * @e: the daemon
 *
 * A daemon is ready if it is not draining and has a configuration and the
 * endpoints. If clients need keys that fail closed, the configuration must also
 * be known to have been the newest within key_proof_ms.
 */
bool
edge_is_ready(struct edge *e)
{
	uint64_t now = clock_loop_ms(e->loop);

	if (e->draining_since_ms != 0 || e->registry.catalog == NULL ||
	    !e->registry.endpoints.synced)
		return (false);
	return (!e->registry.catalog->requires_key ||
	    !e->fwd.set.keys_fail_closed ||
	    registry_config_age(&e->registry, now) < e->fwd.set.key_proof_ms);
}

/**
 * edge_serve_ready() - answer the load balancer's readiness check.
 * @arg: the struct edge
 * @path: the path, which does not matter
 * @body: filled in
 *
 * Return: the HTTP status, 200 or 503.
 */
unsigned
edge_serve_ready(void *arg, const char *path, GString *body)
{
	struct edge *e = arg;
	bool ready = edge_is_ready(e);

	g_string_append(body, ready ? "ready\n" : "not ready\n");
	return (ready ? HTTP_STATUS_OK : HTTP_STATUS_SERVICE_UNAVAILABLE);
}

static void
print_value(GString *out, const char *name, double value)
{
	g_string_append_printf(out, "banklift_%s %.10g\n", name, value);
}

/* Prints the numbers of endpoints and of their states, as far as this daemon
 * knows them. */
static void
print_fleet(struct edge *e, GString *out)
{
	unsigned endpoints = 0, open = 0, cooling_down = 0;
	uint64_t now = clock_loop_ms(e->loop), opened = 0;
	unsigned lost = 0;
	const struct endpoint *ep;

	TAILQ_FOREACH(ep, &e->registry.fleet.endpoints, entry) {
		endpoints += !ep->gone;
		open += !ep->gone && ep->report.state == GROUP_OPEN;
		cooling_down += !ep->gone && now < ep->cooldown_until_ms;
		opened += ep->pool.n_opened;
		lost += !ep->gone && ep->pool.path.lost_ms != 0;
	}
	print_value(out, "endpoints", endpoints);
	print_value(out, "groups_open", open);
	print_value(out, "endpoints_resting", cooling_down);
	print_value(out, "endpoint_connections_opened", (double)opened);
	print_value(out, "endpoint_paths_lost", lost);
}

/* Prints what this daemon sends through others, and what they send through
 * it. */
static void
print_tunnels(const struct edge *e, GString *out)
{
	const struct net_tunnels *tunnels = &e->gateways.tunnels;

	if (tunnels->ops == NULL)
		return;
	print_value(out, "paths_lost_total", (double)tunnels->n_lost);
	print_value(out, "paths_restored_total", (double)tunnels->n_restored);
	print_value(out, "tunnels_opened_total", (double)tunnels->n_opened);
	print_value(out, "tunnels_served_total", (double)e->tunnels.n_served);
	print_value(out, "tunnels_refused_total", (double)e->tunnels.n_refused);
	print_value(out, "tunnels", e->tunnels.n_tunnels);
}

/* Prints how current the entries of endpoints are here, and what was missing.
 */
static void
print_entries(struct edge *e, GString *out)
{
	static const double quantiles[] = { 0.5, 0.99, 0.999 };
	static const char *const names[REPAIR_COUNTS] = {
		[REPAIR_GAPS] = "entries_gaps_total",
		[REPAIR_ASKED] = "entries_requests_total",
		[REPAIR_RESENT] = "entries_resent_total",
		[REPAIR_SPREAD] = "entries_resent_to_cell_total",
		[REPAIR_UNKNOWN] = "entries_requests_unknown_total",
		[REPAIR_PACED] = "entries_not_resent_total",
	};
	struct mesh_repair *repair = &e->mesh.repair;
	uint64_t now = clock_loop_ms(e->loop);

	print_value(out, "endpoints_age_ms",
	    (double)topic_follower_copy_age(&e->registry.endpoints, now));
	print_value(out, "entries_gap_ms",
	    repair->gap_ms != 0 ? (double)(now - MIN(repair->gap_ms, now)) : 0);
	print_value(out, "entries_refused_total",
	    (double)e->registry.n_refused);
	for (int i = 0; i < REPAIR_COUNTS; i++)
		print_value(out, names[i], (double)repair->counts[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++)
		g_string_append_printf(out,
		    "banklift_entries_delay_ms{quantile=\"%g\"} %llu\n",
		    quantiles[i],
		    (unsigned long long)histogram_percentile(&repair->delays,
			quantiles[i]));
	print_value(out, "datagrams_unsent_total", (double)e->mesh.n_unsent);
}

/* Prints downtime and stranded hosts of services, if this daemon is the
 * placer. */
static void
print_placement(struct edge *e, GString *out)
{
	GHashTableIter iter;
	gpointer name, usage;

	if (e->placer.state != PLACER_HOLDING)
		return;
	g_hash_table_iter_init(&iter, e->placer.usage);
	while (g_hash_table_iter_next(&iter, &name, &usage))
		service_usage_print(usage, name, out);
}

/**
 * edge_serve_metrics() - print all metrics.
 * @arg: the struct edge
 * @path: the path, which does not matter
 * @body: filled in
 *
 * Return: the HTTP status, always 200.
 */
unsigned
edge_serve_metrics(void *arg, const char *path, GString *body)
{
	struct edge *e = arg;
	uint64_t now = clock_loop_ms(e->loop);
	struct rusage usage;

	fwd_stats_print(&e->fwd.stats, body);
	fwd_level_print(&e->fwd, body);
	fwd_share_print(&e->fwd, body);
	fwd_stats_print_shares(&e->fwd.stats, now, body);
	print_fleet(e, body);
	print_tunnels(e, body);
	print_placement(e, body);
	print_value(body, "exchanges", e->fwd.n_exchanges);
	print_value(body, "held_bytes", (double)e->fwd.held_bytes);
	print_value(body, "held_max_bytes", (double)e->fwd.set.held_max_bytes);
	print_value(body, "peers", mesh_count_alive(&e->mesh));
	print_value(body, "placer", e->placer.state == PLACER_HOLDING);
	print_value(body, "reader", e->registry.endpoints.reader);
	print_value(body, "placer_term", (double)e->placer.term);
	print_value(body, "config_version",
	    e->registry.catalog != NULL ? (double)e->registry.catalog->version :
					  -1);
	print_value(body, "domains_evacuated", e->registry.evacuations.n);
	print_value(body, "config_age_ms",
	    (double)registry_config_age(&e->registry, now));
	print_entries(e, body);
	for (int t = 0; t < TOPIC_COUNT; t++)
		g_string_append_printf(body,
		    "banklift_store_calls_total{topic=\"%s\"} %llu\n",
		    store_topic_name((enum store_topic)t),
		    (unsigned long long)e->store->calls[t]);
	print_value(body, "store_failures_total", (double)e->store->failures);
	if (getrusage(RUSAGE_SELF, &usage) == 0)
		print_value(body, "resident_peak_kb", (double)usage.ru_maxrss);
	return (HTTP_STATUS_OK);
}
