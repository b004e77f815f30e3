/* Cooldowns of endpoints that were found silent. Does no I/O. */
#include "registry-silence.h"

/* How long it is avoided once it is heard of: one that falls silent again and
 * again is slow. */
#define COOLDOWN_HEARD_MS 500

/**
 * endpoint_note_silent() - start the cooldown of an endpoint that was found
 *	silent.
 * @ep: the endpoint
 * @now_ms: loop time
 */
void
endpoint_note_silent(struct endpoint *ep, uint64_t now_ms)
{
	ep->silent_until_ms = now_ms + COOLDOWN_SILENT_MS;
	ep->cooldown_until_ms = MAX(ep->cooldown_until_ms, ep->silent_until_ms);
}

/**
 * endpoint_note_heard() - note bytes from an endpoint: a cooldown because of
 *	silence ends soon.
 * @ep: the endpoint
 * @now_ms: loop time
 */
void
endpoint_note_heard(struct endpoint *ep, uint64_t now_ms)
{
	ep->heard_ms = now_ms;
	if (ep->silent_until_ms == 0)
		return;
	if (ep->cooldown_until_ms == ep->silent_until_ms)
		ep->cooldown_until_ms =
		    MIN(ep->cooldown_until_ms, now_ms + COOLDOWN_HEARD_MS);
	ep->silent_until_ms = 0;
}
