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
 * @answer_tokens: most tokens of the answer; 0 when not said
 * @last_event: the client has the events up to this one; -1 for none
 */
struct wire_request {
	const char *id;
	const char *key;
	const char *model;
	int64_t deadline_ms;
	double prompt_tokens;
	double answer_tokens;
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
 * enum said_word - what an endpoint may say of itself in any answer.
 * @SAID_REST: it wants nothing from this daemon for so many ms
 * @SAID_LEAVING: 1 where it ends what it has and takes nothing new
 * @SAID_LIMIT: the requests a second that it takes from all daemons together
 */
enum said_word {
	SAID_REST,
	SAID_LEAVING,
	SAID_LIMIT,
	SAID_WORDS,
};

/**
 * struct said - one word of an endpoint.
 * @text: as it stands in the head; NULL where it doesn't
 * @number: the same as a number in the word's unit; NAN where it is none
 */
struct said {
	const char *text;
	double number;
};

/**
 * struct wire_answer - what an answer's head says, decoded.
 * @id: of the attempt that it answers, or NULL
 * @proof: it carries the endpoint's proof
 * @not_run: the endpoint says that it did not run the request
 * @wrong_endpoint: another incarnation than the one meant has the address
 * @at_fault: the endpoint that the work depended on, or NULL
 * @said: what the endpoint says of itself, by enum said_word
 */
struct wire_answer {
	const char *id;
	bool proof;
	bool not_run;
	bool wrong_endpoint;
	const char *at_fault;
	struct said said[SAID_WORDS];
};

/**
 * struct wire_ops - an adapter's functions for requests and answers.
 * @read_request: decode a request's head
 * @passes: whether a request header goes on to the endpoint unchanged
 * @write_forward: append the headers that are set for the endpoint
 * @read_answer: decode an answer's head
 */
struct wire_ops {
	void (*read_request)(const struct net_head *, struct wire_request *);
	bool (*passes)(const char *);
	void (*write_forward)(GString *, const struct wire_forward *);
	void (*read_answer)(unsigned, const struct net_head *,
	    struct wire_answer *);
};

#endif
