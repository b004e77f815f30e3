/* Interface of a platform adapter for headers of requests and responses. */
#ifndef BL_FWD_WIRE_H
#define BL_FWD_WIRE_H

#include <stdint.h>

#include "net-head.h"

/* Largest number of parts of a prompt that is read. */
#define WIRE_PARTS_MAX 32

/**
 * struct wire_part - a part of a prompt.
 * @id: the part's id: the same text has the same one
 * @tokens: its length, in tokens
 */
struct wire_part {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct wire_prompt - the parts of a prompt, in order.
 * @parts: the parts; requests may share any of them but the last one
 * @n: number of @parts; 0 if they are not known
 */
struct wire_prompt {
	struct wire_part parts[WIRE_PARTS_MAX];
	unsigned n;
};

/**
 * struct wire_request - decoded headers of a client's request.
 * @id: id of the attempt, or NULL
 * @key: the customer's API key, or NULL
 * @model: name of the requested model, or NULL
 * @deadline_ms: how long the client waits; -1 if not given
 * @prompt: the parts of the prompt
 * @prompt_tokens: length of the prompt; 0 if not given
 * @response_tokens: maximum length of the response, in tokens; 0 if not given
 * @last_event: the client has the events up to this id; -1 for none
 */
struct wire_request {
	const char *id;
	const char *key;
	const char *model;
	int64_t deadline_ms;
	struct wire_prompt prompt;
	double prompt_tokens;
	double response_tokens;
	int64_t last_event;
};

/**
 * struct wire_forward - headers that are set on a request to an endpoint.
 * @endpoint: id of the incarnation that the request is meant for
 * @customer: name of the customer, or NULL
 * @left_ms: time left until the deadline
 * @last_event: resume after this event; -1 to start at the beginning
 * @priority: 0 is the most urgent; -1 to send none
 */
struct wire_forward {
	const char *endpoint;
	const char *customer;
	int64_t left_ms;
	int64_t last_event;
	int priority;
};

/**
 * enum feedback_kind - feedback about itself that an endpoint may put into any
 *	response.
 * @FEEDBACK_BACKOFF: backoff: this daemon is to send it nothing for this long,
 *	in ms
 * @FEEDBACK_DRAINING: 1 if it is draining: it completes what it has and accepts
 *	nothing new
 * @FEEDBACK_LIMIT: rate limit: requests per second that it accepts from all
 *	daemons together
 * @FEEDBACK_KINDS: number of kinds
 */
enum feedback_kind {
	FEEDBACK_BACKOFF,
	FEEDBACK_DRAINING,
	FEEDBACK_LIMIT,
	FEEDBACK_KINDS,
};

/**
 * struct feedback - one item of feedback.
 * @text: value of the header; NULL if the response doesn't have it
 * @number: the value as a number, in the unit of its kind; NAN if it is none
 */
struct feedback {
	const char *text;
	double number;
};

/**
 * struct wire_response - decoded headers of an endpoint's response.
 * @malformed: a header that must be unambiguous is empty or occurs twice
 * @id: id of the attempt that it responds to, or NULL
 * @has_signature: it has the endpoint's signature header
 * @not_run: the endpoint did not run the request
 * @wrong_endpoint: the address belongs to another incarnation than the one
 *	that the request was meant for
 * @lost_member: id of another endpoint whose loss made it refuse, or NULL
 * @feedback: feedback about the endpoint, indexed by enum feedback_kind
 */
struct wire_response {
	bool malformed;
	const char *id;
	bool has_signature;
	bool not_run;
	bool wrong_endpoint;
	const char *lost_member;
	struct feedback feedback[FEEDBACK_KINDS];
};

/**
 * wire_status_is_success() - whether a status is a success.
 * @status: status of a response
 */
static inline bool
wire_status_is_success(unsigned status)
{
	return (
	    status >= HTTP_STATUS_OK && status < HTTP_STATUS_MULTIPLE_CHOICES);
}

/**
 * struct wire_ops - a platform adapter's functions for headers.
 * @read_request: decodes the headers of a request
 * @passes_header: returns whether a request header is forwarded unchanged
 * @write_forward: appends the headers that are set for the endpoint
 * @read_response: decodes the status and headers of a response
 */
struct wire_ops {
	void (*read_request)(const struct net_head *, struct wire_request *);
	bool (*passes_header)(const char *);
	void (*write_forward)(GString *, const struct wire_forward *);
	void (*read_response)(unsigned, const struct net_head *,
	    struct wire_response *);
};

#endif
