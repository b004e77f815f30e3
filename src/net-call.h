/* One call with a whole answer in memory: the store, orders, reports. */
#ifndef BL_NET_CALL_H
#define BL_NET_CALL_H

#include "net-client.h"

/**
 * struct net_answer - how a call ended.
 * @status: of the answer; 0 without one
 * @body: of the answer; lives until the function that is told returns
 * @asked_ms: loop time at which it was sent
 * @reached: the peer may have carried it out
 */
struct net_answer {
	unsigned status;
	const GByteArray *body;
	uint64_t asked_ms;
	bool reached;
};

/* Told once, when the call ends. */
typedef void net_call_fn(void *, const struct net_answer *);

struct net_call;

/**
 * struct net_request - what a call sends.
 * @method: the method
 * @target: path and query
 * @headers: lines beside our own, or NULL
 * @type: content type of the body, or NULL for none
 * @body: the body
 * @length: its length
 */
struct net_request {
	const char *method;
	const char *target;
	const char *headers;
	const char *type;
	const void *body;
	size_t length;
};

struct net_call *net_call_start(struct net_pool *, const struct net_request *,
    unsigned, net_call_fn *, void *);
void net_call_cancel(struct net_call *);

#endif
