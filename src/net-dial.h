/* Reaching a peer: directly and, where that takes too long, through a gateway
 * at the same time; the first link that is established is used. */
#ifndef BL_NET_DIAL_H
#define BL_NET_DIAL_H

#include "net-link.h"

/**
 * struct net_dial_ops - callbacks to the owner of a dial.
 * @connected: the peer is reached by this link, which now is the owner's
 * @failed: it was not reached; the owner has lost the dial
 */
struct net_dial_ops {
	void (*connected)(void *, struct net_link *);
	void (*failed)(void *);
};

/**
 * struct net_dial_target - a peer to be reached.
 * @loop: the event loop
 * @addr: its address
 * @source: source address of direct connections; 0.0.0.0 for any
 * @path: the direct path to it
 * @tunnels: choice of gateways; NULL to connect directly only
 * @direct_only: start no tunnel; give up when the direct link takes too long
 * @n_open: incremented while there is a dial, which refers to @path
 */
struct net_dial_target {
	uv_loop_t *loop;
	struct sockaddr_in addr;
	struct sockaddr_in source;
	struct net_path *path;
	struct net_tunnels *tunnels;
	bool direct_only;
	unsigned *n_open;
};

/**
 * struct net_dial - one attempt to reach a peer. It outlives its delivery of a
 * tunnel until it is known whether the peer is reached directly too.
 * @target: the peer
 * @ops: the owner's callbacks; NULL once a link was delivered or it was
 *	cancelled
 * @owner: passed to the callbacks
 * @direct: the direct link while it is not established, or NULL
 * @tunnel: the link through a gateway while it is not established, or NULL
 * @refused: the direct link has failed
 * @delivered: a tunnel was delivered
 * @n_tunnels: gateways that were tried
 * @started_ms: loop time at which it was started, later by the time for which
 *	this process was stopped since
 * @ticked_ms: loop time of the last check
 * @timer: checks the time that links take
 */
struct net_dial {
	struct net_dial_target target;
	const struct net_dial_ops *ops;
	void *owner;
	struct net_link *direct;
	struct net_link *tunnel;
	bool refused;
	bool delivered;
	unsigned n_tunnels;
	uint64_t started_ms;
	uint64_t ticked_ms;
	uv_timer_t timer;
};

struct net_dial *net_dial_start(const struct net_dial_target *,
    const struct net_dial_ops *, void *);
void net_dial_cancel(struct net_dial *);

#endif
