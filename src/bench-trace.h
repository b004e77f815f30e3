/* Failure traces: what happens to the hosts of one failure domain over time. */
#ifndef BL_BENCH_TRACE_H
#define BL_BENCH_TRACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* What happens to a host. */
enum trace_kind {
	TRACE_DOWN,   /* stops responding */
	TRACE_UP,     /* responds again; its memory is lost */
	TRACE_RESUME, /* responds again; its memory is kept */
	TRACE_LEAVE,  /* announces that it will leave */
};

/**
 * struct trace_event - one event of a host.
 * @at_ms: time since the start of the trace, in ms
 * @kind: what happens
 * @host: index of the host
 */
struct trace_event {
	uint64_t at_ms;
	enum trace_kind kind;
	int host;
};

/**
 * struct trace - one failure trace.
 * @n_hosts: number of hosts
 * @fabric: number of the fabric domain of each host
 * @n_fabrics: number of fabric domains
 * @size: hosts per replica
 * @wanted: number of replicas there should be
 * @load_ms: time to load one shard when it loads alone, in ms
 * @parallel: loads that the weight store serves at once
 * @end_ms: duration of the trace, in ms
 * @events: array of struct trace_event, sorted by time
 */
struct trace {
	int n_hosts;
	int *fabric;
	int n_fabrics;
	int size;
	int wanted;
	uint64_t load_ms;
	int parallel;
	uint64_t end_ms;
	GArray *events;
};

bool trace_read(struct trace *, const char *, GError **);
void trace_clear(struct trace *);

#endif
