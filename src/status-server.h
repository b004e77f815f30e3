/* A small HTTP server for readiness and metrics. */
#ifndef BL_STATUS_SERVER_H
#define BL_STATUS_SERVER_H

#include <glib.h>
#include <uv.h>

/* Appends the response body for a path; returns the HTTP status. */
typedef unsigned status_handler(void *, const char *, GString *);

/**
 * struct status_server - HTTP server at one address.
 * @listener: the listening socket
 * @handler: called for each GET or HEAD request
 * @arg: passed to @handler
 */
struct status_server {
	uv_tcp_t listener;
	status_handler *handler;
	void *arg;
};

int status_server_open(struct status_server *, uv_loop_t *,
    const struct sockaddr_in *, status_handler *, void *);

#endif
