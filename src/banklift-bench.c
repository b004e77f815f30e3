/* banklift-bench: benchmarks that give the tables of docs/MEASUREMENTS.md. */
#include <stdio.h>
#include <string.h>

#include "bench.h"

static const struct bench_entry *const bench_table[] = {
	&bench_placement_entry,
	&bench_routing_entry,
	&bench_choice_entry,
	&bench_slopes_entry,
	&bench_fleet_entry,
	&bench_entries_entry,
	&bench_limits_entry,
	&bench_poison_entry,
	&bench_parts_entry,
	NULL,
};

int
main(int argc, const char **argv)
{
	for (size_t i = 0; argc > 1 && bench_table[i] != NULL; i++) {
		if (strcmp(bench_table[i]->name, argv[1]) == 0)
			return (bench_table[i]->exec(argc - 2, argv + 2));
	}
	fprintf(stderr, "usage: banklift-bench bench [arguments]\n");
	for (size_t i = 0; bench_table[i] != NULL; i++)
		fprintf(stderr, "  %-12s%s\n", bench_table[i]->name,
		    bench_table[i]->help);
	return (2);
}
