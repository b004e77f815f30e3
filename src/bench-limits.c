/* Bench: ways to share an endpoint's limit among daemons. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <syslog.h>

#include "bench.h"
#include "event-log.h"
#include "limit-model.h"

/* Until all daemons agree, and the time over which requests are counted. */
#define SETTLE_MS 6000
#define COUNT_MS 30000
/* Daemons of each failure domain. */
#define CELL 36
/* Requests a second that each daemon has for the endpoint: the usual ones of a
 * large fleet, or so many that all together have a multiple of the limit. */
#define DEMAND_USUAL 2.0
#define DEMAND_TIMES 4.0

static const struct limit_way *const ways[] = { &limit_way_equal,
	&limit_way_demand, &limit_way_owner, &limit_way_users };

/* Prints what a way gives. */
static void
print_way(const struct limit_way *way, unsigned daemons, unsigned busy,
    double per_s)
{
	unsigned domains = MAX(3, (daemons + CELL - 1) / CELL);
	struct fleet_model *fleet = fleet_model_new(daemons, domains, 1, 1);
	double demand =
	    fmax(DEMAND_USUAL, DEMAND_TIMES * per_s * busy / daemons);
	struct limit_model *m = limit_model_new(fleet, way, demand, busy);

	fleet_model_run(fleet, SETTLE_MS);
	limit_model_name(m, per_s);
	limit_model_run(m, COUNT_MS);
	printf("  %8s %5u %5.2f", way->name, m->over, limit_model_used(m));
	limit_model_free(m);
	fleet_model_free(fleet);
}

static void
print_row(unsigned daemons, unsigned busy, double per_s)
{
	printf("%7u %5u %5.1f", daemons, busy, per_s);
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++)
		print_way(ways[i], daemons, busy, per_s);
	printf("\n");
	fflush(stdout);
}

/* bench limits [DAEMONS]: requests over the allowance, part that is used */
static int
exec_limits(int argc, const char **argv)
{
	static const unsigned sizes[] = { 9, 30, 100, 300, 400 };
	static const double limits[] = { 0.5, 1.3, 5, 20 };

	event_log_open("banklift-bench", LOG_ERR);
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
	.help = "[daemons]: ways to share an endpoint's limit",
	.exec = exec_limits,
};
