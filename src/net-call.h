/* HTTP calls whose response is kept in memory until it is complete. */
#ifndef BL_NET_CALL_H
#define BL_NET_CALL_H

#include "net-conn.h"

/* Largest body of a response that is kept; the largest page of the store is
 * 1 MB in base64. */
#define NET_CALL_RESPONSE_MAX_BYTES ((size_t)8 << 20)

/**
 * struct net_response - the outcome of a call.
 * @status: HTTP status; 0 without a complete response, or if it is too large
 * @body: body of the response; valid until the callback returns
 * @sent_ms: loop time at which the call was started
 * @reached: without a response: the peer may have executed the request
 */
struct net_response {
	unsigned status;
	const GByteArray *body;
	uint64_t sent_ms;
	bool reached;
};

/* Called once, when the call ends. */
typedef void net_call_fn(void *, const struct net_response *);

struct net_call;

/**
 * struct net_request - the request of a call.
 * @method: HTTP method
 * @target: path and query
 * @headers: further header lines, each ended by CRLF, or NULL
 * @content_type: content type of the body, or NULL for no body
 * @body: the body
 * @length: bytes of the body
 * @silence_ms: the call also ends when nothing has arrived for so long; 0 for
 *	no such bound
 * @response_max_bytes: largest body of a response that is kept; 0 for
 *	NET_CALL_RESPONSE_MAX_BYTES
 */
struct net_request {
	const char *method;
	const char *target;
	const char *headers;
	const char *content_type;
	const void *body;
	size_t length;
	unsigned silence_ms;
	size_t response_max_bytes;
};

struct net_call *net_call_start(struct net_pool *, const struct net_request *,
    unsigned, net_call_fn *, void *);
void net_call_cancel(struct net_call *);

#endif
