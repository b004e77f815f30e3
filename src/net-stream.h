/* TCP connections on the event loop. */
#ifndef BL_NET_STREAM_H
#define BL_NET_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/* Where nothing else limits the time, a peer that acknowledges no output for so
 * long is taken for dead. */
#define NET_USER_TIMEOUT_MS 8000

struct net_stream;

/**
 * struct net_stream_ops - callbacks to the owner of a connection.
 * @connected: an outgoing connection is established
 * @readable: bytes arrived
 * @ended: the connection failed, or the peer closed its side (clean); called
 *	once
 * @drained: all queued output is written
 * @closed: the handle is closed; the owner may free the memory
 */
struct net_stream_ops {
	void (*connected)(struct net_stream *);
	void (*readable)(struct net_stream *, const char *, size_t);
	void (*ended)(struct net_stream *, bool clean);
	void (*drained)(struct net_stream *);
	void (*closed)(struct net_stream *);
};

/**
 * struct net_stream - one connection.
 * @tcp: libuv handle
 * @connect: libuv request of net_stream_connect()
 * @shutdown: libuv request of net_stream_shutdown()
 * @ops: the owner's callbacks
 * @owner: for use by the callbacks
 * @queued: bytes that wait to be written
 * @queued_sum: sum of such bytes over several connections, or NULL
 * @reading: reading is enabled
 * @closing: no callback is called any more but closed()
 * @ended: ended() was called
 * @write_shutdown: the sending side is shut down; input is dropped until the
 *	peer closes its side or the owner closes the connection
 */
struct net_stream {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	const struct net_stream_ops *ops;
	void *owner;
	size_t queued;
	size_t *queued_sum;
	bool reading;
	bool closing;
	bool ended;
	bool write_shutdown;
};

void net_stream_init(struct net_stream *, uv_loop_t *,
    const struct net_stream_ops *, void *);
int net_stream_connect(struct net_stream *, const struct sockaddr_in *,
    const struct sockaddr_in *);
int net_stream_accept(struct net_stream *, uv_stream_t *);
void net_stream_set_user_timeout(struct net_stream *, unsigned);
void net_stream_set_reading(struct net_stream *, bool);
void net_stream_write(struct net_stream *, const char *, size_t);
size_t net_stream_unwritten(const struct net_stream *);
void net_stream_shutdown(struct net_stream *);
void net_stream_close(struct net_stream *);
void net_stream_reset(struct net_stream *);

#endif
