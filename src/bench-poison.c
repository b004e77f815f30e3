/* Benchmark poison: schemes to bound the crashes that requests cause. */
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "poison-model.h"

/* Time until all daemons agree, and time over which attempts arrive. */
#define SETTLE_MS 6000
#define ATTEMPTS_MS 20000
/* Maximum number of daemons in a failure domain. */
#define DAEMONS_PER_DOMAIN 36
/* Endpoints that daemons send requests to. */
#define ENDPOINTS 18

static const struct poison_scheme *const schemes[] = { &poison_scheme_alone,
	&poison_scheme_two, &poison_scheme_once, &poison_scheme_told };

/*
 * Prints, with a scheme, crashes per request, late sends, the time of the last
 * crash, other requests refused, and traffic.
 */
static void
print_scheme(const struct poison_scheme *scheme, unsigned daemons, double per_s,
    unsigned requests)
{
	unsigned domains =
	    MAX(3, (daemons + DAEMONS_PER_DOMAIN - 1) / DAEMONS_PER_DOMAIN);
	struct fleet_model *fleet =
	    fleet_model_new(daemons, domains, ENDPOINTS, 1);
	struct poison_model *m =
	    poison_model_new(fleet, scheme, per_s, requests);
	struct model_stats stats;
	uint64_t start_ms;

	fleet_model_run(fleet, SETTLE_MS);
	fleet_model_set_load(fleet, 1);
	fleet_model_reset_counts(fleet);
	start_ms = fleet->now_ms;
	poison_model_run(m, ATTEMPTS_MS);
	fleet_model_measure(fleet, &stats);
	printf("  %5s %6.1f %4u %6.1f %4u %6.1f", scheme->name,
	    (double)m->n_crashes / requests, poison_model_late_max(m),
	    (double)(m->last_crash_ms - start_ms) / 1000,
	    poison_model_refused(m), stats.received_bytes_s / 1000);
	poison_model_free(m);
	fleet_model_free(fleet);
}

/* bench poison [DAEMONS]: endpoints lost, and other requests refused. */
static int
bench_poison_exec(int argc, const char **argv)
{
	static const unsigned sizes[] = { 9, 30, 100, 300, 400 };
	static const struct {
		double per_s;
		unsigned requests;
	} rows[] = { { 1, 1 }, { 5, 1 }, { 20, 1 }, { 1, 20 } };

	event_log_open("banklift-bench", LOG_ERR);
	printf("daemons, attempts a second, works, and of each way: ends each, "
	       "late sends,\nlast end s, others refused, KB/s heard\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (argc == 1 && sizes[i] != (unsigned)atoi(argv[0]))
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(rows); k++) {
			printf("%4u %3.0f %3u", sizes[i], rows[k].per_s,
			    rows[k].requests);
			for (size_t w = 0; w < G_N_ELEMENTS(schemes); w++)
				print_scheme(schemes[w], sizes[i],
				    rows[k].per_s, rows[k].requests);
			printf("\n");
			fflush(stdout);
		}
	}
	return (0);
}

const struct bench_entry bench_poison_entry = {
	.name = "poison",
	.help = "[daemons]: schemes to bound crashes caused by requests",
	.exec = bench_poison_exec,
};
