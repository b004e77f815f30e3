/* A byte stream to a peer, over a connection of its own or through a tunnel. */
#ifndef BL_NET_LINK_H
#define BL_NET_LINK_H

#include "net-path.h"
#include "net-stream.h"
#include "net-tunnel.h"

struct net_link;

/**
 * struct net_link_ops - callbacks to the owner of a link, NULL where it needs
 *	none; @failed is always called.
 * @established: the peer is reached
 * @failed: it was not; for a tunnel, with the outcome; called instead of
 *	@established, and the owner has lost the link
 * @readable: bytes arrived
 * @declined: the peer wants no more requests from the gateway
 * @ended: the connection failed, or the peer closed its side (clean)
 */
struct net_link_ops {
	void (*established)(struct net_link *);
	void (*failed)(struct net_link *, enum tunnel_result);
	void (*readable)(struct net_link *, const char *, size_t);
	void (*declined)(struct net_link *);
	void (*ended)(struct net_link *, bool clean);
};

/**
 * struct net_link - a link; it frees itself after it is closed.
 * @stream: the TCP connection, to the peer or to the gateway
 * @ops: the owner's callbacks; NULL after the owner closed it
 * @owner: for use by the callbacks
 * @request: the request to the gateway
 * @tunnel: it goes through a gateway
 * @gateway: that gateway
 * @established: the peer is reached
 * @started_ms: loop time at which it was started
 * @reply: the gateway's reply, as far as it was read
 * @n_reply: bytes of it that were read
 * @decoder: decoder of what the gateway sends after that
 */
struct net_link {
	struct net_stream stream;
	const struct net_link_ops *ops;
	void *owner;
	struct tunnel_request request;
	bool tunnel;
	struct net_gateway gateway;
	bool established;
	uint64_t started_ms;
	char reply[TUNNEL_REPLY_BYTES];
	unsigned n_reply;
	struct tunnel_decoder decoder;
};

struct net_link *net_link_open(uv_loop_t *, const struct sockaddr_in *,
    const struct sockaddr_in *, const struct net_link_ops *, void *);
struct net_link *net_link_open_tunnel(uv_loop_t *, const struct net_gateway *,
    const struct tunnel_request *, const struct net_link_ops *, void *);
void net_link_close(struct net_link *);
void net_link_reset(struct net_link *);

#endif
