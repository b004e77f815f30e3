/* A TCP connection on the event loop with a bounded queue of output. */
#ifndef BL_NET_STREAM_H
#define BL_NET_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

struct net_stream;

/**
 * struct net_stream_ops - what the owner of a connection is told.
 * @connected: an outgoing connection stands
 * @readable: bytes arrived
 * @ended: the peer closed its side, cleanly or not; told once
 * @drained: output that had to wait is gone
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
 * @tcp: the loop's handle
 * @ops: the owner's functions
 * @owner: the owner
 * @queued: bytes that wait to be written
 * @reading: bytes are being read
 * @closing: no more is told but @closed
 * @ended: the end was told
 * @write_shutdown: our side is ended; what still comes is dropped until the
 *peer ends too, or the owner closes
 */
struct net_stream {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	const struct net_stream_ops *ops;
	void *owner;
	size_t queued;
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
void net_stream_set_reading(struct net_stream *, bool);
void net_stream_write(struct net_stream *, const char *, size_t);
void net_stream_shutdown(struct net_stream *);
void net_stream_close(struct net_stream *);
void net_stream_reset(struct net_stream *);

#endif
