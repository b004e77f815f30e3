/*
 * Benchmark fleet: what daemons know of each other and the datagrams that this
 * takes, by the size of the fleet.
 */
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "fleet-model.h"

/* Time until all daemons agree, and time over which datagrams are counted. */
#define SETTLE_MS 3000
#define MEASURE_MS 5000
/* Requests in progress at each daemon: three a second of 1.5 s each. */
#define REQUESTS_PER_DAEMON 5

/* Runs a fleet of the given size and prints its row. */
static void
print_row(unsigned daemons, unsigned domains, unsigned endpoints)
{
	struct fleet_model *model =
	    fleet_model_new(daemons, domains, endpoints, 1);
	struct model_stats stats;

	fleet_model_run(model, SETTLE_MS);
	fleet_model_set_load(model, REQUESTS_PER_DAEMON);
	fleet_model_reset_counts(model);
	fleet_model_run(model, MEASURE_MS);
	fleet_model_measure(model, &stats);
	printf("%7u %7u %9u %6u %6u-%u %6.1f %8.1f %9.1f %9.0f %9.0f %6u\n",
	    daemons, domains, endpoints, stats.relays, stats.alive_min,
	    stats.alive_max, stats.sent_s, stats.sent_max_s, stats.received_s,
	    stats.received_bytes_s, stats.sent_bytes_max_s,
	    stats.relay_changes);
	fleet_model_free(model);
}

/* bench fleet [DAEMONS DOMAINS ENDPOINTS]: datagrams and bytes per second. */
static int
bench_fleet_exec(int argc, const char **argv)
{
	static const unsigned sizes[][3] = { { 7, 3, 8 }, { 30, 5, 20 },
		{ 100, 5, 40 }, { 300, 5, 86 }, { 400, 11, 375 } };

	event_log_open("banklift-bench", LOG_ERR);
	printf("daemons domains endpoints relays living  sent/s  most/s "
	       "  heard/s heard B/s  most B/s  moves\n");
	if (argc == 3) {
		print_row((unsigned)atoi(argv[0]), (unsigned)atoi(argv[1]),
		    (unsigned)atoi(argv[2]));
		return (0);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		print_row(sizes[i][0], sizes[i][1], sizes[i][2]);
	return (0);
}

const struct bench_entry bench_fleet_entry = {
	.name = "fleet",
	.help = "[daemons domains endpoints]: datagrams between daemons",
	.exec = bench_fleet_exec,
};
