/* One send of a completion to a replica. */
#ifndef BL_COMPLETION_SEND_H
#define BL_COMPLETION_SEND_H

#include <jansson.h>

#include "call.h"
#include "chunk-order.h"
#include "request.h"

/**
 * struct completion_send - one send.
 * @target: the replica; the request holds the reference
 * @call: the call
 * @order: chunks of the text that it gave and that were not taken
 * @malformed: its response violates the protocol
 */
struct completion_send {
	struct target *target;
	struct call *call;
	struct chunk_order order;
	bool malformed;
};

struct completion_send *completion_send_open(struct request *, struct target *,
    json_t *, int64_t);
void completion_send_close(struct completion_send *);
void completion_send_read(struct completion_send *);
bool completion_send_over(const struct completion_send *);
bool completion_send_resumable(const struct completion_send *);
struct call_end completion_send_end(const struct completion_send *,
    const struct request *);

#endif
