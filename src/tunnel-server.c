/* Gateway of other daemons' tunnels. */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "clock.h"
#include "event-log.h"
#include "net-address.h"
#include "tunnel-server.h"

#define BACKLOG 128
/* Tunnels that are served at a time. */
#define TUNNELS_MAX 512
/* Time for a request to arrive, and for an endpoint to be reached. */
#define REQUEST_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 150
/* After this many endpoints in a row were not reached, none is tried for this
 * time: this daemon may be cut off itself. */
#define UNREACHED_MAX 2
#define UNREACHED_PAUSE_MS 300
/* Bytes that wait for one side, from which on the other is not read. */
#define QUEUED_MAX 65536
/* After the endpoint has closed its side, how often it is checked whether the
 * requester has read the rest; one that reads nothing fails by itself. */
#define LINGER_MS 1000
/* Idle time after which the system checks whether the requester still exists.
 */
#define KEEPALIVE_S 2

/**
 * enum tunnel_state - state of a tunnel.
 * @TUNNEL_READING: its request is being read
 * @TUNNEL_CONNECTING: the endpoint is being reached
 * @TUNNEL_SERVING: bytes are passed on
 * @TUNNEL_ENDING: what is left is written to the requester
 */
enum tunnel_state {
	TUNNEL_READING,
	TUNNEL_CONNECTING,
	TUNNEL_SERVING,
	TUNNEL_ENDING,
};

/**
 * struct tunnel - one tunnel.
 * @server: the gateway
 * @state: its state
 * @client: connection of the requester
 * @target: connection to the endpoint, once it is started
 * @timer: bounds the time in its state
 * @handles: handles that are not closed
 * @closing: it is being closed
 * @request: its request, as far as it was read
 * @n_request: bytes of it that were read
 * @peer: address of the endpoint
 * @entry: entry in the gateway's list
 */
struct tunnel {
	struct tunnel_server *server;
	enum tunnel_state state;
	struct net_stream client;
	struct net_stream target;
	uv_timer_t timer;
	unsigned handles;
	bool closing;
	char request[TUNNEL_REQUEST_BYTES];
	unsigned n_request;
	struct sockaddr_in peer;
	TAILQ_ENTRY(tunnel) entry;
};

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

/* Why no tunnel may be opened now; TUNNEL_OPEN if one may. */
static enum tunnel_result
server_obstacle(const struct tunnel_server *server)
{
	uint64_t now = clock_loop_ms(server->loop);

	if (server->draining)
		return (TUNNEL_DRAINING);
	if (server->n_tunnels > TUNNELS_MAX)
		return (TUNNEL_BUSY);
	if (server->unreached >= UNREACHED_MAX &&
	    now - server->unreached_ms < UNREACHED_PAUSE_MS)
		return (TUNNEL_UNREACHED);
	return (TUNNEL_OPEN);
}

/* The same for a tunnel to an endpoint. */
static enum tunnel_result
tunnel_obstacle(const struct tunnel_server *server,
    const struct sockaddr_in *peer)
{
	enum tunnel_result obstacle = server_obstacle(server);

	if (obstacle != TUNNEL_OPEN)
		return (obstacle);
	return (server->ops->judge(server->arg, peer));
}

static void
target_connected(struct net_stream *stream)
{
	struct tunnel *t = stream->owner;
	enum tunnel_result obstacle;

	t->server->unreached = 0;
	/* This daemon or the endpoint may drain since the tunnel was asked for.
	 */
	obstacle = tunnel_obstacle(t->server, &t->peer);
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

/* Has the requester of a tunnel send no more requests through it. */
static void
tunnel_decline(struct tunnel *t)
{
	char header[TUNNEL_HEADER_BYTES];

	if (t->state != TUNNEL_SERVING)
		return;
	tunnel_header_encode(0, false, header);
	net_stream_write(&t->client, header, sizeof header);
}

/**
 * tunnel_server_decline() - have the requesters of tunnels to an endpoint send
 *	it no more requests through them.
 * @server: the gateway
 * @peer: address of the endpoint
 */
void
tunnel_server_decline(struct tunnel_server *server,
    const struct sockaddr_in *peer)
{
	struct tunnel *t;

	TAILQ_FOREACH(t, &server->tunnels, entry) {
		if (net_address_equal(&t->peer, peer))
			tunnel_decline(t);
	}
}

/**
 * tunnel_server_drain() - open no more tunnels; end the others with the
 *	requests that are under way.
 * @server: the gateway
 */
void
tunnel_server_drain(struct tunnel_server *server)
{
	struct tunnel *t;

	if (server->loop == NULL)
		return;
	server->draining = true;
	TAILQ_FOREACH(t, &server->tunnels, entry)
		tunnel_decline(t);
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
	obstacle = tunnel_obstacle(t->server, &request.peer);
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

static void
on_connection(uv_stream_t *listener, int status)
{
	struct tunnel_server *server = listener->data;
	struct tunnel *t;

	if (status != 0)
		return;
	t = g_new0(struct tunnel, 1);
	t->server = server;
	t->handles = 2;
	TAILQ_INSERT_TAIL(&server->tunnels, t, entry);
	server->n_tunnels++;
	uv_timer_init(server->loop, &t->timer);
	t->timer.data = t;
	net_stream_init(&t->client, server->loop, &client_ops, t);
	tunnel_set_state(t, TUNNEL_READING, REQUEST_TIMEOUT_MS);
	if (net_stream_accept(&t->client, listener) != 0) {
		tunnel_close(t, false);
		return;
	}
	uv_tcp_keepalive(&t->client.tcp, 1, KEEPALIVE_S);
}

/**
 * tunnel_server_open() - start to accept requests for tunnels.
 * @server: the gateway; ops, arg, source and credential are filled in
 * @loop: the event loop
 * @addr: address to listen at
 *
 * Return: 0, or a libuv error.
 */
int
tunnel_server_open(struct tunnel_server *server, uv_loop_t *loop,
    const struct sockaddr_in *addr)
{
	int rc;

	server->loop = loop;
	TAILQ_INIT(&server->tunnels);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	rc = uv_tcp_bind(&server->listener, (const struct sockaddr *)addr, 0);
	if (rc == 0)
		rc = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
		    on_connection);
	return (rc);
}
