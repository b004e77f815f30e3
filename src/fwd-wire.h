/* What a platform's adapter says of requests and answers. */
#ifndef BL_FWD_WIRE_H
#define BL_FWD_WIRE_H

#include <stdint.h>

#include "net-head.h"

/**
 * struct wire_request - what a request's head says, decoded.
 * @id: of this attempt; NULL when missing
 * @key: the customer's key, or NULL
 * @model: the model asked for, or NULL
 * @deadline_ms: how long the client waits; -1 when not said
 * @prompt_tokens: size of the prompt; 0 when not said
 * @response_tokens: most tokens of the answer; 0 when not said
 * @last_event: the client has the events up to this one; -1 for none
 */
struct wire_request {
	const char *id;
	const char *key;
	const char *model;
	int64_t deadline_ms;
	double prompt_tokens;
	double response_tokens;
	int64_t last_event;
};

/**
 * struct wire_forward - what an endpoint is told with a request.
 * @endpoint: incarnation that is meant
 * @customer: who asks, or NULL
 * @left_ms: time left
 * @last_event: go on after this event; -1 for the start
 * @priority: 0 is first; -1 to say nothing
 */
struct wire_forward {
	const char *endpoint;
	const char *customer;
	int64_t left_ms;
	int64_t last_event;
	int priority;
};

/**
 * enum feedback_kind - what an endpoint may say of itself in any answer.
 * @FEEDBACK_BACKOFF: it wants nothing from this daemon for so many ms
 * @FEEDBACK_DRAINING: 1 where it ends what it has and takes nothing new
 * @FEEDBACK_LIMIT: the requests a second that it takes from all daemons
 * together
 */
enum feedback_kind {
	FEEDBACK_BACKOFF,
	FEEDBACK_DRAINING,
	FEEDBACK_LIMIT,
	FEEDBACK_KINDS,
};

/**
 * struct feedback - one word of an endpoint.
 * @text: as it stands in the head; NULL where it doesn't
 * @number: the same as a number in the word's unit; NAN where it is none
 */
struct feedback {
	const char *text;
	double number;
};

/**
 * struct wire_response - what an answer's head says, decoded.
 * @id: of the attempt that it answers, or NULL
 * @has_signature: it carries the endpoint's proof
 * @not_run: the endpoint says that it did not run the request
 * @wrong_endpoint: another incarnation than the one meant has the address
 * @lost_member: the endpoint that the work depended on, or NULL
 * @feedback: what the endpoint says of itself, by enum feedback_kind
 */
struct wire_response {
	const char *id;
	bool has_signature;
	bool not_run;
	bool wrong_endpoint;
	const char *lost_member;
	struct feedback feedback[FEEDBACK_KINDS];
};

/**
 * struct wire_ops - an adapter's functions for requests and answers.
 * @read_request: decode a request's head
 * @passes_header: whether a request header goes on to the endpoint unchanged
 * @write_forward: append the headers that are set for the endpoint
 * @read_response: decode an answer's head
 */
struct wire_ops {
	void (*read_request)(const struct net_head *, struct wire_request *);
	bool (*passes_header)(const char *);
	void (*write_forward)(GString *, const struct wire_forward *);
	void (*read_response)(unsigned, const struct net_head *,
	    struct wire_response *);
};

#endif
