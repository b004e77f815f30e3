/* A small HTTP server for readiness and metrics. */
#ifndef BL_STATUS_SERVER_H
#define BL_STATUS_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <sys/queue.h>
#include <uv.h>

/* Appends the response body for a path; returns the HTTP status. */
typedef unsigned status_handler(void *, const char *, GString *);

struct status_conn;
TAILQ_HEAD(status_conn_list, status_conn);

/**
 * struct status_server - HTTP server at one address.
 * @listener: the listening socket
 * @handler: called for each GET or HEAD request
 * @arg: passed to @handler
 * @bounded_path: path whose responses are large, so that only a few are sent at
 *	a time; NULL for none
 * @bounded_max: most of them; further requests get 503
 * @bounded_ms: time in ms after which one no longer counts, if its client has
 *	not closed the connection before
 * @bounded: connections on which such a response is sent
 */
struct status_server {
	uv_tcp_t listener;
	status_handler *handler;
	void *arg;
	const char *bounded_path;
	unsigned bounded_max;
	unsigned bounded_ms;
	struct status_conn_list bounded;
};

int status_server_open(struct status_server *, uv_loop_t *,
    const struct sockaddr_in *, status_handler *, void *);
void status_server_bound(struct status_server *, const char *, unsigned,
    unsigned);

#endif
