/* One call with a whole answer in memory: the store, orders, reports. */
#ifndef BL_NET_CALL_H
#define BL_NET_CALL_H

#include "net-conn.h"

/**
 * struct net_response - how a call ended.
 * @status: of the answer; 0 without one
 * @body: of the answer; lives until the function that is told returns
 * @sent_ms: loop time at which it was sent
 * @reached: the peer may have carried it out
 */
struct net_response {
	unsigned status;
	const GByteArray *body;
	uint64_t sent_ms;
	bool reached;
};

/* Told once, when the call ends. */
typedef void net_call_fn(void *, const struct net_response *);

struct net_call;

/**
 * struct net_request - what a call sends.
 * @method: the method
 * @target: path and query
 * @headers: lines beside our own, or NULL
 * @content_type: content type of the body, or NULL for none
 * @body: the body
 * @length: its length
 */
struct net_request {
	const char *method;
	const char *target;
	const char *headers;
	const char *content_type;
	const void *body;
	size_t length;
};

struct net_call *net_call_start(struct net_pool *, const struct net_request *,
    unsigned, net_call_fn *, void *);
void net_call_cancel(struct net_call *);

#endif
