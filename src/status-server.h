/* A small HTTP server for readiness and metrics. */
#ifndef BL_STATUS_SERVER_H
#define BL_STATUS_SERVER_H

#include <glib.h>
#include <uv.h>

/* Fills in the body for a path; returns the status. */
typedef unsigned status_fn(void *, const char *, GString *);

/**
 * struct status_server - one listener.
 * @listener: where it listens
 * @fn: answers
 * @arg: for @fn
 */
struct status_server {
	uv_tcp_t listener;
	status_fn *fn;
	void *arg;
};

int status_server_open(struct status_server *, uv_loop_t *,
    const struct sockaddr_in *, status_fn *, void *);

#endif
