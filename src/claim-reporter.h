/* Records finishes and releases of claims in the background. */
#ifndef BL_CLAIM_REPORTER_H
#define BL_CLAIM_REPORTER_H

#include <stdbool.h>

#include "claim-index.h"
#include "peer_rpc.h"

struct claim_reporter;

/* Sends a finish or release once; returns whether it was recorded. */
typedef bool claim_record_fn(void *, struct claim_request *);

struct claim_reporter *claim_reporter_create(claim_record_fn *, void *);
void claim_reporter_free(struct claim_reporter *);
void claim_reporter_add(struct claim_reporter *, enum claim_op_kind,
    const char *, const char *, int, const char *);

#endif
