/* The rest that an endpoint asks this daemon for. Pure. */
#ifndef BL_DIR_REST_H
#define BL_DIR_REST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct endpoint_rest - what one incarnation of an endpoint asked for.
 * @until_ms: loop time at which its rest ends; 0 where it asked for none
 * @announced: the end of this rest is yet to be logged
 * @probes_most: requests without an answer that it may have after the rest; 0
 *	for no bound
 * @probes: requests that it has under that bound, without an answer
 * @refusals: requests in a row that it turned away without asking for rest
 */
struct endpoint_rest {
	uint64_t until_ms;
	bool announced;
	unsigned probes_most;
	unsigned probes;
	unsigned refusals;
};

uint64_t endpoint_rest_read(double, uint64_t);
void endpoint_rest_ask(struct endpoint_rest *, uint64_t, uint64_t);
bool endpoint_rest_holds(const struct endpoint_rest *, uint64_t);
bool endpoint_rest_ended(struct endpoint_rest *, uint64_t);
bool endpoint_rest_has_room(const struct endpoint_rest *);
bool endpoint_rest_doubted(const struct endpoint_rest *);
bool endpoint_rest_probe(struct endpoint_rest *);
void endpoint_rest_probed(struct endpoint_rest *, bool);
uint64_t endpoint_rest_refused(struct endpoint_rest *);
void endpoint_rest_taken(struct endpoint_rest *);

#endif
