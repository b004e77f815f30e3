/* Benchmark limits: schemes to share an endpoint's limit among daemons. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <syslog.h>
#include <time.h>

#include "bench.h"
#include "event-log.h"
#include "limit-model.h"

/* Time until all daemons agree, and time over which requests are counted. */
#define SETTLE_MS 6000
#define MEASURE_MS 30000
/* Maximum number of daemons in a failure domain. */
#define DAEMONS_PER_DOMAIN 36
/*
 * Requests a second of each busy daemon for the endpoint: at least the usual
 * rate in a large fleet, and at least so many that all daemons together have
 * this multiple of the limit.
 */
#define DEMAND_MIN_PER_S 2.0
#define DEMAND_FACTOR 4.0
/* Duration of the measurement of costs, and the limit of endpoints in it. */
#define COST_RUN_S 5
#define COST_LIMIT_PER_S 5.0

static const struct limit_scheme *const schemes[] = { &limit_scheme_equal,
	&limit_scheme_demand, &limit_scheme_owner, &limit_scheme_users };

/*
 * Prints, for a scheme, the number of requests over the limit and the part of
 * the limit that is used. Every busy-th daemon has requests.
 */
static void
print_scheme(const struct limit_scheme *scheme, unsigned daemons, unsigned busy,
    double per_s)
{
	unsigned domains =
	    MAX(3, (daemons + DAEMONS_PER_DOMAIN - 1) / DAEMONS_PER_DOMAIN);
	struct fleet_model *fleet = fleet_model_new(daemons, domains, 1, 1);
	double demand =
	    fmax(DEMAND_MIN_PER_S, DEMAND_FACTOR * per_s * busy / daemons);
	struct limit_model *m = limit_model_new(fleet, scheme, demand, busy);

	fleet_model_run(fleet, SETTLE_MS);
	limit_model_set_limit(m, per_s);
	limit_model_run(m, MEASURE_MS);
	printf("  %8s %5u %5.2f", scheme->name, m->n_over, limit_model_used(m));
	limit_model_free(m);
	fleet_model_free(fleet);
}

/* Prints one row, with all schemes. */
static void
print_row(unsigned daemons, unsigned busy, double per_s)
{
	printf("%7u %5u %5.1f", daemons, busy, per_s);
	for (size_t i = 0; i < G_N_ELEMENTS(schemes); i++)
		print_scheme(schemes[i], daemons, busy, per_s);
	printf("\n");
	fflush(stdout);
}

/* Sets limits of some endpoints; each tells a different daemon each second. */
static void
set_limits(struct fleet_model *fleet, unsigned limited, unsigned second)
{
	for (unsigned i = 0; i < limited; i++) {
		struct model_daemon *d =
		    &fleet->daemons[(i + second) % fleet->n];
		g_autofree char *id = g_strdup_printf("e%u", i);
		struct endpoint *ep = fleet_find(&d->registry.fleet, id);

		ep->limit.heard_ms = fleet->now_ms;
		if (endpoint_limit_set(&ep->limit, COST_LIMIT_PER_S,
			fleet->now_ms))
			mesh_limit_changed(&d->mesh, ep);
	}
}

/* Prints traffic and CPU time; limited is how many endpoints have a limit. */
static void
print_cost(unsigned daemons, unsigned domains, unsigned endpoints,
    unsigned limited)
{
	struct fleet_model *fleet =
	    fleet_model_new(daemons, domains, endpoints, 1);
	struct model_stats stats;
	clock_t start;

	fleet_model_run(fleet, SETTLE_MS);
	set_limits(fleet, limited, 0);
	fleet_model_run(fleet, SETTLE_MS);
	fleet_model_reset_counts(fleet);
	start = clock();
	for (unsigned s = 0; s < COST_RUN_S; s++) {
		set_limits(fleet, limited, s);
		fleet_model_run(fleet, 1000);
	}
	fleet_model_measure(fleet, &stats);
	printf("%7u %9u %7u %9.0f %9.0f %9.3f\n", daemons, endpoints, limited,
	    stats.received_bytes_s, stats.sent_bytes_max_s,
	    1000.0 * (double)(clock() - start) / CLOCKS_PER_SEC /
		(daemons * COST_RUN_S));
	fleet_model_free(fleet);
}

/* bench limits cost: bytes and CPU time spent on the exchange of limits. */
static void
print_costs(void)
{
	static const unsigned limited[] = { 0, 1, 16, 128, 375 };

	printf("daemons endpoints limited heard B/s  most B/s  ms/s of all\n");
	for (size_t i = 0; i < G_N_ELEMENTS(limited); i++)
		print_cost(400, 11, 375, limited[i]);
	for (size_t i = 0; i < 3; i++)
		print_cost(9, 3, 18, MIN(limited[i], 18));
}

/* bench limits [DAEMONS]: requests over the limit, and the part of it used. */
static int
bench_limits_exec(int argc, const char **argv)
{
	static const unsigned sizes[] = { 9, 30, 100, 300, 400 };
	static const double limits[] = { 0.5, 1.3, 5, 20 };

	event_log_open("banklift-bench", LOG_ERR);
	if (argc == 1 && strcmp(argv[0], "cost") == 0) {
		print_costs();
		return (0);
	}
	printf(
	    "daemons busy limit, and of each way requests over, part used\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (argc == 1 && sizes[i] != (unsigned)atoi(argv[0]))
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(limits); k++)
			print_row(sizes[i], 1, limits[k]);
		print_row(sizes[i], 3, limits[1]);
	}
	return (0);
}

const struct bench_entry bench_limits_entry = {
	.name = "limits",
	.help = "[daemons | cost]: schemes to share an endpoint's limit",
	.exec = bench_limits_exec,
};
