/* The benchmarks of banklift-bench; each has a file with its table entry. */
#ifndef BL_BENCH_H
#define BL_BENCH_H

/**
 * struct bench_entry - one benchmark.
 * @name: name on the command line
 * @help: one-line description
 * @exec: runs it with the arguments after its name; returns the exit code
 */
struct bench_entry {
	const char *name;
	const char *help;
	int (*exec)(int, const char **);
};

extern const struct bench_entry bench_placement_entry;
extern const struct bench_entry bench_routing_entry;
extern const struct bench_entry bench_slopes_entry;
extern const struct bench_entry bench_choice_entry;
extern const struct bench_entry bench_entries_entry;
extern const struct bench_entry bench_fleet_entry;
extern const struct bench_entry bench_limits_entry;
extern const struct bench_entry bench_poison_entry;
extern const struct bench_entry bench_parts_entry;

#endif
