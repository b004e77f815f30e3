/* Client side of HTTP/1.1: pooled connections, one exchange at a time. */
#ifndef BL_NET_CONN_H
#define BL_NET_CONN_H

#include <sys/queue.h>

#include <netinet/in.h>
#include <stdint.h>

#include "net-head.h"
#include "net-stream.h"

/* Idle life where the peer names none: shorter than any usual server's. */
#define NET_IDLE_DEFAULT_MS 900
/* Idle connections kept to one address; peers count those of all daemons. */
#define NET_IDLE_CONNS_MAX 2
/* Kept back from the idle life that a peer names, for the way to it. */
#define NET_IDLE_MARGIN_MS 300

/**
 * enum net_failure - how an exchange ended without a whole answer.
 * @NET_CONNECT_FAILED: no connection was made; nothing reached the peer
 * @NET_CONN_LOST: the connection ended early
 * @NET_PROTOCOL_ERROR: bytes came that are no answer
 */
enum net_failure {
	NET_CONNECT_FAILED,
	NET_CONN_LOST,
	NET_PROTOCOL_ERROR,
};

/**
 * enum net_head_action - what the owner says of the head of an answer.
 * @NET_ACCEPT: it answers this request
 * @NET_SKIP: it belongs to another request; wait for the next
 */
enum net_head_action {
	NET_ACCEPT,
	NET_SKIP,
};

/**
 * struct net_conn_ops - what the owner of an exchange is told.
 * @head: the head of an answer is complete
 * @body: bytes of its body
 * @done: the answer is complete; the connection is no longer the owner's
 * @failed: it will not be; the connection is no longer the owner's
 */
struct net_conn_ops {
	enum net_head_action (*head)(void *, unsigned, const struct net_head *);
	void (*body)(void *, const char *, size_t);
	void (*done)(void *);
	void (*failed)(void *, enum net_failure);
};

struct net_conn;
TAILQ_HEAD(net_conn_list, net_conn);

/**
 * struct net_pool - the connections to one address.
 * @loop: the event loop
 * @addr: the address
 * @source: own address of its connections; any where it is 0
 * @idle: connections that wait for use, the last used first
 * @n_idle: length of @idle
 * @n_opened: connections made, for the metrics
 * @n_open: connections that stand
 */
struct net_pool {
	uv_loop_t *loop;
	struct sockaddr_in addr;
	struct sockaddr_in source;
	struct net_conn_list idle;
	unsigned n_idle;
	uint64_t n_opened;
	unsigned n_open;
};

/**
 * struct net_conn - one connection to a peer.
 * @stream: the connection
 * @parser: of the answer
 * @head: of the answer
 * @pool: where it goes when idle; NULL once the pool is gone
 * @ops: the owner's functions; NULL while idle
 * @owner: whose exchange it is
 * @unsent: request bytes that wait for the connection
 * @send_timer: waits a little between connection and request
 * @send_delay_ms: how long; 0 for no wait
 * @connected: the connection stands and the request may have been sent
 * @head_request: the answer has no body, whatever its head says
 * @skipping: the answer being read is another request's
 * @no_reuse: not to be used again
 * @complete: the answer is complete
 * @paused: the owner takes no more for now
 * @idle_since_ms: loop time
 * @idle_timeout_ms: how long it may idle
 * @entry: in the idle list
 */
struct net_conn {
	struct net_stream stream;
	http_parser parser;
	struct net_head head;
	struct net_pool *pool;
	const struct net_conn_ops *ops;
	void *owner;
	GString *unsent;
	uv_timer_t send_timer;
	unsigned send_delay_ms;
	bool connected;
	bool head_request;
	bool skipping;
	bool no_reuse;
	bool complete;
	uint64_t idle_since_ms;
	uint64_t idle_timeout_ms;
	TAILQ_ENTRY(net_conn) entry;
};

void net_pool_init(struct net_pool *, uv_loop_t *, const struct sockaddr_in *);
void net_pool_clear(struct net_pool *);
struct net_conn *net_pool_take(struct net_pool *, uint64_t,
    const struct net_conn_ops *, void *);
void net_conn_send(struct net_conn *, const char *, size_t, bool);
void net_conn_delay_send(struct net_conn *, unsigned);
void net_conn_pause(struct net_conn *, bool);
void net_conn_abort(struct net_conn *);
void net_pool_expire(struct net_pool *);

#endif
