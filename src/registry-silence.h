/* Cooldowns of endpoints that were found silent. Does no I/O. */
#ifndef BL_REGISTRY_SILENCE_H
#define BL_REGISTRY_SILENCE_H

#include "registry-fleet.h"

/* How long a silent endpoint is avoided: by then the platform has reported it
 * broken. */
#define COOLDOWN_SILENT_MS 5000

void endpoint_note_silent(struct endpoint *, uint64_t);
void endpoint_note_heard(struct endpoint *, uint64_t);

#endif
