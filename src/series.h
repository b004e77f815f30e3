/* Counters and histograms of one customer, priority class or routing policy. */
#ifndef BL_SERIES_H
#define BL_SERIES_H

#include <glib.h>
#include <stdatomic.h>

#include "histogram.h"

/**
 * struct series - counters and histograms of one label value.
 * @whole: requests that got the complete response
 * @not_run: requests that were answered with outcome not_run
 * @unknown: requests whose outcome is unknown
 * @refused: requests of @not_run that were refused by a limit
 * @calls: calls to endpoints
 * @tokens: chunks sent to clients
 * @first_byte_us: microseconds to the first byte of the response
 * @gap_us: microseconds between chunks
 * @total_us: microseconds to the end of the response
 */
struct series {
	_Atomic uint64_t whole;
	_Atomic uint64_t not_run;
	_Atomic uint64_t unknown;
	_Atomic uint64_t refused;
	_Atomic uint64_t calls;
	_Atomic uint64_t tokens;
	struct histogram first_byte_us;
	struct histogram gap_us;
	struct histogram total_us;
};

void series_print(struct series *, const char *, const char *, GString *);

#endif
