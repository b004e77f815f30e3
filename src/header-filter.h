/* Which headers pass between a caller and a plain service. */
#ifndef BL_HEADER_FILTER_H
#define BL_HEADER_FILTER_H

#include <glib.h>
#include <stdbool.h>
#include <ulfius.h>

#include "call.h"

GArray *header_filter_request(const struct _u_request *,
    const struct call_header *);
void header_filter_response(const struct call *, struct _u_response *);

#endif
