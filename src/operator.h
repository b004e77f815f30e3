/* The interface for operators: what its handlers share. */
#ifndef BL_OPERATOR_H
#define BL_OPERATOR_H

#include <stdbool.h>
#include <ulfius.h>

#include "server.h"

bool operator_authorize(struct server *, const struct _u_request *,
    struct _u_response *);
int operator_list(const struct _u_request *, struct _u_response *, void *);
int operator_get(const struct _u_request *, struct _u_response *, void *);
int operator_put(const struct _u_request *, struct _u_response *, void *);
int operator_delete(const struct _u_request *, struct _u_response *, void *);
int operator_watch(const struct _u_request *, struct _u_response *, void *);
int operator_status(const struct _u_request *, struct _u_response *, void *);
int operator_metrics(const struct _u_request *, struct _u_response *, void *);

#endif
