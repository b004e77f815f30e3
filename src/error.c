/* Names and HTTP statuses of the errors in error.h. */
#include <stdarg.h>

#include "error.h"

struct error_info {
	const char *name;
	int status;
};

static const struct error_info error_table[ERROR_COUNT] = {
	[ERROR_NONE] = { "none", 200 },
	[ERROR_BAD_JSON] = { "bad_json", 400 },
	[ERROR_BAD_FIELD] = { "bad_field", 422 },
	[ERROR_BAD_HEADER] = { "bad_header", 400 },
	[ERROR_BAD_SETTING] = { "bad_setting", 500 },
	[ERROR_BODY_TOO_LARGE] = { "body_too_large", 413 },
	[ERROR_UNAUTHORIZED] = { "unauthorized", 401 },
	[ERROR_NOT_FOUND] = { "not_found", 404 },
	[ERROR_CONFLICT] = { "conflict", 409 },
	[ERROR_REQUEST_ID_REUSED] = { "request_id_reused", 422 },
	[ERROR_REQUEST_REPEATED] = { "request_repeated", 409 },
	[ERROR_RATE_LIMITED] = { "rate_limited", 429 },
	[ERROR_OVERLOADED] = { "overloaded", 503 },
	[ERROR_NO_ENDPOINT] = { "no_endpoint", 503 },
	[ERROR_LEAVING] = { "leaving", 503 },
	[ERROR_LOG_UNAVAILABLE] = { "log_unavailable", 503 },
	[ERROR_LOG_TRIMMED] = { "log_trimmed", 410 },
	[ERROR_DEADLINE] = { "deadline_exceeded", 504 },
	[ERROR_ENDPOINT_FAILED] = { "endpoint_failed", 502 },
	[ERROR_STREAM_BROKEN] = { "stream_broken", 502 },
};

/**
 * error_quark() - GError domain of all banklift errors.
 */
GQuark
error_quark(void)
{
	return (g_quark_from_static_string("banklift"));
}

/**
 * error_name() - stable name of an error code, as shown to clients.
 * @code: an enum error_code
 */
const char *
error_name(int code)
{
	if (code < 0 || code >= ERROR_COUNT)
		return ("unknown");
	return (error_table[code].name);
}

/**
 * error_status() - HTTP status of a response with an error code.
 * @code: an enum error_code
 */
int
error_status(int code)
{
	if (code < 0 || code >= ERROR_COUNT)
		return (500);
	return (error_table[code].status);
}

/**
 * outcome_name() - stable name of an outcome, as shown to clients.
 * @outcome: what is known of the request
 */
const char *
outcome_name(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_WHOLE:
		return ("whole");
	case OUTCOME_NOT_RUN:
		return ("not_run");
	case OUTCOME_UNKNOWN:
		break;
	}
	return ("unknown");
}

/**
 * error_set() - set an error with a code and a human-readable message.
 * @error: set to the new error, unless NULL
 * @code: error code
 * @fmt: printf format of the message
 */
void
error_set(GError **error, enum error_code code, const char *fmt, ...)
{
	va_list ap;

	if (error == NULL)
		return;
	va_start(ap, fmt);
	*error = g_error_new_valist(BANKLIFT_ERROR, code, fmt, ap);
	va_end(ap);
}
