/* Client side of HTTP/1.1: pooled connections, one exchange at a time. */
#ifndef BL_NET_CLIENT_H
#define BL_NET_CLIENT_H

#include <sys/queue.h>

#include <netinet/in.h>
#include <stdint.h>

#include "net-head.h"
#include "net-stream.h"

/* Idle life where the peer names none: shorter than any usual server's. */
#define NET_IDLE_DEFAULT_MS 900
/* Idle connections kept to one address; peers count those of all daemons. */
#define NET_IDLE_MOST 2
/* Kept back from the idle life that a peer names, for the way to it. */
#define NET_IDLE_MARGIN_MS 300

/**
 * enum net_failure - how an exchange ended without a whole answer.
 * @NET_UNREACHED: no connection was made; nothing reached the peer
 * @NET_BROKEN: the connection ended early
 * @NET_GARBLED: bytes came that are no answer
 */
enum net_failure {
	NET_UNREACHED,
	NET_BROKEN,
	NET_GARBLED,
};

/**
 * enum net_verdict - what the owner says of the head of an answer.
 * @NET_TAKE: it answers this request
 * @NET_SKIP: it belongs to another request; wait for the next
 */
enum net_verdict {
	NET_TAKE,
	NET_SKIP,
};

/**
 * struct net_client_ops - what the owner of an exchange is told.
 * @head: the head of an answer is complete
 * @body: bytes of its body
 * @done: the answer is complete; the connection is no longer the owner's
 * @failed: it will not be; the connection is no longer the owner's
 */
struct net_client_ops {
	enum net_verdict (*head)(void *, unsigned, const struct net_head *);
	void (*body)(void *, const char *, size_t);
	void (*done)(void *);
	void (*failed)(void *, enum net_failure);
};

struct net_client;
TAILQ_HEAD(net_client_list, net_client);

/**
 * struct net_pool - the connections to one address.
 * @loop: the event loop
 * @addr: the address
 * @source: own address of its connections; any where it is 0
 * @idle: connections that wait for use, the last used first
 * @n_idle: length of @idle
 * @opened: connections made, for the metrics
 * @open: connections that stand
 */
struct net_pool {
	uv_loop_t *loop;
	struct sockaddr_in addr;
	struct sockaddr_in source;
	struct net_client_list idle;
	unsigned n_idle;
	uint64_t opened;
	unsigned open;
};

/**
 * struct net_client - one connection to a peer.
 * @stream: the connection
 * @parser: of the answer
 * @head: of the answer
 * @pool: where it goes when idle; NULL once the pool is gone
 * @ops: the owner's functions; NULL while idle
 * @owner: whose exchange it is
 * @pending: request bytes that wait for the connection
 * @hold: waits a little between connection and request
 * @hold_ms: how long; 0 for no wait
 * @connected: the connection stands and the request may have been sent
 * @head_request: the answer has no body, whatever its head says
 * @skipping: the answer being read is another request's
 * @poisoned: not to be used again
 * @answered: the answer is complete
 * @paused: the owner takes no more for now
 * @idle_since: loop time
 * @idle_ms: how long it may idle
 * @entry: in the idle list
 */
struct net_client {
	struct net_stream stream;
	http_parser parser;
	struct net_head head;
	struct net_pool *pool;
	const struct net_client_ops *ops;
	void *owner;
	GString *pending;
	uv_timer_t hold;
	unsigned hold_ms;
	bool connected;
	bool head_request;
	bool skipping;
	bool poisoned;
	bool answered;
	uint64_t idle_since;
	uint64_t idle_ms;
	TAILQ_ENTRY(net_client) entry;
};

void net_pool_init(struct net_pool *, uv_loop_t *, const struct sockaddr_in *);
void net_pool_clear(struct net_pool *);
struct net_client *net_pool_take(struct net_pool *, uint64_t,
    const struct net_client_ops *, void *);
void net_client_send(struct net_client *, const char *, size_t, bool);
void net_client_hold(struct net_client *, unsigned);
void net_client_pause(struct net_client *, bool);
void net_client_abandon(struct net_client *);
void net_pool_expire(struct net_pool *);

#endif
