/* Responses of bankliftd itself: JSON, and errors with type and outcome. */
#ifndef BL_HTTP_REPLY_H
#define BL_HTTP_REPLY_H

#include <jansson.h>
#include <ulfius.h>

#include "request.h"

void http_reply_json(struct _u_response *, int, json_t *);
void http_reply_failure(struct _u_response *, const struct failure *,
    const char *);
void http_reply_error(struct _u_response *, const GError *);
json_t *http_failure_json(const struct failure *, const char *);

#endif
