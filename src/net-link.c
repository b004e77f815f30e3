/* A byte stream to a peer, over a connection of its own or through a tunnel. */
#include <glib.h>
#include <string.h>

#include "clock.h"
#include "net-link.h"

/* Reports that the peer was not reached. */
static void
link_fail(struct net_link *link, enum tunnel_result result)
{
	const struct net_link_ops *ops = link->ops;

	link->ops = NULL;
	net_stream_close(&link->stream);
	if (ops != NULL)
		ops->failed(link, result);
}

static void
link_establish(struct net_link *link)
{
	link->established = true;
	if (link->ops->established != NULL)
		link->ops->established(link);
}

/* Sends the request to the gateway. */
static void
link_send_request(struct net_link *link)
{
	char out[TUNNEL_REQUEST_BYTES];

	tunnel_request_encode(&link->request, out);
	net_stream_write(&link->stream, out, sizeof out);
}

/* Passes bytes of the peer on. */
static void
link_pass(struct net_link *link, const char *at, size_t length)
{
	if (length > 0 && link->ops->readable != NULL)
		link->ops->readable(link, at, length);
}

/* Reports the end of the connection, or of what the peer sends (clean). */
static void
link_end(struct net_link *link, bool clean)
{
	if (link->ops != NULL && link->ops->ended != NULL)
		link->ops->ended(link, clean);
}

static void
stream_connected(struct net_stream *stream)
{
	struct net_link *link = stream->owner;

	if (link->tunnel)
		link_send_request(link);
	else
		link_establish(link);
}

/* Reads bytes of the gateway's reply. Returns how many were used. */
static size_t
link_read_reply(struct net_link *link, const char *at, size_t length)
{
	size_t n = MIN(length, TUNNEL_REPLY_BYTES - link->n_reply);
	enum tunnel_result result;

	memcpy(link->reply + link->n_reply, at, n);
	link->n_reply += (unsigned)n;
	if (link->n_reply < TUNNEL_REPLY_BYTES)
		return (n);
	if (!tunnel_reply_decode(&result, link->reply))
		result = TUNNEL_NO_REPLY;
	if (result == TUNNEL_OPEN)
		link_establish(link);
	else
		link_fail(link, result);
	return (n);
}

/* Passes on what the peer sent through the tunnel. */
static void
link_read_tunnel(struct net_link *link, const char *at, size_t length)
{
	while (length > 0 && link->ops != NULL) {
		const char *data;
		size_t n_data;
		size_t used =
		    tunnel_decode(&link->decoder, at, length, &data, &n_data);

		link_pass(link, data, n_data);
		at += used;
		length -= used;
		if (link->decoder.declined && link->ops != NULL &&
		    link->ops->declined != NULL)
			link->ops->declined(link);
		link->decoder.declined = false;
		if (tunnel_decoder_ended(&link->decoder)) {
			link_end(link, true);
			return;
		}
	}
}

static void
stream_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct net_link *link = stream->owner;
	size_t used = 0;

	if (link->ops == NULL)
		return;
	if (!link->tunnel) {
		link_pass(link, at, length);
		return;
	}
	if (!link->established)
		used = link_read_reply(link, at, length);
	if (link->established && used < length)
		link_read_tunnel(link, at + used, length - used);
}

static void
stream_ended(struct net_stream *stream, bool clean)
{
	struct net_link *link = stream->owner;

	if (link->ops == NULL)
		return;
	if (!link->established)
		link_fail(link, TUNNEL_NO_REPLY);
	else
		link_end(link, clean && !link->tunnel);
}

static void
stream_drained(struct net_stream *stream)
{
}

static void
stream_closed(struct net_stream *stream)
{
	g_free(stream->owner);
}

static const struct net_stream_ops link_stream_ops = {
	.connected = stream_connected,
	.readable = stream_readable,
	.ended = stream_ended,
	.drained = stream_drained,
	.closed = stream_closed,
};

/* Starts to connect; returns NULL if the system refuses a connection. */
static struct net_link *
link_start(struct net_link *link, uv_loop_t *loop, const struct sockaddr_in *to,
    const struct sockaddr_in *from)
{
	net_stream_init(&link->stream, loop, &link_stream_ops, link);
	link->started_ms = clock_loop_ms(loop);
	if (net_stream_connect(&link->stream, to, from) == 0)
		return (link);
	link->ops = NULL;
	net_stream_close(&link->stream);
	return (NULL);
}

/**
 * net_link_open() - start to connect to a peer.
 * @loop: the event loop
 * @peer: its address
 * @source: source address; NULL or 0.0.0.0 for any
 * @ops: the owner's callbacks, none of which is called within this function
 * @owner: for use by the callbacks
 *
 * Return: the link, or NULL if the system refuses a connection.
 */
struct net_link *
net_link_open(uv_loop_t *loop, const struct sockaddr_in *peer,
    const struct sockaddr_in *source, const struct net_link_ops *ops,
    void *owner)
{
	struct net_link *link = g_new0(struct net_link, 1);

	link->ops = ops;
	link->owner = owner;
	return (link_start(link, loop, peer, source));
}

/**
 * net_link_open_tunnel() - start to connect to a peer through a gateway, or to
 *	have the gateway note something about the peer.
 * @loop: the event loop
 * @gateway: the gateway
 * @request: what is asked of it, but for the credential and the requester
 * @ops: the owner's callbacks, none of which is called within this function
 * @owner: for use by the callbacks
 *
 * Return: the link, or NULL if the system refuses a connection.
 */
struct net_link *
net_link_open_tunnel(uv_loop_t *loop, const struct net_gateway *gateway,
    const struct tunnel_request *request, const struct net_link_ops *ops,
    void *owner)
{
	struct net_link *link = g_new0(struct net_link, 1);

	link->ops = ops;
	link->owner = owner;
	link->tunnel = true;
	link->gateway = *gateway;
	link->request = *request;
	link->request.credential = gateway->incarnation;
	link->request.name_hash = gateway->requester;
	return (link_start(link, loop, &gateway->addr, NULL));
}

/**
 * net_link_close() - close a link.
 * @link: the link; none of the owner's callbacks is called after this
 */
void
net_link_close(struct net_link *link)
{
	link->ops = NULL;
	net_stream_close(&link->stream);
}

/**
 * net_link_reset() - reset a link, which can't be taken for a regular end.
 * @link: the link; none of the owner's callbacks is called after this
 */
void
net_link_reset(struct net_link *link)
{
	link->ops = NULL;
	net_stream_reset(&link->stream);
}
