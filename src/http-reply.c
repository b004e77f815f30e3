/* Responses of bankliftd itself: JSON, and errors with type and outcome. */
#include <string.h>

#include "http-reply.h"

/**
 * http_reply_json() - respond with JSON.
 * @res: the response
 * @status: HTTP status
 * @json: the body, of which the function takes ownership
 */
void
http_reply_json(struct _u_response *res, int status, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	ulfius_set_string_body_response(res, (unsigned)status, text);
	u_map_put(res->map_header, "Content-Type", "application/json");
	free(text);
	json_decref(json);
}

/**
 * http_failure_json() - encode a failure for a client.
 * @f: the failure
 * @request_id: the request's id, or NULL
 *
 * Return: a new JSON object with type, outcome and message, and with the retry
 * time and the request's id if there is one.
 */
json_t *
http_failure_json(const struct failure *f, const char *request_id)
{
	json_t *error;

	error = json_pack("{s:s, s:s, s:s}", "type", error_name(f->error),
	    "outcome", outcome_name(f->outcome), "message",
	    f->message != NULL ? f->message : "");
	if (f->retry_after_ms > 0)
		json_object_set_new(error, "retry_after_ms",
		    json_integer((json_int_t)f->retry_after_ms));
	if (request_id != NULL)
		json_object_set_new(error, "request_id",
		    json_string(request_id));
	return (json_pack("{s:o}", "error", error));
}

/**
 * http_reply_failure() - respond to a client with a failure.
 * @res: the response
 * @f: the failure
 * @request_id: the request's id, or NULL
 */
void
http_reply_failure(struct _u_response *res, const struct failure *f,
    const char *request_id)
{
	g_autofree char *seconds = NULL;

	http_reply_json(res, error_status(f->error),
	    http_failure_json(f, request_id));
	u_map_put(res->map_header, "Banklift-Outcome",
	    outcome_name(f->outcome));
	if (f->retry_after_ms == 0)
		return;
	seconds = g_strdup_printf("%" G_GUINT64_FORMAT,
	    (f->retry_after_ms + 999) / 1000);
	u_map_put(res->map_header, "Retry-After", seconds);
}

/**
 * http_reply_error() - respond to an operator with a typed error.
 * @res: the response
 * @error: the error
 */
void
http_reply_error(struct _u_response *res, const GError *error)
{
	http_reply_json(res, error_status(error->code),
	    json_pack("{s:{s:s, s:s}}", "error", "type",
		error_name(error->code), "message", error->message));
}
