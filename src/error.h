/* Error codes, each with a stable name and an HTTP status, and outcomes. */
#ifndef BL_ERROR_H
#define BL_ERROR_H

#include <glib.h>

/**
 * enum outcome - what is known of a request when its call ends.
 * @OUTCOME_WHOLE: the client received the complete response
 * @OUTCOME_NOT_RUN: the request did not run at any endpoint
 * @OUTCOME_UNKNOWN: the request may have run
 */
enum outcome {
	OUTCOME_WHOLE,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

/**
 * enum error_code - every failure that a client or an operator can see.
 *
 * The names and HTTP statuses are listed in error.c and in docs/INTERFACES.md.
 */
enum error_code {
	ERROR_NONE,
	ERROR_BAD_JSON,
	ERROR_BAD_FIELD,
	ERROR_BAD_HEADER,
	ERROR_BAD_SETTING,
	ERROR_BODY_TOO_LARGE,
	ERROR_UNAUTHORIZED,
	ERROR_NOT_FOUND,
	ERROR_CONFLICT,
	ERROR_REQUEST_ID_REUSED,
	ERROR_REQUEST_REPEATED,
	ERROR_RATE_LIMITED,
	ERROR_OVERLOADED,
	ERROR_NO_ENDPOINT,
	ERROR_LEAVING,
	ERROR_LOG_UNAVAILABLE,
	ERROR_LOG_TRIMMED,
	ERROR_DEADLINE,
	ERROR_ENDPOINT_FAILED,
	ERROR_STREAM_BROKEN,
	ERROR_COUNT,
};

#define BANKLIFT_ERROR (error_quark())

GQuark error_quark(void);
const char *error_name(int);
int error_status(int);
const char *outcome_name(enum outcome);
void error_set(GError **, enum error_code, const char *, ...)
    G_GNUC_PRINTF(3, 4);

#endif
