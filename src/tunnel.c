/* One tunnel of another daemon: its request, its endpoint, the bytes between.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "tunnel.h"

/* Time for a request to arrive, and for an endpoint to be reached. */
#define REQUEST_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 150
/* Bytes that wait for one side, from which on the other is not read. */
#define QUEUED_MAX 65536
/* After the endpoint has closed its side, how often it is checked whether the
 * requester has read the rest; one that reads nothing fails by itself. */
#define LINGER_MS 1000
/* Idle time after which the system checks whether the requester still exists.
 */
#define KEEPALIVE_S 2

static void
tunnel_release(struct tunnel *t)
{
	if (--t->handles == 0)
		g_free(t);
}

static void
on_timer_closed(uv_handle_t *handle)
{
	tunnel_release(handle->data);
}

static void
stream_closed(struct net_stream *stream)
{
	tunnel_release(stream->owner);
}

static void
stream_end(struct net_stream *stream, bool reset)
{
	if (reset)
		net_stream_reset(stream);
	else
		net_stream_close(stream);
}

/* Closes both sides, by a reset or regularly. */
static void
tunnel_close(struct tunnel *t, bool reset)
{
	if (t->closing)
		return;
	t->closing = true;
	TAILQ_REMOVE(&t->server->tunnels, t, entry);
	t->server->n_tunnels--;
	uv_close((uv_handle_t *)&t->timer, on_timer_closed);
	stream_end(&t->client, reset);
	if (t->state >= TUNNEL_CONNECTING)
		stream_end(&t->target, reset);
}

static void on_timeout(uv_timer_t *);

static void
tunnel_set_state(struct tunnel *t, enum tunnel_state state, uint64_t timeout_ms)
{
	t->state = state;
	if (timeout_ms > 0)
		uv_timer_start(&t->timer, on_timeout, timeout_ms, 0);
	else
		uv_timer_stop(&t->timer);
}

static void
tunnel_reply(struct tunnel *t, enum tunnel_result result)
{
	char out[TUNNEL_REPLY_BYTES];

	tunnel_reply_encode(result, out);
	net_stream_write(&t->client, out, sizeof out);
}

/* Replies that no tunnel is opened, and ends the connection. */
static void
tunnel_refuse(struct tunnel *t, enum tunnel_result result)
{
	t->server->n_refused++;
	log_debug("tunnel_refused", "result=%s tunnels=%u",
	    tunnel_result_name(result), t->server->n_tunnels);
	tunnel_reply(t, result);
	tunnel_close(t, false);
}

/* Ends the connection of a requester that is no daemon of the deployment. */
static void
tunnel_reject(struct tunnel *t, const char *reason)
{
	struct sockaddr_in addr = { 0 };
	int length = sizeof addr;
	char ip[INET_ADDRSTRLEN];

	uv_tcp_getpeername(&t->client.tcp, (struct sockaddr *)&addr, &length);
	inet_ntop(AF_INET, &addr.sin_addr, ip, sizeof ip);
	t->server->n_refused++;
	event_log(LOG_WARNING, "tunnel_rejected", "from=%s reason=%s", ip,
	    reason);
	tunnel_close(t, true);
}

static void
tunnel_unreached(struct tunnel *t)
{
	t->server->unreached++;
	t->server->unreached_ms = clock_loop_ms(t->server->loop);
	tunnel_refuse(t, TUNNEL_UNREACHED);
}

static void
on_timeout(uv_timer_t *timer)
{
	struct tunnel *t = timer->data;

	if (t->state == TUNNEL_CONNECTING)
		tunnel_unreached(t);
	else if (t->state == TUNNEL_READING)
		tunnel_reject(t, "timeout");
	else if (t->client.queued > 0)
		tunnel_set_state(t, TUNNEL_ENDING, LINGER_MS);
	else
		tunnel_close(t, false);
}

static void
target_connected(struct net_stream *stream)
{
	struct tunnel *t = stream->owner;
	enum tunnel_result obstacle;

	t->server->unreached = 0;
	/* This daemon or the endpoint may drain since the tunnel was asked for.
	 */
	obstacle = tunnel_server_obstacle(t->server, &t->peer);
	if (obstacle != TUNNEL_OPEN) {
		tunnel_refuse(t, obstacle);
		return;
	}
	t->server->n_served++;
	tunnel_set_state(t, TUNNEL_SERVING, 0);
	tunnel_reply(t, TUNNEL_OPEN);
}

static void
target_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct tunnel *t = stream->owner;
	char header[TUNNEL_HEADER_BYTES];

	tunnel_header_encode((uint32_t)length, false, header);
	net_stream_write(&t->client, header, sizeof header);
	net_stream_write(&t->client, at, length);
	if (t->client.queued > QUEUED_MAX)
		net_stream_set_reading(&t->target, false);
}

static void
target_ended(struct net_stream *stream, bool clean)
{
	struct tunnel *t = stream->owner;
	char header[TUNNEL_HEADER_BYTES];

	if (t->state == TUNNEL_CONNECTING) {
		tunnel_refuse(t, TUNNEL_REFUSED);
		return;
	}
	if (!clean || t->state == TUNNEL_ENDING) {
		tunnel_close(t, !clean);
		return;
	}
	tunnel_header_encode(0, true, header);
	net_stream_write(&t->client, header, sizeof header);
	net_stream_shutdown(&t->client);
	tunnel_set_state(t, TUNNEL_ENDING, LINGER_MS);
}

static void
target_drained(struct net_stream *stream)
{
	struct tunnel *t = stream->owner;

	net_stream_set_reading(&t->client, true);
}

static const struct net_stream_ops target_ops = {
	.connected = target_connected,
	.readable = target_readable,
	.ended = target_ended,
	.drained = target_drained,
	.closed = stream_closed,
};

/* Starts to connect to the endpoint. */
static void
tunnel_connect(struct tunnel *t)
{
	struct tunnel_server *server = t->server;

	tunnel_set_state(t, TUNNEL_CONNECTING, CONNECT_TIMEOUT_MS);
	t->handles++;
	net_stream_init(&t->target, server->loop, &target_ops, t);
	if (net_stream_connect(&t->target, &t->peer, &server->source) != 0)
		tunnel_refuse(t, TUNNEL_UNREACHED);
}

/**
 * tunnel_decline() - have the requester of a tunnel send no more requests
 *	through it.
 * @t: the tunnel; one that is not open yet is looked at again then
 */
void
tunnel_decline(struct tunnel *t)
{
	char header[TUNNEL_HEADER_BYTES];

	if (t->state != TUNNEL_SERVING)
		return;
	tunnel_header_encode(0, false, header);
	net_stream_write(&t->client, header, sizeof header);
}

/* Names other gateways, in one fragment. */
static void
tunnel_send_list(struct tunnel *t)
{
	struct tunnel_gateway list[TUNNEL_LIST_MAX];
	unsigned n = t->server->ops->list(t->server->arg, list);
	char header[TUNNEL_HEADER_BYTES], out[TUNNEL_LIST_BYTES];
	size_t length = tunnel_list_encode(list, n, out);

	tunnel_reply(t, TUNNEL_OPEN);
	tunnel_header_encode((uint32_t)length, true, header);
	net_stream_write(&t->client, header, sizeof header);
	net_stream_write(&t->client, out, length);
	tunnel_close(t, false);
}

/* Handles a request that was read. */
static void
tunnel_handle_request(struct tunnel *t)
{
	struct tunnel_request request;
	enum tunnel_result obstacle;

	if (!tunnel_request_decode(&request, t->request)) {
		tunnel_reject(t, "format");
		return;
	}
	if (request.credential != t->server->credential) {
		tunnel_reject(t, "credential");
		return;
	}
	if (request.kind == TUNNEL_LIST) {
		tunnel_send_list(t);
		return;
	}
	if (request.kind != TUNNEL_CONNECT) {
		t->server->ops->noted(t->server->arg, &request);
		tunnel_reply(t, TUNNEL_OPEN);
		tunnel_close(t, false);
		return;
	}
	obstacle = tunnel_server_obstacle(t->server, &request.peer);
	if (obstacle != TUNNEL_OPEN) {
		tunnel_refuse(t, obstacle);
		return;
	}
	t->peer = request.peer;
	log_debug("tunnel_opening", "from=%08x tunnels=%u", request.name_hash,
	    t->server->n_tunnels);
	tunnel_connect(t);
}

/* Reads the request, after which nothing is sent until the reply. */
static void
tunnel_read_request(struct tunnel *t, const char *at, size_t length)
{
	if (length > TUNNEL_REQUEST_BYTES - t->n_request) {
		tunnel_reject(t, "oversized");
		return;
	}
	memcpy(t->request + t->n_request, at, length);
	t->n_request += (unsigned)length;
	if (t->n_request == TUNNEL_REQUEST_BYTES)
		tunnel_handle_request(t);
}

static void
client_readable(struct net_stream *stream, const char *at, size_t length)
{
	struct tunnel *t = stream->owner;

	switch (t->state) {
	case TUNNEL_READING:
		tunnel_read_request(t, at, length);
		break;
	case TUNNEL_CONNECTING:
		tunnel_reject(t, "oversized");
		break;
	case TUNNEL_SERVING:
		net_stream_write(&t->target, at, length);
		if (t->target.queued > QUEUED_MAX)
			net_stream_set_reading(&t->client, false);
		break;
	case TUNNEL_ENDING:
		break;
	}
}

static void
client_ended(struct net_stream *stream, bool clean)
{
	struct tunnel *t = stream->owner;

	tunnel_close(t, !clean);
}

static void
client_drained(struct net_stream *stream)
{
	struct tunnel *t = stream->owner;

	if (t->state == TUNNEL_SERVING)
		net_stream_set_reading(&t->target, true);
}

static void
client_connected(struct net_stream *stream)
{
}

static const struct net_stream_ops client_ops = {
	.connected = client_connected,
	.readable = client_readable,
	.ended = client_ended,
	.drained = client_drained,
	.closed = stream_closed,
};

/**
 * tunnel_accept() - accept the connection of a requester.
 * @server: the gateway
 */
void
tunnel_accept(struct tunnel_server *server)
{
	struct tunnel *t = g_new0(struct tunnel, 1);

	t->server = server;
	t->handles = 2;
	TAILQ_INSERT_TAIL(&server->tunnels, t, entry);
	server->n_tunnels++;
	uv_timer_init(server->loop, &t->timer);
	t->timer.data = t;
	net_stream_init(&t->client, server->loop, &client_ops, t);
	tunnel_set_state(t, TUNNEL_READING, REQUEST_TIMEOUT_MS);
	if (net_stream_accept(&t->client, (uv_stream_t *)&server->listener) !=
	    0) {
		tunnel_close(t, false);
		return;
	}
	uv_tcp_keepalive(&t->client.tcp, 1, KEEPALIVE_S);
	net_stream_set_user_timeout(&t->client, NET_USER_TIMEOUT_MS);
}
