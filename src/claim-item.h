/* An operation on a request id that is queued for the log. */
#ifndef BL_CLAIM_ITEM_H
#define BL_CLAIM_ITEM_H

#include <sys/queue.h>

#include "claim-index.h"
#include "peer_rpc.h"

/**
 * struct claim_item - one operation in a partition's queue.
 * @kind: the operation
 * @id: customer and request id
 * @token: token of the attempt
 * @fingerprint: hash of the request
 * @status: HTTP status of the response, for CLAIM_OP_FINISH
 * @body: body of the response, for CLAIM_OP_FINISH, or NULL
 * @reply_ip: address of the daemon to send the decision to; 0 for this daemon
 * @reply_port: port of that daemon
 * @entry: entry in the queue or in a batch
 */
struct claim_item {
	enum claim_op_kind kind;
	char *id;
	char *token;
	uint64_t fingerprint;
	int status;
	char *body;
	uint32_t reply_ip;
	uint16_t reply_port;
	TAILQ_ENTRY(claim_item) entry;
};

TAILQ_HEAD(claim_item_list, claim_item);

struct claim_item *claim_item_create(const struct claim_request *);
void claim_item_free(struct claim_item *);

#endif
