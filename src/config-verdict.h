/* Verdicts of recent changes, kept for the threads that wrote them. */
#ifndef BL_CONFIG_VERDICT_H
#define BL_CONFIG_VERDICT_H

#include "config.h"

struct config_verdict;

void config_verdict_note(struct config *, json_t *, uint64_t, enum verdict,
    const GError *);
bool config_verdict_find(struct config *, const char *, enum verdict *,
    uint64_t *, GError **);
void config_verdict_free(void *);

#endif
