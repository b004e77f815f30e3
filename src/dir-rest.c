/* The rest that an endpoint asks this daemon for. Pure. */
#include <math.h>

#include "dir-rest.h"

/* Of an endpoint that asks for rest and gives no duration that can be read:
 * about what endpoints were seen to ask for. */
#define REST_UNREADABLE_MS 1000
/* No endpoint is left alone for longer on its word. */
#define REST_MOST_MS 300000

/**
 * endpoint_rest_ask() - an endpoint asks for rest.
 * @rest: what it asked for before
 * @ms: how long, from now on; NAN where that can't be read
 * @now_ms: loop time
 *
 * A shorter rest does not end a longer one that it asked for before.
 *
 * Return: the duration that it gets, in ms.
 */
uint64_t
endpoint_rest_ask(struct endpoint_rest *rest, double ms, uint64_t now_ms)
{
	uint64_t granted = REST_UNREADABLE_MS;

	if (!isnan(ms))
		granted = (uint64_t)fmin(fmax(ceil(ms), 0), REST_MOST_MS);
	if (now_ms + granted > rest->until_ms)
		rest->until_ms = now_ms + granted;
	return (granted);
}

/**
 * endpoint_rest_holds() - whether an endpoint's rest lasts.
 * @rest: what it asked for
 * @now_ms: loop time
 */
bool
endpoint_rest_holds(const struct endpoint_rest *rest, uint64_t now_ms)
{
	return (now_ms < rest->until_ms);
}
