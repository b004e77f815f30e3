/* Derives the validity of targets from the evidence of their hosts. */
#ifndef BL_PUBLISH_H
#define BL_PUBLISH_H

#include <stdint.h>

#include "inventory.h"
#include "state.h"
#include "view.h"

void publish_evidence(const struct state *, struct inventory *,
    struct view_tables *, uint64_t);

#endif
