/* Dispatch of a request to the endpoints of a plain service. */
#ifndef BL_SERVICE_DISPATCH_H
#define BL_SERVICE_DISPATCH_H

#include <ulfius.h>

#include "request.h"

void service_dispatch(struct request *, const struct _u_request *, const char *,
    struct _u_response *);

#endif
