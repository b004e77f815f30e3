/* Whether a peer is reached directly, and the gateways by which it is reached
 * otherwise. */
#ifndef BL_NET_PATH_H
#define BL_NET_PATH_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "net-tunnel.h"

/**
 * struct net_gateway - a daemon through which peers may be reached.
 * @addr: where it accepts tunnels
 * @incarnation: random number of its current run
 * @name_hash: hash of its name
 * @requester: hash of the name of this daemon
 */
struct net_gateway {
	struct sockaddr_in addr;
	uint64_t incarnation;
	uint32_t name_hash;
	uint32_t requester;
};

/**
 * struct net_gateway_ops - choice of gateways.
 * @choose: fills in a gateway; returns false if there is none
 * @report: told the outcome of a request to a gateway
 * @usable: whether tunnels through a gateway may be used again
 * @name: name of a gateway, for logs
 */
struct net_gateway_ops {
	bool (*choose)(void *, struct net_gateway *);
	void (*report)(void *, const struct net_gateway *, enum tunnel_result);
	bool (*usable)(void *, const struct net_gateway *);
	const char *(*name)(void *, const struct net_gateway *);
};

/**
 * struct net_tunnels - what the direct paths to many peers have in common.
 * @ops: choice of gateways
 * @arg: first argument of @ops
 * @heard_ms: loop time at which any direct path was last proved; 0 for never
 * @lost_ms: loop time at which a direct path was last lost; 0 for never
 * @lost_peer: peer whose path that was
 * @doubt_ms: loop time at which a second one was lost soon after; paths over
 *	which nothing was received since are in doubt; 0 for never
 * @n_opened: tunnels opened so far
 * @n_lost: direct paths lost so far
 * @n_restored: direct paths restored so far
 */
struct net_tunnels {
	const struct net_gateway_ops *ops;
	void *arg;
	uint64_t heard_ms;
	uint64_t lost_ms;
	struct sockaddr_in lost_peer;
	uint64_t doubt_ms;
	uint64_t n_opened;
	uint64_t n_lost;
	uint64_t n_restored;
};

/**
 * enum net_path_state - what is known of the direct path to a peer.
 * @NET_PATH_DIRECT: nothing speaks against it
 * @NET_PATH_DOUBTED: it may be lost
 * @NET_PATH_LOST: the peer was reached by a tunnel and not directly
 */
enum net_path_state {
	NET_PATH_DIRECT,
	NET_PATH_DOUBTED,
	NET_PATH_LOST,
};

/**
 * struct net_gateway_probe - a probe whether a gateway still reaches a peer.
 * @name_hash: hash of the gateway's name
 * @pending: it has no outcome yet
 * @started_ms: loop time at which it was started
 * @lost_ms: loop time at which it was found not to be reached; 0 if it was
 */
struct net_gateway_probe {
	uint32_t name_hash;
	bool pending;
	uint64_t started_ms;
	uint64_t lost_ms;
};

/**
 * struct net_path - the direct path to a peer.
 * @heard_ms: loop time at which it was last proved: a connection was
 *	established or bytes arrived; 0 for never
 * @doubt_ms: loop time at which a connection was reset; 0 for never
 * @reset_ms: the same of any connection to the peer, also through a gateway
 * @lost_ms: loop time since which it is lost; 0 while it isn't
 * @probed_ms: loop time at which a direct connection was last started
 * @checked_ms: loop time at which a check was last started; 0 for never
 * @gateway: the newest probe of a gateway to the peer
 */
struct net_path {
	uint64_t heard_ms;
	uint64_t doubt_ms;
	uint64_t reset_ms;
	uint64_t lost_ms;
	uint64_t probed_ms;
	uint64_t checked_ms;
	struct net_gateway_probe gateway;
};

enum net_path_state net_path_state(const struct net_path *,
    const struct net_tunnels *);
bool net_path_probe_due(const struct net_path *, uint64_t);
void net_path_heard(struct net_path *, struct net_tunnels *,
    const struct sockaddr_in *, uint64_t);
void net_path_lost(struct net_path *, struct net_tunnels *,
    const struct sockaddr_in *, const char *, uint64_t);
bool net_path_trusted(const struct net_path *, const struct net_tunnels *,
    uint64_t);

#endif
