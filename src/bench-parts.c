/* Benchmark parts: prompt parts that crash endpoints. */
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "part-model.h"

/* Time until all daemons agree, time over which normal requests arrive alone,
 * and over which others do as well. */
#define SETTLE_MS 6000
#define NORMAL_MS 3000
#define FAULTY_MS 20000
/* Maximum number of daemons in a failure domain. */
#define DAEMONS_PER_DOMAIN 36
/* Endpoints that daemons send requests to. */
#define ENDPOINTS 18

/* Prints crashes, late sends, normal requests refused early and later, in
 * thousandths, and traffic. */
static void
print_load(unsigned daemons, const struct part_load *load)
{
	unsigned domains = MIN(MODEL_DOMAINS_MAX,
	    MAX(3, (daemons + DAEMONS_PER_DOMAIN - 1) / DAEMONS_PER_DOMAIN));
	struct fleet_model *fleet =
	    fleet_model_new(daemons, domains, ENDPOINTS, 1);
	struct part_load normal = *load;
	struct part_model *m;
	struct model_stats stats;

	normal.faulty_per_s = 0;
	m = part_model_new(fleet, &normal);
	fleet_model_run(fleet, SETTLE_MS);
	fleet_model_set_load(fleet, 1);
	part_model_run(m, NORMAL_MS);
	fleet_model_reset_counts(fleet);
	m->load = *load;
	part_model_run(m, FAULTY_MS);
	fleet_model_measure(fleet, &stats);
	printf("  %5u %5u %6u %6.1f %6.1f", m->n_crashes, m->n_late,
	    m->n_refused_early, 1000.0 * m->n_refused / MAX(m->n_normal, 1),
	    stats.received_bytes_s / 1000);
	part_model_free(m);
	fleet_model_free(fleet);
}

/* bench parts [DAEMONS]: endpoints lost, and normal requests refused. */
static int
bench_parts_exec(int argc, const char **argv)
{
	static const unsigned sizes[] = { 9, 30, 100, 300, 984, 2000 };
	static const struct {
		double faulty_per_s;
		double normal_per_s;
	} rows[] = { { 5, 25 }, { 20, 40 }, { 40, 200 } };

	event_log_open("banklift-bench", LOG_ERR);
	printf("daemons, faulty and normal requests a second; clearing and "
	       "withdrawing, clearing,\nneither: ends, late sends, normal ones "
	       "refused early, then in thousandths, KB/s heard\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (argc == 1 && sizes[i] != (unsigned)atoi(argv[0]))
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(rows); k++) {
			struct part_load load = { rows[k].faulty_per_s,
				rows[k].normal_per_s, true, true };

			printf("%4u %3.0f %3.0f", sizes[i],
			    rows[k].faulty_per_s, rows[k].normal_per_s);
			print_load(sizes[i], &load);
			load.withdraws = false;
			print_load(sizes[i], &load);
			load.clears = false;
			print_load(sizes[i], &load);
			printf("\n");
			fflush(stdout);
		}
	}
	return (0);
}

const struct bench_entry bench_parts_entry = {
	.name = "parts",
	.help = "[daemons]: prompt parts that crash endpoints",
	.exec = bench_parts_exec,
};
