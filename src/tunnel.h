/* One tunnel of another daemon: its request, its endpoint, the bytes between.
 */
#ifndef BL_TUNNEL_H
#define BL_TUNNEL_H

#include "tunnel-server.h"

/**
 * enum tunnel_state - state of a tunnel.
 * @TUNNEL_READING: its request is being read
 * @TUNNEL_CONNECTING: the endpoint is being reached
 * @TUNNEL_SERVING: bytes are passed on
 * @TUNNEL_ENDING: what is left is written to the requester
 */
enum tunnel_state {
	TUNNEL_READING,
	TUNNEL_CONNECTING,
	TUNNEL_SERVING,
	TUNNEL_ENDING,
};

/**
 * struct tunnel - one tunnel.
 * @server: the gateway
 * @state: its state
 * @client: connection of the requester
 * @target: connection to the endpoint, once it is started
 * @timer: bounds the time in its state
 * @handles: handles that are not closed
 * @closing: it is being closed
 * @request: its request, as far as it was read
 * @n_request: bytes of it that were read
 * @peer: address of the endpoint
 * @entry: entry in the gateway's list
 */
struct tunnel {
	struct tunnel_server *server;
	enum tunnel_state state;
	struct net_stream client;
	struct net_stream target;
	uv_timer_t timer;
	unsigned handles;
	bool closing;
	char request[TUNNEL_REQUEST_BYTES];
	unsigned n_request;
	struct sockaddr_in peer;
	TAILQ_ENTRY(tunnel) entry;
};

void tunnel_accept(struct tunnel_server *);
void tunnel_decline(struct tunnel *);

#endif
