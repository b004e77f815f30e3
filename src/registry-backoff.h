/* Backoff that an endpoint asks this daemon for. Does no I/O. */
#ifndef BL_REGISTRY_BACKOFF_H
#define BL_REGISTRY_BACKOFF_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_backoff - backoff from one incarnation of an endpoint.
 * @until_ms: loop time at which the backoff ends; 0 if it asked for none
 * @end_unlogged: the end of this backoff is yet to be logged
 * @max_probes: most unanswered requests after the backoff; 0 for no bound
 * @probes: unanswered requests that count towards @max_probes
 * @refusals: consecutive requests that it refused without asking for a backoff
 */
struct endpoint_backoff {
	uint64_t until_ms;
	bool end_unlogged;
	unsigned max_probes;
	unsigned probes;
	unsigned refusals;
};

uint64_t endpoint_backoff_normalize(double, uint64_t);
void endpoint_backoff_extend(struct endpoint_backoff *, uint64_t, uint64_t);
bool endpoint_backoff_active(const struct endpoint_backoff *, uint64_t);
bool endpoint_backoff_ended(struct endpoint_backoff *, uint64_t);
bool endpoint_backoff_admits(const struct endpoint_backoff *);
bool endpoint_backoff_probing(const struct endpoint_backoff *);
bool endpoint_backoff_begin_probe(struct endpoint_backoff *);
void endpoint_backoff_end_probe(struct endpoint_backoff *, bool);
uint64_t endpoint_backoff_refused(struct endpoint_backoff *);
void endpoint_backoff_accepted(struct endpoint_backoff *);

#endif
