/* The HTTP servers of bankliftd: one for clients, one for operators. */
#ifndef BL_HTTP_LISTEN_H
#define BL_HTTP_LISTEN_H

#include <netinet/in.h>
#include <ulfius.h>

#include "server.h"

/**
 * struct http_listen - the two servers.
 * @clients: serves clients and the load balancer's health check
 * @operators: serves operators
 * @client_sin: address of @clients, to which ulfius keeps a pointer
 * @operator_sin: address of @operators, likewise
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
