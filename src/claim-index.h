/*
 * Index of the claims on request ids of one partition. Its content is a
 * function of the records of the partition's log stream up to an offset, so all
 * daemons compute the same.
 */
#ifndef BL_CLAIM_INDEX_H
#define BL_CLAIM_INDEX_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest response that is recorded for a claim, in bytes. */
#define CLAIM_BODY_MAX 1024

/**
 * enum claim_op_kind - operations on a request id.
 * @CLAIM_OP_CLAIM: claim it; the first in the log stream wins
 * @CLAIM_OP_FINISH: record the response; needs the claim's token
 * @CLAIM_OP_RELEASE: release it, as the request did not run; needs the claim's
 *	token
 */
enum claim_op_kind {
	CLAIM_OP_CLAIM = 1,
	CLAIM_OP_FINISH,
	CLAIM_OP_RELEASE,
};

/**
 * enum claim_verdict - verdict on an operation.
 * @CLAIM_PENDING: not decided yet; wait for the decision or send it again
 * @CLAIM_GRANTED: the token holds the id, or the operation is recorded
 * @CLAIM_RUNNING: another token holds the id, and no response is recorded
 * @CLAIM_DONE: another token holds the id, and its response is recorded
 * @CLAIM_REUSED: another token holds the id, for a different request
 * @CLAIM_UNAVAILABLE: the log could not be reached; the operation may still
 *	take effect later
 */
enum claim_verdict {
	CLAIM_PENDING,
	CLAIM_GRANTED,
	CLAIM_RUNNING,
	CLAIM_DONE,
	CLAIM_REUSED,
	CLAIM_UNAVAILABLE,
};

/**
 * struct claim - the claim on a request id.
 * @id: customer and request id
 * @token: identifies the attempt that holds the claim; never reused
 * @fingerprint: hash of the request
 * @offset: offset of the record that claimed the id
 * @done: the response is recorded
 * @status: HTTP status of the recorded response
 * @body: recorded body of the response, or NULL; one that is too long or not
 *	UTF-8 is not recorded
 */
struct claim {
	char *id;
	char *token;
	uint64_t fingerprint;
	uint64_t offset;
	bool done;
	int status;
	char *body;
};

/**
 * struct claim_index - the claims of one partition.
 * @next: first offset that is not applied yet
 * @by_id: id to struct claim
 * @released: released tokens, to the offset of the release; a released token
 *	can claim nothing any more
 */
struct claim_index {
	uint64_t next;
	GHashTable *by_id;
	GHashTable *released;
};

void claim_index_init(struct claim_index *);
void claim_index_destroy(struct claim_index *);
void claim_index_apply(struct claim_index *, uint64_t, json_t *);
void claim_index_expire(struct claim_index *, uint64_t);
enum claim_verdict claim_index_verdict(const struct claim_index *, const char *,
    const char *, uint64_t, const struct claim **);
json_t *claim_op_dump(enum claim_op_kind, const char *, const char *, uint64_t,
    int, const char *);

#endif
