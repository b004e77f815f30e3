/* Claims on request ids, so that a non-idempotent request runs at most once. */
#ifndef BL_CLAIMS_H
#define BL_CLAIMS_H

#include <glib.h>
#include <stdint.h>

#include "claim-index.h"
#include "peer_rpc.h"

struct claims;
struct server;

/**
 * struct claim_result - what an attempt learnt.
 * @verdict: CLAIM_GRANTED, or why it must not dispatch
 * @status: recorded status, for CLAIM_DONE
 * @body: recorded answer, for CLAIM_DONE, or NULL; free with g_free()
 */
struct claim_result {
	enum claim_verdict verdict;
	int status;
	char *body;
};

struct claims *claims_create(struct server *);
void claims_free(struct claims *);
void claims_acquire(struct claims *, const char *, const char *, uint64_t,
    uint64_t, struct claim_result *);
void claims_report(struct claims *, enum claim_op_kind, const char *,
    const char *, int, const char *);
void claims_serve(struct claims *, const struct claim_request *,
    struct claim_answer *);
void claims_note_decision(struct claims *, enum claim_op_kind, const char *,
    const struct claim_answer *);

#endif
