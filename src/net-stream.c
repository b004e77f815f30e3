/* TCP connections on the event loop. */
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "net-stream.h"

/* Largest read; a whole response of a plain service fits, and a stream event is
 * far smaller. */
#define READ_BUFFER_BYTES 65536

/* All connections are on one loop thread, so they can share a buffer. */
static char read_buffer[READ_BUFFER_BYTES];

/* Output that the socket did not accept at once. */
struct net_write {
	uv_write_t req;
	struct net_stream *stream;
	size_t length;
	char bytes[];
};

static void
on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof read_buffer);
}

static void
on_closed(uv_handle_t *handle)
{
	struct net_stream *stream = handle->data;

	stream->ops->closed(stream);
}

static void
stream_notify_end(struct net_stream *stream, bool clean)
{
	if (stream->closing || stream->ended)
		return;
	stream->ended = true;
	stream->ops->ended(stream, clean);
}

/*
 * libuv reports a hang-up that arrives together with data as an end of file,
 * even if the peer reset the connection, so the socket itself is
 * checked.
 */
static bool
stream_was_reset(struct net_stream *stream)
{
	uv_os_fd_t fd;
	char byte;

	if (uv_fileno((uv_handle_t *)&stream->tcp, &fd) != 0)
		return (true);
	return (recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0);
}

static void
on_read(uv_stream_t *handle, ssize_t n, const uv_buf_t *buf)
{
	struct net_stream *stream = handle->data;

	if (n == 0 || stream->closing)
		return;
	if (n < 0) {
		net_stream_set_reading(stream, false);
		stream_notify_end(stream,
		    n == UV_EOF && !stream_was_reset(stream));
		return;
	}
	/* Closing a socket that has unread input resets the connection, and the
	 * peer loses what it has not read yet. */
	if (!stream->write_shutdown)
		stream->ops->readable(stream, buf->base, (size_t)n);
}

static void
on_connected(uv_connect_t *req, int status)
{
	struct net_stream *stream = req->data;

	if (stream->closing)
		return;
	if (status < 0) {
		stream_notify_end(stream, false);
		return;
	}
	net_stream_set_reading(stream, true);
	stream->ops->connected(stream);
}

/* Counts bytes that begin to wait to be written. */
static void
stream_add_queued(struct net_stream *stream, size_t length)
{
	stream->queued += length;
	if (stream->queued_sum != NULL)
		*stream->queued_sum += length;
}

/* Counts bytes that wait no longer. */
static void
stream_remove_queued(struct net_stream *stream, size_t length)
{
	stream->queued -= length;
	if (stream->queued_sum != NULL)
		*stream->queued_sum -= length;
}

static void
on_written(uv_write_t *req, int status)
{
	struct net_write *w = (struct net_write *)req;
	struct net_stream *stream = w->stream;

	stream_remove_queued(stream, w->length);
	g_free(w);
	if (stream->closing)
		return;
	if (status < 0) {
		stream_notify_end(stream, false);
		return;
	}
	if (stream->queued > 0)
		return;
	if (!stream->write_shutdown)
		stream->ops->drained(stream);
}

/**
 * net_stream_init() - initialize a connection that is not established yet.
 * @stream: the connection
 * @loop: the event loop
 * @ops: the owner's callbacks
 * @owner: kept in the connection for the callbacks
 */
void
net_stream_init(struct net_stream *stream, uv_loop_t *loop,
    const struct net_stream_ops *ops, void *owner)
{
	memset(stream, 0, sizeof *stream);
	uv_tcp_init(loop, &stream->tcp);
	stream->tcp.data = stream;
	stream->ops = ops;
	stream->owner = owner;
}

/**
 * net_stream_set_user_timeout() - let a connection fail if its output is not
 *	acknowledged in time.
 * @stream: the connection
 * @ms: the time
 *
 * The kernel counts a peer that is alive and reads nothing as well. So this is
 * only for connections whose use has no time limit of its own.
 */
void
net_stream_set_user_timeout(struct net_stream *stream, unsigned ms)
{
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&stream->tcp, &fd) == 0)
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
}

/**
 * net_stream_connect() - start to connect.
 * @stream: the connection
 * @to: address of the peer
 * @from: source address; NULL or 0.0.0.0 for any
 *
 * Return: 0, or a libuv error.
 */
int
net_stream_connect(struct net_stream *stream, const struct sockaddr_in *to,
    const struct sockaddr_in *from)
{
	int rc = 0;

	stream->connect.data = stream;
	if (from != NULL && from->sin_addr.s_addr != INADDR_ANY)
		rc =
		    uv_tcp_bind(&stream->tcp, (const struct sockaddr *)from, 0);
	if (rc == 0)
		rc = uv_tcp_connect(&stream->connect, &stream->tcp,
		    (const struct sockaddr *)to, on_connected);
	if (rc == 0)
		uv_tcp_nodelay(&stream->tcp, 1);
	return (rc);
}

/**
 * net_stream_accept() - accept a connection and start to read.
 * @stream: the connection
 * @listener: a listener with a pending connection
 *
 * Return: 0, or a libuv error.
 */
int
net_stream_accept(struct net_stream *stream, uv_stream_t *listener)
{
	int rc;

	rc = uv_accept(listener, (uv_stream_t *)&stream->tcp);
	if (rc != 0)
		return (rc);
	uv_tcp_nodelay(&stream->tcp, 1);
	net_stream_set_reading(stream, true);
	return (0);
}

/**
 * net_stream_set_reading() - start or stop reading.
 * @stream: the connection
 * @on: whether to read
 */
void
net_stream_set_reading(struct net_stream *stream, bool on)
{
	if (stream->closing || stream->reading == on)
		return;
	stream->reading = on;
	if (on)
		uv_read_start((uv_stream_t *)&stream->tcp, on_alloc, on_read);
	else
		uv_read_stop((uv_stream_t *)&stream->tcp);
}

/**
 * net_stream_write() - write what the socket accepts and queue the rest.
 * @stream: the connection
 * @bytes: the output; queued bytes are copied
 * @length: bytes of the output
 */
void
net_stream_write(struct net_stream *stream, const char *bytes, size_t length)
{
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)length);
	struct net_write *w;
	int n = 0;

	if (stream->closing || length == 0)
		return;
	if (stream->queued == 0) {
		n = uv_try_write((uv_stream_t *)&stream->tcp, &buf, 1);
		if (n < 0)
			n = 0;
		if ((size_t)n == length)
			return;
	}
	length -= (size_t)n;
	w = g_malloc(sizeof *w + length);
	w->stream = stream;
	w->length = length;
	memcpy(w->bytes, bytes + n, length);
	buf = uv_buf_init(w->bytes, (unsigned)length);
	if (uv_write(&w->req, (uv_stream_t *)&stream->tcp, &buf, 1,
		on_written) != 0) {
		g_free(w);
		stream_notify_end(stream, false);
		return;
	}
	stream_add_queued(stream, length);
}

/**
 * net_stream_unwritten() - bytes that the socket has not accepted yet.
 * @stream: the connection
 *
 * Unlike the count of queued bytes this one falls with each part of a write.
 */
size_t
net_stream_unwritten(const struct net_stream *stream)
{
	return (
	    uv_stream_get_write_queue_size((const uv_stream_t *)&stream->tcp));
}

static void
on_shutdown(uv_shutdown_t *req, int status)
{
}

/**
 * net_stream_shutdown() - shut down the sending side after queued output.
 * @stream: the connection; the owner closes it when the peer has closed its
 *	side or has had time to read
 */
void
net_stream_shutdown(struct net_stream *stream)
{
	if (stream->closing || stream->write_shutdown)
		return;
	stream->write_shutdown = true;
	net_stream_set_reading(stream, true);
	if (uv_shutdown(&stream->shutdown, (uv_stream_t *)&stream->tcp,
		on_shutdown) != 0)
		net_stream_close(stream);
}

/**
 * net_stream_close() - close a connection.
 * @stream: the connection; its memory may be freed once closed() is called
 */
void
net_stream_close(struct net_stream *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	uv_close((uv_handle_t *)&stream->tcp, on_closed);
}

/**
 * net_stream_reset() - reset a connection.
 * @stream: the connection
 *
 * Unlike a close, a reset can't be taken for the end of a response.
 */
void
net_stream_reset(struct net_stream *stream)
{
	if (stream->closing)
		return;
	stream->closing = true;
	if (uv_tcp_close_reset(&stream->tcp, on_closed) != 0)
		uv_close((uv_handle_t *)&stream->tcp, on_closed);
}
