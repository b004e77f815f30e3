/*
 * Decides what follows the end of a call to an endpoint. Keeps no state and has
 * no side effects.
 */
#ifndef BL_CALL_END_H
#define BL_CALL_END_H

#include <stdbool.h>

#include "error.h"

/**
 * enum call_phase - progress of a call when it ended.
 * @CALL_CONNECTING: not connected; no byte of the request was sent
 * @CALL_SENT: some of the request may have been sent
 * @CALL_RESPONDING: the head of the response was received
 * @CALL_COMPLETE: the complete response was received
 */
enum call_phase {
	CALL_CONNECTING,
	CALL_SENT,
	CALL_RESPONDING,
	CALL_COMPLETE,
};

/**
 * struct call_end - how a call ended; input of call_end_decide().
 * @phase: progress of the call
 * @status: HTTP status, 0 if the head was not received
 * @not_started: the endpoint states that it did not start the request
 * @malformed: the response violates the protocol
 * @expired: the request's deadline has passed
 * @idempotent: the request may be executed more than once
 * @delivered: part of the response was already delivered to the client
 * @resumable: a resumed stream is guaranteed to have the same text
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

/**
 * enum call_action - what follows the end of a call.
 * @CALL_PASS: pass the response on to the client
 * @CALL_RETRY: retry at another endpoint
 * @CALL_RESUME: resume the stream at another endpoint
 * @CALL_FAIL: fail the request
 */
enum call_action {
	CALL_PASS,
	CALL_RETRY,
	CALL_RESUME,
	CALL_FAIL,
};

/**
 * struct call_verdict - decision on the end of a call.
 * @action: what follows
 * @outcome: outcome to report if there is no further attempt
 * @error: error to report if there is no further attempt
 */
struct call_verdict {
	enum call_action action;
	enum outcome outcome;
	enum error_code error;
};

struct call_verdict call_end_decide(const struct call_end *);

#endif
