/* Bench: ways to bound what work does that ends endpoints. */
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "poison-model.h"

/* Until all daemons agree, and how long the work comes. */
#define SETTLE_MS 6000
#define COME_MS 20000
/* Daemons of each failure domain. */
#define CELL 36
/* Endpoints that daemons have work at. */
#define ENDPOINTS 18

static const struct poison_scheme *const ways[] = { &poison_scheme_alone,
	&poison_scheme_two, &poison_scheme_once, &poison_scheme_told };

/* Prints what a way gives. */
static void
print_way(const struct poison_scheme *way, unsigned daemons, double per_s,
    unsigned works)
{
	unsigned domains = MAX(3, (daemons + CELL - 1) / CELL);
	struct fleet_model *fleet =
	    fleet_model_new(daemons, domains, ENDPOINTS, 1);
	struct poison_model *m = poison_model_new(fleet, way, per_s, works);
	struct model_stats sight;
	uint64_t began;

	fleet_model_run(fleet, SETTLE_MS);
	fleet_model_set_load(fleet, 1);
	fleet_model_reset_counts(fleet);
	began = fleet->now_ms;
	poison_model_run(m, COME_MS);
	fleet_model_measure(fleet, &sight);
	printf("  %5s %6.1f %4u %6.1f %4u %6.1f", way->name,
	    (double)m->n_crashes / works, poison_model_late_max(m),
	    (double)(m->last_crash_ms - began) / 1000, poison_model_refused(m),
	    sight.received_bytes_s / 1000);
	poison_model_free(m);
	fleet_model_free(fleet);
}

/* bench poison [DAEMONS]: endpoints lost to such work, and who is refused */
static int
exec_poison(int argc, const char **argv)
{
	static const unsigned sizes[] = { 9, 30, 100, 300, 400 };
	static const struct {
		double per_s;
		unsigned works;
	} rows[] = { { 1, 1 }, { 5, 1 }, { 20, 1 }, { 1, 20 } };

	event_log_open("banklift-bench", LOG_ERR);
	printf("daemons, attempts a second, works, and of each way: ends each, "
	       "late sends,\nlast end s, others refused, KB/s heard\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (argc == 1 && sizes[i] != (unsigned)atoi(argv[0]))
			continue;
		for (size_t k = 0; k < G_N_ELEMENTS(rows); k++) {
			printf("%4u %3.0f %3u", sizes[i], rows[k].per_s,
			    rows[k].works);
			for (size_t w = 0; w < G_N_ELEMENTS(ways); w++)
				print_way(ways[w], sizes[i], rows[k].per_s,
				    rows[k].works);
			printf("\n");
			fflush(stdout);
		}
	}
	return (0);
}

const struct bench_entry bench_poison_entry = {
	.name = "poison",
	.help = "[daemons]: ways to bound work that ends endpoints",
	.exec = exec_poison,
};
