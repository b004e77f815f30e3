/* Gateway of other daemons' tunnels: connects them to endpoints that they don't
 * reach themselves. */
#ifndef BL_TUNNEL_SERVER_H
#define BL_TUNNEL_SERVER_H

#include <sys/queue.h>

#include "net-stream.h"
#include "net-tunnel.h"

struct tunnel;
TAILQ_HEAD(tunnel_list, tunnel);

/**
 * struct tunnel_server_ops - what the gateway asks of its daemon.
 * @judge: whether an endpoint may be asked: TUNNEL_OPEN, or why not
 * @noted: another daemon has learned that of an endpoint, through this one
 * @list: fills in other gateways; returns their number
 */
struct tunnel_server_ops {
	enum tunnel_result (*judge)(void *, const struct sockaddr_in *);
	void (*noted)(void *, const struct tunnel_request *);
	unsigned (*list)(void *, struct tunnel_gateway[TUNNEL_LIST_MAX]);
};

/**
 * struct tunnel_server - the gateway.
 * @ops: what it asks of its daemon
 * @arg: first argument of @ops
 * @loop: the event loop; NULL while it is not open
 * @listener: listening socket
 * @source: source address of connections to endpoints; 0.0.0.0 for any
 * @credential: what requests must contain
 * @draining: no more tunnels are opened
 * @tunnels: all tunnels
 * @n_tunnels: number of @tunnels
 * @n_served: tunnels opened so far
 * @n_refused: requests refused so far
 * @unreached: connections in a row that took too long
 * @unreached_ms: loop time of the last of them
 */
struct tunnel_server {
	const struct tunnel_server_ops *ops;
	void *arg;
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct sockaddr_in source;
	uint64_t credential;
	bool draining;
	struct tunnel_list tunnels;
	unsigned n_tunnels;
	uint64_t n_served;
	uint64_t n_refused;
	unsigned unreached;
	uint64_t unreached_ms;
};

enum tunnel_result tunnel_server_obstacle(const struct tunnel_server *,
    const struct sockaddr_in *);
void tunnel_server_decline(struct tunnel_server *, const struct sockaddr_in *);
void tunnel_server_drain(struct tunnel_server *);
int tunnel_server_open(struct tunnel_server *, uv_loop_t *,
    const struct sockaddr_in *);

#endif
