/* The daemon's HTTP servers: one for callers, one for operators. */
#ifndef BL_HTTP_LISTEN_H
#define BL_HTTP_LISTEN_H

#include <netinet/in.h>
#include <ulfius.h>

#include "server.h"

/**
 * struct http_listen - the two servers.
 * @clients: serves callers and the balancer's health page
 * @operators: serves operators
 * @client_sin: address of @clients, which ulfius only points to
 * @operator_sin: address of @operators
 */
struct http_listen {
	struct _u_instance clients;
	struct _u_instance operators;
	struct sockaddr_in client_sin;
	struct sockaddr_in operator_sin;
};

bool http_listen_start(struct http_listen *, struct server *, GError **);
void http_listen_linger(struct http_listen *);
void http_listen_stop(struct http_listen *);

#endif
