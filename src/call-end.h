/* How a call to an endpoint ended, and what follows. Pure decisions. */
#ifndef BL_CALL_END_H
#define BL_CALL_END_H

#include <stdbool.h>

#include "error.h"

/**
 * enum call_phase - how far a call had come when it ended.
 * @CALL_CONNECTING: not connected, so nothing was sent
 * @CALL_SENT: something of the request may have been sent
 * @CALL_RESPONDING: the head of the answer was received
 * @CALL_COMPLETE: the whole answer was received
 */
enum call_phase {
	CALL_CONNECTING,
	CALL_SENT,
	CALL_RESPONDING,
	CALL_COMPLETE,
};

/**
 * struct call_end - all that the decision looks at.
 * @phase: how far the call had come
 * @status: HTTP status, when the head was received
 * @not_started: the endpoint said that it did not start the request
 * @malformed: the answer breaks the protocol
 * @expired: the request's deadline has passed
 * @idempotent: the request may run more than once
 * @delivered: part of the answer was given to the caller already
 * @resumable: the endpoint's resume guarantees the same text
 */
struct call_end {
	enum call_phase phase;
	int status;
	bool not_started;
	bool malformed;
	bool expired;
	bool idempotent;
	bool delivered;
	bool resumable;
};

enum call_action {
	CALL_PASS,
	CALL_RETRY,
	CALL_RESUME,
	CALL_FAIL,
};

/**
 * struct call_verdict - what follows.
 * @action: pass the answer on, try another endpoint, resume, or fail
 * @outcome: what is known of the request if nothing more is tried
 * @error: the type to fail with if nothing more is tried
 */
struct call_verdict {
	enum call_action action;
	enum outcome outcome;
	enum error_code error;
};

struct call_verdict call_end_decide(const struct call_end *);

#endif
