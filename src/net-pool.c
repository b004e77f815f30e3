/* Pools of outgoing HTTP/1.1 connections. */
#include <string.h>

#include "clock.h"
#include "net-conn.h"

/* Closes the longest idle connections beyond the bound. */
static void
pool_trim(struct net_pool *pool)
{
	while (pool->n_idle > MIN(pool->max_idle, NET_IDLE_CONNS_MAX)) {
		struct net_conn *oldest =
		    TAILQ_LAST(&pool->idle, net_conn_list);

		net_pool_remove_idle(oldest);
		net_conn_close(oldest);
	}
}

/**
 * net_pool_add_idle() - keep a connection for the next exchange.
 * @pool: the pool
 * @conn: the connection
 */
void
net_pool_add_idle(struct net_pool *pool, struct net_conn *conn)
{
	conn->idle_since_ms = clock_loop_ms(pool->loop);
	TAILQ_INSERT_HEAD(&pool->idle, conn, entry);
	pool->n_idle++;
	pool_trim(pool);
}

/**
 * net_pool_remove_idle() - take an idle connection out of its pool.
 * @conn: the connection
 */
void
net_pool_remove_idle(struct net_conn *conn)
{
	TAILQ_REMOVE(&conn->pool->idle, conn, entry);
	conn->pool->n_idle--;
}

/**
 * net_pool_init() - initialize an empty pool.
 * @pool: the pool
 * @loop: the event loop
 * @addr: address of the peer
 */
void
net_pool_init(struct net_pool *pool, uv_loop_t *loop,
    const struct sockaddr_in *addr)
{
	memset(pool, 0, sizeof *pool);
	pool->loop = loop;
	pool->addr = *addr;
	pool->max_idle = NET_IDLE_CONNS_MAX;
	TAILQ_INIT(&pool->idle);
}

/**
 * net_pool_clear() - close all idle connections.
 * @pool: the pool; it must not be freed before pool->n_open is 0
 */
void
net_pool_clear(struct net_pool *pool)
{
	struct net_conn *conn;

	while ((conn = TAILQ_FIRST(&pool->idle)) != NULL) {
		net_pool_remove_idle(conn);
		net_conn_close(conn);
	}
}

/**
 * net_pool_expire() - close the connections whose idle timeout has passed.
 * @pool: the pool
 */
void
net_pool_expire(struct net_pool *pool)
{
	uint64_t now = clock_loop_ms(pool->loop);
	struct net_conn *conn;

	while ((conn = TAILQ_LAST(&pool->idle, net_conn_list)) != NULL &&
	    now - conn->idle_since_ms >= conn->idle_timeout_ms) {
		net_pool_remove_idle(conn);
		net_conn_close(conn);
	}
}

/* Whether the path of an idle connection may still be used. */
static bool
pool_path_usable(const struct net_pool *pool, const struct net_conn *conn)
{
	const struct net_tunnels *tunnels = pool->tunnels;

	if (tunnels == NULL)
		return (true);
	if (!conn->link->tunnel)
		return (net_path_trusted(&pool->path, tunnels,
		    conn->idle_since_ms));
	return (net_path_state(&pool->path, tunnels) == NET_PATH_LOST &&
	    tunnels->ops->usable(tunnels->arg, &conn->link->gateway));
}

/* Returns the most recently used idle connection unless it has been idle for
 * too long. */
static struct net_conn *
pool_reuse(struct net_pool *pool, uint64_t max_idle_ms)
{
	struct net_conn *conn;
	uint64_t idle;

	while ((conn = TAILQ_FIRST(&pool->idle)) != NULL &&
	    !pool_path_usable(pool, conn)) {
		net_pool_remove_idle(conn);
		net_conn_close(conn);
	}
	if (conn == NULL)
		return (NULL);
	idle = clock_loop_ms(pool->loop) - conn->idle_since_ms;
	if (max_idle_ms == 0 || idle >= conn->idle_timeout_ms ||
	    idle > max_idle_ms)
		return (NULL);
	net_pool_remove_idle(conn);
	return (conn);
}

/**
 * net_pool_check() - check whether the peer is reached directly.
 * @pool: the pool, with a choice of gateways
 *
 * The connection that is made is kept for the next exchange.
 */
void
net_pool_check(struct net_pool *pool)
{
	pool->path.checked_ms = clock_loop_ms(pool->loop);
	net_conn_open(pool, false);
}

/**
 * net_pool_take() - get a connection for one exchange.
 * @pool: the pool
 * @max_idle_ms: longest idle time of a connection that is used again; 0 for a
 *	new one
 * @ops: the owner's callbacks
 * @owner: passed to the callbacks
 *
 * Return: an idle or a new connection, or NULL if none can be started.
 */
struct net_conn *
net_pool_take(struct net_pool *pool, uint64_t max_idle_ms,
    const struct net_conn_ops *ops, void *owner)
{
	struct net_conn *conn = pool_reuse(pool, max_idle_ms);

	if (conn == NULL)
		conn = net_conn_open(pool, false);
	if (conn == NULL)
		return (NULL);
	/* Direct connections are tried again while a tunnel serves. */
	if (net_conn_tunneled(conn) &&
	    net_path_probe_due(&pool->path, clock_loop_ms(pool->loop)))
		net_conn_open(pool, true);
	conn->ops = ops;
	conn->owner = owner;
	conn->complete = false;
	conn->line_bytes = NET_STATUS_LINE_BYTES;
	conn->fault = NULL;
	conn->skipping = false;
	conn->skipped_bytes = 0;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	return (conn);
}
