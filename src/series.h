/* Counters and histograms of one label: a customer, a class or a policy. */
#ifndef BL_SERIES_H
#define BL_SERIES_H

#include <glib.h>
#include <stdatomic.h>

#include "histogram.h"

/**
 * struct series - what is counted for one label.
 * @whole: requests that got the whole answer
 * @not_run: requests that were told "not run"
 * @unknown: requests whose outcome is unknown
 * @refused: those of @not_run that a limit refused
 * @calls: calls to endpoints
 * @tokens: chunks given to callers
 * @first_byte_us: microseconds to the first byte of the answer
 * @gap_us: microseconds between chunks
 * @total_us: microseconds to the end of the answer
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
