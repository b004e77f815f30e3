/* A server in the event loop of a test: sends the same bytes to each request.
 */
#ifndef TESTS_LOOP_SERVER_H
#define TESTS_LOOP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "net-conn.h"

/*
 * The server and what a test uses with it. loop: the event loop; pool:
 * connections to the server; response: bytes that it sends to each request;
 * closes: it closes the connection after them; piece_bytes, piece_ms: it sends
 * them in pieces of that size, so long after each other; 0 for at once;
 * n_requests: requests so far.
 */
struct loop_server {
	uv_loop_t loop;
	uv_tcp_t listener;
	struct net_pool pool;
	GString *response;
	bool closes;
	size_t piece_bytes;
	unsigned piece_ms;
	unsigned n_requests;
};

void loop_server_open(struct loop_server *);
void loop_server_close(struct loop_server *);

#endif
