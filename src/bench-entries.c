/*
 * Benchmark entries: how soon all daemons of a fleet know the entries that one
 * of them reads, by the rate of changes and by lost datagrams. The store
 * answers relays only, so that members depend on what other daemons send them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "fleet-model.h"

/* Time until all daemons agree, of the stream, and after it. */
#define SETTLE_MS 3000
#define STREAM_MS 6000
#define REST_MS 3000
/* Interval between two reads that find changes. */
#define READ_MS 100
#define ENDPOINTS 8

/* Has the store refuse all daemons that aren't relays. */
static void
refuse_members(struct fleet_model *model)
{
	for (unsigned i = 0; i < model->n; i++) {
		struct mesh *mesh = &model->daemons[i].mesh;

		mesh->self.store_ok = mesh->relay == NULL;
	}
}

/* Runs one stream of changes and prints its row. */
static void
print_row(unsigned daemons, unsigned domains, unsigned per_s, unsigned loss)
{
	struct fleet_model *model =
	    fleet_model_new(daemons, domains, ENDPOINTS, 1);
	struct model_entry_stats stats;
	struct histogram *delays = &model->entry_delays;

	fleet_model_run(model, SETTLE_MS);
	refuse_members(model);
	model->loss = loss;
	fleet_model_stream(model, per_s * READ_MS / 1000, READ_MS, STREAM_MS);
	fleet_model_run(model, STREAM_MS + REST_MS);
	fleet_model_measure_entries(model, &stats);
	printf("%7u %9u %6.1f %9.4f %7llu %7llu %7llu %8llu\n", daemons, per_s,
	    loss / 10.0, stats.n > 0 ? (double)stats.late / (double)stats.n : 0,
	    (unsigned long long)histogram_percentile(delays, 0.5),
	    (unsigned long long)histogram_percentile(delays, 0.999),
	    (unsigned long long)stats.longest_ms,
	    (unsigned long long)stats.lacking);
	fleet_model_free(model);
}

/* bench entries [DAEMONS DOMAINS]: times until all daemons know changes. */
static int
bench_entries_exec(int argc, const char **argv)
{
	static const unsigned rates[] = { 50, 200, 400 };
	static const unsigned losses[] = { 0, 10, 20, 50 };
	unsigned daemons = argc == 2 ? (unsigned)atoi(argv[0]) : 984;
	unsigned domains = argc == 2 ? (unsigned)atoi(argv[1]) : 5;

	event_log_open("banklift-bench", LOG_ERR);
	printf("daemons entries/s loss %% over 1 s  p50 ms p999 ms last ms  "
	       "lacking\n");
	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		for (size_t j = 0; j < G_N_ELEMENTS(losses); j++)
			print_row(daemons, domains, rates[i], losses[j]);
	}
	return (0);
}

const struct bench_entry bench_entries_entry = {
	.name = "entries",
	.help = "[daemons domains]: times until all daemons know changes",
	.exec = bench_entries_exec,
};
