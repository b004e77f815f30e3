/* The interface for callers: what its handlers share. */
#ifndef BL_CLIENT_API_H
#define BL_CLIENT_API_H

#include <ulfius.h>

#include "request.h"

struct request *client_api_begin(struct server *, const struct _u_request *,
    struct failure *);
bool client_api_claim(struct request *, const struct _u_request *,
    struct _u_response *);
bool client_api_set_service(struct request *, const char *, bool,
    struct failure *);
bool client_api_header_bool(const struct _u_request *, const char *, bool,
    bool *, struct failure *);
int client_api_completion(const struct _u_request *, struct _u_response *,
    void *);
int client_api_chat(const struct _u_request *, struct _u_response *, void *);
int client_api_service(const struct _u_request *, struct _u_response *, void *);

#endif
